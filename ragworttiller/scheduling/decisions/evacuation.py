"""Choice of the runs to move off draining runners, and off those that come to serve."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.runner_rules import accepts_another, suits
from ragworttiller.scheduling.decisions.successor_names import AwaitedSuccessors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage

EVACUATE_BEFORE_LEAVING_SECONDS = 1.0
# From the end of a run to its report, and from there to the order of the next start.
END_REPORT_SECONDS = 0.2
START_ORDER_SECONDS = 0.2
# Tickets that are valid for a short time only count as long as they are fresh.
MAX_SHARE_OF_VALIDITY = 0.75
# How long room is reserved, unless the stop and the next order take longer or the ticket ends.
RESERVATION_SECONDS = 2.5


class Evacuation(NamedTuple):
    """Run to stop on its runner because ``target`` can take its task.

    ``reserved_until`` is the time in seconds until which room is to be reserved there, None if the
    start is not certain. ``ticket_seconds`` is for how long the ticket is still valid, None if none
    is needed or at hand. ``last_moment`` is whether the run has to end soon in any case.
    """

    run: Run
    stage: Stage
    target: str
    reserved_until: float | None = None
    ticket_seconds: float | None = None
    last_moment: bool = False


class Departure(NamedTuple):
    """Lasting run of a stage that is to go on elsewhere, though its runner does not drain.

    If ``urgent``, it is stopped as soon as another runner seems to have room.
    """

    run: Run
    stage: Stage
    urgent: bool


class EvacuationPlan(NamedTuple):
    """Runs to stop, and the tasks by stage for which the advisor has to be asked.

    The stages are in the order in which their runners leave, or of the departures.
    """

    moves: list[Evacuation]
    awaiting: dict[StageId, AwaitedSuccessors]


class EvacuationInputs(NamedTuple):
    """What is known of runners and jobs; ``now`` is in seconds.

    ``draining`` are the runners that are about to leave, ``usable`` those on which tasks may start,
    ``reserved`` what is reserved on these for the successors of other runs, and ``ages`` tells
    which of them should stay. ``stays_within_cap`` returns whether the cap of its workspace allows
    a task of a stage that runs now to start again.
    """

    draining: Sequence[RunnerState]
    usable: Sequence[RunnerState]
    jobs: Mapping[str, JobWork]
    reserved: Mapping[str, Resources]
    ages: RunnerAges
    stays_within_cap: Callable[[Stage], bool]
    now: float


class EvacuationPolicy(ABC):
    """Chooses the runs to move off draining runners."""

    @abstractmethod
    def choose(self, inputs: EvacuationInputs) -> EvacuationPlan:
        """Return the runs to stop now, and for which stages the advisor has to be asked."""

    @abstractmethod
    def choose_departures(
        self, inputs: EvacuationInputs, departures: Iterable[Departure]
    ) -> EvacuationPlan:
        """Return the same for runs on runners that do not drain."""


class RoomOnPaper(EvacuationPolicy):
    """Move lasting tasks as soon as another runner seems to have room; the baseline.

    Runs with checkpoints move just before their runner leaves. A run stays while no other runner
    can take its task: it is at work there until the end.
    """

    @override
    def choose(self, inputs: EvacuationInputs) -> EvacuationPlan:
        targets = _Targets(inputs)
        moves = [
            Evacuation(row.run, row.stage, target)
            for row in _rows(inputs)
            if row.run.state is RunState.RUNNING
            if row.run.spec.daemon or _saves_last_checkpoint(row, inputs.now)
            if (target := targets.take_any(row)) is not None
        ]
        return EvacuationPlan(moves, {})

    @override
    def choose_departures(
        self, inputs: EvacuationInputs, departures: Iterable[Departure]
    ) -> EvacuationPlan:
        targets, plan = _Targets(inputs), EvacuationPlan([], {})
        for departure, row in _departing(inputs, departures):
            _add_uncertain(plan, row, targets, departure.urgent)
        return plan


class CertainSuccessors(EvacuationPolicy):
    """Move a lasting task only if it is certain to start on another runner at once.

    Load pattern: in a release two runners a second are replaced while the advisor is slow or fails.
    A task that is stopped before a ticket is at hand has no run for as long as the advisor takes.
    The same holds for a lasting filling task on whose runner a serving task starts.

    Shortly before its runner may leave, a run is stopped anyway if another runner seems to have
    room, since the end of a run that ends with its runner is known only after its lease. Runs with
    checkpoints move as with `RoomOnPaper`.

    Parameters
    ----------
    stop_seconds : float
        Longest time that a runner takes to stop a run.
    """

    def __init__(self, stop_seconds: float) -> None:
        self._end_seconds = stop_seconds + END_REPORT_SECONDS

    @override
    def choose(self, inputs: EvacuationInputs) -> EvacuationPlan:
        targets, now = _Targets(inputs), inputs.now
        plan = EvacuationPlan([], {})
        for row in _rows(inputs):
            if row.run.spec.daemon:
                last_moment = now >= row.leaves_at - self._end_seconds
                self._add_lasting(plan, row, targets, inputs, last_moment)
            elif row.run.state is RunState.RUNNING and _saves_last_checkpoint(row, now):
                _add_uncertain(plan, row, targets, True)
        return plan

    @override
    def choose_departures(
        self, inputs: EvacuationInputs, departures: Iterable[Departure]
    ) -> EvacuationPlan:
        targets, plan = _Targets(inputs), EvacuationPlan([], {})
        for departure, row in _departing(inputs, departures):
            self._add_lasting(plan, row, targets, inputs, departure.urgent)
        return plan

    def needed_ticket_seconds(self, validity: float) -> float:
        """Return for how long a ticket has to be valid for a run to be stopped.

        Parameters
        ----------
        validity : float
            Validity of a new ticket, in seconds.
        """
        return min(self._end_seconds + START_ORDER_SECONDS, MAX_SHARE_OF_VALIDITY * validity)

    def _add_lasting(
        self,
        plan: EvacuationPlan,
        row: _Row,
        targets: _Targets,
        inputs: EvacuationInputs,
        last_moment: bool,
    ) -> None:
        """Add the move of a lasting run, or count its task for a call to the advisor."""
        if row.run.state is RunState.STOPPING:
            if row.run.task.ordinal not in row.stage.successors:
                self._add_awaiting(plan, row, inputs.now)
            return
        certain = self._certain_move(row, targets, inputs)
        if certain is not None:
            plan.moves.append(certain._replace(last_moment=last_moment))
            return
        if last_moment and _add_uncertain(plan, row, targets, True):
            return
        if inputs.stays_within_cap(row.stage):
            self._add_awaiting(plan, row, inputs.now)

    def _add_awaiting(self, plan: EvacuationPlan, row: _Row, now: float) -> None:
        """Count a task for which the advisor has to be asked."""
        cost, name = row.work.queue.advice, row.stage.id
        if cost is None:
            return
        tasks = plan.awaiting[name].tasks if name in plan.awaiting else 0
        until = now + self.needed_ticket_seconds(cost.validity)
        plan.awaiting[name] = AwaitedSuccessors(tasks + 1, until)

    def _certain_move(
        self, row: _Row, targets: _Targets, inputs: EvacuationInputs
    ) -> Evacuation | None:
        """Return the move of a run whose task is certain to start elsewhere, None if it is not."""
        index, stage, now = row.run.task.ordinal, row.stage, inputs.now
        if not may_be_certain(stage, index) or not inputs.stays_within_cap(stage):
            return None
        cost = row.work.queue.advice
        until = now + max(RESERVATION_SECONDS, self._end_seconds + START_ORDER_SECONDS)
        if cost is None:
            target = targets.take_certain(row, None)
            return None if target is None else Evacuation(row.run, stage, target, until)
        target = targets.take_certain(row, now + self.needed_ticket_seconds(cost.validity))
        if target is None:
            return None
        valid_until = stage.tickets.valid_until(target)
        until = min(until, valid_until)
        return Evacuation(row.run, stage, target, until, valid_until - now)


def may_be_certain(stage: Stage, index: int) -> bool:
    """Return whether a task can have a certain successor.

    A gang starts whole, and a suspected task only as a trial.
    """
    return not (stage.spec.gang or stage.is_suspect(index))


class _Row(NamedTuple):
    """Run that is to leave its runner, with its job, its stage and when its runner may leave."""

    run: Run
    work: JobWork
    stage: Stage
    leaves_at: float


class _Targets:
    """Runners on which tasks may start, with what is left on them while targets are chosen."""

    def __init__(self, inputs: EvacuationInputs) -> None:
        self._usable = {runner.id: runner for runner in inputs.usable}
        self._ages = inputs.ages
        self._taken = dict(inputs.reserved)
        self._running: dict[StageId, Counter[str]] = {}

    def take_any(self, row: _Row) -> str | None:
        """Return a runner that can take a task, as far as is known, and take its room."""
        return self._take(row, next(self._open_to(row, self._usable.values()), None))

    def take_certain(self, row: _Row, ticket_until: float | None) -> str | None:
        """Return a runner on which a task is certain to start, and take its room.

        Tasks of the same stage that have no run come first. Runners that should stay are preferred,
        and of these the fullest.

        Parameters
        ----------
        row : _Row
            Run of the task.
        ticket_until : float or None
            Time in seconds until which a ticket has to be valid, None if none is needed.
        """
        stage, index = row.stage, row.run.task.ordinal
        runners: Iterable[RunnerState] = self._usable.values()
        if ticket_until is not None:
            names = stage.tickets.holders_until(ticket_until)
            runners = [self._usable[name] for name in names if name in self._usable]
        avoided = stage.last_failed_runner.get(index)
        rows = [runner for runner in self._open_to(row, runners) if runner.id != avoided]
        if len(rows) <= sum(i not in stage.successors for i in stage.waiting):
            return None
        return self._take(row, min(rows, key=self._preference))

    def _preference(self, runner: RunnerState) -> tuple[bool, int]:
        return not self._ages.is_younger(runner), self._free(runner).cpu

    def _free(self, runner: RunnerState) -> Resources:
        taken = self._taken.get(runner.id)
        return runner.free if taken is None else runner.free.minus(taken)

    def _take(self, row: _Row, runner: RunnerState | None) -> str | None:
        if runner is None:
            return None
        taken = self._taken.get(runner.id, NO_RESOURCES)
        self._taken[runner.id] = taken.plus(row.run.reservation)
        self._running[row.stage.id][runner.id] += 1
        return runner.id

    def _open_to(self, row: _Row, runners: Iterable[RunnerState]) -> Iterator[RunnerState]:
        """Yield the runners that can take a task of a stage, as far as is known."""
        stage, upstream = row.stage, row.work.queue.upstream
        if stage.id not in self._running:
            self._running[stage.id] = stage.runs_by_runner()
        on_runner = self._running[stage.id]
        denied = row.work.denied_runners(stage)
        for other in runners:
            if (
                other.id != row.run.runner
                and other.id not in denied
                and suits(other, upstream, stage.spec)
                and accepts_another(other, stage, on_runner[other.id])
                and stage.spec.reservation.fits(self._free(other))
            ):
                yield other


def _add_uncertain(plan: EvacuationPlan, row: _Row, targets: _Targets, last_moment: bool) -> bool:
    """Add the move of a run if another runner can take its task as far as is known."""
    target = targets.take_any(row)
    if target is not None:
        plan.moves.append(Evacuation(row.run, row.stage, target, last_moment=last_moment))
    return target is not None


def _rows(inputs: EvacuationInputs) -> Iterator[_Row]:
    """Yield the started runs on draining runners, those of the runners that leave first first."""
    for runner in sorted(inputs.draining, key=lambda runner: runner.leaves_at):
        for run in runner.runs.values():
            if run.state is RunState.STARTING:
                continue
            work = inputs.jobs.get(run.task.stage.job)
            stage = work.stages.get(run.task.stage) if work is not None else None
            if work is not None and stage is not None:
                yield _Row(run, work, stage, runner.leaves_at)


def _departing(
    inputs: EvacuationInputs, departures: Iterable[Departure]
) -> Iterator[tuple[Departure, _Row]]:
    """Yield the departures of runs at work whose job is active."""
    for departure in departures:
        run, stage = departure.run, departure.stage
        work = inputs.jobs.get(stage.id.job)
        if work is not None and run.state is RunState.RUNNING:
            yield departure, _Row(run, work, stage, math.inf)


def _saves_last_checkpoint(row: _Row, now: float) -> bool:
    """Return whether a run has checkpoints and is to save one before its runner leaves."""
    if not row.run.spec.checkpoints:
        return False
    return now > row.leaves_at - EVACUATE_BEFORE_LEAVING_SECONDS
