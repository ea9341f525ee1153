"""Decisions of the owner of a cell: what starts, stops and is asked, without I/O."""

from __future__ import annotations

import logging

from ragworttiller.platform.runners import EndedTask, Held, RunningTask
from ragworttiller.resources import NOTHING
from ragworttiller.scheduling.advice import AdviceCall, NameUseful, NamingPolicy
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.job_work import JobWork
from ragworttiller.scheduling.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.order import QueueOrder, SlackOrder
from ragworttiller.scheduling.orders import Changes, Plan, Stops, run_fields
from ragworttiller.scheduling.placement import FastTightFit, PlacementPolicy
from ragworttiller.scheduling.records import JobState
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
STALL_SECONDS = 1.5
UNKNOWN_STEP = StepSpec(1, NOTHING)


class Cell:
    """State of all jobs and runners, as their owner sees it.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership, also the fencing token.
    jobs : JobFold
        Jobs that the store holds.
    config : ConfigFold
        Configuration in force.
    runners : RunnerFold
        Runners that the platform lists.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    lease : float
        Length of the leases granted, in seconds.
    order, placement, naming : QueueOrder, PlacementPolicy, NamingPolicy
        Policies; those of production by default.
    """

    def __init__(
        self,
        epoch: int,
        jobs: JobFold,
        config: ConfigFold,
        runners: RunnerFold,
        takeover: Takeover,
        lease: float = LEASE_SECONDS,
        order: QueueOrder | None = None,
        placement: PlacementPolicy | None = None,
        naming: NamingPolicy | None = None,
    ) -> None:
        self._epoch = epoch
        self._fold = jobs
        self._config = config
        self._takeover = takeover
        self._lease = lease
        self._work: dict[str, JobWork] = {}
        self._dirty: dict[str, None] = {}
        self._stops = Stops()
        # Jobs that have ended but whose end has not come back from the store yet.
        self._retired: set[str] = set()
        self._version = 0
        self._speeds = Speeds()
        self._pool = RunnerPool(runners, takeover, self._end_run)
        self._planner = StagePlanner(
            epoch,
            self._pool,
            takeover,
            self._speeds,
            order or SlackOrder(),
            placement or FastTightFit(),
            naming or NameUseful(),
        )
        jobs.touched |= set(jobs.jobs)

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._epoch

    @property
    def lease(self) -> float:
        """Length of the leases granted, in seconds."""
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
        """Jobs at work, by identifier."""
        return self._work

    def refresh(self, now: float, wall: float) -> None:
        """Take over what has changed in the folds."""
        self._pool.refresh(now)
        touched, self._fold.touched = self._fold.touched, set()
        for job in touched:
            row = self._fold.jobs.get(job)
            work = self._work.get(job)
            if row is None:
                self._end_job(job, "dropped")
            elif row.cancelled and work is not None:
                self._end_job(job, JobState.CANCELLED)
            elif not row.open:
                self._retired.discard(job)
            elif work is None and job not in self._retired:
                self._work[job] = JobWork(job, row, now, wall)
                self._work[job].queue = self._config.renewed(self._work[job].queue)
        self._follow_config()

    def pending(self) -> dict[str, int]:
        """Return by queue the number of jobs of which no task has started."""
        counts: dict[str, int] = {}
        for work in self._work.values():
            name = work.queue.key
            counts[name] = counts.get(name, 0) + (not work.begun)
        return counts

    # Answers of runners

    def apply_hold_answer(self, runner: RunnerState, answer: Held, now: float) -> None:
        """Take over an answer to a hold."""
        first = not runner.reached
        runner.heard(answer.clock, now)
        if first:
            runner.inherit(self._lease, now)
        self._takeover.settle(runner.id)
        for end in sorted(answer.ended):
            if end.number > runner.last_end_seen:
                runner.last_end_seen = end.number
                self._ended(runner, end, now)
        listed = set()
        for row in answer.running:
            listed.add((row.task, row.run))
            self._running(runner, row, now)
        self._expire_starts(runner, answer.clock, listed)

    def mark_started(self, run: Run, now: float) -> None:
        """Record that a runner has begun a run."""
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.moved_at = now

    def mark_start_refused(self, run: Run, reason: str, now: float) -> None:
        """Record that a start was refused; the run surely has not begun."""
        runner = self.runners.get(run.runner)
        stage = self._stage(run.task.stage)
        self._forget(run)
        if stage is not None:
            if reason == "ticket":
                stage.tickets.drop(run.runner)
            stage.requeue(run)
            self._break_gang(stage, run)
        if reason in ("unhealthy", "room") and runner is not None:
            runner.rest(now)

    # Decisions

    def plan(self, now: float, wall: float) -> Plan:
        """Return what is to be started, stopped and asked."""
        self._pool.expire(now)
        for run in self._pool.leaving(now):
            self._stops.add(run, "runner drains")
        for run in self._pool.disturbing():
            self._stops.add(run, "serving task beside it")
        plan = Plan([], self._stops.due(now), [])
        self._planner.plan(plan, self._work.values(), now, wall)
        return plan

    def set_entries(self, names: list[str]) -> None:
        """Spread the calls to the advisor over these entries."""
        self._planner.loads.set_entries(names)

    def apply_advice(self, call: AdviceCall, good: dict[str, str], now: float) -> None:
        """Take over an answer of the advisor."""
        stage = self._end_call(call)
        if stage is not None:
            stage.tickets.take(call.runners, good, now, call.validity)

    def mark_advice_failed(self, call: AdviceCall, now: float) -> None:
        """Record that an entry could not get an answer of the advisor."""
        self._end_call(call)
        self._planner.loads.failed(call.entry, now)

    def _end_call(self, call: AdviceCall) -> Stage | None:
        """Count a call as ended and return its stage, None if its job has ended."""
        self._planner.loads.ended(call.entry, call.duration)
        stage = self._stage(call.stage)
        if stage is not None:
            stage.tickets.asked_until = 0.0
        return stage

    # Recording

    def take_changes(self) -> Changes:
        """Return what is to be recorded now; it counts as taken."""
        progress = {job: self._work[job].progress() for job in self._dirty if job in self._work}
        self._dirty.clear()
        ends = {r.id: r.last_end_seen for r in self.runners.values() if r.has_unrecorded_ends}
        return Changes(progress, ends)

    def mark_recorded(self, changes: Changes) -> None:
        """Record that changes are stored, so that runners may forget their ends."""
        for name, number in changes.ends.items():
            if name in self.runners:
                self.runners[name].last_end_recorded = max(
                    self.runners[name].last_end_recorded, number
                )
        for job, progress in changes.progress.items():
            if progress.state and job in self._work:
                self._retire(self._work[job])

    def restore_changes(self, changes: Changes) -> None:
        """Put changes back that were not stored."""
        self._dirty.update(dict.fromkeys(changes.progress))

    def _follow_config(self) -> None:
        current = self._config.current
        if current is None or current.version == self._version:
            return
        self._version = current.version
        for work in self._work.values():
            work.queue = self._config.renewed(work.queue)

    # Runs

    def _running(self, runner: RunnerState, row: RunningTask, now: float) -> None:
        run = runner.runs.get((row.task, row.run))
        if run is None:
            run = self._found(runner, row, now)
        run.observe(row.percent, row.checkpoint, row.load, now)
        stage = self._stage(row.task.stage)
        if stage is not None and self._stalled(stage, run, now):
            runner.rest(now)
            self._stops.add(run, "stalled")

    def _stalled(self, stage: Stage, run: Run, now: float) -> bool:
        spec = stage.spec
        if run.state is not RunState.RUNNING or spec.daemon or spec.fills or spec.gang:
            return False
        return now - run.moved_at > max(STALL_SECONDS, 0.05 * spec.estimate)

    def _found(self, runner: RunnerState, row: RunningTask, now: float) -> Run:
        """Take over a run that this owner has not started."""
        stage = self._stage(row.task.stage)
        index = row.task.ordinal
        run = Run(row.task, row.run, runner.id, self._spec(row.task), now)
        run.state = RunState.RUNNING
        runner.add(run)
        work = self._work.get(row.task.stage.job)
        if work is not None and work.open and stage is not None and index in stage.waiting:
            stage.adopt(run)
            log.info("run adopted", extra=run_fields(run))
        else:
            self._stops.add(run, "not wanted")
        return run

    def _spec(self, task: TaskId) -> StepSpec:
        """Return the step of a task, also of a job that has ended."""
        row = self._fold.get(task.stage.job)
        if row is None or row.accepted is None or task.stage.step >= len(row.accepted.job.steps):
            return UNKNOWN_STEP
        return row.accepted.job.steps[task.stage.step]

    def _ended(self, runner: RunnerState, end: EndedTask, now: float) -> None:
        run = runner.runs.get((end.task, end.run))
        extra = {"task": str(end.task), "run": end.run, "runner": runner.id, "how": end.how}
        log.info("run ended", extra=extra)
        if run is not None:
            run.checkpoint = end.checkpoint or run.checkpoint
            self._forget(run)
            if end.how == "done" and not run.checkpoint:
                took = now - run.started_at
                self._speeds.learn(runner.id, end.task.stage, took, now)
        stage = self._stage(end.task.stage)
        work = self._work.get(end.task.stage.job)
        if stage is None or work is None or end.task.ordinal >= stage.spec.tasks:
            return
        self._dirty[work.id] = None
        if end.how == "done" and not stage.spec.daemon:
            self._done(runner, stage, end, now)
        else:
            self._failed(runner, stage, end, run, now)
        state = work.settle()
        if state is not None:
            log.info("job ended", extra={"job": work.id, "state": str(state)})
            self._stop_all(work, str(state))

    def _done(self, runner: RunnerState, stage: Stage, end: EndedTask, now: float) -> None:
        """Record that a task has ended as done; one member of a gang stands for all."""
        runner.succeeded(now)
        finished = range(stage.spec.tasks) if stage.spec.gang else [end.task.ordinal]
        for index in finished:
            other = stage.live.get(index)
            if other is not None and other.number != end.run:
                self._stops.add(other, "done elsewhere")
            stage.finish(index)

    def _failed(
        self, runner: RunnerState, stage: Stage, end: EndedTask, run: Run | None, now: float
    ) -> None:
        index = end.task.ordinal
        if end.how == "failed":
            if not stage.spec.daemon:
                stage.fail(index, end.run)
                stage.failed_on[index] = runner.id
            if runner.failed(now):
                log.warning("runner rests", extra={"runner": runner.id, "until": runner.rest_until})
        if stage.spec.checkpoints and end.checkpoint and index not in stage.done:
            stage.checkpoints[index] = end.checkpoint
        if run is not None:
            stage.requeue(run)
            self._break_gang(stage, run)

    def _break_gang(self, stage: Stage, run: Run) -> None:
        """Stop the other members of a gang of which one has ended."""
        if not stage.spec.gang:
            return
        for other in list(stage.live.values()):
            if other.number == run.number:
                self._stops.add(other, "gang broken")

    def _end_run(self, run: Run, now: float) -> None:
        """Let the task of a run that has ended without a word wait again."""
        self._forget(run)
        stage = self._stage(run.task.stage)
        if stage is not None:
            stage.requeue(run)
            self._break_gang(stage, run)

    def _forget(self, run: Run) -> None:
        self._stops.drop(run)
        runner = self.runners.get(run.runner)
        if runner is not None:
            runner.remove(run)

    def _expire_starts(
        self, runner: RunnerState, clock: float, listed: set[tuple[TaskId, int]]
    ) -> None:
        """Give up unanswered starts that the runner will no longer carry out."""
        for run in list(runner.runs.values()):
            if run.state is not RunState.STARTING or run.key in listed:
                continue
            if clock > run.start_deadline + START_SLACK_SECONDS:
                log.info("start expired", extra=run_fields(run))
                self.mark_start_refused(run, "late", runner.last_ok)

    # Jobs

    def _end_job(self, job: str, why: str) -> None:
        work = self._work.get(job)
        if work is None:
            return
        log.info("job stops", extra={"job": job, "why": str(why)})
        self._stop_all(work, str(why))
        self._retire(work)

    def _stop_all(self, work: JobWork, why: str) -> None:
        for stage in work.stages.values():
            stage.waiting.clear()
            for run in list(stage.live.values()):
                self._stops.add(run, why)

    def _retire(self, work: JobWork) -> None:
        self._work.pop(work.id, None)
        for stage in work.stages:
            self._speeds.forget(stage)
        if work.row.open:
            self._retired.add(work.id)
        self._dirty.pop(work.id, None)

    def _stage(self, stage: StageId) -> Stage | None:
        work = self._work.get(stage.job)
        return work.stages.get(stage) if work is not None else None
