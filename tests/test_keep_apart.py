"""Tests that filling tasks are kept away from serving ones, but not from the last room there is."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.scheduling.state.runs import Run, RunState
from tests.interference_rig import BOUND_MS, TICK_SECONDS, AdvisedRig, InterferenceRig

BOUND = BOUND_MS / 1000
# Time for which a lasting task may wait beside room for it.
MAX_WAIT_SECONDS = 3.0
# From the stop of a run to the start of the next one, if nothing keeps it from starting.
MAX_SWITCH_SECONDS = 0.3


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


def beside_serving(count: int = 1) -> AdvisedRig:
    """Return a cell with a lasting filling task on each runner, and a later serving one."""
    rig = AdvisedRig(count)
    rig.fill(count=count, anti_affinity=1, daemon=True, disruption_budget=1)
    rig.run_for(4.0)
    assert len(at_work(rig, "batch")) == count
    rig.serve(count=count, anti_affinity=1)
    rig.run_for(1.0)
    return rig


def seconds_without_run(rig: InterferenceRig, seconds: float, count: int = 1) -> float:
    """Let time pass, and return for how long fewer than ``count`` filling tasks had a run."""
    ticks = 0
    for _ in range(round(seconds / TICK_SECONDS)):
        rig.tick()
        ticks += len(rig.runs("batch")) < count
    return ticks * TICK_SECONDS


class TestSlowAdvisor:
    def test_a_lasting_task_is_moved_without_a_wait_for_advice(self, caplog):
        """AVAIL: stopped for room on paper, it had no run for as long as a call takes."""
        caplog.set_level(logging.INFO)
        rig = beside_serving()
        rig.add_runner("w2")
        assert seconds_without_run(rig, 8.0) <= MAX_SWITCH_SECONDS
        assert runners_of(rig, "batch") == {"w2"}
        assert len(rig.stops) == 1
        (row,) = [row for row in caplog.records if row.message == "task evacuated"]
        assert (row.certain, row.target, row.left) == (True, "w2", None)
        assert row.reason == "serving task on the runner"

    def test_several_tasks_are_moved_within_their_budget(self):
        """Guards against tickets for more tasks than may be away at a time."""
        rig = beside_serving(3)
        asked = len(rig.asked)
        for name in ("w4", "w5", "w6"):
            rig.add_runner(name)
        fewest = 3
        for _ in range(150):
            rig.tick()
            fewest = min(fewest, len(at_work(rig, "batch")))
        assert fewest == 2
        assert runners_of(rig, "batch") == {"w4", "w5", "w6"}
        assert len(rig.asked) - asked <= 3

    def test_it_goes_on_while_the_advisor_denies_the_other_runners(self):
        """Guards against a stop of work that may start nowhere else."""
        rig = beside_serving()
        rig.denied.add("w2")
        rig.add_runner("w2")
        assert not seconds_without_run(rig, 15.0)

    def test_no_serving_task_takes_the_last_room_that_is_reserved(self):
        """Guards against room that was counted and is gone by the time of the start."""
        rig = beside_serving()
        rig.add_runner("w2")
        assert rig.run_for(8.0, lambda: bool(rig.stops)) < 8.0
        rig.serve("api", mem_mb=8000)
        rig.run_for(0.5)
        assert runners_of(rig, "batch") == {"w2"}
        assert not rig.runs("api")

    def test_the_bound_holds_while_no_successor_is_certain(self):
        """HARM: over its target for the bound, since its neighbour waited for a ticket."""
        rig = beside_serving()
        rig.slowdowns["web", "batch"] = 8.0
        rig.fate = lambda order: "lost"
        rig.cell.set_entries([])
        rig.add_runner("w2")
        rig.run_for(8.0)
        assert rig.stops
        assert rig.longest_over <= 0.85 * BOUND

    def test_near_the_bound_all_are_stopped_for_room_on_paper(self):
        """HARM: relief alone moves one of the tasks that are paced to nothing in each bound."""
        rig = AdvisedRig()
        rig.fill(count=2, daemon=True, disruption_budget=2)
        rig.run_for(4.0)
        rig.serve()
        rig.run_for(1.0)
        rig.load = 1.5
        rig.cell.set_entries([])
        rig.add_runner("w2")
        rig.run_for(0.7 * BOUND)
        assert not rig.stops
        rig.run_for(0.3 * BOUND)
        assert len({run.task for _, run in rig.stops}) == 2

    @pytest.mark.parametrize(("tasks", "names"), [(1, 3), (2, 4)])
    def test_a_call_counts_each_task_once_if_a_runner_drains_too(self, tasks: int, names: int):
        """Guards against calls for too many tasks, or for those of one reason only."""
        rig = beside_serving(tasks)
        rig.list_runner(f"w{tasks}", state="draining", remaining_ms=6000)
        for number in range(3, 10):
            rig.add_runner(f"w{number}")
        rig.tick()
        assert len(rig.asked[-1].runners) == names


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
