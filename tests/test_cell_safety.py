"""Tests that no task runs twice and no worker is overbooked during failures."""

from __future__ import annotations

import pytest

from ragworttiller.process.license_proof import ABSENT_SECONDS
from ragworttiller.process.worker_keeper import MIN_LEASE_SECONDS
from ragworttiller.records import TaskEnded, TaskStarted
from tests.cell_rig import Rig, scenario

ABC = ("a", "b", "c")
SINGLE = {"idempotent": False, "run_time": 20.0}


def owners(rig: Rig) -> tuple[str, str]:
    """Return the instance that owns the only shard, and another one."""
    first = str(rig.instances[rig.members[0]].membership.owner("cell-000"))
    return first, next(name for name in rig.members if name != first)


class TestTwoOwners:
    @scenario
    async def test_two_owners_at_once_start_each_task_once(self):
        async with Rig(workers=3, members=("a", "b")).running() as rig:
            rig.split()
            await rig.advance(1.0)
            for n in range(10):
                rig.submit_soon(f"one{n}", idempotent=False, run_time=6.0, tasks=2)
            await rig.advance(40.0)
            assert len(rig.starts) == 20
            assert len({event.task for event in rig.starts}) == 20
            assert rig.violations == []
            void = [d for i in rig.instances.values() for d in i.decisions.recent if not d.chosen]
            assert any("void" in decision.reason for decision in void)

    @scenario
    async def test_owner_paused_before_its_booking_books_nothing(self):
        async with Rig(workers=1, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            paused = rig.instances[first]
            paused.log.pause_before = TaskStarted
            rig.submit_soon("early", tasks=4, **SINGLE)
            await rig.advance(1.0)
            rig.instances[second].membership.set_members([second])
            await rig.advance(3.0)
            assert len(rig.starts) == 4
            assert len(rig.records(TaskStarted)) == 4
            paused.resume()
            await rig.advance(30.0)
            assert len(rig.records(TaskStarted)) == 8
            assert len(rig.starts) == 4
            assert rig.violations == []

    @scenario
    async def test_owner_paused_after_its_license_gives_it_up(self):
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.instances[first].log.pause_after = TaskStarted
            rig.submit_soon("job", **SINGLE)
            await rig.until(lambda: rig.records(TaskStarted))
            rig.instances[second].membership.set_members([second])
            await rig.advance(30.0)
            assert rig.starts == []
            rig.instances[first].resume()
            await rig.advance(10.0)
            assert [end.reason for end in rig.records(TaskEnded)][:1] == ["never_started"]
            assert [event.attempt for event in rig.starts] == [2]
            assert rig.violations == []

    @scenario
    async def test_owner_paused_before_its_start_command_may_send_it_late(self):
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.instances[first].start_gate.close()
            await rig.submit("job", **SINGLE)
            await rig.until(lambda: rig.records(TaskStarted))
            rig.instances[first].pause()
            rig.instances[second].membership.set_members([second])
            await rig.advance(90.0)
            assert rig.starts == []
            rig.instances[first].resume()
            rig.instances[first].start_gate.open()
            await rig.advance(40.0)
            assert [event.attempt for event in rig.starts] == [1]
            assert rig.violations == []


class TestLostAnswers:
    @scenario
    async def test_start_whose_answer_is_lost_counts_as_running(self):
        async with Rig(workers=2).running() as rig:
            for worker in rig.fleet.workers.values():
                worker.lose_answers = 1
            job = await rig.submit("job", tasks=4, **SINGLE)
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 4
            assert rig.violations == []

    @scenario
    async def test_takeover_after_a_lost_start_answer(self):
        async with Rig(workers=2, members=ABC).running() as rig:
            first, _ = owners(rig)
            for worker in rig.fleet.workers.values():
                worker.lose_answers = 1
            rig.submit_soon("job", tasks=4, **SINGLE)
            await rig.until(lambda: rig.starts)
            rig.kill(first)
            await rig.advance(60.0)
            assert len(rig.starts) == 4
            assert rig.violations == []

    @scenario
    async def test_license_that_lands_late_is_given_up(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("first", run_time=0.5)
            await rig.finished(job)
            rig.registry.put(
                "ws", "template", "job", rig.registry.items["ws", "template", "first"].body
            )
            rig.submit_soon("job", **SINGLE)
            entries = len(rig.log.entries("cell-000"))
            await rig.until(lambda: len(rig.log.entries("cell-000")) > entries)
            rig.log.hold_next = 1
            await rig.advance(4.0)
            rig.log.release()
            await rig.advance(60.0)
            running = [event.task for event in rig.starts]
            assert len(running) == len(set(running)) == 2
            assert rig.violations == []

    @scenario
    async def test_submission_whose_append_is_undecided_makes_one_job(self):
        async with Rig(workers=2).running() as rig:
            rig.log.hold_next = 1
            job = await rig.submit("job", **SINGLE)
            rig.log.release()
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 1

    @pytest.mark.parametrize("fault", ["lose_answers", "duplicate"])
    @scenario
    async def test_appends_without_answers_or_twice(self, fault):
        async with Rig(workers=2).running() as rig:
            setattr(rig.log, fault, 10)
            jobs = [await rig.submit(f"job{n}", tasks=3, **SINGLE) for n in range(3)]
            for job in jobs:
                assert (await rig.finished(job, 120.0))["state"] == "done"
            assert len(rig.starts) == 9
            assert rig.violations == []


class TestTakeover:
    @scenario
    async def test_running_tasks_survive_the_death_of_their_owner(self):
        async with Rig(workers=2, members=ABC).running() as rig:
            job = await rig.submit("job", tasks=6, **SINGLE)
            await rig.advance(1.0)
            rig.kill(owners(rig)[0])
            status = await rig.finished(job)
            assert status["state"] == "done"
            assert len(rig.starts) == 6
            assert rig.violations == []

    @scenario
    async def test_license_of_a_dead_owner_is_given_up_once_the_list_drops_it(self):
        async with Rig(workers=2, members=ABC).running() as rig:
            first, _ = owners(rig)
            rig.instances[first].start_gate.close()
            rig.submit_soon("job", **SINGLE)
            await rig.until(lambda: rig.records(TaskStarted))
            rig.kill(first)
            waited = await rig.until(lambda: rig.starts, 150.0)
            assert waited > ABSENT_SECONDS
            assert [event.attempt for event in rig.starts] == [2]

    @scenario
    async def test_license_of_an_earlier_incarnation_is_given_up_after_a_lease(self):
        async with Rig(workers=2).running() as rig:
            rig.instances["a"].start_gate.close()
            rig.submit_soon("job", **SINGLE)
            await rig.until(lambda: rig.records(TaskStarted))
            rig.instances["a"].scope.cancel()
            rig.start("a", incarnation=2)
            waited = await rig.until(lambda: rig.starts, 60.0)
            assert MIN_LEASE_SECONDS < waited < 2 * MIN_LEASE_SECONDS

    @scenario
    async def test_planned_stop_hands_over_at_once(self):
        async with Rig(workers=2, members=ABC).running() as rig:
            job = await rig.submit("job", tasks=8, idempotent=False, run_time=10.0)
            first, _ = owners(rig)
            rig.tasks.start_soon(rig.instances[first].host.leave)
            rig.set_members([name for name in ABC if name != first])
            more = await rig.submit("more", tasks=8, idempotent=False, run_time=1.0)
            assert (await rig.finished(job))["state"] == "done"
            assert (await rig.finished(more))["state"] == "done"
            assert len(rig.starts) == 16
            assert rig.violations == []


class TestLeases:
    @scenario
    async def test_tasks_of_a_dead_worker_run_elsewhere_once_their_leases_lapsed(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("job", tasks=2, run_time=40.0, rules={"anti_affinity": True})
            await rig.advance(1.0)
            dead = rig.starts[0].worker
            rig.remove_worker(dead)
            rig.add_worker("w9")
            await rig.advance(MIN_LEASE_SECONDS - 1.0)
            assert len(rig.starts) == 2
            assert (await rig.finished(job, 120.0))["state"] == "done"
            assert len(rig.starts) == 3
            assert rig.violations == []

    @scenario
    async def test_task_that_must_not_run_twice_waits_while_its_worker_is_listed(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("job", idempotent=False, run_time=30.0)
            await rig.advance(1.0)
            unreachable = rig.fleet.workers[rig.starts[0].worker]
            unreachable.down = True
            await rig.advance(60.0)
            assert len(rig.starts) == 1
            unreachable.down = False
            assert (await rig.finished(job, 90.0))["state"] == "done"
            assert [event.attempt for event in rig.starts] == [1, 2]
            assert rig.violations == []

    @scenario
    async def test_leases_are_renewed_while_the_log_is_down(self):
        async with Rig(workers=2, members=ABC).running() as rig:
            job = await rig.submit("job", tasks=4, idempotent=False, run_time=90.0)
            await rig.advance(1.0)
            rig.log.down = True
            await rig.advance(30.0)
            rig.kill(owners(rig)[0])
            await rig.advance(40.0)
            assert len(rig.fleet.cell.running) == 4
            rig.log.down = False
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 4
            assert rig.violations == []

    @scenario
    async def test_nothing_starts_while_the_log_is_down(self):
        async with Rig(workers=2).running() as rig:
            await rig.submit("job", tasks=12, run_time=3.0)
            await rig.advance(1.0)
            rig.log.down = True
            await rig.advance(30.0)
            assert len(rig.starts) == 8
            rig.log.down = False
            await rig.advance(6.0)
            assert len(rig.starts) == 12
            assert rig.violations == []
