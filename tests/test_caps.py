"""Tests that no workspace starts more than its cap allows, and that no cap holds work for ever."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.caps import copies_within, exceeds_cap
from ragworttiller.scheduling.records.formats import (
    Claim,
    Learnt,
    RemovedWorkspace,
    Withdrawn,
    encode,
)
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.orders import StartOrder
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step, task

TASK = Resources(1000, 100)


def workspace(name: str = "a", cpu: int = 0, weight: float = 100.0, memory: int = 0) -> Workspace:
    """Return a workspace with a cap; 0 is no limit."""
    return Workspace(name, frozenset(), weight, Resources(cpu, memory))


def capped_rig(cpu: int, runners: int = 2, memory: int = 0) -> CellRig:
    """Return a cell with the workspace ``a`` under a cap."""
    rig = CellRig(runners)
    rig.configure(workspace("a", cpu, memory=memory))
    return rig


def started_cpu(rig: CellRig, name: str = "a") -> int:
    """Return the processor time of the runs that the cell knows of a workspace."""
    return rig.cell.usage.known(name).total.cpu


class TestCopiesWithin:
    def test_each_limited_resource_bounds_the_count(self):
        assert copies_within(Resources(3500, 250), NO_RESOURCES, TASK, 9) == 2
        assert copies_within(Resources(3500, 0), NO_RESOURCES, TASK, 9) == 3
        assert copies_within(NO_RESOURCES, Resources(9000, 9000), TASK, 9) == 9

    def test_nothing_starts_above_a_cap_even_without_need_of_that_resource(self):
        assert copies_within(Resources(0, 0, 1), Resources(0, 0, 2), TASK, 9) == 0


class TestCaps:
    def test_as_many_tasks_start_as_the_cap_allows(self):
        rig = capped_rig(2500)
        rig.submit(step(5), workspace="a")
        assert len(rig.start_all()) == 2
        rig.hold("w1", *[(r.task, r.number, "done") for r in rig.cell.runners["w1"].runs.values()])
        rig.hold("w2", *[(r.task, r.number, "done") for r in rig.cell.runners["w2"].runs.values()])
        assert len(rig.start_all()) == 2

    def test_the_stages_of_one_pass_count_together(self):
        rig = capped_rig(2500)
        for number in range(4):
            rig.submit(step(1), job=job_id(number), workspace="a")
        assert len(rig.start_all()) == 2

    def test_other_workspaces_and_jobs_without_one_are_not_held(self):
        rig = capped_rig(1000)
        rig.submit(step(3), job=job_id(1), workspace="a")
        rig.submit(step(3), job=job_id(2), workspace="b")
        rig.submit(step(3), job=job_id(3))
        assert len(rig.start_all()) == 7

    def test_memory_is_capped_too(self):
        rig = capped_rig(0, memory=250)
        rig.submit(step(5), workspace="a")
        assert len(rig.start_all()) == 2

    def test_filling_tasks_count_in_full(self):
        rig = capped_rig(2000)
        rig.submit(step(5, fills=True), workspace="a")
        assert len(rig.start_all()) == 2

    def test_a_task_larger_than_the_cap_runs_alone(self):
        rig = capped_rig(1500)
        rig.submit(step(2, 3000), job=job_id(1), workspace="a")
        rig.submit(step(1, 1000), job=job_id(2), workspace="a")
        (first,) = rig.start_all()
        assert rig.start_all() == []
        rig.hold(first.run.runner, (first.run.task, first.run.number, "done"))
        assert len(rig.start_all()) == 1

    def test_a_gang_starts_whole_or_not_at_all(self):
        rig = capped_rig(3000)
        rig.submit(step(1), job=job_id(1), workspace="a")
        (single,) = rig.start_all()
        rig.submit(step(3, gang=True), job=job_id(2), workspace="a")
        assert rig.start_all() == []
        rig.hold(single.run.runner, (single.run.task, single.run.number, "done"))
        assert len(rig.start_all()) == 3

    def test_a_gang_larger_than_a_lowered_cap_waits_for_it_to_be_raised(self):
        rig = capped_rig(3000)
        rig.submit(step(3, gang=True), workspace="a")
        rig.configure(workspace("a", 2000))
        assert rig.start_all() == []
        rig.configure(workspace("a", 3000))
        assert len(rig.start_all()) == 3

    def test_a_lowered_cap_starts_nothing_more_and_stops_nothing(self):
        rig = capped_rig(4000)
        rig.submit(step(8), workspace="a")
        assert len(rig.start_all()) == 4
        rig.configure(workspace("a", 1000))
        plan = rig.plan()
        assert plan.starts == [] and plan.stops == []

    def test_a_removed_workspace_keeps_its_last_cap(self):
        rig = capped_rig(2000)
        rig.configure()
        rig.submit(step(5), workspace="a")
        assert len(rig.start_all()) == 2

    def test_an_owner_that_started_later_keeps_the_cap_of_a_removed_workspace(self):
        first = capped_rig(2000)
        first.submit(step(5), workspace="a")
        first.plan()
        first.configure(workspace("b"))
        claim = first.cell.claim("e1", 1, 0, first.now)
        rig = CellRig(2, claim._replace(roster=[], unsettled=[]))
        rig.configure(workspace("b"))
        rig.submit(step(5), workspace="a")
        assert len(rig.start_all()) == 2

    @pytest.mark.parametrize("cpu, weight", ((-1, 1.0), (2000, float("inf")), (2000, -1.0)))
    def test_an_implausible_workspace_in_a_claim_sets_no_cap(self, cpu: int, weight: float):
        learnt = Learnt([], [], [RemovedWorkspace("a", weight, cpu, 0, 0)])
        rig = CellRig(2, Claim("e", 1, 1, 0, [], [], {}, learnt=encode(learnt)))
        rig.submit(step(5), workspace="a")
        assert len(rig.start_all()) == 5

    def test_a_configuration_without_workspaces_has_no_caps(self):
        rig = CellRig(2)
        rig.submit(step(8), workspace="gone")
        assert len(rig.start_all()) == 8

    def test_a_refused_start_frees_its_part_of_the_cap(self):
        rig = capped_rig(1000)
        rig.submit(step(2), workspace="a")
        (order,) = rig.plan().starts
        assert rig.plan().starts == []
        rig.cell.mark_start_refused(order.run, "late", rig.now)
        assert len(rig.plan().starts) == 1

    def test_runs_on_a_silent_runner_count_until_its_lease_has_expired(self):
        rig = capped_rig(1000)
        rig.submit(step(2), workspace="a")
        (order,) = rig.start_all()
        rig.pass_time(3.0, order.run.runner)
        assert rig.plan().starts == []
        rig.pass_time(6.0, order.run.runner)
        assert len(rig.plan().starts) == 1
        assert started_cpu(rig) == 1000

    def test_one_line_tells_of_the_first_hold(self, caplog: pytest.LogCaptureFixture):
        rig = capped_rig(1000)
        rig.submit(step(2), workspace="a")
        with caplog.at_level(logging.INFO):
            rig.start_all()
            rig.plan()
            rig.plan()
        lines = [r for r in caplog.records if r.message == "stage held by the cap of its workspace"]
        assert [line.__dict__["workspace"] for line in lines] == ["a"]


class TestReservation:
    """A stream of small tasks must not hold a large one or a gang of its workspace for ever."""

    @pytest.mark.parametrize("large", [step(3, gang=True), step(1, 3500), step(1, 2500)])
    def test_a_held_stage_starts_under_a_stream_of_small_ones(self, large):
        rig = capped_rig(3000)
        rig.submit(step(1), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(large, job=JOB, workspace="a")
        for number in range(2, 40):
            rig.submit(step(1), job=job_id(number), workspace="a")
            rig.start_all()
            if rig.cell.jobs[JOB].has_started:
                return
            rig.pass_time(0.5)
            if number % 2:
                oldest = min(_runs(rig), key=lambda run: run.started_at, default=None)
                if oldest is not None:
                    rig.hold(oldest.runner, (oldest.task, oldest.number, "done"))
        pytest.fail("the large stage has not started")

    def test_those_that_it_holds_do_not_take_over_the_reservation(self):
        rig = capped_rig(3000)
        rig.submit(step(2, estimate_ms=9000), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(1, 2500), job=JOB, workspace="a")
        rig.start_all()
        rig.pass_time(2.5)
        rig.start_all()
        for number in range(2, 9):
            rig.submit(step(1), job=job_id(number), workspace="a")
        for _ in range(8):
            rig.pass_time(0.5)
            started = {order.run.task.stage.job for order in rig.start_all()}
            assert started <= {job_id(2)}
        for run in _runs(rig):
            rig.hold(run.runner, (run.task, run.number, "done"))
        assert [order.run.task.stage.job for order in rig.start_all()] == [JOB]

    def test_a_gang_starts_beside_a_reservation_under_half_of_the_cap(self):
        """Guards against a gang that waits for the end of a long task it needs no room of."""
        rig = capped_rig(8000)
        rig.submit(step(1, estimate_ms=90_000), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(8, gang=True), job=JOB, workspace="a")
        for _ in range(6):
            rig.start_all()
            rig.pass_time(0.5)
        rig.submit(step(3, gang=True), job=job_id(2), workspace="a")
        rig.submit(step(4, gang=True), job=job_id(3), workspace="a")
        started = []
        for _ in range(8):
            started += [order.run.task.stage.job for order in rig.start_all()]
            rig.pass_time(0.25)
        assert started == [job_id(2)] * 3

    def test_lasting_tasks_that_leave_no_room_hold_nothing_else(self):
        rig = capped_rig(3000)
        rig.submit(step(1, 1000, service=True, estimate_ms=0), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(3, gang=True), job=JOB, workspace="a")
        rig.start_all()
        rig.pass_time(5.0)
        rig.submit(step(1), job=job_id(3), workspace="a")
        assert len(rig.start_all()) == 1

    def test_a_reservation_leaves_a_task_to_a_job_without_any_under_half_of_the_cap(self):
        rig = capped_rig(8000)
        rig.submit(step(1, 1000), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(8, gang=True), job=JOB, workspace="a")
        rig.start_all()
        rig.pass_time(2.5)
        rig.start_all()
        rig.submit(step(4), job=job_id(3), workspace="a")
        assert rig.start_all() == []
        rig.pass_time(1.5)
        assert len(rig.start_all()) == 1


class TestWaves:
    def test_a_step_wider_than_the_cap_counts_as_waves(self):
        rig = capped_rig(2000)
        rig.submit(step(5), step(1, after=[0]), workspace="a")
        work = rig.cell.jobs[JOB]
        first = next(iter(work.stages.values()))
        inputs = work.order_inputs(first, rig.now, rig.now)
        assert inputs.remaining == 4.0
        assert inputs.objective == 1.5 * 4.0 + 0.25

    def test_the_waves_follow_the_cap(self):
        rig = capped_rig(2000)
        rig.submit(step(4), workspace="a")
        work = rig.cell.jobs[JOB]
        stage = next(iter(work.stages.values()))
        assert work.order_inputs(stage, rig.now, rig.now).remaining == 2.0
        rig.configure(workspace("a", 4000))
        assert work.order_inputs(stage, rig.now, rig.now).remaining == 1.0

    def test_waiting_for_the_cap_does_not_make_a_job_hopeless(self):
        rig = capped_rig(1000)
        rig.submit(step(1, service=True, estimate_ms=0), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(1), workspace="a")
        rig.start_all()
        for _ in range(20):
            rig.pass_time(0.5)
            rig.plan()
        work = rig.cell.jobs[JOB]
        inputs = work.order_inputs(next(iter(work.stages.values())), rig.now, rig.now)
        assert inputs.held == pytest.approx(10.0, abs=0.6)


class TestTakeover:
    """A successor counts what may run unseen, so that two owners do not exceed a cap together."""

    CLAIM = Claim("e", 1, 1, 0, ["w1", "w2"], [], {})

    def rig(self, claim: Claim = CLAIM) -> CellRig:
        rig = CellRig(0, claim, accepted_before=1000)
        rig.configure(workspace("a", 2000))
        for name in ("w1", "w2", "w3"):
            rig.list_runner(name)
        rig.hold("w3")
        rig.enroll("w1", "w2", "w3")
        return rig

    def test_a_new_job_waits_while_old_tasks_may_run_unseen(self):
        rig = self.rig()
        rig.submit(step(2), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(1), workspace="a")
        assert rig.start_all() == []
        rig.hold("w1", running=((task(0, job=job_id(1)), 1),))
        assert rig.start_all() == []
        rig.hold("w2", running=())
        orders = rig.start_all()
        assert len(orders) == 1
        assert started_cpu(rig) == 2000

    def test_the_room_of_unsettled_runners_bounds_what_may_run_there(self):
        rig = self.rig()
        rig.configure(workspace("a", 5000))
        rig.submit(step(50), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(1), workspace="a")
        assert rig.start_all() == []
        rig.hold("w1", running=())
        assert len(rig.start_all()) == 1

    def test_what_may_run_unseen_of_one_workspace_does_not_hold_another(self):
        rig = self.rig()
        rig.submit(step(2), job=job_id(1), workspace="b")
        rig.offset = 1000
        rig.submit(step(2), workspace="a")
        assert len(rig.start_all()) == 2

    def test_on_withdrawn_runners_only_the_named_tasks_count(self):
        named = [f"{task(0, job=job_id(1))}"]
        rows = [Withdrawn("w1", named), Withdrawn("w2", [])]
        rig = self.rig(Claim("e", 1, 1, 0, ["w1", "w2"], rows, {}))
        rig.submit(step(2), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(2), workspace="a")
        assert len(rig.start_all()) == 1

    def test_a_large_task_waits_until_nothing_can_run_unseen(self):
        rig = self.rig()
        rig.submit(step(1), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(1, 3000), workspace="a")
        assert rig.start_all() == []
        rig.hold("w1", running=())
        rig.hold("w2", running=((task(0, job=job_id(1)), 1),))
        assert rig.start_all() == []
        rig.hold("w2", (task(0, job=job_id(1)), 1, "done"), running=())
        assert len(rig.start_all()) == 1

    def test_a_cap_lowered_during_the_takeover_counts_at_once(self):
        rig = self.rig()
        rig.submit(step(2), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(2), workspace="a")
        rig.configure(workspace("a", 1000))
        rig.hold("w1", running=((task(0, job=job_id(1)), 1), (task(1, job=job_id(1)), 1)))
        rig.hold("w2", running=())
        assert rig.start_all() == []
        ends = [(task(n, job=job_id(1)), 1, "done") for n in range(2)]
        rig.hold("w1", *ends, running=())
        assert len(rig.start_all()) == 1

    def test_a_successor_that_races_an_owner_keeps_the_cap_with_it(self):
        """The earlier owner still starts tasks on runners that have not answered the successor."""
        first = capped_rig(2000)
        first.submit(step(5), job=job_id(1), workspace="a")
        rig = self.rig()
        rig.submit(step(5), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(5), workspace="a")
        orders = [order.run for order in first.start_all()]
        mine: list[StartOrder] = []
        for name in ("w1", "w2"):
            mine += rig.start_all()
            assert len(orders) + len(mine) <= 2
            rig.hold(name, running=tuple(run.key for run in orders if run.runner == name))
        mine += rig.start_all()
        assert len(orders) + len(mine) == 2

    def test_runs_of_a_cancelled_job_count_until_their_runners_settle(self):
        rig = self.rig()
        rig.submit(step(2), job=job_id(1), workspace="a")
        rig.cancel(job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(1), workspace="a")
        assert rig.start_all() == []
        rig.hold("w1", running=())
        rig.hold("w2", running=())
        assert len(rig.start_all()) == 1

    def test_runners_that_never_answer_hold_nothing_for_ever(self):
        rig = self.rig()
        rig.submit(step(9), job=job_id(1), workspace="a")
        rig.offset = 1000
        rig.submit(step(1), workspace="a")
        assert rig.start_all() == []
        rig.pass_time(16.0, "w1", "w2")
        assert len(rig.start_all()) == 2


class TestPreemption:
    def test_nothing_is_stopped_for_a_stage_that_its_cap_holds(self):
        rig = CellRig(1)
        rig.configure(workspace("a", 1000), workspace("b"))
        urgent, patient = QUEUE, QUEUE._replace(priority=5, slack_factor=50.0)
        long = step(3, checkpoints=True, estimate_ms=20_000)
        rig.submit(long, job=job_id(1), queue=patient, workspace="b")
        rig.submit(step(1, estimate_ms=9000), job=job_id(2), queue=urgent, workspace="a")
        rig.start_all()
        rig.pass_time(2.0)
        rig.submit(step(4, 1000), queue=urgent, workspace="a")
        for _ in range(6):
            rig.pass_time(0.5)
            assert rig.plan().stops == []


class TestGangAtSubmission:
    def test_only_a_gang_of_several_tasks_can_never_fit(self):
        cap = Resources(2000)
        assert exceeds_cap(cap, StepSpec(3, TASK, gang=True))
        assert not exceeds_cap(cap, StepSpec(2, TASK, gang=True))
        assert not exceeds_cap(cap, StepSpec(1, Resources(9000), gang=True))
        assert not exceeds_cap(cap, StepSpec(9, Resources(9000)))
        assert not exceeds_cap(NO_RESOURCES, StepSpec(99, TASK, gang=True))


def _runs(rig: CellRig) -> list[Run]:
    return [run for runner in rig.cell.runners.values() for run in runner.runs.values()]
