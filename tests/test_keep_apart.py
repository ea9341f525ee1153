"""Tests that filling tasks are kept away from serving ones, but not from the last room there is."""

from __future__ import annotations

from ragworttiller.scheduling.state.runs import Run, RunState
from tests.interference_rig import BOUND_MS, InterferenceRig

BOUND = BOUND_MS / 1000
# Time for which a lasting task may wait beside room for it.
MAX_WAIT_SECONDS = 3.0


def runners_of(rig: InterferenceRig, image: str) -> set[str]:
    return {run.runner for run in rig.runs(image)}


def at_work(rig: InterferenceRig, image: str) -> list[Run]:
    return [run for run in rig.runs(image) if run.state is RunState.RUNNING]


def all_serve(runners: int = 3) -> InterferenceRig:
    """Return a cell with a serving task on each runner."""
    rig = InterferenceRig(runners, "none")
    rig.serve(count=runners, anti_affinity=1)
    rig.run_for(2.0)
    assert len(runners_of(rig, "web")) == runners
    return rig


class TestLastRoom:
    def test_a_lasting_filling_task_runs_though_each_runner_serves(self):
        """Guards against a filling task that never runs again once its own runner is lost."""
        rig = all_serve()
        rig.fill(daemon=True)
        assert rig.run_for(10.0, lambda: bool(rig.runs("batch"))) < MAX_WAIT_SECONDS
        rig.run_for(20.0)
        assert len(at_work(rig, "batch")) == 1
        assert not rig.stops

    def test_all_tasks_of_a_wide_step_run_though_each_runner_serves(self):
        rig = all_serve()
        rig.fill(count=7, daemon=True)
        assert rig.run_for(10.0, lambda: len(rig.runs("batch")) == 7) < MAX_WAIT_SECONDS

    def test_a_filling_batch_runs_too_in_a_quiet_cell(self):
        rig = all_serve()
        rig.fill()
        assert rig.run_for(10.0, lambda: bool(rig.runs("batch"))) < MAX_WAIT_SECONDS

    def test_it_joins_the_serving_task_that_is_far_from_its_target(self):
        rig = all_serve()
        rig.speeds = {"w1": 2.3, "w2": 2.3}
        rig.run_for(2.0)
        rig.fill(daemon=True)
        rig.run_for(5.0)
        assert runners_of(rig, "batch") == {"w3"}

    def test_it_starts_on_a_runner_that_does_not_serve_if_there_is_one(self):
        rig = all_serve(2)
        rig.add_runner("w3")
        rig.fill(daemon=True)
        rig.run_for(1.0)
        assert runners_of(rig, "batch") == {"w3"}


class TestRelief:
    def test_a_serving_task_beside_it_is_relieved_before_the_bound(self):
        """HARM: over its target for the bound because of filling tasks."""
        rig = all_serve(1)
        rig.fill(daemon=True)
        rig.run_for(5.0)
        rig.slowdowns["web", "batch"] = 8.0
        rig.run_for(20.0)
        assert rig.longest_over <= 0.75 * BOUND
        assert len(at_work(rig, "batch")) == 1

    def test_one_that_takes_no_pace_orders_is_stopped(self):
        rig = all_serve(1)
        rig.fill(daemon=True)
        rig.run_for(5.0)
        rig.slowdowns["web", "batch"] = 8.0
        rig.fate = lambda order: "lost"
        rig.run_for(6.0)
        assert rig.stops
        assert rig.longest_over <= 0.85 * BOUND


class TestServingTaskThatComes:
    def test_filling_tasks_are_stopped_within_their_disruption_budget(self):
        """AVAIL: two were stopped within a millisecond though one may be away."""
        rig = InterferenceRig(4, "none")
        rig.fill(count=4, anti_affinity=1, daemon=True, disruption_budget=1)
        rig.run_for(2.0)
        assert len(at_work(rig, "batch")) == 4
        rig.serve(count=2, anti_affinity=1)
        fewest = 4
        for _ in range(100):
            rig.tick()
            fewest = min(fewest, len(at_work(rig, "batch")))
        assert fewest >= 3
        assert len(at_work(rig, "batch")) == 4

    def test_a_lasting_filling_task_moves_to_a_runner_that_does_not_serve(self):
        rig = InterferenceRig(1, "none")
        rig.fill(daemon=True, disruption_budget=1)
        rig.run_for(1.0)
        rig.serve()
        rig.run_for(2.0)
        assert not rig.stops
        rig.add_runner("w2")
        rig.run_for(3.0)
        assert runners_of(rig, "batch") == {"w2"}

    def test_two_of_a_step_move_one_after_the_other(self):
        rig = InterferenceRig(2, "none")
        rig.fill(count=2, anti_affinity=1, daemon=True, disruption_budget=1)
        rig.run_for(1.0)
        rig.serve(count=2, anti_affinity=1)
        rig.run_for(2.0)
        for name in ("w3", "w4"):
            rig.add_runner(name)
        fewest = 2
        for _ in range(60):
            rig.tick()
            fewest = min(fewest, len(at_work(rig, "batch")))
        assert fewest == 1
        assert runners_of(rig, "batch") == {"w3", "w4"}


class TestChangeOfOwner:
    def test_a_filling_task_beside_serving_ones_goes_on(self):
        """Guards against a batch that each change of owner stops."""
        rig = all_serve(1)
        rig.fill()
        rig.run_for(5.0)
        assert rig.runs("batch")
        rig.replace_owner()
        rig.run_for(5.0)
        assert not rig.stops
        assert len(at_work(rig, "batch")) == 1
