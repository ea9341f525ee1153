"""Membership: cost of heartbeats, and time to notice that an instance died or is paused."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import anyio

from bench.table import Row, verdict
from ragworttiller.messages import Heartbeat, MemberRow
from ragworttiller.process.gossip import GossipMembership
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.services.directory import ListedEntry, Listing
from ragworttiller.timers import SystemTimers

GROUP = "membership"
SEED = 5
SIZES = (7, 13, 26)
LARGEST_SIZE = 50
HEARTBEAT_SECONDS = 0.5
FANOUT = 2
SUSPECT_AFTER_SECONDS = 2.0
JOIN_SECONDS = 4.0
MEASURED_SECONDS = 6.0
NOTICE_TIMEOUT_SECONDS = 8.0
MAX_NOTICE_SECONDS = 5.0
CONTROL_BYTES_PER_SECOND = 6 * 1024
CONTROL_CORE_SHARE = 0.017
MAX_BUDGET_SHARE = 0.5
FIRST_PORT = 22_400
LAST_PORT = 22_990


class Broadcast(GossipMembership):
    """Baseline in which each instance sends just its own row to every other instance."""

    def _targets(self) -> list[str]:
        listing = self._directory_listing()
        names = [row.instance for row in listing.entries] if listing else []
        self._contacts()
        return [name for name in names if name != self.instance]

    def _counts(self) -> Any:
        return Heartbeat([self._row])

    def _next_contacts(self) -> list[str]:
        return []


class Cost(NamedTuple):
    """Cost of one instance a second, as bytes, messages and a share of a core.

    ``dead_seconds`` and ``paused_seconds`` are the times until all others have dropped an instance
    that was killed, or one that stopped sending heartbeats, from their live members.
    """

    bytes_out: float
    messages_out: float
    core_share: float
    dead_seconds: float
    paused_seconds: float


def rows() -> list[Row]:
    """Return the rows of this group."""
    return list(_rows())


def _rows() -> Iterator[Row]:
    for size in SIZES:
        yield from _size_rows(size, anyio.run(_measure, size, Broadcast))
    yield from _size_rows(LARGEST_SIZE, None)


def _size_rows(size: int, baseline: Cost | None) -> Iterator[Row]:
    ours = anyio.run(_measure, size, GossipMembership)
    base = (
        ""
        if baseline is None
        else f"to all: {baseline.bytes_out:.0f} B/s, {baseline.messages_out:.1f}/s"
    )
    both = 2 * ours.bytes_out
    yield Row(
        GROUP,
        f"bytes and messages sent an instance, {size} instances",
        base,
        f"{ours.bytes_out:.0f} B/s, {ours.messages_out:.1f}/s ({both:.0f} B/s both ways)",
        f"half of {CONTROL_BYTES_PER_SECOND} B/s both ways",
        verdict(both <= MAX_BUDGET_SHARE * CONTROL_BYTES_PER_SECOND, "heartbeats are too large"),
    )
    yield Row(
        GROUP,
        f"processor time an instance, {size} instances",
        "" if baseline is None else f"to all: {baseline.core_share:.2%} of a core",
        f"{ours.core_share:.2%} of a core",
        f"half of {CONTROL_CORE_SHARE:.1%}",
        verdict(ours.core_share <= MAX_BUDGET_SHARE * CONTROL_CORE_SHARE, "too many messages"),
    )
    slowest = max(ours.dead_seconds, ours.paused_seconds)
    yield Row(
        GROUP,
        f"an instance is out everywhere, {size} instances",
        (
            ""
            if baseline is None
            else f"to all: dead {baseline.dead_seconds:.1f} s,"
            f" paused {baseline.paused_seconds:.1f} s"
        ),
        f"dead {ours.dead_seconds:.1f} s, paused {ours.paused_seconds:.1f} s",
        f"a few seconds ({MAX_NOTICE_SECONDS:g} s)",
        verdict(slowest <= MAX_NOTICE_SECONDS, "the last heartbeat spread too slowly"),
    )


def _free_addresses(count: int) -> list[str]:
    found = []
    for port in range(FIRST_PORT, LAST_PORT):
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)):
                found.append(f"127.0.0.1:{port}")
        if len(found) == count:
            break
    return found


class _Node:
    def __init__(self, name: str, address: str, listing: Listing, kind: type) -> None:
        timers = SystemTimers()
        self.scope = anyio.CancelScope()
        self.heartbeat_scope = anyio.CancelScope()
        self.peers = NngPeers(name, 1, address, timers)
        row = MemberRow(name, 1, 100_000, "live", address, address, "fd", 100_000)
        self.membership: GossipMembership = kind(
            self.peers,
            lambda: listing,
            row,
            timers,
            HEARTBEAT_SECONDS,
            FANOUT,
            SUSPECT_AFTER_SECONDS,
            random.Random(f"{SEED}{name}"),
        )

    async def run(self, delay: float) -> None:
        """Run the peers, and the membership after a delay, as if nodes started one by one."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.peers.run)
                await anyio.sleep(delay)
                with self.heartbeat_scope:
                    await self.membership.run()


async def _measure(size: int, kind: type) -> Cost:
    addresses = _free_addresses(size)
    names = [f"entry-{number:02d}" for number in range(size)]
    entries = [
        ListedEntry(name, address, address, "fd", "live")
        for name, address in zip(names, addresses, strict=True)
    ]
    listing = Listing(entries, [], [])
    nodes = [_Node(row.instance, row.address, listing, kind) for row in entries]
    async with anyio.create_task_group() as tasks:
        for position, node in enumerate(nodes):
            tasks.start_soon(node.run, position * HEARTBEAT_SECONDS / size)
        await anyio.sleep(JOIN_SECONDS)
        before = [node.peers.traffic for node in nodes]
        started = time.process_time()
        await anyio.sleep(MEASURED_SECONDS)
        core_share = (time.process_time() - started) / MEASURED_SECONDS / size
        after = [node.peers.traffic for node in nodes]
        assert all(len(node.membership.members) == size for node in nodes)
        paused = await _seconds_until_noticed(nodes, nodes[2], nodes[2].heartbeat_scope)
        dead = await _seconds_until_noticed(nodes, nodes[1], nodes[1].scope)
        tasks.cancel_scope.cancel()
    sent = [new.bytes_out - old.bytes_out for old, new in zip(before, after, strict=True)]
    count = [new.messages_out - old.messages_out for old, new in zip(before, after, strict=True)]
    span = MEASURED_SECONDS * size
    return Cost(sum(sent) / span, sum(count) / span, core_share, dead, paused)


async def _seconds_until_noticed(
    nodes: list[_Node], gone: _Node, scope: anyio.CancelScope
) -> float:
    """Cancel a scope of one instance and return the time until no other counts it as live."""
    others = [node for node in nodes if node is not gone and not node.heartbeat_scope.cancel_called]
    scope.cancel()
    started = time.monotonic()
    while any(gone.membership.instance in node.membership.members for node in others):
        if time.monotonic() - started > NOTICE_TIMEOUT_SECONDS:
            return NOTICE_TIMEOUT_SECONDS
        await anyio.sleep(0.05)
    return time.monotonic() - started
