"""Why the waiting tasks of a stage do not start, without I/O."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple, TypedDict

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.room_maker import MAX_RESERVED_SECONDS
from ragworttiller.scheduling.decisions.runner_rules import suitable
from ragworttiller.scheduling.decisions.start_obstacles import (
    CLOSED,
    LEAVING,
    Obstacle,
    effective,
    obstacles,
    stays,
)
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId, TaskId
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

MAX_UNSETTLED_NAMED = 5
WITHOUT_TICKET = frozenset({Obstacle.DENIED, Obstacle.NO_TICKET})


class WaitReason(StrEnum):
    """Reason why the waiting tasks of a stage do not start."""

    NOT_DUE = "not_due"
    PREDECESSORS = "predecessors"
    TAKEOVER = "takeover"
    NO_RUNNER_SUITS = "no_runner_suits"
    NO_ROOM = "no_room"
    NOT_USABLE = "not_usable"
    LIMIT = "limit"
    PROBATION = "probation"
    TRIAL = "trial"
    ADVICE = "advice"
    DENIED = "denied"
    RESERVED = "reserved"
    GANG = "gang"
    PLANNED = "planned"
    CAP = "cap"
    SHARE = "share"


class StageWait(TypedDict):
    """Wait of a stage, and what is known of the runners that could take one of its tasks.

    ``longest`` is the task that has waited for the longest, and ``seconds`` its wait. ``overdue``
    is whether it has waited for so long that it may start on runners that have failed.
    ``suspected`` counts the waiting tasks that start only as a trial, and ``unproved`` those that
    wait to learn whether their lost runners have crashed.

    ``suitable`` counts the runners that meet the rules of the stage, in any state, ``with_room``
    those of them that have room for a task, and ``usable`` those of these that nothing stands
    against. ``places`` is how many tasks have room on these, and ``on_probation`` how many of them
    take one task at a time.

    ``obstacles`` counts what stands against the runners with room; a runner counts under each
    `Obstacle` that it has, also one that an overdue stage overrides. ``not_asked`` are runners with
    room that take tasks and of which the advisor has said nothing.

    ``advice_in_flight`` is whether a call to the advisor has no answer yet, ``advice_age`` the age
    in seconds of the last call, -1 if there was none. ``reserved_on`` counts the runners on which
    room is reserved for the stage, ``reserved_left`` for how many seconds this goes on, 0 if not.

    ``unsettled`` names the first of the runners of earlier owners that keep tasks waiting, and
    ``unsettled_left`` is for how many seconds all of them may do so at most, 0 if none does.
    """

    stage: str
    queue: str
    lasting: bool
    overdue: bool
    waiting: int
    longest: str
    seconds: float
    why: str
    suspected: int
    unproved: int
    suitable: int
    with_room: int
    usable: int
    places: int
    on_probation: int
    obstacles: dict[str, int]
    not_asked: int
    advice_in_flight: bool
    advice_age: float
    reserved_on: int
    reserved_left: float
    unsettled: list[str]
    unsettled_left: float


class Candidate(NamedTuple):
    """Runner that suits a stage and has room, and the obstacles to a start there.

    ``found`` are all obstacles, and ``effective`` those of them that the stage does not override.
    """

    runner: RunnerState
    found: set[Obstacle]
    effective: set[Obstacle]


class _Runners(NamedTuple):
    """Runners that suit a stage: all, those that stay in the cell, and those with room."""

    suitable: int
    staying: int
    with_room: list[Candidate]

    @property
    def usable(self) -> list[RunnerState]:
        """Runners with room that nothing stands against."""
        return [row.runner for row in self.with_room if not row.effective]

    @property
    def open_with_room(self) -> list[Candidate]:
        """Runners with room that are not closed to the stage."""
        return [row for row in self.with_room if not row.effective & CLOSED]


class StageWaits:
    """Waits of the stages of a cell at one moment.

    Parameters
    ----------
    cell : Cell
        The cell.
    now, wall : float
        Time of the owner, and time of day in seconds since the epoch.
    """

    def __init__(self, cell: Cell, now: float, wall: float) -> None:
        self._cell = cell
        self._now = now
        self._wall = wall
        self._reserved: dict[str, list[tuple[StageId, Resources]]] | None = None

    def reason(self, work: JobWork, stage: Stage) -> WaitReason:
        """Return the first reason why waiting tasks of a stage do not start."""
        own = self._own_reason(work, stage)
        return own or self._reason_of_runners(work, stage, self._runners(work, stage))

    def describe(self, work: JobWork, stage: Stage) -> StageWait:
        """Return what is known of the wait of a stage; it looks at all runners of the cell."""
        now, tickets, longest = self._now, stage.tickets, stage.longest_waiting()
        runners = self._runners(work, stage)
        usable = runners.usable
        why = self._own_reason(work, stage) or self._reason_of_runners(work, stage, runners)
        known = tickets.allowed | tickets.denied
        counts = Counter(str(obstacle) for row in runners.with_room for obstacle in row.found)
        takeover = self._cell.takeover
        unsettled = takeover.holding(work.row, stage)
        left = (stage.reserved_since or float("-inf")) + MAX_RESERVED_SECONDS - now
        return StageWait(
            stage=str(stage.id),
            queue=work.queue.key,
            lasting=stage.spec.daemon,
            overdue=stage.overdue,
            waiting=len(stage.waiting),
            longest="" if longest is None else str(TaskId(stage.id, longest)),
            seconds=round(stage.longest_wait(now), 3),
            why=str(why),
            suspected=sum(map(stage.is_suspect, stage.waiting)),
            unproved=sum(stage.awaits_proof(index, now) for index in stage.waiting),
            suitable=runners.suitable,
            with_room=len(runners.with_room),
            usable=len(usable),
            places=_places(stage, usable),
            on_probation=sum(runner.on_probation for runner in usable),
            obstacles=dict(sorted(counts.items())),
            not_asked=sum(row.runner.id not in known for row in runners.open_with_room),
            advice_in_flight=tickets.call_deadline > now,
            advice_age=-1.0 if tickets.asked_at is None else round(now - tickets.asked_at, 3),
            reserved_on=len(stage.reserved_on),
            reserved_left=round(max(left, 0.0), 3) if stage.reserved_on else 0.0,
            unsettled=unsettled[:MAX_UNSETTLED_NAMED],
            unsettled_left=round(max(takeover.seconds_held(unsettled, now), 0.0), 3),
        )

    def candidates(self, work: JobWork, stage: Stage) -> list[Candidate]:
        """Return the runners that suit a stage and have room for one of its tasks."""
        return self._runners(work, stage).with_room

    def _own_reason(self, work: JobWork, stage: Stage) -> WaitReason | None:
        """Return a reason that does not depend on runners, None if there is none."""
        if self._cell.takeover.blocks(work.row, stage):
            return WaitReason.TAKEOVER
        if work.due(stage) > self._wall:
            return WaitReason.NOT_DUE
        if not work.predecessors_complete(stage):
            return WaitReason.PREDECESSORS
        if not self._cell.caps.allowed(stage, stage.longest_wait(self._now)):
            return WaitReason.CAP
        return None

    def _reason_of_runners(self, work: JobWork, stage: Stage, runners: _Runners) -> WaitReason:
        """Return the first reason that depends on runners."""
        if not runners.staying:
            return WaitReason.NO_RUNNER_SUITS
        with_room = runners.open_with_room
        if not with_room:
            return self._reason_without_room(work, stage, runners)
        for obstacle, why in (
            (Obstacle.LIMIT, WaitReason.LIMIT),
            (Obstacle.PROBATION, WaitReason.PROBATION),
        ):
            with_room = [row for row in with_room if obstacle not in row.effective]
            if not with_room:
                return why
        with_ticket = [row for row in with_room if not row.effective & WITHOUT_TICKET]
        if not with_ticket:
            denied = all(Obstacle.DENIED in row.effective for row in with_room)
            return WaitReason.DENIED if denied else WaitReason.ADVICE
        if all(Obstacle.RESERVED in row.effective for row in with_ticket):
            return WaitReason.RESERVED
        if stage.spec.gang:
            return WaitReason.GANG
        suspected = all(stage.is_suspect(index) for index in stage.waiting)
        return WaitReason.TRIAL if suspected else WaitReason.PLANNED

    def _reason_without_room(self, work: JobWork, stage: Stage, runners: _Runners) -> WaitReason:
        """Return why no runner that takes tasks has room."""
        if any(not row.found & LEAVING for row in runners.with_room):
            return WaitReason.NOT_USABLE
        cell = self._cell
        over = cell.owed.is_beyond(work.id) or cell.shares.over_share(stage.workspace)
        return WaitReason.SHARE if over else WaitReason.NO_ROOM

    def _runners(self, work: JobWork, stage: Stage) -> _Runners:
        """Look at all runners of the cell for those that suit a stage."""
        everyone = self._cell.runners.values()
        suits = suitable(everyone, work.queue.upstream, stage.spec, stage.overdue)
        running = stage.runs_by_runner()
        size, needs_ticket = stage.spec.reservation, work.queue.advice is not None
        rows: list[Candidate] = []
        for runner in suits:
            if not size.fits(runner.free):
                continue
            reserved = self._reserved_for_others(stage, runner.id)
            found = obstacles(runner, stage, running[runner.id], needs_ticket, reserved, self._now)
            rows.append(Candidate(runner, found, effective(found, runner, stage, self._now)))
        return _Runners(len(suits), sum(map(stays, suits)), rows)

    def _reserved_for_others(self, stage: Stage, runner: str) -> Resources | None:
        """Return what the last pass reserved on a runner for other stages, None for nothing."""
        if self._reserved is None:
            self._reserved = self._reservations()
        if runner not in self._reserved:
            return None
        total = NO_RESOURCES
        for name, size in self._reserved[runner]:
            if name != stage.id:
                total = total.plus(size)
        return total

    def _reservations(self) -> dict[str, list[tuple[StageId, Resources]]]:
        """Return the stages for which room is reserved on each runner, and the size of a task."""
        rows: dict[str, list[tuple[StageId, Resources]]] = {}
        for work in self._cell.jobs.values():
            for stage in work.waiting_stages():
                if stage.blocked_since is None:
                    continue
                for runner in stage.reserved_on:
                    rows.setdefault(runner, []).append((stage.id, stage.spec.reservation))
        return rows


def _places(stage: Stage, runners: list[RunnerState]) -> int:
    """Return how many tasks of a stage have room on some runners at once."""
    spec, running = stage.spec, stage.runs_by_runner()
    return sum(
        spec.reservation.copies_in(r.free, (spec.per_runner or spec.tasks) - running[r.id])
        for r in runners
    )
