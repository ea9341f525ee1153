"""Tracks the jobs of one shard from submission to end."""

from __future__ import annotations

from collections.abc import Callable

from ragworttiller.process.cell_rows import DONE, FAILED, PENDING, JobRow
from ragworttiller.process.cell_state import CANCELLED, CellState
from ragworttiller.process.retries import Retries
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_endings import PREEMPTED
from ragworttiller.records import JobEnded

DEADLINE_CHECK_PERIOD_SECONDS = 1.0


class Lifecycle:
    """Applies changes of jobs in the fold to the scheduler, and ends jobs.

    Pending tasks are queued and tasks of ended jobs are stopped. A job ends when all its tasks
    have ended, when it has failed for good or when it can no longer meet its deadline.

    Parameters
    ----------
    state : CellState
        State of the owner.
    scheduler : Scheduler
        Queues jobs with pending tasks.
    retries : Retries
        Failures by job.
    stop_remote : Callable
        Stops a task on another shard's worker, given task, attempt, shard, worker, reason and
        whether to keep a checkpoint.
    """

    def __init__(
        self,
        state: CellState,
        scheduler: Scheduler,
        retries: Retries,
        stop_remote: Callable[[str, int, int, str, str, bool], None],
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._retries = retries
        self._stop_remote = stop_remote
        self._ended_jobs: set[str] = set()
        self._checked_at = 0.0

    def apply_changes(self) -> None:
        """Apply the changes since the last call."""
        fold = self._state.fold
        if not self._state.context.stream.ready or self._state.stopping:
            return
        changed, fold.changed_jobs = fold.changed_jobs, set()
        for job in changed:
            row = fold.jobs.get(job)
            if row is None:
                self._forget(job)
            elif row.state:
                self._scheduler.dequeue(job)
                self.stop_running(row, CANCELLED)
            else:
                self._process_open_job(row)
        self._check_deadlines()

    def end_job(self, job: str, state: str, reason: str) -> None:
        """Record the final state of a job, once."""
        if job in self._ended_jobs:
            return
        self._ended_jobs.add(job)
        stream = self._state.context.stream
        stream.post(JobEnded(stream.record_id(), job, state, reason, self._state.wall()))

    def stop_running(self, row: JobRow, reason: str) -> None:
        """Request the stop of all running tasks of a job."""
        state = self._state
        checkpoint = reason == PREEMPTED and bool(row.submitted.rules.get("checkpoint"))
        for index, running in row.running.items():
            task = f"{row.submitted.job}/{index}"
            if running.shard == state.context.shard:
                state.request_stop(running.worker, (task, running.attempt), reason, checkpoint)
            else:
                self._stop_remote(
                    task, running.attempt, running.shard, running.worker, reason, checkpoint
                )

    def stop_tasks_of_ended_jobs(self) -> None:
        """Repeat the stop requests for tasks whose job has ended."""
        for row in self._state.fold.jobs.values():
            if row.state:
                self.stop_running(row, CANCELLED)

    def _process_open_job(self, row: JobRow) -> None:
        job = row.submitted
        failure_reason = self._retries.failure_reason(job.job, job.kind, row.states.count(DONE))
        if failure_reason:
            self.end_job(job.job, "failed", failure_reason)
        elif job.kind == "gang" and FAILED in row.states:
            self.end_job(job.job, "failed", "a task failed that is not idempotent")
        elif PENDING in row.states:
            if job.kind == "gang" and row.running:
                self.stop_running(row, PREEMPTED)
            self._scheduler.enqueue(row)
        else:
            self._scheduler.dequeue(job.job)
            if not row.running:
                self._finish(row)

    def _finish(self, row: JobRow) -> None:
        failures = row.states.count(FAILED)
        if failures:
            reason = f"{failures} of {len(row.states)} tasks failed"
            self.end_job(row.submitted.job, "failed", reason)
        else:
            self.end_job(row.submitted.job, "done", "")

    def _forget(self, job: str) -> None:
        self._scheduler.dequeue(job)
        self._retries.forget(job)
        self._ended_jobs.discard(job)
        self._state.signal_job_end(job)

    def _check_deadlines(self) -> None:
        """Refuse jobs that have not started and can no longer end by their deadline."""
        now = self._state.now()
        if now - self._checked_at < DEADLINE_CHECK_PERIOD_SECONDS:
            return
        self._checked_at = now
        wall = self._state.wall()
        for job in self._scheduler.queue:
            row = self._state.fold.jobs.get(job)
            if row is None or row.submitted.deadline is None or any(row.attempts):
                continue
            if wall + (row.submitted.run_time or 0.0) > row.submitted.deadline:
                self.end_job(job, "refused", "found no room in time for its deadline")
