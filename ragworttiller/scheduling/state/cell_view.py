"""Read-only views of a cell for operators: runners, jobs, stages, and why a stage waits."""

from __future__ import annotations

from enum import StrEnum
from typing import TypedDict

from ragworttiller.scheduling.decisions.runner_rules import accepts_another, at_limit, suits
from ragworttiller.scheduling.state.interference import PairView
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage


class WaitReason(StrEnum):
    """Reason why the waiting tasks of a stage do not start."""

    NOT_DUE = "not_due"
    PREDECESSORS = "predecessors"
    TAKEOVER = "takeover"
    NO_RUNNER_SUITS = "no_runner_suits"
    NO_ROOM = "no_room"
    LIMIT = "limit"
    PROBATION = "probation"
    TRIAL = "trial"
    ADVICE = "advice"
    DENIED = "denied"
    GANG = "gang"
    PLANNED = "planned"
    CAP = "cap"
    SHARE = "share"


class RunnerView(TypedDict):
    """A runner; ``free`` is its unreserved processor time in thousandths of a core.

    ``heard`` is the age of its last answer in seconds, -1 if it has not answered this owner.
    """

    runner: str
    upstream: str
    address: str
    state: str
    tasks: int
    free: int
    heard: float


class StageView(TypedDict):
    """A stage; ``wait`` is the reason why its waiting tasks do not start, empty if none waits."""

    stage: str
    waiting: int
    live: int
    done: int
    failed: int
    wait: str


class LongWait(TypedDict):
    """A stage whose tasks wait for long, and what is known of the runners that could take one.

    ``seconds`` is the wait of its first task. ``with_room`` counts the suitable runners that have
    room for a task, and ``not_asked`` those of them about which the advisor was not asked.
    """

    stage: str
    waiting: int
    seconds: float
    why: str
    suitable: int
    with_room: int
    not_asked: int


class JobView(TypedDict):
    """An active job; ``age`` and the ``slack`` of its first unfinished stage are in seconds.

    ``wait`` is the reason of its first stage that waits for something other than its predecessors,
    empty if there is none.
    """

    job: str
    queue: str
    priority: int
    age: float
    slack: float
    waiting: int
    live: int
    done: int
    wait: str


class CellView:
    """Read-only views of a cell.

    Parameters
    ----------
    cell : Cell
        Cell of the owner.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def runners(self, now: float) -> list[RunnerView]:
        """Return the runners of the cell, by identifier."""
        return [
            RunnerView(
                runner=name,
                upstream=runner.entry.upstream,
                address=runner.entry.address,
                state=_state(runner, now),
                tasks=len(runner.runs),
                free=runner.free.cpu,
                heard=round(now - runner.last_answer_at, 3) if runner.has_answered else -1.0,
            )
            for name, runner in sorted(self._cell.runners.items())
        ]

    def interference(self, now: float) -> list[PairView]:
        """Return what is known of pairs of images, the largest slowdown first.

        There are none unless the policy learns them.
        """
        return self._cell.separation.pairs(now)

    def jobs(self, now: float, wall: float) -> list[JobView]:
        """Return the active jobs, oldest first."""
        jobs = sorted(self._cell.jobs.values(), key=lambda work: work.accepted_at)
        return [self._job(work, now, wall) for work in jobs]

    def stages(self, job: str, now: float, wall: float) -> list[StageView]:
        """Return the stages of a job, none if it is not active."""
        work = self._cell.jobs.get(job)
        return [self._stage(work, s, now, wall) for s in work.stages.values()] if work else []

    def long_waits(self, now: float, wall: float, min_seconds: float, most: int) -> list[LongWait]:
        """Return the stages that wait for at least ``min_seconds``, ``most`` of them at most.

        Stages of lasting tasks come first, since each has to run whenever there is room for it.
        """
        rows = [
            (not stage.spec.daemon, -stage.longest_wait(now), work, stage)
            for work in self._cell.jobs.values()
            if work.open
            for stage in work.ready(wall)
            if stage.longest_wait(now) >= min_seconds
        ]
        rows.sort(key=lambda row: row[:2])
        return [self._long_wait(work, stage, now, wall) for _, _, work, stage in rows[:most]]

    def _long_wait(self, work: JobWork, stage: Stage, now: float, wall: float) -> LongWait:
        suitable = self._suitable_runners(work, stage, now)
        with_room = [r.id for r in suitable if stage.spec.reservation.fits(r.free)]
        known = stage.tickets.allowed | stage.tickets.denied
        return LongWait(
            stage=str(stage.id),
            waiting=len(stage.waiting),
            seconds=round(stage.longest_wait(now), 3),
            why=str(self.wait_reason(work, stage, now, wall)),
            suitable=len(suitable),
            with_room=len(with_room),
            not_asked=sum(name not in known for name in with_room),
        )

    def _suitable_runners(self, work: JobWork, stage: Stage, now: float) -> list[RunnerState]:
        usable = self._cell.pool.accepting_tasks(now)
        return [r for r in usable if suits(r, work.queue.upstream, stage.spec)]

    def _job(self, work: JobWork, now: float, wall: float) -> JobView:
        stages = work.stages.values()
        unfinished = [stage for stage in stages if not stage.complete] or list(stages)
        inputs = work.order_inputs(unfinished[0], now, wall)
        reasons = [self.wait_reason(work, stage, now, wall) for stage in stages if stage.waiting]
        first = next((r for r in reasons if r is not WaitReason.PREDECESSORS), "")
        return JobView(
            job=work.id,
            queue=work.queue.key,
            priority=inputs.priority,
            age=round(now - work.accepted_at, 3),
            slack=round(inputs.since + inputs.objective - inputs.remaining - now, 3),
            waiting=sum(len(stage.waiting) for stage in stages),
            live=sum(len(stage.active_runs) + len(stage.copies) for stage in stages),
            done=sum(len(stage.done) for stage in stages),
            wait=str(first),
        )

    def _stage(self, work: JobWork, stage: Stage, now: float, wall: float) -> StageView:
        return StageView(
            stage=str(stage.id),
            waiting=len(stage.waiting),
            live=len(stage.active_runs) + len(stage.copies),
            done=len(stage.done),
            failed=sum(len(runs) for runs in stage.failed_runs.values()),
            wait=str(self.wait_reason(work, stage, now, wall)) if stage.waiting else "",
        )

    def wait_reason(self, work: JobWork, stage: Stage, now: float, wall: float) -> WaitReason:
        """Return the first reason why waiting tasks of a stage do not start."""
        if self._cell.takeover.blocks(work.row):
            return WaitReason.TAKEOVER
        if work.due(stage) > wall:
            return WaitReason.NOT_DUE
        if not work.predecessors_complete(stage):
            return WaitReason.PREDECESSORS
        if not self._cell.caps.allowed(stage, stage.longest_wait(now)):
            return WaitReason.CAP
        suitable = self._suitable_runners(work, stage, now)
        if not suitable:
            return WaitReason.NO_RUNNER_SUITS
        with_room = [r for r in suitable if stage.spec.reservation.fits(r.free)]
        if not with_room:
            over = self._cell.owed.is_beyond(work.id) or self._cell.shares.over_share(
                stage.workspace
            )
            return WaitReason.SHARE if over else WaitReason.NO_ROOM
        running = stage.runs_by_runner()
        with_room = [r for r in with_room if not at_limit(stage, running[r.id])]
        if not with_room:
            return WaitReason.LIMIT
        with_room = [r for r in with_room if accepts_another(r, stage, running[r.id])]
        if not with_room:
            return WaitReason.PROBATION
        if work.queue.advice and not any(stage.tickets.valid_ticket(r.id, now) for r in with_room):
            denied = all(r.id in stage.tickets.denied for r in with_room)
            return WaitReason.DENIED if denied else WaitReason.ADVICE
        if stage.spec.gang:
            return WaitReason.GANG
        suspected = all(stage.is_suspect(index) for index in stage.waiting)
        return WaitReason.TRIAL if suspected else WaitReason.PLANNED


def _state(runner: RunnerState, now: float) -> str:
    if runner.accepts_tasks(now):
        return "open"
    if runner.lost:
        return "lost"
    if runner.entry.draining:
        return "draining"
    if runner.misses:
        return "unreached"
    if runner.on_trial(now):
        return "trial"
    return "resting" if now < runner.suspended_until else "not_enrolled"
