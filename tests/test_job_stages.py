"""Tests of the stages of jobs that run many times, without I/O."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.decisions.estimates import SubmittedEstimates
from ragworttiller.scheduling.records.formats import Progress, StageProgress, encode_bitmap
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.job_stages import JobStages
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId
from tests.scheduling_rig import JOB, CellRig, job_id, step

INTERVAL_SECONDS = 10.0
OTHER = job_id(2)


@pytest.fixture
def rig() -> CellRig:
    return CellRig(2)


def submit(rig: CellRig, times: int, in_seconds: float, interval: float = INTERVAL_SECONDS) -> None:
    """Submit a job of two tasks that runs many times, for the first time in some seconds."""
    first = (rig.now + in_seconds) * 1000
    rig.submit(step(2), times=times, first_run_ms=first, interval_ms=interval * 1000)


def stages(rig: CellRig) -> JobStages:
    """Return the stages of the job."""
    return rig.cell.jobs[JOB].stages


def built(rig: CellRig) -> list[int]:
    """Return the occurrences of the job that take memory."""
    return [stage.occurrence for stage in stages(rig)]


def started(rig: CellRig) -> set[int]:
    """Return the occurrences of which tasks start now."""
    return {order.run.task.stage.occurrence for order in rig.plan().starts}


def done_stage(occurrence: int) -> StageProgress:
    """Return the progress of an occurrence of which both tasks are done."""
    return StageProgress(occurrence, 0, encode_bitmap({0, 1}, 2), {}, {}, losses={})


class TestLaterOccurrences:
    """Guards against a job that fills its owner with occurrences that are not due for long."""

    def test_only_the_next_one_takes_memory(self, rig: CellRig):
        submit(rig, 10_000, in_seconds=5.0)
        assert (started(rig), built(rig)) == (set(), [0])
        rig.pass_time(5.5)
        assert (started(rig), built(rig)) == ({0}, [0, 1])
        rig.pass_time(2 * INTERVAL_SECONDS)
        assert (started(rig), built(rig)) == ({1, 2}, [0, 1, 2, 3])

    def test_those_that_are_due_at_acceptance_start_at_once(self, rig: CellRig):
        submit(rig, 4, in_seconds=-1.5 * INTERVAL_SECONDS)
        assert started(rig) == {0, 1}

    def test_a_negative_interval_counts_back(self, rig: CellRig):
        submit(rig, 3, in_seconds=5.0, interval=-INTERVAL_SECONDS)
        assert (started(rig), built(rig)) == ({2, 1}, [2, 1, 0])

    def test_their_tasks_are_shown_as_waiting(self, rig: CellRig):
        submit(rig, 10, in_seconds=5.0)
        (row,) = CellView(rig.cell).jobs(rig.now, rig.now)
        assert row["waiting"] == 20


class TestEnd:
    """Guards against a job that ends before all its occurrences have run, or goes on after."""

    def test_the_job_ends_with_the_last_one(self, rig: CellRig):
        submit(rig, 2, in_seconds=-1.0)
        work = rig.cell.jobs[JOB]
        for left in (False, True):
            assert work.open and work.has_waiting_tasks
            for order in rig.plan().starts:
                rig.hold(order.run.runner, (order.run.task, 1, "done"))
            assert work.complete is left
            rig.pass_time(INTERVAL_SECONDS)

    def test_no_task_waits_once_the_job_has_ended(self, rig: CellRig):
        submit(rig, 10, in_seconds=5.0)
        stages(rig).close()
        assert not stages(rig)[StageId(JOB, 7, 0)].waiting
        assert stages(rig).unbuilt_tasks == 0


class TestChangeOfOwner:
    """Guards against recorded progress of occurrences that the clock of an owner does not reach."""

    def test_progress_is_restored_whether_or_not_it_is_due(self, rig: CellRig):
        submit(rig, 10, in_seconds=5.0)
        recorded = Progress("", [done_stage(occurrence) for occurrence in (0, 7)])
        row = rig.cell.jobs[JOB].row
        row.progress = recorded
        work = JobWork(JOB, row, rig.now, rig.now, SubmittedEstimates())
        assert work.progress() == recorded
        assert list(work.stages) == [StageId(JOB, 0, 0), StageId(JOB, 7, 0)]
        assert not any(stage.waiting for stage in work.stages.values())
        assert work.has_waiting_tasks and not work.complete


class TestLookup:
    """Guards against a second run of a task of an earlier owner, whose clock may be ahead."""

    def test_a_stage_is_built_when_a_run_of_it_is_found(self, rig: CellRig):
        submit(rig, 10, in_seconds=5.0)
        assert stages(rig)[StageId(JOB, 7, 0)].waiting == [1, 0]
        assert built(rig) == [0, 7]
        rig.pass_time(5.5 + 9 * INTERVAL_SECONDS)
        rig.plan()
        assert sorted(built(rig)) == list(range(10))

    @pytest.mark.parametrize(
        "name", [StageId(JOB, 10, 0), StageId(JOB, -1, 0), StageId(JOB, 0, 1), StageId(OTHER, 0, 0)]
    )
    def test_a_stage_that_the_job_does_not_have(self, rig: CellRig, name: StageId):
        submit(rig, 10, in_seconds=5.0)
        assert stages(rig).get(name) is None
