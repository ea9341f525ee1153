"""Tests of jobs that need workers of several cell shards."""

from __future__ import annotations

from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.jobs import home_shard, job_id
from ragworttiller.records import HoldDecided, HoldPlaced, cell_stream
from tests.cell_rig import Rig, scenario

ABC = ("a", "b", "c")


def open_holds(rig: Rig) -> int:
    folds: list[CellFold] = [
        cell._state.fold
        for instance in rig.instances.values()
        for cell in instance.host.owned.values()
    ]
    return sum(len(fold.bookings.holds) for fold in folds)


def owner_of(rig: Rig, key: str) -> str:
    """Return the owner of the home shard of a key's job."""
    shard = home_shard(job_id("ws", key, rig.shards))
    return str(rig.instances["a"].membership.owner(cell_stream(shard)))


class TestOverflow:
    @scenario
    async def test_tasks_run_on_workers_of_other_shards(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            job = await rig.submit("wide", tasks=24, run_time=5.0)
            await rig.advance(3.0)
            status = await rig.call(rig.jobs.status(job))
            assert status["tasks"]["running"] == 24
            assert (await rig.finished(job))["state"] == "done"
            await rig.until(lambda: not open_holds(rig), 40.0)
            assert len(rig.starts) == 24
            assert rig.violations == []

    @scenario
    async def test_cancelled_tasks_of_other_shards_are_stopped(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            job = await rig.submit("wide", tasks=20, kind="service", run_time=None)
            await rig.advance(5.0)
            await rig.call(rig.jobs.cancel(job))
            await rig.until(lambda: not rig.fleet.cell.running, 10.0)
            status = await rig.finished(job)
            assert status["state"] == "cancelled"
            await rig.until(lambda: not open_holds(rig), 40.0)

    @scenario
    async def test_failed_tasks_of_other_shards_count_against_the_job(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            fails = {"arguments": {"fail": True}}
            job = await rig.submit("bad", tasks=24, run_time=0.5, **fails)
            status = await rig.finished(job)
            assert status["state"] == "failed"
            assert "workers" in status["reason"]


class TestGangsOverShards:
    @scenario
    async def test_gang_over_shards_starts_together(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            job = await rig.submit("gang", kind="gang", tasks=20, run_time=3.0)
            assert (await rig.finished(job))["state"] == "done"
            starts = [event.at for event in rig.starts]
            assert len(starts) == 20
            assert max(starts) - min(starts) < 0.2
            assert rig.violations == []

    @scenario
    async def test_gangs_that_compete_for_room_all_run(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            jobs = []
            for n in range(3):
                jobs.append(await rig.submit(f"gang{n}", kind="gang", tasks=16, run_time=3.0))
            assert len({home_shard(job) for job in jobs}) > 1
            for job in jobs:
                assert (await rig.finished(job, 90.0))["state"] == "done"
            assert len(rig.starts) == 48
            assert rig.violations == []

    @scenario
    async def test_small_work_does_not_starve_a_gang(self):
        async with Rig(workers=6, members=ABC, shards=6).running() as rig:
            for n in range(24):
                rig.submit_soon(f"small{n}", run_time=4.0)
            await rig.advance(1.0)
            gang = await rig.submit("gang", kind="gang", tasks=22, run_time=2.0)
            for second in range(30):
                for n in range(8):
                    rig.submit_soon(f"later{second}.{n}", run_time=4.0)
                await rig.advance(1.0)
                if await rig.state(gang) != "pending":
                    break
            assert (await rig.finished(gang))["state"] == "done"
            assert rig.violations == []

    @scenario
    async def test_coordinator_paused_before_its_decision_licenses_nothing(self):
        async with Rig(workers=4, members=ABC, shards=3).running() as rig:
            key = next(f"k{n}" for n in range(99) if owner_of(rig, f"k{n}") != "a")
            first = owner_of(rig, key)
            rig.instances[first].log.pause_before = HoldDecided
            rig.submit_soon(key, kind="gang", tasks=16, idempotent=False, run_time=10.0)
            await rig.until(lambda: rig.instances[first].log.pause_before is None)
            assert rig.records(HoldPlaced) and rig.starts == []
            others = [name for name in ABC if name != first]
            for name in others:
                rig.instances[name].membership.set_members(others)
            await rig.until(lambda: rig.starts, 60.0)
            rig.instances[first].resume()
            rig.set_members(list(ABC))
            await rig.until(lambda: not rig.fleet.cell.running, 60.0)
            await rig.advance(60.0)
            assert len(rig.starts) == 16
            assert open_holds(rig) == 0
            assert rig.violations == []

    @scenario
    async def test_coordinator_that_dies_after_its_commit_leaves_no_hold(self):
        async with Rig(workers=4, members=ABC, shards=3).running() as rig:
            key = next(f"k{n}" for n in range(99) if owner_of(rig, f"k{n}") != "a")
            first = owner_of(rig, key)
            rig.instances[first].log.pause_after = HoldDecided
            rig.submit_soon(key, kind="gang", tasks=16, idempotent=False, run_time=10.0)
            await rig.until(lambda: rig.instances[first].log.pause_after is None)
            rig.kill(first)
            await rig.until(lambda: len(rig.starts) == 16, 200.0)
            await rig.until(lambda: not rig.fleet.cell.running, 60.0)
            await rig.until(lambda: open_holds(rig) == 0, 60.0)
            assert {event.attempt for event in rig.starts} == {2}
            assert rig.violations == []
