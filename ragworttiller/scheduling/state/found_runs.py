"""Runs that a runner reports and that this owner did not start: adopted, or stopped."""

from __future__ import annotations

import logging

from ragworttiller.platform.runner_answers import RunningTask
from ragworttiller.scheduling.decisions.crash_rules import exclusive_seconds
from ragworttiller.scheduling.state.active_jobs import UNKNOWN_STEP, ActiveJobs
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState
from ragworttiller.scheduling.state.takeover import Takeover
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

log = logging.getLogger(__name__)


class FoundRuns:
    """Adopts the runs that an earlier owner started, and stops those that nobody asked for.

    Parameters
    ----------
    jobs : ActiveJobs
        Jobs of the runs.
    pool : RunnerPool
        Runners of the cell.
    takeover : Takeover
        Counts the runs that are adopted.
    stops : PendingStops
        Receives runs that are to be stopped.
    copies : CopyTally
        Counts the copies of tasks.
    """

    def __init__(
        self,
        jobs: ActiveJobs,
        pool: RunnerPool,
        takeover: Takeover,
        stops: PendingStops,
        copies: CopyTally,
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._takeover = takeover
        self._stops = stops
        self._copies = copies

    def add(self, runner: RunnerState, row: RunningTask, now: float) -> Run:
        """Add a reported run, and adopt it if its task is waiting."""
        spec, workspace = self._jobs.step_spec(row.task), self._jobs.workspace(row.task)
        run = self._add_running(runner, row, spec, workspace, now)
        self.place(runner, run, now)
        return run

    def add_plainly(self, runner: RunnerState, row: RunningTask, now: float) -> Run:
        """Add a reported run after an error, with nothing that its job could fail to tell."""
        stage = self._jobs.stage(row.task.stage)
        spec = stage.spec if stage is not None else UNKNOWN_STEP
        workspace = stage.workspace if stage is not None else NO_WORKSPACE
        return self._add_running(runner, row, spec, workspace, now)

    def place(self, runner: RunnerState, run: Run, now: float) -> None:
        """Adopt a run that this owner did not start if its task is waiting, or else stop it."""
        stage, index = self._jobs.stage(run.task.stage), run.task.ordinal
        work = self._jobs.by_id.get(run.task.stage.job)
        if work is not None and work.open and stage is not None and index in stage.waiting:
            stage.adopt(run)
            if run.spec.daemon and not stage.placements.is_stored(index, runner.id):
                self._jobs.mark_changed(work)
            self._takeover.adopted += 1
            if stage.trials.get(index) == runner.id:
                seconds = exclusive_seconds(stage.crashes.get(index, []))
                self._pool.begin_trial(runner, run, now + seconds)
            log.info("run of an earlier owner adopted", extra=run_fields(run))
        elif work is not None and work.open and stage and stage.accepts_found_copy(index):
            copy = stage.adopt_copy(run)
            self._copies.adopt(copy)
            extra = {**run_fields(run), "copy": copy.number, "on": copy.runner}
            log.info("second run of a speculative task adopted", extra=extra)
        else:
            other = stage.active_runs.get(index) if stage is not None else None
            if other is not None:
                extra = {**run_fields(run), "other": other.number, "on": other.runner}
                log.warning("second run of a task found", extra=extra)
            self.stop_unasked(run)

    def adopt_plainly(self, run: Run) -> None:
        """Adopt a run if its task is waiting, after an error, or stop it if it is not known."""
        stage, index = self._jobs.stage(run.task.stage), run.task.ordinal
        if stage is not None and index in stage.waiting:
            stage.adopt(run)
        elif stage is None or not any(run is known for known in stage.runs_of(index)):
            self.stop_unasked(run)

    def stop_unasked(self, run: Run) -> None:
        """Stop a run whose task is not waiting, unless its job is still to be added."""
        if not self._jobs.awaits_adding(run.task.stage.job):
            self._stops.add(run, "task is not waiting")

    def _add_running(
        self, runner: RunnerState, row: RunningTask, spec: StepSpec, workspace: str, now: float
    ) -> Run:
        run = Run(row.task, row.run, runner.id, spec, now, workspace)
        run.measure_progress_from_next_report()
        run.state = RunState.RUNNING
        runner.add(run)
        return run
