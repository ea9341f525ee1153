"""Active jobs of a cell, and which of them have changes to store."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.estimates import EstimatePolicy
from ragworttiller.scheduling.records.formats import JobState, Progress, stage_id
from ragworttiller.scheduling.records.job_fold import JobFold, JobRow
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.state.orders import PendingStops
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.work_items import job_item
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

log = logging.getLogger(__name__)

# Runners keep their ends for so long if the progress of a job cannot be encoded: that may heal.
MAX_WITHHELD_SECONDS = 5.0
UNKNOWN_STEP = StepSpec(1, NO_RESOURCES)


class ActiveJobs:
    """Jobs that are accepted and have not ended, as known to the owner of a cell.

    Parameters
    ----------
    fold : JobFold
        Jobs recorded in the store.
    config : QueueFold
        Current configuration.
    stops : PendingStops
        Receives the runs of jobs that are cancelled or have ended.
    speeds : Speeds
        Observed speeds of runners; samples of ended jobs are discarded.
    caps : Caps
        Caps of the workspaces, which bound how many tasks of a step run at once.
    estimates : EstimatePolicy
        Tells how long tasks are expected to take.
    errors : ContainedErrors
        Puts jobs aside on which the owner cannot work.

    Attributes
    ----------
    by_id : dict of str to JobWork
        The jobs by identifier.
    inherited_trials : set of StageId
        Stages with trials of an earlier owner that are not settled.
    on_added_late : Callable
        Called with a job that could not be added at first, and the time of the owner in seconds:
        runs of it may have been reported before.
    """

    def __init__(
        self,
        fold: JobFold,
        config: QueueFold,
        stops: PendingStops,
        speeds: Speeds,
        caps: Caps,
        estimates: EstimatePolicy,
        errors: ContainedErrors,
    ) -> None:
        self._errors = errors
        # Jobs whose records or configuration could not be applied.
        self._unapplied: set[str] = set()
        # Open jobs that could not be added yet, and the time in seconds of the first failure.
        self._not_added: dict[str, float] = {}
        # Jobs whose progress could not be encoded, and the time in seconds of the first failure.
        self._unencoded: dict[str, float] = {}
        self._refreshed_at = 0.0
        self._caps = caps
        self._fold = fold
        self._config = config
        self._stops = stops
        self._speeds = speeds
        self._estimates = estimates
        self._changed: dict[str, None] = {}
        # Removed jobs that the fold still shows as open because it has not read their end yet.
        self._awaiting_end_record: set[str] = set()
        self._config_version = -1
        self.by_id: dict[str, JobWork] = {}
        self.inherited_trials: set[StageId] = set()
        self.inherited_losses: set[StageId] = set()
        self.on_added_late: Callable[[JobWork, float], None] = lambda work, now: None
        fold.touched |= set(fold.jobs)

    @property
    def has_changes(self) -> bool:
        """Whether the progress of some job has changed and is not being stored."""
        return bool(self._changed)

    @property
    def withholds_ends(self) -> bool:
        """Whether runners have to keep their ends, since the effects of some are not stored."""
        recent = self._refreshed_at - MAX_WITHHELD_SECONDS
        failures = (*self._unencoded.values(), *self._not_added.values())
        return any(since > recent for since in failures)

    def refresh(self, now: float, wall: float) -> None:
        """Update jobs and queues from the folds."""
        self._refreshed_at = now
        self._retry_deferred(now)
        touched, self._fold.touched = self._fold.touched, set()
        if self._unapplied:
            due = {j for j in self._unapplied if not self._errors.holds(job_item(j), now)}
            self._unapplied -= due
            touched |= due
            for job in due & self.by_id.keys():
                self._attempt(job, now, self._repeat, self.by_id[job])
        for job in sorted(touched):
            self._attempt(job, now, self._apply_row, job, now, wall)
        self._refresh_queues(now)

    def _attempt(self, job: str, now: float, function: Callable[..., None], *args: object) -> None:
        """Do a part of the work on one job, and repeat it later if it fails."""
        try:
            function(*args)
        except Exception as exc:
            self._unapplied.add(job)
            if job not in self.by_id:
                self._not_added.setdefault(job, now)
            self._errors.put_aside(job_item(job), exc, now, "refresh")

    def _repeat(self, work: JobWork) -> None:
        """Do again what may have failed for an active job."""
        self._configure(work)
        self._apply_final_state(work)

    def _apply_row(self, job: str, now: float, wall: float) -> None:
        row = self._fold.jobs.get(job)
        work = self.by_id.get(job)
        if row is None or not row.open:
            self._not_added.pop(job, None)
        if row is None:
            self._stop_job(job, "dropped")
        elif row.cancelled and work is not None:
            self._stop_job(job, JobState.CANCELLED)
        elif not row.open:
            self._awaiting_end_record.discard(job)
        elif work is None and job not in self._awaiting_end_record:
            self._add_job(job, row, now, wall)

    def preview(self, job: str, row: JobRow, now: float, wall: float) -> JobWork:
        """Return a job as it would be added, under the current configuration."""
        work = JobWork(job, row, now, wall, self._estimates)
        self._configure(work)
        return work

    def _add_job(self, job: str, row: JobRow, now: float, wall: float) -> None:
        work = self.preview(job, row, now, wall)
        self.by_id[job] = work
        self.inherited_trials.update(s.id for s in work.stages.values() if s.has_trials)
        self.inherited_losses.update(s.id for s in work.stages.values() if s.has_losses)
        if self._not_added.pop(job, None) is not None:
            self.on_added_late(work, now)

    def awaits_adding(self, job: str) -> bool:
        """Return whether a job is open, but could not be added yet."""
        return job in self._not_added

    def counted_pending(self, now: float) -> dict[str, int]:
        """Return the number of jobs without a started task, without those that fail to count."""
        try:
            return self.pending()
        except Exception as exc:
            counted = self._errors.counts.total()
            pending = self._pending_of(self._countable(now))
            self._errors.note_transient(exc, now, "claim", counted)
            return pending

    def _countable(self, now: float) -> Iterator[JobWork]:
        for work in self.by_id.values():
            try:
                self._pending_of([work])
            except Exception as exc:
                self._errors.put_aside(job_item(work.id), exc, now, "claim")
            else:
                yield work

    def pending(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return self._pending_of(self.by_id.values())

    def _pending_of(self, works: Iterable[JobWork]) -> dict[str, int]:
        counts: dict[str, int] = {}
        for work in works:
            name = work.queue.key
            counts[name] = counts.get(name, 0) + (not work.has_started)
        return counts

    def stage(self, stage: StageId) -> Stage | None:
        """Return a stage, None if its job is not active."""
        work = self.by_id.get(stage.job)
        return work.stages.get(stage) if work is not None else None

    def step_spec(self, task: TaskId) -> StepSpec:
        """Return the step of a task, also of an ended job; `UNKNOWN_STEP` if it is not recorded."""
        row = self._fold.get(task.stage.job)
        if row is None or row.accepted is None or task.stage.step >= len(row.accepted.job.steps):
            return UNKNOWN_STEP
        return row.accepted.job.steps[task.stage.step]

    def workspace(self, task: TaskId) -> str:
        """Return the workspace of a task's job, empty for none or if it is not recorded."""
        row = self._fold.get(task.stage.job)
        return row.accepted.workspace if row is not None and row.accepted else NO_WORKSPACE

    def mark_changed(self, work: JobWork) -> None:
        """Record that the progress of a job has changed; if it has ended now, stop its runs."""
        self._changed[work.id] = None
        self._attempt(work.id, self._refreshed_at, self._apply_final_state, work)

    def _apply_final_state(self, work: JobWork) -> None:
        state = work.update_final_state()
        if state is not None:
            self._changed[work.id] = None
            self._stop_all(work, str(state))
            _log_end(work, state)

    def take_progress(self) -> dict[str, Progress]:
        """Return the progress of the changed jobs, which then count as unchanged."""
        progress: dict[str, Progress] = {}
        changed, self._changed = self._changed, {}
        for job in changed:
            if job not in self.by_id:
                continue
            try:
                progress[job] = self.by_id[job].progress()
            except Exception as exc:
                self.defer_change(job, exc)
        return progress

    def defer_change(self, job: str, error: Exception) -> None:
        """Record that the progress of a job cannot be encoded; it is tried again later."""
        self._unencoded.setdefault(job, self._refreshed_at)
        self._errors.put_aside(job_item(job), error, self._refreshed_at, "progress")

    def has_deferred_change(self, job: str) -> bool:
        """Return whether the progress of a job could not be encoded."""
        return job in self._unencoded

    def _retry_deferred(self, now: float) -> None:
        """Mark the jobs as changed of which the progress is to be encoded again."""
        for job in self._unencoded:
            if not self._errors.holds(job_item(job), now):
                self._changed[job] = None

    def restore_changed(self, jobs: Iterable[str]) -> None:
        """Mark jobs whose progress was not stored as changed again."""
        self._changed.update(dict.fromkeys(jobs))

    def mark_recorded(self, progress: Mapping[str, Progress]) -> None:
        """Record that placements are stored, and remove the jobs whose end is."""
        for job, row in progress.items():
            self._unencoded.pop(job, None)
            for stored in row.stages:
                if not stored.placements:
                    continue
                stage = self.stage(stage_id(job, stored))
                if stage is not None:
                    stage.placements.mark_stored(stored.placements)
            if row.state and job in self.by_id:
                self._attempt(job, self._refreshed_at, self._remove_job, self.by_id[job])

    def _refresh_queues(self, now: float) -> None:
        current = self._config.current
        if current is None or current.version == self._config_version:
            return
        self._config_version = current.version
        for work in self.by_id.values():
            self._attempt(work.id, now, self._configure, work)

    def _configure(self, work: JobWork) -> None:
        """Apply the current configuration of a job's queue and workspace."""
        work.queue = self._config.current_queue(work.queue)
        work.set_widths(self._caps.widths(work.workspace, work.spec.steps))

    def _stop_job(self, job: str, reason: str) -> None:
        work = self.by_id.get(job)
        if work is None:
            return
        log.info("owner stops the runs of a job", extra={"job": job, "why": str(reason)})
        self._stop_all(work, str(reason))
        self._remove_job(work)

    def _stop_all(self, work: JobWork, reason: str) -> None:
        work.stages.close()
        for stage in work.stages.values():
            for run in [*stage.active_runs.values(), *stage.copies.values()]:
                self._stops.add(run, reason)

    def _remove_job(self, work: JobWork) -> None:
        self.by_id.pop(work.id, None)
        if work.row.open:
            self._awaiting_end_record.add(work.id)
        self._changed.pop(work.id, None)
        self._unencoded.pop(work.id, None)
        for stage in work.stages:
            self._speeds.discard_stage(stage)


def _log_end(work: JobWork, state: JobState) -> None:
    """Write the line of a job that has ended, with the task that failed it."""
    extra: dict[str, object] = {"job": work.id, "state": str(state)}
    task = work.given_up_task() if state is JobState.FAILED else None
    if task is not None:
        crashes = [crash._asdict() for crash in task.crashes]
        attempts = work.queue.attempts
        extra |= {"task": task.task, "failed_runs": task.failed_runs, "attempts": attempts}
        extra |= {"why": "crashes" if crashes else "failed runs", "crashes": crashes}
    log.info("job ended", extra=extra)
