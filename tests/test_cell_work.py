"""Tests of urgency, failures, learning, quotas and cancellations in a cell."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import KeyReused, NotFound, QuotaExceeded, Unplaceable
from ragworttiller.records import JobEnded, TaskResized, TaskStarted
from ragworttiller.resources import NOTHING, Resources
from tests.cell_rig import BATCH, Rig, scenario

ABC = ("a", "b", "c")
URGENT_SECONDS = 5.7
BAD_WORKER_SHARE = 0.01


class TestSubmission:
    @scenario
    async def test_repeated_key_gives_the_same_job(self):
        async with Rig().running() as rig:
            job = await rig.submit("job")
            again = await rig.call(rig.jobs.submit("ws", "job", {}, "job"))
            assert again["job"] == job
            await rig.finished(job)
            assert (await rig.call(rig.jobs.submit("ws", "job", {}, "job")))["state"] == "done"
            assert len(rig.starts) == 1

    @scenario
    async def test_key_of_another_job_is_refused(self):
        async with Rig().running() as rig:
            await rig.submit("job")
            rig.registry.put(
                "ws", "template", "other", rig.registry.get("ws", "template", "job").body
            )
            with pytest.raises(KeyReused):
                await rig.call(rig.jobs.submit("ws", "other", {}, "job"))

    @pytest.mark.parametrize(
        ("fields", "obstacle"),
        [
            ({"cpu": 5000}, "cpu"),
            ({"accelerators": 1}, "accelerators"),
            ({"rules": {"labels": ["ssd"]}}, "labels"),
            ({"rules": {"failure_domain": ["mars"]}}, "failure_domain"),
            ({"kind": "gang", "tasks": 9}, "tasks"),
            ({"kind": "gang", "tasks": 3, "rules": {"anti_affinity": True}}, "tasks"),
            ({"deadline_seconds": 0.5}, "deadline_seconds"),
        ],
    )
    @scenario
    async def test_work_that_can_never_run_is_refused_at_once(self, fields, obstacle):
        async with Rig(workers=2).running() as rig:
            with pytest.raises(Unplaceable) as caught:
                await rig.submit("job", **fields)
            assert obstacle in caught.value.fields["obstacle"]
            assert rig.timers.now() < 1003.0

    @scenario
    async def test_unknown_names_are_refused(self):
        async with Rig().running() as rig:
            with pytest.raises(NotFound):
                await rig.call(rig.jobs.submit("ws", "nothing", {}, "k"))
            for name in ("j000-" + "0" * 32, "x", "j999-0"):
                with pytest.raises(NotFound):
                    await rig.call(rig.jobs.status(name))

    @scenario
    async def test_job_that_misses_its_deadline_before_its_start_is_refused(self):
        async with Rig(workers=1).running() as rig:
            await rig.submit("long", tasks=4, run_time=60.0)
            job = await rig.submit("late", run_time=2.0, deadline_seconds=10.0)
            status = await rig.finished(job)
            assert status["state"] == "refused"
            assert "deadline" in status["reason"]
            assert rig.timers.now() < 1015.0

    @scenario
    async def test_explain_names_the_missing_resource(self):
        async with Rig(workers=1).running() as rig:
            await rig.submit("long", tasks=4, run_time=60.0)
            job = await rig.submit("next")
            await rig.advance(1.0)
            assert "cpu" in await rig.call(rig.jobs.explain(job))


class TestUrgency:
    @pytest.mark.parametrize("shards", [1, 3])
    @scenario
    async def test_urgent_work_starts_in_time_in_a_full_cell(self, shards):
        async with Rig(workers=3, members=ABC, shards=shards).running() as rig:
            for n in range(12):
                await rig.submit(f"nightly{n}", run_time=600.0)
            await rig.until(lambda: len(rig.starts) == 12)
            began = rig.timers.now()
            job = await rig.submit("urgent", urgency=9, tasks=2, cpu=2000, run_time=5.0)
            await rig.until(lambda: sum(job in event.task for event in rig.starts) == 2, 10.0)
            assert rig.timers.now() - began < URGENT_SECONDS
            preempted = [e for e in rig.fleet.cell.journal if e.event == "stopped"]
            assert len(preempted) == 4
            assert rig.violations == []

    @scenario
    async def test_work_with_the_least_progress_is_preempted(self):
        async with Rig(workers=1).running() as rig:
            old = await rig.submit("old", run_time=600.0, tasks=2)
            await rig.advance(60.0)
            young = await rig.submit("young", run_time=600.0, tasks=2)
            await rig.advance(5.0)
            await rig.submit("urgent", urgency=9, run_time=5.0)
            await rig.advance(5.0)
            stopped = [e.task for e in rig.fleet.cell.journal if e.event == "stopped"]
            assert [task.startswith(young) for task in stopped] == [True]
            assert old

    @scenario
    async def test_work_that_must_not_run_twice_is_throttled_instead(self):
        async with Rig(workers=1).running() as rig:
            job = await rig.submit("single", idempotent=False, tasks=2, cpu=2000, run_time=20.0)
            await rig.advance(2.0)
            urgent = await rig.submit("urgent", urgency=9, run_time=5.0)
            assert (await rig.finished(urgent))["state"] == "done"
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 3
            events = [event for event in rig.fleet.cell.journal if event.event == "throttle"]
            assert [event.limit.cpu for event in events] == [1000, 2000]
            assert rig.violations == []

    @scenario
    async def test_checkpointed_work_is_stopped_with_its_checkpoint(self):
        async with Rig(workers=1).running() as rig:
            rules = {"checkpoint": True}
            job = await rig.submit("c", idempotent=False, tasks=4, run_time=30.0, rules=rules)
            await rig.advance(2.0)
            await rig.submit("urgent", urgency=9, run_time=5.0)
            await rig.advance(5.0)
            kinds = [e.event for e in rig.fleet.cell.journal if e.task.startswith(job)]
            assert kinds.count("checkpointed") == 1


class TestFailures:
    @scenario
    async def test_job_that_always_fails_ends(self):
        async with Rig(workers=4).running() as rig:
            good = [await rig.submit(f"good{n}", run_time=1.0, tasks=2) for n in range(3)]
            job = await rig.submit("bad", arguments={"fail": True})
            status = await rig.finished(job)
            assert status["state"] == "failed"
            assert "workers" in status["reason"]
            assert len({e.worker for e in rig.starts if e.task.startswith(job)}) == 3
            for name in good:
                assert (await rig.finished(name))["state"] == "done"

    @scenario
    async def test_worker_that_fails_all_tasks_is_quarantined_and_probed(self):
        async with Rig(workers=6).running() as rig:
            rig.fleet.workers["w3"].agent.fail_all = True
            jobs = [await rig.submit(f"job{n}", tasks=40, run_time=1.0) for n in range(20)]
            for job in jobs:
                assert (await rig.finished(job, 300.0))["state"] == "done"
            on_failing_worker = [event for event in rig.starts if event.worker == "w3"]
            assert len(on_failing_worker) / len(rig.starts) < BAD_WORKER_SHARE
            [row] = [w for w in await rig.call(rig.jobs.workers()) if w["worker"] == "w3"]
            assert row["blocks"] == ["quarantined"]
            rig.fleet.workers["w3"].agent.fail_all = False
            await rig.advance(90.0)
            await rig.finished(await rig.submit("after", tasks=24))
            await rig.finished(await rig.submit("probe", tasks=24))
            [row] = [w for w in await rig.call(rig.jobs.workers()) if w["worker"] == "w3"]
            assert row["blocks"] == []

    @scenario
    async def test_service_is_restarted_with_growing_pauses(self):
        async with Rig(workers=2).running() as rig:
            fails = {"fail": True, "actual_run_time": 0.5}
            await rig.submit("service", kind="service", run_time=None, arguments=fails)
            await rig.advance(120.0)
            times = [event.at for event in rig.starts]
            gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
            assert 5 <= len(times) <= 9
            assert gaps[-1] > 4 * gaps[0]

    @scenario
    async def test_failed_task_that_is_not_idempotent_fails_its_job(self):
        async with Rig(workers=3).running() as rig:
            job = await rig.submit("bad", idempotent=False, tasks=2, arguments={"fail": True})
            status = await rig.finished(job)
            assert (status["state"], len(rig.starts)) == ("failed", 2)

    @scenario
    async def test_job_completes_beside_a_worker_that_refuses_starts(self):
        async with Rig(workers=2).running() as rig:
            rig.fleet.workers["w0"].refuse = True
            job = await rig.submit("job", tasks=20, run_time=0.5)
            assert (await rig.finished(job))["state"] == "done"
            assert rig.violations == []


class TestLeaving:
    @scenario
    async def test_leaving_worker_gets_no_new_work_and_is_emptied(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("watch", kind="service", run_time=None, tasks=3)
            await rig.advance(2.0)
            worker = rig.starts[0].worker
            rig.states[worker] = "leaving"
            rig.list_workers()
            left = rig.timers.now()
            await rig.until(lambda: len(rig.starts) == 6, 10.0)
            assert all(e.worker != worker for e in rig.starts if e.at > left)
            assert (await rig.call(rig.jobs.status(job)))["tasks"]["running"] == 3
            assert rig.violations == []

    @scenario
    async def test_task_that_must_not_run_twice_ends_on_its_leaving_worker(self):
        async with Rig(workers=2).running() as rig:
            job = await rig.submit("single", idempotent=False, run_time=20.0)
            await rig.advance(1.0)
            rig.states[rig.starts[0].worker] = "leaving"
            rig.list_workers()
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 1


class TestQuotas:
    @scenario
    async def test_job_above_the_quota_is_refused(self):
        async with Rig(workers=2).running() as rig:
            rig.registry.put("ws", "quota", "quota", {"cpu": 2000})
            with pytest.raises(QuotaExceeded):
                await rig.submit("job", kind="gang", tasks=3)

    @pytest.mark.parametrize("shards", [1, 3])
    @scenario
    async def test_quota_bounds_what_runs_over_all_owners(self, shards):
        async with Rig(workers=6, members=ABC, shards=shards).running() as rig:
            rig.registry.put("ws", "quota", "quota", {"cpu": 6000})
            jobs = [await rig.submit(f"job{n}", tasks=8, run_time=3.0) for n in range(4)]
            most = 0
            while any([await rig.state(job) != "done" for job in jobs]):
                assert rig.timers.now() < 1120.0
                await rig.advance(0.5)
                most = max(most, len(rig.fleet.cell.running))
            assert 5 <= most <= 6
            await rig.advance(3.0)
            assert await rig.call(rig.jobs.use("ws")) == NOTHING


class TestLearning:
    @scenario
    async def test_use_above_the_booking_is_booked_at_once(self):
        async with Rig(workers=1).running() as rig:
            await rig.submit("greedy", cpu=500, run_time=30.0, arguments={"usage_share": 4.0})
            await rig.advance(5.0)
            assert [r.need.cpu for r in rig.records(TaskResized)] == [2000]
            await rig.submit("greedy2", cpu=1500, tasks=2, run_time=5.0)
            await rig.advance(3.0)
            assert len(rig.starts) == 2
            assert rig.violations == []

    @scenario
    async def test_sizes_are_lowered_slowly_and_never_below_use(self):
        async with Rig(workers=4).running() as rig:
            use = {"usage_share": 0.5}
            rig.registry.put("ws", "template", "t", {})
            job = await rig.submit("lazy", tasks=120, run_time=1.0, arguments=use)
            await rig.finished(job, 200.0)
            needs = [r.need.cpu for r in rig.records(TaskStarted)]
            assert needs[0] == 1000
            assert needs == sorted(needs, reverse=True)
            steps = zip(needs, needs[1:], strict=False)
            assert all(after >= before * 0.6 for before, after in steps)
            assert needs[-1] < 900


class TestCancellations:
    @scenario
    async def test_placements_continue_during_mass_cancellation(self):
        count = 5000
        async with Rig(workers=6, members=ABC, shards=3).running() as rig:
            booking = {"kind": "service", "run_time": None, "cpu": 4000, "urgency": 1}
            rig.registry.put("ws", "template", "booking", {**BATCH, **booking})
            for n in range(count):
                rig.tasks.start_soon(rig.submit_until_answered, "ws", "booking", f"b{n}", "a")
            await rig.until(lambda: len(rig.submitted) == count)
            appends = rig.log.appends
            for n in range(20):
                rig.submit_soon(f"check{n}", "other", urgency=5, cpu=100, memory=128, run_time=0.5)
            cancelled = await rig.call(rig.jobs.cancel_matching("ws", {"template": "booking"}))
            assert cancelled == count
            assert len(rig.records(JobEnded)) >= count
            await rig.advance(3.0)
            checks = [e for e in rig.starts if e.limit.cpu == 100]
            assert len(checks) == 20
            assert max(e.at for e in checks) - min(e.at for e in checks) < 2.0
            assert rig.log.appends - appends < count / 20
            await rig.until(lambda: not rig.fleet.cell.running, 10.0)
            assert rig.violations == []


class TestDecisions:
    @scenario
    async def test_each_start_has_its_decision_line(self):
        async with Rig(workers=2, members=ABC, shards=2).running() as rig:
            for n in range(4):
                await rig.finished(await rig.submit(f"job{n}", tasks=3, run_time=0.2))
            lines = {
                d.subject: d
                for instance in rig.instances.values()
                for d in instance.decisions.recent
                if d.chosen
            }
            assert {event.task for event in rig.starts} == set(lines)
            for event in rig.starts:
                line = lines[event.task]
                assert line.chosen == event.worker == line.candidates[0][0]
                assert line.kind == "place"
                assert line.license > 0
                assert line.waited >= 0.0

    @scenario
    async def test_policy_of_the_workspace_decides(self):
        async with Rig(workers=4).running() as rig:
            rig.registry.put("tight", "policy", "placement", {"placement": "packing_first"})
            rig.registry.put("wide", "policy", "placement", {"placement": "waiting_first"})
            await rig.submit("t", "tight", tasks=4, run_time=30.0)
            await rig.submit("w", "wide", tasks=3, run_time=30.0)
            await rig.advance(1.0)
            tight = {e.worker for e in rig.starts if e.task.startswith(rig.starts[0].task[:20])}
            wide = {e.worker for e in rig.starts[4:]}
            assert (len(tight), len(wide)) == (1, 3)
            assert Resources(4000, 4096, 0) in [
                w["booked"] for w in await rig.call(rig.jobs.workers())
            ]
