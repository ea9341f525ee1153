"""Applies what runners report to the state of a cell: progress, ends and refused starts."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.platform.runner_answers import EndedRun, HoldAnswer, RunningTask
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.crashes import Crashes
from ragworttiller.scheduling.state.durations import Durations
from ragworttiller.scheduling.state.found_runs import FoundRuns
from ragworttiller.scheduling.state.health_tracker import HealthTracker
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.lasting_waits import LastingWaits
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.takeover import EXPIRY_MARGIN_SECONDS, Takeover
from ragworttiller.scheduling.state.work_items import items_in, runner_item, stage_id_item
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

log = logging.getLogger(__name__)

START_SLACK_SECONDS = 0.05
# Outcome of a run whose lease has expired.
LAPSED = "lapsed"
# Outcome of a run that has ended with its runner.
LOST = "lost"


class RunTracker:
    """Runs of a cell on its runners, from their start to their end.

    Parameters
    ----------
    jobs : ActiveJobs
        Jobs of the runs.
    runners : RunnerFold
        Runners listed by the platform.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    stops : PendingStops
        Receives runs that are to be stopped.
    speeds : Speeds
        Receives the durations of runs, to compare runners.
    copies : CopyTally
        Counts the copies of tasks and what becomes of them.
    durations : Durations
        Receives the durations of runs, to compare them with their estimates.
    lease : float
        Duration of the granted leases, in seconds.
    separation : SeparationPolicy
        Receives what runners report, to learn which tasks disturb each other.
    usage : WorkspaceUsage
        Receives what runs, by workspace.
    errors : ContainedErrors
        Puts runners aside on which the owner cannot work.

    Attributes
    ----------
    pool : RunnerPool
        Runners of the cell.
    lasting_waits : LastingWaits
        Times the waits of lasting tasks.
    crashes : Crashes
        Crashes of runners under their tasks.
    """

    def __init__(
        self,
        jobs: ActiveJobs,
        runners: RunnerFold,
        takeover: Takeover,
        stops: PendingStops,
        speeds: Speeds,
        copies: CopyTally,
        durations: Durations,
        lease: float,
        separation: SeparationPolicy,
        usage: WorkspaceUsage,
        errors: ContainedErrors,
    ) -> None:
        self._errors = errors
        self._jobs = jobs
        self._takeover = takeover
        self._stops = stops
        self._speeds = speeds
        self._copies = copies
        self._durations = durations
        self._lease = lease
        self._separation = separation
        self._health = HealthTracker(stops)
        self.lasting_waits = LastingWaits()
        self.pool = RunnerPool(
            runners, takeover, self._requeue_runs, self._record_ended, usage, errors
        )
        self.crashes = Crashes(jobs, self.pool, takeover)
        self._found = FoundRuns(jobs, self.pool, takeover, stops, copies)
        # Ends of runs of jobs that could not be added yet, by job.
        self._early_ends: dict[str, list[tuple[RunnerState, EndedRun]]] = {}
        jobs.on_added_late = self._apply_early_reports

    def apply_hold_answer(self, runner: RunnerState, answer: HoldAnswer, now: float) -> None:
        """Apply a runner's answer to a hold: its clock, its ended tasks and its running tasks.

        An answer that comes after its boot was removed is ignored: its tasks wait again.
        """
        if self.pool.runners.get(runner.id) is not runner:
            log.info("answer of a removed runner ignored", extra={"runner": runner.id})
            return
        first, silent = not runner.has_answered, runner.silent_seconds(now)
        newest = runner.record_answer(answer.clock, now)
        if first:
            runner.assume_earlier_lease(self._lease + EXPIRY_MARGIN_SECONDS, now)
            self.pool.record_later_boot(runner, now)
            self._note_errors("later boot", runner, now, self.crashes.record_later_boot)
        self._note_errors("crashes", runner, now, self.crashes.record_answer)
        # The running tasks of an answer that was overtaken are not applied.
        if newest and not answer.unreadable and not answer.more_ends:
            self._takeover.resolve(runner.id, "it answered", now)
        self._note_errors("separation", runner, now, self._separation.record_answer, now)
        for end in sorted(answer.ended):
            if end.number > runner.last_end_seen:
                runner.last_end_seen = end.number
                try:
                    runner.record_end(end.task, end.run)
                    self._apply_end(runner, end, silent, now)
                except Exception as exc:
                    self._contain_end(exc, runner, end, now)
        if not newest:
            return
        listed = set()
        for row in answer.running:
            if runner.has_ended(row.task, row.run):
                continue
            listed.add((row.task, row.run))
            try:
                self._apply_running(runner, row, now)
            except Exception as exc:
                self._contain_report(exc, runner, row, now)
        # An unreadable row may be that of a start without an answer.
        if not answer.more_ends and not answer.unreadable:
            self._expire_starts(runner, answer.clock, listed)

    def _contain_report(
        self, error: Exception, runner: RunnerState, row: RunningTask, now: float
    ) -> None:
        """Count a reported run after an error, so that its task starts nowhere else beside it."""
        items = [stage_id_item(row.task.stage), runner_item(runner)]
        self._errors.note(error, now, "report of a run", items)
        run = runner.runs.get((row.task, row.run))
        if run is None:
            run = self._found.add_plainly(runner, row, now)
        self._found.adopt_plainly(run)

    def _apply_early_reports(self, work: JobWork, now: float) -> None:
        """Apply what runners have reported of a job that could not be added at first."""
        for runner, end in self._early_ends.pop(work.id, []):
            try:
                self._settle_end(runner, end, None, now)
            except Exception as exc:
                self._contain_end(exc, runner, end, now)
        for runner in self.pool.runners.values():
            for run in [r for r in runner.runs.values() if r.task.stage.job == work.id]:
                try:
                    self._found.place(runner, run, now)
                except Exception as exc:
                    self._errors.note(exc, now, "report of a run", items_in((runner, run)))
                    self._found.adopt_plainly(run)

    def _contain_end(
        self, error: Exception, runner: RunnerState, end: EndedRun, now: float
    ) -> None:
        """Free the room of an ended run, and let its task be done or wait, after an error.

        The end is not applied again, and without it the task would count as running for ever.
        """
        items = [stage_id_item(end.task.stage), runner_item(runner)]
        self._errors.note(error, now, "end of a run", items)
        try:
            self._end_plainly(runner, end, now)
        except Exception as exc:
            # The other ends of the runner must go on to count.
            self._errors.note(exc, now, "end of a run, without learning from it", items)

    def _end_plainly(self, runner: RunnerState, end: EndedRun, now: float) -> None:
        self._settle_plainly(end, now)
        run = runner.runs.get((end.task, end.run))
        if run is not None:
            self._stops.drop(run)
            runner.remove(run)

    def _settle_plainly(self, end: EndedRun, now: float) -> None:
        stage, index = self._jobs.stage(end.task.stage), end.task.ordinal
        work = self._jobs.by_id.get(end.task.stage.job)
        if stage is None or work is None or index >= stage.spec.tasks:
            return
        if end.outcome == "done" and not stage.spec.daemon:
            self._mark_done(stage, end)
        else:
            if end.outcome == "failed" and not stage.spec.daemon:
                stage.add_failed_run(index, end.run)
            stage.begun = True
            for other in [r for r in stage.runs_of(index) if r.number == end.run]:
                stage.requeue(other, now)
        self._jobs.mark_changed(work)

    def mark_started(self, run: Run, now: float) -> None:
        """Record that a runner has started a run."""
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.progressed_at = now
            self._record_wait(run, now)
            runner = self.pool.runners.get(run.runner)
            if runner is not None:
                runner.next_look_at = float("-inf")

    def mark_start_refused(self, run: Run, reason: str, now: float) -> None:
        """Requeue the task of a start that was refused or has expired, and so never ran.

        A refused ticket is discarded; a runner that is unhealthy or has no room is suspended.
        """
        runner = self.pool.runners.get(run.runner)
        stage = self._jobs.stage(run.task.stage)
        self._remove_run(run, f"start refused: {reason}", now)
        if stage is not None:
            if reason == "ticket":
                stage.tickets.drop(run.runner)
            self._requeue(stage, run, "", now)
        if runner is not None:
            self._health.record_refusal(runner, reason, now)

    def _apply_running(self, runner: RunnerState, row: RunningTask, now: float) -> None:
        run = runner.runs.get((row.task, row.run))
        if run is None:
            run = self._found.add(runner, row, now)
        elif row.task.stage.job not in self._jobs.by_id:
            self._found.stop_unasked(run)
        if run.state is RunState.STARTING:
            self._record_wait(run, now)
        run.observe(row.percent, row.checkpoint, row.load, now)
        self._note_errors("separation", runner, now, self._separation.record_report, run, now)
        stage = self._jobs.stage(row.task.stage)
        if stage is not None:
            self.crashes.clear_outlived(stage, run, now)
        self._health.record_report(runner, stage, run, now)

    def _apply_end(
        self, runner: RunnerState, end: EndedRun, silent: float | None, now: float
    ) -> None:
        """Apply an end; ``silent`` is the time in seconds since the answer before this one."""
        run = runner.runs.get((end.task, end.run))
        extra: dict[str, object] = {"task": str(end.task), "run": end.run, "runner": runner.id}
        if end.outcome == LAPSED:
            granted = runner.seconds_since_grant(now)
            extra |= {"heard": silent, "granted": granted, "known": run is not None}
        log.info("run ended", extra={**extra, "how": end.outcome})
        if end.outcome == LAPSED and (run is None or run.adopted):
            self._takeover.lapsed += 1
        stage = self._jobs.stage(end.task.stage)
        if run is not None:
            run.checkpoint = end.checkpoint or run.checkpoint
            learn = self._separation.record_end
            self._note_errors("separation", runner, now, learn, run, end.outcome, now)
            first = stage is not None and end.task.ordinal not in stage.done
            self._remove_run(run, end.outcome, now, end.outcome == "done" and first)
            whole = end.outcome == "done" and not run.resumed and not run.adopted
            if whole and stage is not None:
                stage.durations.append(now - run.started_at)
        if self._jobs.awaits_adding(end.task.stage.job):
            self._early_ends.setdefault(end.task.stage.job, []).append((runner, end))
        else:
            self._settle_end(runner, end, run, now)

    def _settle_end(self, runner: RunnerState, end: EndedRun, run: Run | None, now: float) -> None:
        """Let the task of an ended run be done or wait."""
        stage = self._jobs.stage(end.task.stage)
        work = self._jobs.by_id.get(end.task.stage.job)
        if stage is None or work is None or end.task.ordinal >= stage.spec.tasks:
            return
        if run is not None and end.outcome == "done":
            self._record_duration(runner, work, stage, run, now)
        if end.outcome == "done" and not stage.spec.daemon:
            self._apply_done(runner, stage, end, now)
            if stage.complete:
                self._speeds.kinds.end_stage(stage.id, now)
        else:
            self._apply_unfinished(runner, stage, end, run, now)
        self._jobs.mark_changed(work)

    def _record_duration(
        self, runner: RunnerState, work: JobWork, stage: Stage, run: Run, now: float
    ) -> None:
        """Record how long a run took that did all the work of its task.

        A gang is as slow as its slowest member, a filling task as the load beside it, and a task
        away from its data is slow on each kind: these tell nothing of the runner's kind.
        """
        spec = stage.spec
        if run.resumed or run.adopted or spec.daemon:
            return
        seconds, labels = now - run.started_at, runner.entry.labels
        away = bool(spec.data_rack) and spec.data_rack not in labels
        kind = "" if spec.gang or spec.fills or away else runner.entry.kind
        self._speeds.record_duration(runner.id, stage.id, seconds, now, kind)
        corrected = seconds / self._speeds.kinds.time_ratio(kind)
        stage.record_duration(corrected)
        self._durations.record(work.duration_key(stage), corrected, spec.estimate, now)

    def _apply_done(self, runner: RunnerState, stage: Stage, end: EndedRun, now: float) -> None:
        """Apply the end of a run that has done its task."""
        self._health.record_done(runner, stage, now)
        self._mark_done(stage, end)

    def _mark_done(self, stage: Stage, end: EndedRun) -> None:
        """Mark a task as done; if it belongs to a gang, mark all tasks of the gang as done."""
        finished = range(stage.spec.tasks) if stage.spec.gang else [end.task.ordinal]
        for index in finished:
            for other in stage.runs_of(index):
                if other.number != end.run:
                    self._stops.add(other, "done elsewhere")
                    if stage.may_have_copies:
                        stage.surplus[other.key] = other
            stage.mark_done(index)

    def _apply_unfinished(
        self, runner: RunnerState, stage: Stage, end: EndedRun, run: Run | None, now: float
    ) -> None:
        index = end.task.ordinal
        stage.begun = True
        if end.outcome == "failed":
            stage.clear_crashes(index)
            if not stage.spec.daemon:
                stage.add_failed_run(index, end.run)
                stage.last_failed_runner[index] = runner.id
            self._health.record_failure(runner, stage, run, now)
        if stage.spec.checkpoints and end.checkpoint and index not in stage.done:
            stage.checkpoints[index] = end.checkpoint
        if run is not None:
            self._requeue(stage, run, end.outcome, now)

    def _record_wait(self, run: Run, now: float) -> None:
        """Record that a run is known to have started."""
        stage = self._jobs.stage(run.task.stage)
        if stage is not None:
            self.lasting_waits.record_start(stage, run, now)

    def _requeue(self, stage: Stage, run: Run, outcome: str, now: float) -> None:
        """Let the task of an ended run go on as its copy, or wait if it has none.

        The ``outcome`` is empty if the run has never begun.
        """
        promoted = stage.requeue(run, now, bool(outcome))
        if outcome:
            self.lasting_waits.record_end(stage, run, outcome, now)
        else:
            self.lasting_waits.record_refusal(stage, run)
        if promoted is not None:
            self._copies.promote(promoted)
        self._break_gang(stage, run)

    def _break_gang(self, stage: Stage, run: Run) -> None:
        """Stop the remaining runs of a gang after one has ended or its start was refused."""
        if not stage.spec.gang:
            return
        for other in list(stage.active_runs.values()):
            if other.number == run.number:
                self._stops.add(other, "gang incomplete")

    def _requeue_runs(self, runner: RunnerState, now: float) -> None:
        """Requeue the tasks of a lost runner's runs, which were never reported as ended."""
        try:
            blamed = self.crashes.blame(runner, now)
        except Exception as exc:
            blamed = None
            self._errors.note(exc, now, "blame for a lost runner", [runner_item(runner)])
        for run in list(runner.runs.values()):
            self._requeue_lost(runner, run, now)
        if blamed is not None:
            self._note_errors("lost runner", runner, now, self.crashes.record_lost, blamed, now)

    def _requeue_lost(self, runner: RunnerState, run: Run, now: float) -> None:
        """Requeue the task of a run on a lost runner, which nobody would report later."""
        stage = self._jobs.stage(run.task.stage)
        try:
            self._remove_run(run, LOST, now)
            runner.remove(run)
            if stage is not None:
                self._requeue(stage, run, LOST, now)
        except Exception as exc:
            self._errors.note(exc, now, "run on a lost runner", items_in((runner, run)))
            if stage is not None:
                stage.requeue(run, now)
            self._note_errors("room of a lost runner", runner, now, RunnerState.remove, run)

    def _record_ended(self, runner: RunnerState, now: float) -> None:
        self._note_errors("ended boot", runner, now, self.crashes.record_ended)

    def _note_errors(
        self,
        step: str,
        runner: RunnerState,
        now: float,
        function: Callable[..., object],
        *args: object,
    ) -> None:
        """Record something about a runner of which no error may keep its answer from counting."""
        try:
            function(runner, *args)
        except Exception as exc:
            self._errors.note(exc, now, step, [runner_item(runner)])

    def _remove_run(self, run: Run, outcome: str, now: float, completes: bool = False) -> None:
        """Remove an ended run; ``completes`` is whether it is the first to complete its task."""
        self._stops.drop(run)
        self._copies.end(run, outcome, completes, now)
        stage = self._jobs.stage(run.task.stage)
        if stage is not None:
            stage.surplus.pop(run.key, None)
        runner = self.pool.runners.get(run.runner)
        if runner is not None:
            runner.remove(run)

    def _expire_starts(
        self, runner: RunnerState, clock: float, listed: set[tuple[TaskId, int]]
    ) -> None:
        """Requeue unconfirmed starts whose deadline has passed on the runner's clock."""
        for run in list(runner.runs.values()):
            if run.state is not RunState.STARTING or run.key in listed:
                continue
            if clock > run.start_deadline + START_SLACK_SECONDS:
                log.info("unconfirmed start expired", extra=run_fields(run))
                self.mark_start_refused(run, "late", runner.last_answer_at)
