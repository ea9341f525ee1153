"""Tests of ends of tasks that another shard, or an owner after another one, has to decide."""

from __future__ import annotations

from typing import Any

import pytest

from ragworttiller.hashing import shard_of
from ragworttiller.process.jobs import home_shard, job_id
from ragworttiller.process.license_proof import ABSENT_SECONDS
from ragworttiller.process.task_endings import NEVER_STARTED
from ragworttiller.records import TaskStarted, cell_stream
from ragworttiller.resources import Resources
from tests.cell_rig import SIZE, Rig, scenario
from tests.test_cell_safety import owners
from tests.test_lease_ends import LONG, cut_after_start

SMALL = Resources(100, 128, 0)
HOME = 0


def rig_of_two_shards() -> Rig:
    """Return a rig whose jobs of shard `HOME` find room on workers of the other shard only."""
    names = [f"w{n}" for n in range(20)]
    home = [name for name in names if shard_of(name, 2) == HOME][:1]
    other = [name for name in names if shard_of(name, 2) != HOME][:2]
    sizes = {**dict.fromkeys(home, SMALL), **dict.fromkeys(other, SIZE)}
    return Rig(sizes, members=("a", "b"), shards=2)


def home_key(rig: Rig) -> str:
    """Return a key whose job belongs to shard `HOME`."""
    keys = (f"k{n}" for n in range(99))
    return next(key for key in keys if home_shard(job_id("ws", key, rig.shards)) == HOME)


def home_cell(rig: Rig) -> Any:
    """Return the owner of shard `HOME`."""
    owner = str(rig.instances["a"].membership.owner(cell_stream(HOME)))
    return rig.instances[owner].cells[HOME]


class TestHeldTasks:
    @pytest.mark.parametrize("idle", [0.0, 2.0, 4.0, 6.0, 8.0])
    @scenario
    async def test_a_start_is_waited_out_that_the_shard_of_the_worker_does_not_know(self, idle):
        async with rig_of_two_shards().running() as rig:
            await rig.advance(idle)
            for worker in rig.fleet.workers.values():
                cut_after_start(worker)
            rig.submit_soon(home_key(rig), **LONG)
            await rig.until(lambda: rig.starts)
            await rig.advance(90.0)
            assert rig.violations == []
            assert len(rig.starts) == 2

    @scenario
    async def test_a_task_that_may_still_be_licensed_has_not_ended(self):
        async with rig_of_two_shards().running() as rig:
            for worker in rig.fleet.workers.values():
                worker.down = True
            job = await rig.submit(home_key(rig), **LONG)
            remote_tasks = home_cell(rig)._remote_tasks
            assert await remote_tasks.record_ends([(f"{job}/0", 1, NEVER_STARTED)]) == []

    @scenario
    async def test_a_task_has_ended_once_its_license_has(self):
        async with rig_of_two_shards().running() as rig:
            job = await rig.submit(home_key(rig), run_time=0.5)
            await rig.finished(job)
            remote_tasks = home_cell(rig)._remote_tasks
            assert await remote_tasks.record_ends([(f"{job}/0", 1, "done")]) == [f"{job}/0"]

    @scenario
    async def test_a_task_of_an_unknown_job_has_not_ended(self):
        async with rig_of_two_shards().running() as rig:
            remote_tasks = home_cell(rig)._remote_tasks
            assert await remote_tasks.record_ends([(f"j{HOME:03d}-unknown/0", 1, "done")]) == []


class TestEarlierOwners:
    @scenario
    async def test_a_license_of_an_earlier_owner_does_not_lapse_before_its_start_is_sent(self):
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.instances[first].start_gate.close()
            rig.submit_soon("job", **LONG)
            await rig.until(lambda: rig.records(TaskStarted))
            worker = rig.fleet.workers[rig.records(TaskStarted)[0].worker]
            rig.instances[first].pause()
            rig.instances[second].membership.set_members([second])
            worker.down = True
            await rig.advance(30.0)
            worker.down = False
            rig.instances[first].resume()
            rig.instances[first].start_gate.open()
            await rig.advance(30.0)
            assert rig.violations == []

    @pytest.mark.parametrize("delay", [n / 2 for n in range(-6, 5)])
    @scenario
    async def test_a_start_sent_before_its_owner_is_known_to_be_gone_is_found(self, delay):
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.instances[first].start_gate.close()
            rig.submit_soon("job", idempotent=False, run_time=60.0)
            await rig.until(lambda: rig.records(TaskStarted))
            rig.instances[first].pause()
            rig.instances[second].membership.set_members([second])
            rig.members = [second]
            rig.list_workers()
            await rig.advance(ABSENT_SECONDS + delay)
            rig.instances[first].resume()
            rig.instances[first].start_gate.open()
            await rig.advance(1.0)
            rig.instances[first].scope.cancel()
            await rig.advance(30.0)
            assert rig.violations == []
