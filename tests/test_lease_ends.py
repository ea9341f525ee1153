"""Tests that a run counts as ended by its lease only once every lease of it has ended."""

from __future__ import annotations

from typing import Any

import pytest

from ragworttiller.process.lease_book import LeaseBook
from ragworttiller.resources import Resources
from standins.memory import MemoryWorker
from tests.cell_rig import Rig, scenario

LARGE = Resources(400_000, 800_000, 0)
LONG = {"run_time": 400.0}


def cut_after_start(worker: MemoryWorker, task: str = "") -> None:
    """Make a worker unreachable as soon as it has started a task."""
    start = worker.agent.start

    def start_and_cut(specs: Any) -> Any:
        answers = start(specs)
        worker.down = worker.down or any(spec.task.startswith(task) for spec in specs)
        return answers

    worker.agent.start = start_and_cut  # type: ignore[method-assign]


class TestStarts:
    @pytest.mark.parametrize("idle", [1.0, 3.0, 5.0, 7.0, 8.5])
    @scenario
    async def test_a_start_after_the_last_renewal_is_waited_out(self, idle):
        async with Rig(workers=2).running() as rig:
            await rig.advance(idle)
            for worker in rig.fleet.workers.values():
                cut_after_start(worker)
            rig.submit_soon("job", **LONG)
            await rig.until(lambda: rig.starts)
            await rig.advance(60.0)
            assert rig.violations == []
            assert len(rig.starts) == 2


class TestGrantedLeases:
    @scenario
    async def test_a_longer_lease_is_waited_out_though_later_ones_are_shorter(self):
        async with Rig({"w0": LARGE, "w1": LARGE}).running() as rig:
            many = await rig.submit("many", tasks=400, **LONG)
            one = await rig.submit("one", **LONG)
            await rig.until(lambda: len(rig.starts) == 401)
            await rig.advance(40.0)
            worker = next(event.worker for event in rig.starts if event.task == f"{one}/0")
            rig.fleet.workers[worker].down = True
            await rig.call(rig.jobs.cancel(many))
            await rig.advance(120.0)
            assert rig.violations == []
            assert [event.task for event in rig.starts].count(f"{one}/0") == 2


class TestUnansweredRenewals:
    @scenario
    async def test_tasks_of_a_worker_that_never_answers_run_elsewhere(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("job", **LONG)
            await rig.advance(1.0)
            rig.fleet.workers[rig.starts[0].worker].lose_answers = 10**6
            await rig.advance(120.0)
            assert rig.violations == []
            assert [event.task for event in rig.starts].count(f"{job}/0") == 2


class TestClocks:
    @pytest.mark.parametrize("lease", [15.0, 60.0, 363.0])
    def test_a_lease_is_waited_out_on_the_slowest_clock_of_a_worker(self, lease):
        book = LeaseBook()
        book.record_grant("w0", lease, 100.0)
        assert not book.lapsed("w0", 100.0 + lease / 0.98 + 0.5)
        assert book.lapsed("w0", 100.0 + lease / 0.98 + 10.0)

    def test_nothing_is_known_of_a_worker_without_a_lease(self):
        assert not LeaseBook().lapsed("w0", 1e9)
