"""Decisions of the owner of a cell, without I/O: starts, stops and calls to the advisor."""

from __future__ import annotations

import logging

from ragworttiller.platform.runners import EndedRun, HoldAnswer, RunningTask
from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.advice import AdviceCall
from ragworttiller.scheduling.cell_policies import CellPolicies, default_policies
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.job_work import JobWork
from ragworttiller.scheduling.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.orders import Changes, PendingStops, Plan, run_fields
from ragworttiller.scheduling.records import JobState
from ragworttiller.scheduling.room_maker import RoomMaker
from ragworttiller.scheduling.runner_fold import RunnerFold
from ragworttiller.scheduling.runner_pool import RunnerPool
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Run, RunState, Stage
from ragworttiller.scheduling.speeds import Speeds
from ragworttiller.scheduling.stage_planner import StagePlanner
from ragworttiller.scheduling.takeover import Takeover

log = logging.getLogger(__name__)

LEASE_SECONDS = 4.5
START_SLACK_SECONDS = 0.05
MIN_STALL_SECONDS = 1.5
STALL_ESTIMATE_SHARE = 0.05
UNKNOWN_STEP = StepSpec(1, NO_RESOURCES)


class Cell:
    """State of all jobs and runners as known to the owner of the cell.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership, also the fencing token.
    jobs : JobFold
        Jobs recorded in the store.
    config : ConfigFold
        Current configuration.
    runners : RunnerFold
        Runners listed by the platform.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    lease : float
        Duration of the granted leases, in seconds.
    policies : CellPolicies, optional
        Scheduling policies; those of the default settings by default.
    """

    def __init__(
        self,
        epoch: int,
        jobs: JobFold,
        config: ConfigFold,
        runners: RunnerFold,
        takeover: Takeover,
        lease: float = LEASE_SECONDS,
        policies: CellPolicies | None = None,
    ) -> None:
        policies = policies or default_policies()
        self._observation = policies.observation
        self._epoch = epoch
        self._job_fold = jobs
        self._config = config
        self._takeover = takeover
        self._lease = lease
        self._jobs: dict[str, JobWork] = {}
        self._dirty: dict[str, None] = {}
        self._stops = PendingStops()
        # Removed jobs that the fold still shows as open because it has not read their end yet.
        self._awaiting_end_record: set[str] = set()
        self._config_version = 0
        self._speeds = Speeds()
        self._pool = RunnerPool(runners, takeover, self._requeue_run)
        self._planner = StagePlanner(
            epoch,
            self._pool,
            takeover,
            self._speeds,
            policies.order,
            policies.placement,
            policies.candidates,
            RoomMaker(self._stops, policies.victims, policies.stop_seconds),
            policies.headroom,
        )
        jobs.touched |= set(jobs.jobs)

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._epoch

    @property
    def lease(self) -> float:
        """Duration of the granted leases, in seconds."""
        return self._lease

    @property
    def takeover(self) -> Takeover:
        """Runners on which an earlier owner's tasks may still run."""
        return self._takeover

    @property
    def pool(self) -> RunnerPool:
        """Runners of the cell."""
        return self._pool

    @property
    def runners(self) -> dict[str, RunnerState]:
        """Runners of the cell, by identifier."""
        return self._pool.runners

    @property
    def jobs(self) -> dict[str, JobWork]:
        """Active jobs, by identifier."""
        return self._jobs

    def refresh(self, now: float, wall: float) -> None:
        """Update jobs, runners and queues from the folds."""
        self._pool.refresh(now)
        touched, self._job_fold.touched = self._job_fold.touched, set()
        for job in touched:
            row = self._job_fold.jobs.get(job)
            work = self._jobs.get(job)
            if row is None:
                self._stop_job(job, "dropped")
            elif row.cancelled and work is not None:
                self._stop_job(job, JobState.CANCELLED)
            elif not row.open:
                self._awaiting_end_record.discard(job)
            elif work is None and job not in self._awaiting_end_record:
                self._jobs[job] = JobWork(job, row, now, wall)
                self._jobs[job].queue = self._config.current_queue(self._jobs[job].queue)
        self._refresh_queues()

    def pending(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for work in self._jobs.values():
            name = work.queue.key
            counts[name] = counts.get(name, 0) + (not work.has_started)
        return counts

    # Answers of runners

    def apply_hold_answer(self, runner: RunnerState, answer: HoldAnswer, now: float) -> None:
        """Apply a runner's answer to a hold: its clock, its ended tasks and its running tasks."""
        first = not runner.has_answered
        newest = runner.record_answer(answer.clock, now)
        if first:
            runner.assume_earlier_lease(self._lease, now)
        self._takeover.resolve(runner.id)
        for end in sorted(answer.ended):
            if end.number > runner.last_end_seen:
                runner.last_end_seen = end.number
                runner.record_end(end.task, end.run)
                self._apply_end(runner, end, now)
        if not newest:
            return
        listed = set()
        for row in answer.running:
            if runner.has_ended(row.task, row.run):
                continue
            listed.add((row.task, row.run))
            self._apply_running(runner, row, now)
        self._expire_starts(runner, answer.clock, listed)

    def mark_started(self, run: Run, now: float) -> None:
        """Record that a runner has started a run."""
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.progressed_at = now

    def mark_start_refused(self, run: Run, reason: str, now: float) -> None:
        """Requeue the task of a start that was refused or has expired, and so never ran.

        A refused ticket is discarded; a runner that is unhealthy or has no room is suspended.
        """
        runner = self.runners.get(run.runner)
        stage = self._stage(run.task.stage)
        self._remove_run(run)
        if stage is not None:
            if reason == "ticket":
                stage.tickets.drop(run.runner)
            stage.requeue(run, now)
            self._break_gang(stage, run)
        if reason in ("unhealthy", "room") and runner is not None:
            runner.suspend(now)

    # Decisions

    def plan(self, now: float, wall: float) -> Plan:
        """Return the starts, stops and advisor calls that are due now."""
        self._pool.expire_leases(now)
        for run in self._pool.runs_to_evacuate(now):
            self._stops.add(run, "runner drains")
        for run in self._pool.filling_runs_to_stop():
            self._stops.add(run, "serving task on the runner")
        plan = Plan([], [], [], self._looks_due(now))
        self._planner.plan(plan, self._jobs, now, wall)
        plan.stops.extend(self._stops.due(now))
        return plan

    def _looks_due(self, now: float) -> list[RunnerState]:
        return [
            runner
            for runner in self.runners.values()
            if not runner.look_in_flight and self._observation.look_due(runner, now)
        ]

    def record_no_answer(self, runner: RunnerState, sent_at: float, now: float) -> None:
        """Count an order that a runner did not answer, unless it has answered a later one.

        Parameters
        ----------
        runner : RunnerState
            Runner that did not answer.
        sent_at, now : float
            Time of the order and current time, in seconds.
        """
        self._observation.record_unanswered(now)
        if runner.last_answer_at <= sent_at:
            self._pool.record_no_answer(runner)

    def record_unanswered_look(self, runner: RunnerState, sent_at: float, now: float) -> None:
        """Record a look that a runner did not answer; see `record_no_answer`."""
        self._observation.record_unanswered(now)
        if runner.last_answer_at <= sent_at and runner.record_unanswered_look():
            self._pool.record_no_answer(runner)

    def set_entries(self, names: list[str]) -> None:
        """Set the entries among which calls to the advisor are distributed."""
        self._planner.loads.set_entries(names)

    def apply_advice(self, call: AdviceCall, granted: dict[str, str], now: float) -> None:
        """Store the tickets and denials that the advisor returned for a call."""
        stage = self._end_call(call)
        if stage is not None:
            stage.tickets.record_advice(call.runners, granted, now, call.validity)

    def mark_advice_failed(self, call: AdviceCall, now: float) -> None:
        """Record that a call to the advisor failed; its entry gets no calls for a while."""
        self._end_call(call)
        self._planner.loads.mark_failed(call.entry, now)

    def _end_call(self, call: AdviceCall) -> Stage | None:
        """Mark a call as ended and return its stage, None if the job is no longer active."""
        self._planner.loads.end_call(call.entry, call.duration)
        stage = self._stage(call.stage)
        if stage is not None:
            stage.tickets.call_deadline = 0.0
        return stage

    # Recording

    def take_changes(self) -> Changes:
        """Return the changes to write to the store and clear the set of changed jobs."""
        progress = {job: self._jobs[job].progress() for job in self._dirty if job in self._jobs}
        self._dirty.clear()
        ends = {r.id: r.last_end_seen for r in self.runners.values() if r.has_unrecorded_ends}
        return Changes(progress, ends)

    def mark_recorded(self, changes: Changes) -> None:
        """Mark changes as stored: runners may discard their ends, and ended jobs are removed."""
        for name, number in changes.ends.items():
            if name in self.runners:
                self.runners[name].last_end_recorded = max(
                    self.runners[name].last_end_recorded, number
                )
        for job, progress in changes.progress.items():
            if progress.state and job in self._jobs:
                self._remove_job(self._jobs[job])

    def restore_changes(self, changes: Changes) -> None:
        """Mark the jobs of changes that were not stored as changed again."""
        self._dirty.update(dict.fromkeys(changes.progress))

    def _refresh_queues(self) -> None:
        current = self._config.current
        if current is None or current.version == self._config_version:
            return
        self._config_version = current.version
        for work in self._jobs.values():
            work.queue = self._config.current_queue(work.queue)

    # Runs

    def _apply_running(self, runner: RunnerState, row: RunningTask, now: float) -> None:
        run = runner.runs.get((row.task, row.run))
        if run is None:
            run = self._add_found_run(runner, row, now)
        run.observe(row.percent, row.checkpoint, row.load, now)
        stage = self._stage(row.task.stage)
        if stage is not None and self._stalled(stage, run, now):
            runner.suspend(now)
            self._stops.add(run, "stalled")

    def _stalled(self, stage: Stage, run: Run, now: float) -> bool:
        spec = stage.spec
        if run.state is not RunState.RUNNING or spec.daemon or spec.fills or spec.gang:
            return False
        return now - run.progressed_at > max(
            MIN_STALL_SECONDS, STALL_ESTIMATE_SHARE * spec.estimate
        )

    def _add_found_run(self, runner: RunnerState, row: RunningTask, now: float) -> Run:
        """Add a reported run that this owner did not start; adopt it if its task is waiting."""
        stage = self._stage(row.task.stage)
        index = row.task.ordinal
        run = Run(row.task, row.run, runner.id, self._step_spec(row.task), now)
        run.measure_progress_from_next_report()
        run.state = RunState.RUNNING
        runner.add(run)
        work = self._jobs.get(row.task.stage.job)
        if work is not None and work.open and stage is not None and index in stage.waiting:
            stage.adopt(run)
            log.info("run of an earlier owner adopted", extra=run_fields(run))
        else:
            self._stops.add(run, "task is not waiting")
        return run

    def _step_spec(self, task: TaskId) -> StepSpec:
        """Return the step of a task, also of an ended job; `UNKNOWN_STEP` if it is not recorded."""
        row = self._job_fold.get(task.stage.job)
        if row is None or row.accepted is None or task.stage.step >= len(row.accepted.job.steps):
            return UNKNOWN_STEP
        return row.accepted.job.steps[task.stage.step]

    def _apply_end(self, runner: RunnerState, end: EndedRun, now: float) -> None:
        run = runner.runs.get((end.task, end.run))
        extra = {"task": str(end.task), "run": end.run, "runner": runner.id, "how": end.outcome}
        log.info("run ended", extra=extra)
        if run is not None:
            run.checkpoint = end.checkpoint or run.checkpoint
            self._remove_run(run)
            if end.outcome == "done" and not run.checkpoint:
                run_seconds = now - run.started_at
                self._speeds.record_duration(runner.id, end.task.stage, run_seconds, now)
        stage = self._stage(end.task.stage)
        work = self._jobs.get(end.task.stage.job)
        if stage is None or work is None or end.task.ordinal >= stage.spec.tasks:
            return
        self._dirty[work.id] = None
        if end.outcome == "done" and not stage.spec.daemon:
            self._apply_done(runner, stage, end, now)
        else:
            self._apply_unfinished(runner, stage, end, run, now)
        state = work.update_final_state()
        if state is not None:
            log.info("job ended", extra={"job": work.id, "state": str(state)})
            self._stop_all(work, str(state))

    def _apply_done(self, runner: RunnerState, stage: Stage, end: EndedRun, now: float) -> None:
        """Mark a task as done; if it belongs to a gang, mark all tasks of the gang as done."""
        runner.record_success(now)
        finished = range(stage.spec.tasks) if stage.spec.gang else [end.task.ordinal]
        for index in finished:
            other = stage.active_runs.get(index)
            if other is not None and other.number != end.run:
                self._stops.add(other, "done elsewhere")
            stage.mark_done(index)

    def _apply_unfinished(
        self, runner: RunnerState, stage: Stage, end: EndedRun, run: Run | None, now: float
    ) -> None:
        index = end.task.ordinal
        if end.outcome == "failed":
            if not stage.spec.daemon:
                stage.add_failed_run(index, end.run)
                stage.last_failed_runner[index] = runner.id
            if runner.record_failure(now):
                log.warning(
                    "runner suspended after repeated failures",
                    extra={"runner": runner.id, "until": runner.suspended_until},
                )
        if stage.spec.checkpoints and end.checkpoint and index not in stage.done:
            stage.checkpoints[index] = end.checkpoint
        if run is not None:
            stage.requeue(run, now)
            self._break_gang(stage, run)

    def _break_gang(self, stage: Stage, run: Run) -> None:
        """Stop the remaining runs of a gang after one has ended or its start was refused."""
        if not stage.spec.gang:
            return
        for other in list(stage.active_runs.values()):
            if other.number == run.number:
                self._stops.add(other, "gang incomplete")

    def _requeue_run(self, run: Run, now: float) -> None:
        """Requeue the task of a run that ended with its runner and was never reported as ended."""
        self._remove_run(run)
        stage = self._stage(run.task.stage)
        if stage is not None:
            stage.requeue(run, now)
            self._break_gang(stage, run)

    def _remove_run(self, run: Run) -> None:
        self._stops.drop(run)
        runner = self.runners.get(run.runner)
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

    # Jobs

    def _stop_job(self, job: str, reason: str) -> None:
        work = self._jobs.get(job)
        if work is None:
            return
        log.info("owner stops the runs of a job", extra={"job": job, "why": str(reason)})
        self._stop_all(work, str(reason))
        self._remove_job(work)

    def _stop_all(self, work: JobWork, reason: str) -> None:
        for stage in work.stages.values():
            stage.waiting.clear()
            for run in list(stage.active_runs.values()):
                self._stops.add(run, reason)

    def _remove_job(self, work: JobWork) -> None:
        self._jobs.pop(work.id, None)
        for stage in work.stages:
            self._speeds.discard_stage(stage)
        if work.row.open:
            self._awaiting_end_record.add(work.id)
        self._dirty.pop(work.id, None)

    def _stage(self, stage: StageId) -> Stage | None:
        work = self._jobs.get(stage.job)
        return work.stages.get(stage) if work is not None else None
