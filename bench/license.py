"""Cost of a license: added latency, appends and bytes a second of one instance.

Requests arrive evenly and are sent to a runner that answers at once, so the whole latency is that
of the license. The log takes 2 ms for an append. The baseline commits every record by an append of
its own and is held to no budget.
"""

from __future__ import annotations

import random
import time
from typing import NamedTuple

import anyio
from hdrh.histogram import HdrHistogram
from typing_extensions import override

from bench.table import Row, verdict
from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import RagworttillerError
from ragworttiller.hashing import shard_of
from ragworttiller.messages import LicensedRequest
from ragworttiller.process import commits
from ragworttiller.process.append_budget import INSTANCE_APPENDS_PER_SECOND, AppendBudget
from ragworttiller.process.ledger import Ledger
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.membership import FixedMembership
from ragworttiller.process.stream import Stream
from ragworttiller.records import ledger_stream
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.services.runner import Answer
from ragworttiller.timers import SystemTimers
from standins.memory import MemoryLog

RATES = [100, 300, 1000]
SECONDS = 4.0
SHARDS = 2
APPEND_SECONDS = 0.002
LATENCY_TARGET_MS = 150.0
BATCH_SECONDS = 0.01
NO_BUDGET = 1_000_000.0


class InstantSender(Sender):
    @override
    async def send_once(self, request: UpstreamRequest) -> Answer:
        return Answer(200, [("content-type", "application/json")], b'{"grade": 14, "ok": true}')

    @override
    async def send(self, request: UpstreamRequest) -> Answer:
        return await self.send_once(request)


class Figures(NamedTuple):
    """Measured cost; latencies in ms, ``cpu`` in µs of processor time a request."""

    p50: float
    p99: float
    appends: float
    kilobytes: float
    cpu: float
    refused: int


class Load:
    """Requests at a steady rate to the ledgers of one instance."""

    def __init__(self, rate: int, grouped: bool) -> None:
        self.rate = rate
        self.timers = SystemTimers()
        self.log = MemoryLog(self.timers)
        self.log.append_delay = APPEND_SECONDS
        limit = INSTANCE_APPENDS_PER_SECOND if grouped else NO_BUDGET
        self.budget = AppendBudget(self.timers, limit)
        membership = FixedMembership("a", ["a"])
        self.ledgers = []
        for shard in range(SHARDS):
            stream = Stream(
                ledger_stream(shard),
                self.log,
                LedgerFold(),
                self.timers,
                self.budget,
                membership.holder,
            )
            self.ledgers.append(
                Ledger(stream, InstantSender(), membership, self.timers, DecisionLog())
            )
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.refused = 0

    async def run(self) -> Figures:
        async with anyio.create_task_group() as tasks:
            for ledger in self.ledgers:
                tasks.start_soon(ledger.run)
            await anyio.sleep(0.1)
            started, used = time.monotonic(), time.process_time()
            await self.drive()
            seconds, cpu = time.monotonic() - started, time.process_time() - used
            tasks.cancel_scope.cancel()
        return Figures(
            self.latency.get_value_at_percentile(50) / 1000,
            self.latency.get_value_at_percentile(99) / 1000,
            self.log.appends / seconds,
            self.log.bytes_in / seconds / 1024,
            cpu / (self.rate * SECONDS) * 1e6,
            self.refused,
        )

    async def drive(self) -> None:
        rng = random.Random(1)
        number = 0
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            while (elapsed := time.monotonic() - started) < SECONDS:
                while number < elapsed * self.rate:
                    number += 1
                    tasks.start_soon(self.submit, f"workspace/{rng.getrandbits(64):016x}", number)
                await anyio.sleep(BATCH_SECONDS)

    async def submit(self, key: str, number: int) -> None:
        request = LicensedRequest(
            key, f"a@1:{number}", "workspace", "marking", "POST", "/", [], b"{}", 10.0, time.time()
        )
        started = time.perf_counter()
        try:
            await self.ledgers[shard_of(key, SHARDS)].submit(request)
        except RagworttillerError:
            self.refused += 1
        self.latency.record_value(max(1, int((time.perf_counter() - started) * 1e6)))


def measure(rate: int, grouped: bool) -> Figures:
    """Return the cost at a rate of requests a second, with or without group commit."""
    kept = commits.MAX_APPEND_BYTES
    commits.MAX_APPEND_BYTES = kept if grouped else 1
    try:
        return anyio.run(Load(rate, grouped).run)
    finally:
        commits.MAX_APPEND_BYTES = kept


def rows() -> list[Row]:
    """Measure every rate and return the rows."""
    found = []
    for rate in RATES:
        base, ours = measure(rate, False), measure(rate, True)
        name = f"{rate} requests/s"
        found += [
            Row(
                "license",
                f"added latency p50/p99 at {name}, ms",
                f"{base.p50:.0f} / {base.p99:.0f}, {base.refused} refused",
                f"{ours.p50:.0f} / {ours.p99:.0f}, {ours.refused} refused",
                f"p99 <= {LATENCY_TARGET_MS:.0f}, none refused",
                verdict(
                    ours.p99 <= LATENCY_TARGET_MS and not ours.refused,
                    "see docs/design-ledger.md, Figures",
                ),
            ),
            Row(
                "license",
                f"appends/s at {name}",
                f"{base.appends:.1f}",
                f"{ours.appends:.1f}",
                f"<= {INSTANCE_APPENDS_PER_SECOND:.1f} and a burst",
                verdict(
                    ours.appends <= INSTANCE_APPENDS_PER_SECOND + 5 / SECONDS, "budget exceeded"
                ),
            ),
            Row(
                "license",
                f"KB/s appended, processor time a request at {name}",
                f"{base.kilobytes:.1f} KB/s, {base.cpu:.0f} µs",
                f"{ours.kilobytes:.1f} KB/s, {ours.cpu:.0f} µs",
                "",
                "",
            ),
        ]
    return found


if __name__ == "__main__":
    from bench.table import show

    show(rows())
