"""Tests of decisions about runners that fail or drain."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step, task

OTHER_JOB = "fedcba9876543210"


@pytest.fixture()
def rig() -> CellRig:
    return CellRig()


class TestHealth:
    def test_a_runner_is_suspended_after_repeated_failures(self, rig: CellRig):
        rig.submit(step(8))
        starts = rig.start_all()
        bad = [order.run for order in starts if order.run.runner == "w1"]
        rig.hold("w1", *[(run.task, run.number, "failed") for run in bad])
        assert {order.run.runner for order in rig.plan().starts} <= {"w2"}

    def test_each_suspension_has_one_line(self, rig: CellRig, caplog: pytest.LogCaptureFixture):
        rig.submit(step(8))
        bad = [order.run for order in rig.start_all() if order.run.runner == "w1"]
        with caplog.at_level("WARNING"):
            for run in bad:
                rig.hold("w1", (run.task, run.number, "failed"))
        lines = [row for row in caplog.records if row.message == "runner suspended"]
        assert [row.why for row in lines] == ["repeated failures"]

    def test_a_suspended_runner_gets_one_probe_task_first(self, rig: CellRig):
        runner = rig.cell.runners["w1"]
        runner.suspend(rig.now)
        rig.pass_time(3.5)
        rig.submit(step(8))
        placed = [order.run.runner for order in rig.start_all()]
        assert placed.count("w1") == 1
        run = next(iter(runner.runs.values()))
        rig.hold("w1", (run.task, run.number, "done"))
        assert [order.run.runner for order in rig.plan().starts].count("w1") == 3

    def after_ends_with_all_runners_suspended(self, rig: CellRig, *outcomes: str) -> None:
        rig.submit(step(2, 3000))
        for order, how in zip(rig.start_all(), outcomes, strict=True):
            rig.hold(order.run.runner, (order.run.task, order.run.number, how))
        for runner in rig.cell.runners.values():
            runner.suspend(rig.now)
        rig.pass_time(3.5)

    def test_failed_tasks_start_again_though_all_runners_are_on_probation(self, rig: CellRig):
        self.after_ends_with_all_runners_suspended(rig, "failed", "failed")
        assert rig.start_all() == []
        rig.pass_time(2.5)
        assert len(rig.start_all()) == 2

    def test_a_failed_task_does_not_keep_others_from_runners_on_probation(self, rig: CellRig):
        self.after_ends_with_all_runners_suspended(rig, "stopped", "failed")
        (stage,) = rig.cell.jobs[JOB].stages.values()
        (failed,) = stage.failed_runs
        assert stage.waiting[-1] == failed
        stage.last_failed_runner.clear()
        (order,) = rig.start_all()
        assert order.run.task.ordinal != failed

    def test_a_lasting_probe_does_not_close_its_runner_for_good(
        self, caplog: pytest.LogCaptureFixture
    ):
        rig = CellRig(1)
        rig.cell.runners["w1"].suspend(rig.now)
        rig.pass_time(3.5)
        rig.submit(step(1, 2000, daemon=True))
        rig.submit(step(1), job=job_id(1))
        (probe,) = rig.start_all()
        assert probe.run.spec.daemon
        rig.pass_time(3.0)
        assert rig.start_all() == []
        with caplog.at_level("INFO"):
            rig.pass_time(1.5)
        assert len(rig.start_all()) == 1
        lines = [row for row in caplog.records if row.message == "probation ended"]
        assert [row.runner for row in lines] == ["w1"]

    @pytest.mark.parametrize(("seconds", "started"), [(3.0, 0), (5.0, 1)])
    def test_lasting_tasks_that_end_late_close_their_runner_for_no_other_task(
        self, seconds: float, started: int
    ):
        """Guards against jobs that wait while lasting tasks fail at the end of long runs."""
        rig = CellRig(1)
        rig.submit(step(2, daemon=True))
        orders = rig.start_all()
        rig.pass_time(seconds)
        rig.hold("w1", *[(order.run.task, order.run.number, "failed") for order in orders])
        rig.cancel()
        rig.submit(step(1), job=job_id(1))
        assert len(rig.start_all()) == started

    def test_a_stalled_task_is_stopped(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        runner, run = only.run.runner, only.run
        for _ in range(5):
            rig.now += 0.5
            run.percent = rig.now % 100
            rig.hold(runner)
        assert [order.run for order in rig.plan().stops] == [run]


class TestDrainingRunners:
    def test_daemon_tasks_move_at_once(self, rig: CellRig):
        rig.submit(step(1, daemon=True))
        (only,) = rig.start_all()
        rig.list_runner(only.run.runner, state="draining")
        assert [order.run for order in rig.plan().stops] == [only.run]
        rig.hold(only.run.runner, (only.run.task, 1, "stopped"))
        assert rig.plan().starts[0].run.runner != only.run.runner

    def test_a_checkpointed_task_moves_in_time_off_a_runner_first_listed_as_draining(self):
        rig = CellRig(1)
        rig.submit(step(1, checkpoints=True))
        rig.list_runner("w2", state="draining")
        rig.hold("w2", running=((task(), 1),))
        assert [order.run.runner for order in rig.plan().stops] == ["w2"]

    def test_nothing_moves_without_room_elsewhere(self, rig: CellRig):
        rig.submit(step(2, 4000, daemon=True))
        first, _ = rig.start_all()
        rig.list_runner(first.run.runner, state="draining")
        assert rig.plan().stops == []

    def test_nothing_moves_for_room_on_another_upstream(self):
        rig = CellRig(1)
        rig.list_runner("x1", service="archive")
        rig.hold("x1")
        rig.enroll("x1")
        rig.submit(step(1, daemon=True))
        (only,) = rig.start_all()
        rig.list_runner(only.run.runner, state="draining")
        assert rig.plan().stops == []

    def test_nothing_moves_for_room_where_the_stage_is_at_its_limit(self, rig: CellRig):
        rig.submit(step(2, daemon=True, anti_affinity=1))
        first, _ = rig.start_all()
        rig.list_runner(first.run.runner, state="draining")
        assert rig.plan().stops == []

    def test_nothing_moves_for_room_that_the_advisor_has_denied(self, rig: CellRig):
        rig.cell.set_entries(["e1"])
        rig.submit(step(1, daemon=True), queue=QUEUE._replace(advice=AdviceCost(0.3, 0.01, 2.5)))
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {"w1": "t"}, rig.now)
        rig.start_all()
        rig.list_runner("w1", state="draining")
        assert rig.plan().stops == []

    def test_two_tasks_do_not_move_to_a_runner_that_takes_one_of_them(self):
        rig = CellRig(3)
        rig.submit(step(2, daemon=True, anti_affinity=1))
        orders = rig.start_all()
        for order in orders:
            rig.list_runner(order.run.runner, state="draining")
        assert len(rig.plan().stops) == 1

    def test_two_tasks_do_not_move_for_the_same_room(self, rig: CellRig):
        rig.submit(step(2, 2000, daemon=True))
        orders = rig.start_all()
        (runner,) = {order.run.runner for order in orders}
        (other,) = {"w1", "w2"} - {runner}
        rig.submit(step(1, 2000), job=OTHER_JOB)
        (blocking,) = rig.start_all()
        assert blocking.run.runner == other
        rig.list_runner(runner, state="draining")
        assert len(rig.plan().stops) == 1

    def test_other_tasks_continue(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        rig.list_runner(only.run.runner, state="draining")
        assert rig.plan().stops == []


class TestCapacity:
    """The capacity of a runner may shrink and grow again while it runs."""

    def test_nothing_starts_beyond_a_capacity_that_has_shrunk(self):
        rig = CellRig(1)
        rig.submit(step(2))
        assert len(rig.start_all()) == 2
        rig.list_runner("w1", cpu=2500)
        rig.submit(step(3), job="fedcba9876543210")
        assert rig.plan().starts == []

    def test_what_is_being_stopped_counts_until_it_has_ended(self):
        rig = CellRig(1)
        rig.submit(step(2))
        rig.start_all()
        rig.list_runner("w1", cpu=2500)
        rig.cancel()
        rig.submit(step(2), job="fedcba9876543210")
        plan = rig.plan()
        assert (len(plan.starts), len(plan.stops)) == (0, 2)
        rig.hold("w1", *[(order.run.task, order.run.number, "stopped") for order in plan.stops])
        assert len(rig.plan().starts) == 2

    def test_a_capacity_that_has_grown_again_is_used(self):
        rig = CellRig(1)
        rig.list_runner("w1", cpu=500)
        rig.submit(step(3))
        assert rig.plan().starts == []
        rig.list_runner("w1", cpu=4000)
        assert len(rig.plan().starts) == 3

    def test_tasks_on_a_runner_that_has_shrunk_below_them_go_on(self):
        rig = CellRig(1)
        rig.submit(step(3))
        rig.start_all()
        rig.list_runner("w1", cpu=1000)
        plan = rig.plan()
        assert (plan.starts, plan.stops) == ([], [])
