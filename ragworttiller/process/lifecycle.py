"""Follows the jobs of one shard from their submission to their end."""

from __future__ import annotations

from collections.abc import Callable

from ragworttiller.process.cell_rows import DONE, FAILED, PENDING, JobRow
from ragworttiller.process.cell_state import CANCELLED, CellState
from ragworttiller.process.retries import Retries
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_endings import PREEMPTED
from ragworttiller.records import JobEnded

DEADLINE_CHECK_SECONDS = 1.0


class Lifecycle:
    """Takes over what changed in the fold's jobs.

    Pending tasks are queued, tasks of ended jobs are stopped, and jobs end when all their tasks
    have, when they fail for good or when they can no longer meet their deadline.

    Parameters
    ----------
    state : CellState
        State of the owner.
    scheduler : Scheduler
        Takes jobs with pending tasks.
    retries : Retries
        Failures of jobs.
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
        self._ended: set[str] = set()
        self._checked_at = 0.0

    def follow(self) -> None:
        """Take over the changes since the last call."""
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
                self._follow_open(row)
        self._check_deadlines()

    def end_job(self, job: str, state: str, reason: str) -> None:
        """Record the final state of a job, once."""
        if job in self._ended:
            return
        self._ended.add(job)
        stream = self._state.context.stream
        stream.post(JobEnded(stream.record_id(), job, state, reason, self._state.wall()))

    def stop_running(self, row: JobRow, reason: str) -> None:
        """Have all running tasks of a job stopped."""
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

    def stop_ended(self) -> None:
        """Order the stops again of tasks whose job has ended."""
        for row in self._state.fold.jobs.values():
            if row.state:
                self.stop_running(row, CANCELLED)

    def _follow_open(self, row: JobRow) -> None:
        job = row.submitted
        hopeless = self._retries.failure_reason(job.job, job.kind, row.states.count(DONE))
        if hopeless:
            self.end_job(job.job, "failed", hopeless)
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
        self._ended.discard(job)
        self._state.signal_job_end(job)

    def _check_deadlines(self) -> None:
        """Refuse jobs that have not begun and cannot end by their deadline any more."""
        now = self._state.now()
        if now - self._checked_at < DEADLINE_CHECK_SECONDS:
            return
        self._checked_at = now
        wall = self._state.wall()
        for job in self._scheduler.queue:
            row = self._state.fold.jobs.get(job)
            if row is None or row.submitted.deadline is None or any(row.attempts):
                continue
            if wall + (row.submitted.run_time or 0.0) > row.submitted.deadline:
                self.end_job(job, "refused", "found no room in time for its deadline")
