"""Tests of the order in which waiting stages are placed."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.decisions.queue_order import ArrivalOrder, OrderInputs, SlackOrder
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

STREAM = QUEUE._replace(name="streams", prefix="/s/", priority=1, target_latency=2.5)
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
