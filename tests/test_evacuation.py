"""Tests that a lasting task on a draining runner runs until its successor is certain."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.decisions.evacuation import RESERVATION_SECONDS
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.successor_names import (
    AwaitedSuccessors,
    successors_to_ask,
)
from ragworttiller.scheduling.state.orders import Plan
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.release_load import ReleaseLoad
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

ADVISED = QUEUE._replace(advice=AdviceCost(0.45, 0.0065, 2.0))
SECONDS = 40.0
MAX_GAP_SECONDS = 3.0
OTHER = job_id(7)


def drain(rig: CellRig, name: str, remaining: float = 6.0) -> None:
    """List a runner as draining, for a minimum of some seconds more."""
    rig.list_runner(name, state="draining", remaining_ms=remaining * 1000)


def answer(rig: CellRig, call: AdviceCall, *runners: str) -> None:
    """Apply tickets for some runners, by default for all that are named."""
    rig.cell.apply_advice(call, dict.fromkeys(runners or call.runners, "t"), rig.now)


def run_of(rig: CellRig) -> Run:
    """Return the only run of the lasting task."""
    (stage,) = rig.cell.jobs[JOB].stages.values()
    (run,) = stage.active_runs.values()
    return run


def drain_and_answer(rig: CellRig, *runners: str) -> tuple[Run, Plan]:
    """Drain the runner of the lasting task; return its run and the plan after advice."""
    run = run_of(rig)
    drain(rig, run.runner)
    (call,) = rig.plan().calls
    rig.pass_time(0.5)
    answer(rig, call, *runners)
    return run, rig.plan()


def end(rig: CellRig, run: Run) -> None:
    """Report that a run was stopped."""
    rig.hold(run.runner, (run.task, run.number, "stopped"))


@pytest.fixture
def rig() -> CellRig:
    """Return a cell whose lasting task runs on one of three runners, behind an advisor."""
    rig = CellRig(3)
    rig.cell.set_entries(["e1", "e2", "e3"])
    rig.submit(step(1, daemon=True), queue=ADVISED)
    (call,) = rig.plan().calls
    answer(rig, call)
    rig.start_all()
    rig.pass_time(4.0)
    return rig


class TestWithoutAdvice:
    def test_a_run_is_not_stopped_while_no_ticket_is_at_hand(self, rig: CellRig):
        """Guards against a task without a run for as long as the advisor takes."""
        drain(rig, run_of(rig).runner)
        for _ in range(8):
            assert not rig.plan().stops
            rig.pass_time(0.5)

    def test_a_run_is_stopped_before_its_runner_may_leave(self, rig: CellRig):
        """Guards against an end that is known only after the lease."""
        run = run_of(rig)
        drain(rig, run.runner)
        rig.pass_time(5.0)
        assert [stop.run for stop in rig.plan().stops] == [run]

    def test_a_run_stays_to_the_end_without_room_elsewhere(self, rig: CellRig):
        """Guards against a stop of work for nothing."""
        run = run_of(rig)
        rig.submit(step(2, 4000, estimate_ms=60_000), job=OTHER)
        rig.start_all()
        drain(rig, run.runner)
        rig.pass_time(5.5)
        assert not rig.plan().stops

    def test_another_entry_is_asked_when_a_call_is_late(self, rig: CellRig):
        """Guards against a wait for the timeout of an entry that does not reach the advisor."""
        drain(rig, run_of(rig).runner)
        (first,) = rig.plan().calls
        rig.pass_time(0.9)
        assert not rig.plan().calls
        rig.pass_time(0.3)
        (second,) = rig.plan().calls
        assert second.entry != first.entry

    def test_the_only_entry_is_not_asked_again_while_its_call_is_late(self, rig: CellRig):
        """Guards against calls that queue up at one slow entry."""
        rig.cell.set_entries(["e1"])
        drain(rig, run_of(rig).runner)
        assert len(rig.plan().calls) == 1
        rig.pass_time(1.2)
        assert not rig.plan().calls


class TestCertainSuccessor:
    def test_the_task_starts_as_soon_as_its_end_is_reported(self, rig: CellRig, caplog):
        """Guards against two runs at once, and against a wait between them."""
        caplog.set_level(logging.INFO)
        run, plan = drain_and_answer(rig)
        assert [stop.run for stop in plan.stops] == [run]
        rig.pass_time(0.3)
        assert not rig.plan().starts
        end(rig, run)
        (order,) = rig.plan().starts
        assert order.run.task == run.task and order.ticket == "t"
        rig.cell.mark_started(order.run, rig.now)
        rows = {row.message: row for row in caplog.records}
        moved, started = rows["task evacuated"], rows["lasting task runs"]
        assert (moved.certain, moved.last_moment, moved.target) == (True, False, order.run.runner)
        assert 1.3 < moved.ticket_seconds <= 2.0
        assert (started.waited, started.stopped_for) == (0.0, "runner drains")

    def test_a_ticket_that_ends_before_the_start_counts_as_none(self, rig: CellRig):
        """Guards against a stop whose start is refused for its ticket."""
        run = run_of(rig)
        drain(rig, run.runner)
        (call,) = rig.plan().calls
        rig.pass_time(1.3)
        answer(rig, call)
        plan = rig.plan()
        assert not plan.stops
        assert len(plan.calls) == 1

    def test_another_runner_is_asked_for_as_soon_as_the_target_drains(self, rig: CellRig):
        """Guards against a task that waits for its end before a call is made."""
        run, target = run_of(rig), next(n for n in rig.cell.runners if n != run_of(rig).runner)
        drain_and_answer(rig, target)
        drain(rig, target)
        (call,) = rig.plan().calls
        assert not {target, run.runner} & set(call.runners)

    def test_room_is_reserved_for_no_longer_than_a_stop_takes(self):
        """Guards against work that waits beside room for a run that does not end."""
        rig = CellRig(2)
        rig.cell.set_entries(["e1", "e2"])
        advice = AdviceCost(0.45, 0.0065, 60.0)
        rig.submit(step(1, 3000, daemon=True), queue=QUEUE._replace(advice=advice))
        (call,) = rig.plan().calls
        answer(rig, call)
        rig.start_all()
        rig.pass_time(4.0)
        drain(rig, run_of(rig).runner, 60.0)
        rig.plan()
        rig.submit(step(1, 3000, estimate_ms=60_000), job=OTHER)
        rig.pass_time(RESERVATION_SECONDS + 0.1)
        (order,) = rig.plan().starts
        assert order.run.task.stage.job == OTHER

    def test_no_other_task_takes_the_reserved_room(self, rig: CellRig):
        """Guards against room that was counted and is gone by the time of the start."""
        target = next(name for name in rig.cell.runners if name != run_of(rig).runner)
        run, _ = drain_and_answer(rig, target)
        rig.submit(step(8, 1000, estimate_ms=60_000), job=OTHER)
        starts = rig.start_all()
        assert sum(order.run.runner == target for order in starts) == 3
        end(rig, run)
        assert run.task in [order.run.task for order in rig.plan().starts]

    def test_the_reservation_ends_if_the_end_is_not_reported(self, rig: CellRig):
        """Guards against room that stays empty for a run that does not stop."""
        target = next(name for name in rig.cell.runners if name != run_of(rig).runner)
        drain_and_answer(rig, target)
        rig.pass_time(2.5)
        rig.submit(step(8, 1000, estimate_ms=60_000), job=OTHER)
        starts = rig.start_all()
        assert sum(order.run.runner == target for order in starts) == 4

    def test_a_sibling_does_not_take_the_only_place_on_the_runner(self, rig: CellRig):
        """Guards against a limit of tasks on a runner that keeps the successor out."""
        rig.submit(step(2, daemon=True, anti_affinity=1), job=OTHER)
        first, second = [order.run for order in rig.start_all()]
        drain(rig, first.runner)
        assert [stop.run for stop in rig.plan().stops] == [first]
        drain(rig, second.runner)
        end(rig, second)
        assert not rig.plan().starts
        end(rig, first)
        assert [order.run.task for order in rig.plan().starts] == [first.task]

    def test_room_is_promised_to_one_task_only(self):
        """Guards against two tasks that are stopped for the same room, one after the other."""
        rig = CellRig(3)
        for number in (1, 2):
            rig.submit(step(1, 3000, daemon=True), job=job_id(number))
        first, second = [order.run for order in rig.start_all()]
        drain(rig, first.runner)
        assert [stop.run for stop in rig.plan().stops] == [first]
        drain(rig, second.runner)
        assert second not in [stop.run for stop in rig.plan().stops]

    def test_a_sibling_without_a_run_comes_first(self):
        """Guards against a task that is stopped for the only room of one that waits."""
        rig = CellRig(2)
        rig.submit(step(2, 3000, daemon=True))
        first, second = [order.run for order in rig.start_all()]
        drain(rig, second.runner)
        end(rig, first)
        plan = rig.plan()
        assert ([order.run.task for order in plan.starts], plan.stops) == ([first.task], [])

    def test_a_task_above_the_cap_of_its_workspace_is_not_stopped(self, rig: CellRig):
        """Guards against a stop after which the cap allows no start."""
        rig.configure(Workspace("a", frozenset(), 100.0, Resources(2000, 0)))
        rig.submit(step(2, daemon=True), job=OTHER, workspace="a")
        first, _ = [order.run for order in rig.start_all()]
        rig.configure(Workspace("a", frozenset(), 100.0, Resources(1000, 0)))
        drain(rig, first.runner)
        assert not [stop for stop in rig.plan().stops if stop.run is first]
        rig.configure(Workspace("a", frozenset(), 100.0, Resources(2000, 0)))
        assert [stop for stop in rig.plan().stops if stop.run is first]

    def test_the_task_starts_elsewhere_if_the_target_drains_meanwhile(self, rig: CellRig):
        """Guards against a task that waits for a runner on which nothing starts any more."""
        run, _ = drain_and_answer(rig)
        (stage,) = rig.cell.jobs[JOB].stages.values()
        (target,) = stage.successors.values()
        drain(rig, target)
        end(rig, run)
        (order,) = rig.plan().starts
        assert order.run.runner not in (run.runner, target)


class TestAdvice:
    def test_one_call_is_made_as_soon_as_the_runner_drains(self, rig: CellRig):
        """Guards against calls that begin only when the task has no run."""
        run = run_of(rig)
        drain(rig, run.runner)
        (call,) = rig.plan().calls
        assert set(call.runners) == rig.cell.runners.keys() - {run.runner}
        rig.pass_time(0.25)
        assert not rig.plan().calls

    def test_no_call_is_made_without_a_draining_runner(self, rig: CellRig):
        """Guards against calls for tasks that stay where they are."""
        assert not rig.plan().calls

    def test_no_call_is_made_for_a_task_whose_successor_is_certain(self, rig: CellRig):
        """Guards against calls beyond the need."""
        _, plan = drain_and_answer(rig)
        rig.pass_time(0.3)
        assert not plan.calls + rig.plan().calls

    def test_no_runner_is_named_while_there_are_enough_tickets(self, rig: CellRig):
        """Guards against calls that only renew what no task can use yet."""
        run, runners = run_of(rig), list(rig.cell.runners.values())
        (stage,) = rig.cell.jobs[JOB].stages.values()
        drain(rig, run.runner)
        (call,) = rig.plan().calls
        answer(rig, call)
        free, ages = FreeResources(runners), RunnerAges()
        needed = AwaitedSuccessors(1, rig.now + 1.3)
        arguments = stage, "desk", runners, free
        assert successors_to_ask(*arguments, needed, ages) == []
        assert successors_to_ask(*arguments, needed._replace(tasks=100), ages)


class TestRunnerAges:
    def test_a_runner_listed_later_than_the_draining_one_is_preferred(self, rig: CellRig):
        """Guards against a move onto the next runner to leave."""
        rig.pass_time(1.0)
        rig.add_runner("new", 64_000)
        _, plan = drain_and_answer(rig)
        (stage,) = rig.cell.jobs[JOB].stages.values()
        assert plan.stops and stage.successors == {0: "new"}

    def test_lasting_tasks_start_on_such_runners_first(self):
        """Guards against a first start on the next runner to leave."""
        rig = CellRig(3)
        rig.pass_time(1.0)
        rig.add_runner("new", 64_000)
        drain(rig, "w1")
        rig.submit(step(1, daemon=True))
        assert [order.run.runner for order in rig.plan().starts] == ["new"]

    def test_births_count_before_the_time_of_listing(self):
        """Guards against an owner that has just read the list and prefers any runner."""
        rig = CellRig(0)
        for name in ("a@30", "b@20", "c@10"):
            rig.add_runner(name)
        drain(rig, "b@20")
        ages, runners = RunnerAges(), rig.cell.runners
        ages.begin([runners["b@20"]])
        assert [ages.is_younger(runners[name]) for name in ("a@30", "c@10")] == [True, False]


class TestBaseline:
    def test_room_on_paper_stops_a_run_at_once(self):
        """Guards against a baseline that no longer shows what the other policy gains."""
        names = EntryPolicies(evacuation="room_on_paper")
        rig = CellRig(2, policies=choose_policies(names, EntryBounds()))
        rig.submit(step(1, daemon=True))
        (order,) = rig.start_all()
        drain(rig, order.run.runner)
        assert [stop.run for stop in rig.plan().stops] == [order.run]


class TestRelease:
    @pytest.mark.parametrize("seed", [3, 17, 28])
    def test_no_lasting_task_waits_while_runners_are_replaced(self, seed: int):
        """Guards against stops for a successor that nobody can start yet."""
        load = ReleaseLoad(seed)
        load.run(SECONDS)
        assert load.longest_gap <= MAX_GAP_SECONDS, load.gaps
        assert not load.doubled
        assert not load.rig.cell.errors.counts
