"""Decisions of the owner of a cell: what starts, stops and is asked, without I/O."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.runners import EndedTask, Held, RunningTask
from ragworttiller.resources import NOTHING
from ragworttiller.scheduling.advice import (
    AdviceCall,
    EntryLoads,
    NameUseful,
    NamingPolicy,
    call_duration,
)
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.job_work import JobWork
from ragworttiller.scheduling.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.order import QueueOrder, SlackOrder
from ragworttiller.scheduling.placement import FastTightFit, PlacementPolicy, Placer, Room
from ragworttiller.scheduling.records import JobState, Progress, Suspect
from ragworttiller.scheduling.runner_fold import RunnerFold
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Run, RunState, Stage
from ragworttiller.scheduling.takeover import Takeover

log = logging.getLogger(__name__)

LEASE_SECONDS = 4.5
START_DEADLINE_SECONDS = 1.2
START_SLACK_SECONDS = 0.05
STOP_RETRY_SECONDS = 0.5
STALL_SECONDS = 1.5
CALLS_AHEAD = 3
GANG_PATIENCE_SECONDS = 2.0
GANG_RESERVE_SECONDS = 4.0
FAILED_ON_SECONDS = 2.0
UNKNOWN_STEP = StepSpec(1, NOTHING)


class StartOrder(NamedTuple):
    """Start of a run; ``deadline`` is on the runner's clock, in seconds."""

    run: Run
    spec: str
    deadline: float
    ticket: str


class StopOrder(NamedTuple):
    """Stop of a run."""

    run: Run
    reason: str


class Plan(NamedTuple):
    """What is to be done now."""

    starts: list[StartOrder]
    stops: list[StopOrder]
    calls: list[AdviceCall]


class Changes(NamedTuple):
    """What is to be recorded: progress by job, and by runner the ends that it may then forget.

    Jobs go on while their progress is being stored, so it is a copy.
    """

    progress: dict[str, Progress]
    ends: dict[str, int]


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
        self._listed = runners
        self._takeover = takeover
        self._lease = lease
        self._order = order or SlackOrder()
        self._placer = Placer(placement or FastTightFit())
        self._naming = naming or NameUseful()
        self._work: dict[str, JobWork] = {}
        self._dirty: dict[str, None] = {}
        self._stops: dict[tuple[TaskId, int], StopOrder] = {}
        # Jobs that have ended but whose end has not come back from the store yet.
        self._retired: set[str] = set()
        self._ended_boots: set[str] = set()
        self._version = 0
        self.loads = EntryLoads()
        self.runners: dict[str, RunnerState] = {}
        fold_jobs = set(jobs.jobs)
        jobs.touched |= fold_jobs

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._epoch

    @property
    def lease(self) -> float:
        """Length of the leases granted, in seconds."""
        return self._lease

    @property
    def jobs(self) -> dict[str, JobWork]:
        """Jobs at work, by identifier."""
        return self._work

    def follow(self, now: float, wall: float) -> None:
        """Take over what has changed in the folds."""
        self._follow_runners(now)
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
            name = queue_key(work.queue)
            counts[name] = counts.get(name, 0) + (not work.begun)
        return counts

    def roster(self) -> list[str]:
        """Return the runners to which orders may go or whose tasks may still run."""
        alive = [name for name, runner in self.runners.items() if not runner.lost]
        return sorted({*alive, *self._takeover.open})

    def suspects(self, now: float) -> list[Suspect]:
        """Return the runners out of reach, with the tasks that may still run there."""
        return [
            Suspect(runner.id, sorted({str(task) for task, _ in runner.runs}))
            for runner in self.runners.values()
            if runner.suspect(now) and not runner.lost
        ]

    def enroll(self, roster: Iterable[str]) -> None:
        """Allow starts on runners that the store now names."""
        for name in roster:
            if name in self.runners:
                self.runners[name].enrolled = True

    # Answers of runners

    def held(self, runner: RunnerState, answer: Held, now: float) -> None:
        """Take over an answer to a hold."""
        first = not runner.reached
        runner.heard(answer.clock, now)
        if first:
            runner.inherit(self._lease, now)
        self._takeover.settle(runner.id)
        for end in sorted(answer.ended):
            if end.number > runner.seen:
                runner.seen = end.number
                self._ended(runner, end, now)
        listed = set()
        for row in answer.running:
            listed.add((row.task, row.run))
            self._running(runner, row, now)
        self._expire_starts(runner, answer.clock, listed)

    def missed(self, runner: RunnerState, now: float) -> None:
        """Record that a runner did not answer."""
        runner.misses += 1
        if runner.misses == 1:
            log.info("runner does not answer", extra={"runner": runner.id})

    def gone(self, runner: RunnerState, now: float, why: str) -> None:
        """Record that a boot of a runner has surely ended."""
        self._takeover.settle(runner.id)
        self._lose(runner, now, why)
        self.runners.pop(runner.id, None)
        # The platform may go on listing the boot for a while.
        self._ended_boots.add(runner.id)

    def started(self, run: Run, now: float) -> None:
        """Record that a runner has begun a run."""
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.moved_at = now

    def start_refused(self, run: Run, reason: str, now: float) -> None:
        """Record that a start was refused; the run surely has not begun."""
        runner = self.runners.get(run.runner)
        stage = self._stage(run.task.stage)
        self._forget(run)
        if stage is not None:
            if reason == "ticket":
                stage.tickets.drop(run.runner)
            stage.requeue(run)
            self._break_gang(stage, run, now)
        if reason in ("unhealthy", "room") and runner is not None:
            runner.rest(now)

    # Decisions

    def plan(self, now: float, wall: float) -> Plan:
        """Return what is to be started, stopped and asked."""
        self._expire(now)
        plan = Plan([], [], [])
        self._plan_stops(plan, now)
        ready = self._ready(wall, now)
        usable = [runner for runner in self.runners.values() if runner.open_at(now)]
        room = Room(usable)
        blocked: Counter[str] = Counter()
        for work, stage in ready:
            fitting = self._fitting(work, stage, usable)
            placed = self._place(plan, work, stage, fitting, room, now)
            if not stage.waiting or placed and stage.spec.gang:
                continue
            stage.blocked_since = stage.blocked_since or now
            ahead = blocked[work.queue.name] < CALLS_AHEAD
            blocked[work.queue.name] += 1
            self._ask(plan, work, stage, fitting, now, ahead)
            if self._reserves(stage, now):
                break
        self._ask_ahead(plan, usable, now, wall)
        return plan

    def advised(self, call: AdviceCall, good: dict[str, str], now: float) -> None:
        """Take over an answer of the advisor."""
        self.loads.answered(call.entry, now)
        stage = self._stage(call.stage)
        if stage is not None:
            stage.tickets.asked_until = 0.0
            stage.tickets.take(call.runners, good, now, call.validity)

    def not_advised(self, call: AdviceCall, now: float) -> None:
        """Record that an entry could not get an answer of the advisor."""
        self.loads.failed(call.entry, now)
        stage = self._stage(call.stage)
        if stage is not None:
            stage.tickets.asked_until = 0.0

    # Recording

    def changes(self) -> Changes:
        """Return what is to be recorded now; it counts as taken."""
        progress = {job: self._work[job].progress() for job in self._dirty if job in self._work}
        self._dirty.clear()
        ends = {r.id: r.seen for r in self.runners.values() if r.unrecorded}
        return Changes(progress, ends)

    def recorded(self, changes: Changes) -> None:
        """Record that changes are stored, so that runners may forget their ends."""
        for name, number in changes.ends.items():
            if name in self.runners:
                self.runners[name].recorded = max(self.runners[name].recorded, number)
        for job, progress in changes.progress.items():
            if progress.state and job in self._work:
                self._retire(self._work[job])

    def not_recorded(self, changes: Changes) -> None:
        """Put changes back that were not stored."""
        self._dirty.update(dict.fromkeys(changes.progress))

    def _follow_config(self) -> None:
        current = self._config.current
        if current is None or current.version == self._version:
            return
        self._version = current.version
        for work in self._work.values():
            work.queue = self._config.renewed(work.queue)

    # Runners

    def _follow_runners(self, now: float) -> None:
        addresses = {entry.address: entry.runner for entry in self._listed.entries.values()}
        self._ended_boots &= self._listed.entries.keys()
        for entry in self._listed.entries.values():
            if entry.runner in self._ended_boots:
                continue
            runner = self.runners.get(entry.runner)
            if runner is None:
                runner = self.runners[entry.runner] = RunnerState(entry)
                log.info("runner listed", extra={"runner": entry.runner})
            if entry.draining and not runner.entry.draining:
                log.info("runner drains", extra={"runner": entry.runner, "left": entry.remaining})
            runner.entry = entry
        for name, runner in list(self.runners.items()):
            runner.listed = name in self._listed.entries
            successor = addresses.get(runner.entry.address)
            if not runner.listed and successor not in (None, name):
                self.gone(runner, now, "another boot has its address")
            elif not runner.listed and runner.idle and runner.lapsed(now):
                self.gone(runner, now, "left the list")

    def _lose(self, runner: RunnerState, now: float, why: str) -> None:
        if runner.lost:
            return
        runner.lost = True
        runs = list(runner.runs.values())
        extra = {"runner": runner.id, "why": why, "tasks": len(runs)}
        log.warning("runner lost", extra=extra)
        for run in runs:
            self._forget(run)
            stage = self._stage(run.task.stage)
            if stage is not None:
                stage.requeue(run)
                self._break_gang(stage, run, now)

    def _expire(self, now: float) -> None:
        self._takeover.expire(now)
        for runner in list(self.runners.values()):
            if runner.misses and runner.reached and not runner.lost and runner.lapsed(now):
                self._lose(runner, now, "its lease has lapsed")

    # Runs

    def _running(self, runner: RunnerState, row: RunningTask, now: float) -> None:
        run = runner.runs.get((row.task, row.run))
        if run is None:
            run = self._found(runner, row, now)
        run.observe(row.percent, row.checkpoint, row.load, now)
        stage = self._stage(row.task.stage)
        if stage is not None and self._stalled(stage, run, now):
            runner.rest(now)
            self._stop(run, "stalled")

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
            log.info("run adopted", extra=_run_fields(run))
        else:
            self._stop(run, "not wanted")
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
                self._stop(other, "done elsewhere")
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
            self._break_gang(stage, run, now)

    def _break_gang(self, stage: Stage, run: Run, now: float) -> None:
        """Stop the other members of a gang of which one has ended."""
        if not stage.spec.gang:
            return
        for other in list(stage.live.values()):
            if other.number == run.number:
                self._stop(other, "gang broken")

    def _forget(self, run: Run) -> None:
        self._stops.pop(run.key, None)
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
                log.info("start expired", extra=_run_fields(run))
                self.start_refused(run, "late", runner.last_ok)

    def _stop(self, run: Run, reason: str) -> None:
        if run.key not in self._stops:
            run.ordered_at = float("-inf")
            self._stops[run.key] = StopOrder(run, reason)

    def _plan_stops(self, plan: Plan, now: float) -> None:
        for order in self._stops.values():
            run = order.run
            if now - run.ordered_at < STOP_RETRY_SECONDS:
                continue
            if run.state is RunState.STARTING:
                continue
            run.state = RunState.STOPPING
            run.ordered_at = now
            plan.stops.append(order)

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
                self._stop(run, why)

    def _retire(self, work: JobWork) -> None:
        self._work.pop(work.id, None)
        if work.row.open:
            self._retired.add(work.id)
        self._dirty.pop(work.id, None)

    def _stage(self, stage: StageId) -> Stage | None:
        work = self._work.get(stage.job)
        return work.stages.get(stage) if work is not None else None

    # Placement

    def _ready(self, wall: float, now: float) -> list[tuple[JobWork, Stage]]:
        rows: list[tuple[tuple[float, ...], JobWork, Stage]] = []
        for work in self._work.values():
            if not work.open:
                continue
            stages = [s for s in work.ready(wall) if not self._takeover.blocks(work.row, s)]
            if stages:
                key = self._order.key(work.standing(), now)
                rows.extend((key, work, stage) for stage in stages)
        rows.sort(key=lambda row: row[0])
        return [(work, stage) for _, work, stage in rows]

    def _fitting(self, work: JobWork, stage: Stage, usable: list[RunnerState]) -> list[RunnerState]:
        spec = stage.spec
        return [
            runner
            for runner in usable
            if runner.entry.upstream == work.queue.upstream
            and (not spec.label or spec.label in runner.entry.labels)
            and spec.room.fits(runner.entry.capacity)
            and not (spec.fills and runner.serving)
        ]

    def _place(
        self,
        plan: Plan,
        work: JobWork,
        stage: Stage,
        fitting: list[RunnerState],
        room: Room,
        now: float,
    ) -> bool:
        """Start what can be placed and return whether something was."""
        if stage.spec.gang and stage.live:
            return False
        if stage.blocked_since and now - stage.blocked_since > FAILED_ON_SECONDS:
            stage.failed_on.clear()
        advised = work.queue.advice is not None
        if advised:
            fitting = [r for r in fitting if stage.tickets.ticket(r.id, now)]
        if not fitting:
            return False
        indices = self._takeover.startable(stage)
        if stage.spec.gang and len(indices) < stage.spec.tasks:
            return False
        chosen = self._placer.place(stage, fitting, room, indices, {})
        if not chosen:
            return False
        stage.blocked_since = None
        number = max(stage.next_number(i, self._epoch) for i in chosen) if stage.spec.gang else 0
        checkpoint = next(iter(stage.checkpoints.values()), "") if stage.spec.gang else None
        for index, name in chosen.items():
            runner = self.runners[name]
            run = stage.start(index, name, self._epoch, now, number)
            if checkpoint is not None:
                run.checkpoint = checkpoint
            run.start_deadline = runner.clock_at(now) + START_DEADLINE_SECONDS
            runner.add(run)
            ticket = stage.tickets.ticket(name, now) if advised else ""
            plan.starts.append(StartOrder(run, work.spec.spec, run.start_deadline, ticket))
        return True

    def _reserves(self, stage: Stage, now: float) -> bool:
        """Return whether room is to be left to a gang that has waited long."""
        if not stage.spec.gang or stage.live or stage.blocked_since is None:
            return False
        waited = now - stage.blocked_since
        return GANG_PATIENCE_SECONDS < waited < GANG_PATIENCE_SECONDS + GANG_RESERVE_SECONDS

    # Advice

    def _ask(
        self,
        plan: Plan,
        work: JobWork,
        stage: Stage,
        runners: list[RunnerState],
        now: float,
        ahead: bool,
    ) -> bool:
        """Ask about runners for a stage if that helps, and return whether a call is made."""
        cost = work.queue.advice
        if cost is None or stage.tickets.asked_until > now:
            return False
        names = self._naming.names(stage, runners, now, ahead)
        if not names:
            return False
        duration = call_duration(cost, len(names))
        entry = self.loads.choose(duration, now)
        if entry is None:
            return False
        stage.tickets.asked_until = now + duration + 2.0
        call = AdviceCall(stage.id, tuple(names), entry, duration, cost.validity, now)
        plan.calls.append(call)
        return True

    def _ask_ahead(self, plan: Plan, usable: list[RunnerState], now: float, wall: float) -> None:
        """Ask about stages whose predecessors are about to end."""
        for work in self._work.values():
            cost = work.queue.advice
            if cost is None or not work.open:
                continue
            for stage in work.stages.values():
                if not stage.waiting or not stage.spec.after or work.preceded(stage):
                    continue
                if self._ends_soon(work, stage, now, call_duration(cost, len(usable)) + 0.3):
                    fitting = self._fitting(work, stage, usable)
                    self._ask(plan, work, stage, fitting, now, True)

    def _ends_soon(self, work: JobWork, stage: Stage, now: float, within: float) -> bool:
        """Return whether all tasks that a stage waits for run and end within some seconds."""
        for before in work.before(stage):
            if before.waiting:
                return False
            for run in before.live.values():
                if run.state is not RunState.RUNNING:
                    return False
                if _left(run, before, now) > within:
                    return False
        return True


def _left(run: Run, stage: Stage, now: float) -> float:
    """Return an estimate of the seconds that a run still takes."""
    elapsed = run.moved_at - run.started_at
    if run.percent >= 5 and elapsed > 0:
        return elapsed * (100 - run.percent) / run.percent - (now - run.moved_at)
    return stage.spec.estimate - (now - run.started_at)


def _run_fields(run: Run) -> dict[str, object]:
    return {"task": str(run.task), "run": run.number, "runner": run.runner}


def queue_key(queue: Queue) -> str:
    """Return what names a queue across versions of the configuration."""
    return f"{queue.host} {queue.prefix}"
