"""Effect of each scheduling rule of a cell's owner, compared with the same run without the rule.

All runs are seeded and use a driven clock, so processor time does not affect the results.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest import mock

import anyio

from bench.table import Row, verdict
from ragworttiller.process.preemption import Preemption
from ragworttiller.process.quarantine import Quarantine
from ragworttiller.process.quotas import Quotas
from ragworttiller.process.scheduler import Scheduler
from tests.cell_rig import Rig

INSTANCES = ("a", "b", "c")
SEEDS = (1, 2, 3)
TIMEOUT_SECONDS = 40.0
MAX_URGENT_START_SECONDS = 5.7
MAX_BAD_WORKER_PERCENT = 1.0
MAX_QUOTA_CORES = 6 + 3  # the quota, and one task of one core for each of three shards


@contextmanager
def method_replaced(owner: type, name: str, replacement: Any) -> Iterator[None]:
    """Replace a method that implements a rule, for a baseline run."""
    with mock.patch.object(owner, name, replacement):
        yield


async def do_nothing(self: Any) -> None:
    """No-op that replaces an asynchronous method."""


async def urgent_start(seed: int) -> float:
    """Return the seconds until two urgent tasks run in a full cell of three shards."""
    async with Rig(workers=3, members=INSTANCES, shards=3, seed=seed).running() as rig:
        for n in range(12):
            await rig.submit(f"nightly{n}", run_time=600.0)
        await rig.until(lambda: len(rig.starts) == 12)
        began = rig.timers.now()
        job = await rig.submit("urgent", urgency=9, tasks=2, cpu=2000, run_time=5.0)
        while sum(job in event.task for event in rig.starts) < 2:
            if rig.timers.now() - began >= TIMEOUT_SECONDS:
                break
            await rig.advance(0.05)
        return rig.timers.now() - began


async def gang_start(seed: int) -> float:
    """Return the seconds until an all-or-nothing job starts under a stream of small jobs."""
    async with Rig(workers=6, members=INSTANCES, shards=6, seed=seed).running() as rig:
        for n in range(24):
            rig.submit_soon(f"small{n}", run_time=4.0)
        await rig.advance(1.0)
        gang = await rig.submit("gang", kind="gang", tasks=22, run_time=2.0)
        began = rig.timers.now()
        for second in range(int(TIMEOUT_SECONDS)):
            for n in range(8):
                rig.submit_soon(f"later{second}.{n}", run_time=4.0)
            await rig.advance(1.0)
            started = [event.at for event in rig.starts if event.task.startswith(gang)]
            if started:
                return min(started) - began
        return TIMEOUT_SECONDS


async def bad_worker_share(seed: int) -> float:
    """Return the percentage of the starts of 800 tasks that went to a worker that fails all."""
    async with Rig(workers=6, seed=seed).running() as rig:
        rig.fleet.workers["w3"].agent.fail_all = True
        jobs = [await rig.submit(f"job{n}", tasks=40, run_time=1.0) for n in range(20)]
        for job in jobs:
            await rig.finished(job, 300.0)
        failed_starts = sum(event.worker == "w3" for event in rig.starts)
        return 100.0 * failed_starts / len(rig.starts)


async def quota_peak(seed: int) -> float:
    """Return the peak of the cores in use under a quota of 6 cores, over three owners."""
    async with Rig(workers=6, members=INSTANCES, shards=3, seed=seed).running() as rig:
        rig.registry.put("ws", "quota", "quota", {"cpu": 6000})
        for n in range(6):
            rig.submit_soon(f"job{n}", tasks=8, run_time=3.0)
        peak = 0
        for _ in range(80):
            await rig.advance(0.5)
            peak = max(peak, len(rig.fleet.cell.running))
        return float(peak)


class MassCancellation(NamedTuple):
    """Cancelled jobs, appends that this took, and longest wait of 20 checks in seconds."""

    cancelled: int
    appends: int
    wait: float


async def mass_cancellation(seed: int) -> MassCancellation:
    """Cancel 5,000 jobs by one call while 20 checks are submitted."""
    async with Rig(workers=6, members=INSTANCES, shards=3, seed=seed).running() as rig:
        booking = {"kind": "service", "run_time": None, "cpu": 4000, "tasks": 1}
        await rig.submit("booking", **booking)
        for n in range(4999):
            rig.tasks.start_soon(rig.submit_until_answered, "ws", "booking", f"b{n}", "a")
        await rig.until(lambda: len(rig.submitted) == 4999)
        appends = rig.log.appends
        began = rig.timers.now()
        for n in range(20):
            rig.submit_soon(f"check{n}", "other", urgency=5, cpu=100, memory=128, run_time=0.5)
        cancelled = await rig.call(rig.jobs.cancel_matching("ws", {}))
        await rig.until(lambda: sum(e.limit.cpu == 100 for e in rig.starts) == 20)
        wait = max(e.at for e in rig.starts if e.limit.cpu == 100) - began
        return MassCancellation(cancelled, rig.log.appends - appends, wait)


def worst(run: Callable[[int], Awaitable[float]]) -> float:
    """Return the largest result over the seeds."""
    return max(anyio.run(run, seed) for seed in SEEDS)


def rows() -> Iterator[Row]:
    """Yield the row of each rule."""
    ours = worst(urgent_start)
    with method_replaced(Preemption, "make_room", do_nothing):
        base = worst(urgent_start)
    yield _row("urgent start in a full cell", base, ours, "s", MAX_URGENT_START_SECONDS)
    ours = worst(gang_start)
    with method_replaced(Scheduler, "first_reservation", lambda self: (None, ())):
        base = worst(gang_start)
    yield _row("all-or-nothing start under small work", base, ours, "s", TIMEOUT_SECONDS / 2)
    ours = worst(bad_worker_share)
    with method_replaced(Quarantine, "record_failure", lambda self, worker, template, now: False):
        base = worst(bad_worker_share)
    yield _row("starts on a worker that fails every task", base, ours, "%", MAX_BAD_WORKER_PERCENT)
    ours = worst(quota_peak)
    with method_replaced(Quotas, "_sharing_shard_count", lambda self, workspace: 1):
        base = worst(quota_peak)
    yield _row("cores in use of a quota of 6, three owners", base, ours, "", MAX_QUOTA_CORES)
    found = anyio.run(mass_cancellation, 1)
    name = f"appends for {found.cancelled} cancellations"
    yield _row(name, found.cancelled, found.appends, "", found.cancelled / 50)
    yield _row("longest wait of 20 checks during the cancellations", None, found.wait, "s", 1.0)


def _row(name: str, base: float | None, ours: float, unit: str, target: float) -> Row:
    def text(value: float) -> str:
        return f"{value:.2f} {unit}".strip()

    met = verdict(ours <= target, "see docs/design-cell.md")
    return Row("cell", name, "" if base is None else text(base), text(ours), text(target), met)
