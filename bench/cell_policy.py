"""What the rules of a cell's owner change, each against the same run without it.

All runs are seeded and in driven time, so processor time does not count.
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

ABC = ("a", "b", "c")
SEEDS = (1, 2, 3)
LIMIT_SECONDS = 40.0
URGENT_SECONDS = 5.7
BAD_WORKER_PERCENT = 1.0
QUOTA_CORES = 6 + 3


@contextmanager
def without(owner: type, name: str, replacement: Any) -> Iterator[None]:
    """Replace a method of the product for a baseline."""
    with mock.patch.object(owner, name, replacement):
        yield


async def nothing(self: Any) -> None:
    """Do nothing."""


async def urgent_start(seed: int) -> float:
    """Return the seconds until two urgent tasks run in a full cell of three shards."""
    async with Rig(workers=3, members=ABC, shards=3, seed=seed).running() as rig:
        for n in range(12):
            await rig.submit(f"nightly{n}", run_time=600.0)
        await rig.until(lambda: len(rig.starts) == 12)
        began = rig.timers.now()
        job = await rig.submit("urgent", urgency=9, tasks=2, cpu=2000, run_time=5.0)
        while sum(job in event.task for event in rig.starts) < 2:
            if rig.timers.now() - began >= LIMIT_SECONDS:
                break
            await rig.advance(0.05)
        return rig.timers.now() - began


async def gang_start(seed: int) -> float:
    """Return the seconds until an all-or-nothing job starts under a stream of small work."""
    async with Rig(workers=6, members=ABC, shards=6, seed=seed).running() as rig:
        for n in range(24):
            rig.submit_soon(f"small{n}", run_time=4.0)
        await rig.advance(1.0)
        gang = await rig.submit("gang", kind="gang", tasks=22, run_time=2.0)
        began = rig.timers.now()
        for second in range(int(LIMIT_SECONDS)):
            for n in range(8):
                rig.submit_soon(f"later{second}.{n}", run_time=4.0)
            await rig.advance(1.0)
            started = [event.at for event in rig.starts if event.task.startswith(gang)]
            if started:
                return min(started) - began
        return LIMIT_SECONDS


async def bad_worker_share(seed: int) -> float:
    """Return the percentage of 800 tasks' starts that a worker that fails everything got."""
    async with Rig(workers=6, seed=seed).running() as rig:
        rig.fleet.workers["w3"].agent.fail_all = True
        jobs = [await rig.submit(f"job{n}", tasks=40, run_time=1.0) for n in range(20)]
        for job in jobs:
            await rig.finished(job, 300.0)
        eaten = sum(event.worker == "w3" for event in rig.starts)
        return 100.0 * eaten / len(rig.starts)


async def quota_peak(seed: int) -> float:
    """Return the most of a quota of 6 cores that ran at once, over three owners."""
    async with Rig(workers=6, members=ABC, shards=3, seed=seed).running() as rig:
        rig.registry.put("ws", "quota", "quota", {"cpu": 6000})
        for n in range(6):
            rig.submit_soon(f"job{n}", tasks=8, run_time=3.0)
        most = 0
        for _ in range(80):
            await rig.advance(0.5)
            most = max(most, len(rig.fleet.cell.running))
        return float(most)


class Wave(NamedTuple):
    """Wave of cancellations: appends that it took, and longest wait of 20 checks in seconds."""

    cancelled: int
    appends: int
    wait: float


async def wave(seed: int) -> Wave:
    """Cancel 5,000 jobs at once while checks come in."""
    async with Rig(workers=6, members=ABC, shards=3, seed=seed).running() as rig:
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
        return Wave(cancelled, rig.log.appends - appends, wait)


def worst(run: Callable[[int], Awaitable[float]]) -> float:
    """Return the largest result over the seeds."""
    return max(anyio.run(run, seed) for seed in SEEDS)


def rows() -> Iterator[Row]:
    """Yield the row of each rule."""
    ours = worst(urgent_start)
    with without(Preemption, "make_room", nothing):
        base = worst(urgent_start)
    yield _row("urgent start in a full cell", base, ours, "s", URGENT_SECONDS)
    ours = worst(gang_start)
    with without(Scheduler, "first_reservation", lambda self: (None, ())):
        base = worst(gang_start)
    yield _row("all-or-nothing start under small work", base, ours, "s", LIMIT_SECONDS / 2)
    ours = worst(bad_worker_share)
    with without(Quarantine, "record_failure", lambda self, worker, template, now: False):
        base = worst(bad_worker_share)
    yield _row("starts eaten by a bad worker", base, ours, "%", BAD_WORKER_PERCENT)
    ours = worst(quota_peak)
    with without(Quotas, "_sharing_shard_count", lambda self, workspace: 1):
        base = worst(quota_peak)
    yield _row("cores in use of a quota of 6, three owners", base, ours, "", QUOTA_CORES)
    found = anyio.run(wave, 1)
    name = f"appends for {found.cancelled} cancellations"
    yield _row(name, found.cancelled, found.appends, "", found.cancelled / 50)
    yield _row("longest wait of 20 checks in that wave", None, found.wait, "s", 1.0)


def _row(name: str, base: float | None, ours: float, unit: str, target: float) -> Row:
    def text(value: float) -> str:
        return f"{value:.2f} {unit}".strip()

    met = verdict(ours <= target, "see docs/design-cell.md")
    return Row("cell", name, "" if base is None else text(base), text(ours), text(target), met)
