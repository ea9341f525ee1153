"""Tests of what failed and stalled runs say of their runners, and what of their jobs."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.scheduling_rig import JOB, CellRig, job_id, step

OTHER = job_id(9)


class SlowRig(CellRig):
    """Cell whose tasks take as long as told, and report whole percents."""

    seconds = 0.0

    def percent(self, name, run) -> float:
        rows = [runner.runs.get((name, run)) for runner in self.cell.runners.values()]
        started = next(row.started_at for row in rows if row is not None)
        return int(100 * (self.now - started) / self.seconds)


def suspended(rig: CellRig) -> set[str]:
    return {runner.id for runner in rig.cell.runners.values() if runner.suspended(rig.now)}


def fail_all(rig: CellRig, seconds: float = 0.4) -> None:
    """Start what waits, and let all runs of the job fail after a while."""
    rig.start_all()
    rig.pass_time(seconds)
    for name, runner in rig.cell.runners.items():
        rows = [run for run in runner.runs.values() if run.task.stage.job == JOB]
        rig.hold(name, *[(run.task, run.number, "failed") for run in rows])


class TestFailures:
    def test_a_job_that_fails_everywhere_closes_few_runners(self):
        """Guards against one hopeless job that keeps all others from all runners."""
        rig = CellRig(8)
        rig.submit(step(24, 500, anti_affinity=3))
        fail_all(rig)
        assert len(suspended(rig)) == 2

    def test_a_lasting_job_that_fails_everywhere_keeps_no_short_job_waiting(self):
        """Guards against a wait of 16 s beside runners that are sound."""
        rig = CellRig(8)
        rig.submit(step(16, 500, daemon=True, anti_affinity=2))
        for _ in range(20):
            fail_all(rig)
            assert len(suspended(rig)) <= 2
        rig.submit(step(6, 2000), job=OTHER)
        assert len([o for o in rig.start_all() if o.run.task.stage.job == OTHER]) >= 4

    def test_a_runner_that_fails_all_jobs_is_suspended(self):
        """Guards against leaving a runner open since a job fails elsewhere too."""
        rig = CellRig(8)
        rig.submit(step(24, 500, anti_affinity=3))
        fail_all(rig)
        bad, *_ = set(rig.cell.runners) - suspended(rig)
        for number in range(20, 24):
            rig.submit(step(8, 500, anti_affinity=1), job=job_id(number))
        for order in rig.start_all():
            if order.run.runner == bad:
                rig.hold(bad, (order.run.task, order.run.number, "failed"))
        assert bad in suspended(rig)

    def test_failures_count_against_all_runners_once_a_task_was_done_elsewhere(self):
        rig = CellRig(4)
        rig.submit(step(8, 2000))
        orders = rig.start_all()
        good = orders[0].run
        rig.hold(good.runner, (good.task, good.number, "done"))
        for name in set(rig.cell.runners) - {good.runner}:
            runs = list(rig.cell.runners[name].runs.values())
            rig.hold(name, *[(run.task, run.number, "failed") for run in runs])
        assert suspended(rig) == set(rig.cell.runners) - {good.runner}

    def test_failures_count_against_all_runners_while_long_tasks_work_on_elsewhere(self):
        """Guards against runners that stay open since no task of a long step is done yet."""
        rig = CellRig(8)
        rig.submit(step(24, 500, anti_affinity=3, estimate_ms=60_000))
        rig.start_all()
        rig.pass_time(1.0)
        bad = ("w1", "w2", "w3", "w4")
        for _ in range(2):
            for name in bad:
                runs = list(rig.cell.runners[name].runs.values())
                rig.hold(name, *[(run.task, run.number, "failed") for run in runs])
            rig.start_all()
            rig.pass_time(1.0)
        assert suspended(rig) == set(bad)

    def test_a_lasting_task_that_works_elsewhere_speaks_against_the_others_runners(self):
        rig = CellRig(4)
        rig.submit(step(8, 2000, daemon=True))
        orders = rig.start_all()
        good = orders[0].run.runner
        rig.pass_time(3.0)
        for name in set(rig.cell.runners) - {good}:
            runs = list(rig.cell.runners[name].runs.values())
            rig.hold(name, *[(run.task, run.number, "failed") for run in runs])
        (bad,) = set(rig.cell.runners) - {good} - suspended(rig)
        rig.start_all()
        rig.pass_time(1.5)
        runs = list(rig.cell.runners[bad].runs.values())
        rig.hold(bad, *[(run.task, run.number, "failed") for run in runs])
        assert bad in suspended(rig)


class TestStalls:
    def test_a_job_that_takes_much_longer_than_estimated_is_done(self):
        """Guards against stopping a task again and again, since a percent takes it two seconds."""
        rig = SlowRig(8)
        rig.seconds = 210.0
        rig.submit(step(8, 2000, estimate_ms=30_000))
        stops: Counter[int] = Counter()
        began = rig.now
        while rig.now < began + 60.0:
            plan = rig.plan()
            for order in plan.starts:
                rig.cell.mark_started(order.run, rig.now)
            for stop in plan.stops:
                stops[stop.run.task.ordinal] += 1
                rig.hold(stop.run.runner, (stop.run.task, stop.run.number, "stopped"))
            assert len(suspended(rig)) <= 2
            rig.pass_time(0.25)
        assert max(stops.values(), default=0) <= 2
        ages = [rig.now - r.started_at for x in rig.cell.runners.values() for r in x.runs.values()]
        assert len(ages) == 8
        assert min(ages) > 40.0

    def test_a_run_that_stands_still_after_some_progress_is_stopped_soon(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a limit that grows with all that a run has done before."""
        rig = SlowRig(2)
        rig.seconds = 6.0
        rig.submit(step(1, estimate_ms=6000))
        rig.start_all()
        rig.pass_time(3.0)
        monkeypatch.setattr(rig, "percent", lambda name, run: 50.0)
        rig.pass_time(2.5)
        assert len(rig.plan().stops) == 1

    def test_runs_of_several_jobs_that_stand_still_suspend_their_runner(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        rig = SlowRig(6)
        monkeypatch.setattr(rig, "percent", lambda name, run: 0.0)
        for number in range(20, 26):
            rig.submit(step(6, 500, anti_affinity=1), job=job_id(number))
        rig.start_all()
        rig.pass_time(2.0)
        assert len(suspended(rig)) >= 2
