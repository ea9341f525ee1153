"""Instances with a registry each, sharing a fake log, a fake network and a simulated clock."""

from __future__ import annotations

import contextlib
import random

import anyio

from ragworttiller.exceptions import LogUnavailable
from ragworttiller.messages import MemberRow
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.gossip import GossipMembership
from ragworttiller.process.snapshots import DEFAULT_RETENTION
from ragworttiller.process.stream import Stream
from ragworttiller.records import CONFIG_STREAM
from ragworttiller.services.directory import ListedEntry, Listing
from ragworttiller.timers import ManualTimers
from ragworttiller.version.config_fold import ConfigFold
from ragworttiller.version.registry import Registry
from standins.memory import MemoryLog
from standins.peers import MemoryNetwork

NAMES = ["a", "b", "c", "d"]
# Longest time until an accepted change must be in force everywhere.
IN_FORCE_SECONDS = 4.0
KINDS = {"template": lambda _body: None, "quota": lambda _body: None}


class LogAccess:
    """Access of one instance to the log, with its own faults."""

    def __init__(self, log, timers):
        self._log = log
        self._timers = timers
        self.down = False
        self.delay = 0.0

    async def read(self, stream, offset, wait=0.0):
        await self._timers.sleep(self.delay)
        slice_ = await self._log.read(stream, offset, wait)
        if self.down:
            raise LogUnavailable(stream=stream)
        return slice_

    async def append(self, stream, records):
        if self.down:
            raise LogUnavailable(stream=stream)
        return await self._log.append(stream, records)


class Instance:
    """One incarnation of an instance."""

    def __init__(self, cell, name, incarnation):
        self.name = name
        peers = cell.network.peers(name)
        row = MemberRow(name, incarnation, 0, "live", f"addr-{name}", "", "fd", 1)
        rng = random.Random(f"{name}@{incarnation}")
        self.membership = GossipMembership(
            peers, lambda: cell.listing, row, cell.timers, 0.5, 2, 2.0, rng
        )
        self.log = LogAccess(cell.log, cell.timers)
        self.stream = Stream(
            CONFIG_STREAM,
            self.log,
            ConfigFold(),
            cell.timers,
            AppendBudget(cell.timers),
            f"{name}@{incarnation}",
        )
        self.registry = Registry(
            self.stream, peers, self.membership, cell.timers, KINDS, cell.retention, rng
        )
        self.scope = anyio.CancelScope()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for part in (self.membership, self.stream, self.registry):
                    tasks.start_soon(part.run)


class ConfigCell:
    """Cell whose instances can be started and killed."""

    def __init__(self, keep=None, retention=DEFAULT_RETENTION):
        self.timers = ManualTimers()
        self.log = MemoryLog(self.timers, keep)
        self.network = MemoryNetwork(self.timers)
        self.retention = retention
        self.listing = Listing([], [], [])
        self.instances = {}
        self.starts = 0
        self.tasks = None

    @contextlib.asynccontextmanager
    async def running(self, *names, settle=3.0):
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.network.run)
            await anyio.wait_all_tasks_blocked()
            for name in names:
                self.start(name)
            await self.timers.advance(settle)
            yield
            self.tasks.cancel_scope.cancel()

    def start(self, name):
        self.starts += 1
        instance = self.instances[name] = Instance(self, name, self.starts)
        entries = [ListedEntry(n, f"addr-{n}", "", "fd", "live") for n in self.instances]
        self.listing = Listing(entries, [], [])
        self.tasks.start_soon(instance.run)
        return instance

    def kill(self, name):
        self.instances.pop(name).scope.cancel()
        self.network.remove(name)

    def registry(self, name):
        return self.instances[name].registry

    async def publish(self, name, size, base=0, item="t", has_body=True, wait=1.0):
        """Publish from an instance and advance the clock; return the item, the error or None."""
        result = []

        async def publish():
            try:
                body = {"size": size} if has_body else None
                registry = self.registry(name)
                result.append(await registry.publish("ws", "template", item, base, body, "ann"))
            except Exception as exc:
                result.append(exc)

        self.tasks.start_soon(publish)
        await self.timers.advance(wait)
        return result[0] if result else None

    def shown(self, item="t"):
        """Return the version of an item that each instance shows, 0 for none."""
        versions = {}
        for name, instance in self.instances.items():
            found = {i.name: i.version for i in instance.registry.items("ws", "template")}
            versions[name] = found.get(item, 0)
        return versions
