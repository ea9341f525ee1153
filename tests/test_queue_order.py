"""Tests of the order in which waiting stages are placed."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.decisions.queue_order import ArrivalOrder, OrderInputs, SlackOrder
from ragworttiller.scheduling.state.job_work import JobWork
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

STREAM = QUEUE._replace(name="streams", prefix="/s/", priority=1, target_latency=2.5)
ADVISED = QUEUE._replace(advice=AdviceCost(0.3, 0.01, 2.5))
URGENT = QUEUE._replace(priority=0)


@pytest.fixture()
def rig() -> CellRig:
    return CellRig(1)


class TestLastingTasks:
    def test_a_restart_under_a_stream_of_jobs_does_not_wait_for_an_empty_queue(self, rig: CellRig):
        """A lasting task that fails long after its acceptance starts before later jobs."""
        rig.submit(step(1, 4000, daemon=True), queue=STREAM)
        (stream,) = rig.start_all()
        rig.pass_time(30.0)
        rig.hold("w1", (stream.run.task, 1, "failed"))
        for number in range(1, 9):
            rig.submit(step(1, 4000), job=job_id(number), queue=STREAM)
        (order,) = rig.start_all()
        assert order.run.task == stream.run.task

    def test_a_lasting_task_yields_to_more_urgent_jobs_that_can_be_on_time(self, rig: CellRig):
        rig.submit(step(1, 4000, daemon=True), queue=STREAM)
        (stream,) = rig.start_all()
        rig.pass_time(30.0)
        rig.hold("w1", (stream.run.task, 1, "failed"))
        rig.submit(step(1, 4000), job=job_id(1), queue=URGENT)
        (order,) = rig.start_all()
        assert order.run.task.stage.job == job_id(1)

    def test_its_objective_counts_from_its_last_end(self, rig: CellRig):
        rig.submit(step(1, 4000, daemon=True), queue=STREAM)
        (stream,) = rig.start_all()
        rig.pass_time(30.0)
        rig.hold("w1", (stream.run.task, 1, "failed"))
        work = rig.cell.jobs[JOB]
        inputs = work.order_inputs(next(iter(work.stages.values())), rig.now, rig.now)
        assert inputs == OrderInputs(1, rig.now, 2.5, 0.0, lasts=True)


class TestOccurrences:
    def test_an_occurrence_counts_from_its_due_time(self, rig: CellRig):
        """One due long after the job's acceptance starts before jobs with more slack."""
        due = rig.now + 60.0
        rig.submit(step(1, 4000), times=1, first_run_ms=due * 1000, interval_ms=1000)
        rig.pass_time(60.1)
        rig.submit(step(1, 4000, estimate_ms=9000), job=job_id(1))
        (order,) = rig.start_all()
        assert order.run.task.stage.job == JOB


class TestSlackOrder:
    def test_hopeless_jobs_come_after_those_that_can_be_on_time(self):
        order = SlackOrder()
        hopeless = OrderInputs(0, since=0.0, objective=2.0, remaining=1.0)
        late = OrderInputs(1, since=6.0, objective=2.0, remaining=1.0)
        on_time = OrderInputs(1, since=9.0, objective=2.0, remaining=1.0)
        keys = [order.key(inputs, 10.0) for inputs in (on_time, late, hopeless)]
        assert keys == sorted(keys)

    def test_the_baseline_ignores_objectives(self):
        order = ArrivalOrder()
        first = OrderInputs(0, since=0.0, objective=2.0, remaining=1.0)
        second = OrderInputs(0, since=9.0, objective=2.0, remaining=1.0)
        assert order.key(first, 10.0) < order.key(second, 10.0)


class TestManySteps:
    """Guards against passes whose time grows with the square of the steps of a job."""

    def test_chains_are_searched_once_a_pass(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(*[step(1, 4000) for _ in range(50)])
        searches: list[int] = []
        original = JobWork._remaining_seconds

        def search(work: JobWork, occurrence: int) -> float:
            searches.append(occurrence)
            return original(work, occurrence)

        monkeypatch.setattr(JobWork, "_remaining_seconds", search)
        rig.plan()
        # Others search again for the few stages whose room depends on it.
        assert 1 <= len(searches) < 10

    def test_the_runs_of_a_job_are_searched_once_a_pass(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(*[step(1, 0) for _ in range(50)], queue=ADVISED)
        rig.plan()
        rig.pass_time(10.0)
        searches: list[str] = []
        original = JobWork.runs_anything.fget

        def search(work: JobWork) -> bool:
            searches.append(work.id)
            return bool(original(work))

        monkeypatch.setattr(JobWork, "runs_anything", property(search))
        rig.plan()
        assert searches == [JOB]

    def test_shared_inputs_are_those_of_each_stage(self):
        rig = CellRig(1)
        rig.submit(step(1, estimate_ms=3000), step(1, estimate_ms=5000, after=[0]), step(2))
        work = rig.cell.jobs[JOB]
        known: dict[int, OrderInputs] = {}
        for stage in work.stages.values():
            alone = work.order_inputs(stage, rig.now, rig.now)
            assert work.order_inputs(stage, rig.now, rig.now, known) == alone
        assert [row.remaining for row in known.values()] == [8.0]
