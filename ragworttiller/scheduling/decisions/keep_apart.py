"""Policy that keeps filling tasks away from serving ones while there is another place for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from typing_extensions import override

from ragworttiller.scheduling.decisions.evacuation import Departure, may_be_certain
from ragworttiller.scheduling.decisions.separation import SHARING_REASON, SeparationPolicy
from ragworttiller.scheduling.decisions.serving_relief import (
    RELIEF_REASON,
    ServingRelief,
    tasks_away,
    within_budget,
)
from ragworttiller.scheduling.state.interference import PairView
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.orders import PaceOrder, PendingStops
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.tails import CALM_SHARE

# What a runner costs whose serving tasks are near their target, in mean durations.
NOT_CALM_COST = 1.0


class KeepApart(SeparationPolicy):
    """Keep filling tasks away from serving ones, and learn nothing; the baseline.

    Load pattern: serving tasks on every runner that is left. A filling task that is overdue joins
    them then, and is paced or stopped as far as they need it. One on whose runner a serving task
    starts is stopped. If it lasts, it departs within its budget, once its task is certain to start
    elsewhere; near the bound, another runner that seems to have room is enough.

    Parameters
    ----------
    bound : float
        Longest time in seconds for which a serving task may be over its target because of filling
        tasks.
    """

    def __init__(self, bound: float) -> None:
        super().__init__()
        self._relief = ServingRelief(bound)
        self._now = 0.0
        # Tasks among the departures that have not been stopped, by stage.
        self._departing: Counter[StageId] = Counter()

    @override
    def begin(
        self,
        runners: Mapping[str, RunnerState],
        stops: PendingStops,
        stage_of: Callable[[Run], Stage | None],
        now: float,
    ) -> None:
        self._now = now
        self.departures = []
        self._departing.clear()
        self._relief.begin(runners, now)
        relieved = self._relief.runners
        # No calls for each runner, since each pass looks at all of them.
        for runner in runners.values():
            if runner.serving_runs:
                runner.admits_filling = _admits_overdue
                if runner.filling_runs:
                    self._separate(runner, stops, stage_of)
            if runner.filling_runs or runner.id in relieved:
                self._relieve(runner, stops, stage_of)

    def _separate(
        self, runner: RunnerState, stops: PendingStops, stage_of: Callable[[Run], Stage | None]
    ) -> None:
        """Stop the filling runs on a runner that are to go on elsewhere, or let them depart."""
        for run in runner.runs.values():
            if not run.spec.fills:
                continue
            stage = stage_of(run)
            if run.spec.daemon and stage is not None:
                self._depart(run, stage, runner, stops)
            elif run.spec.daemon:
                if _may_stop(run, stage, stops):
                    stops.add(run, SHARING_REASON)
            elif not _joined_serving(run, runner):
                stops.add(run, SHARING_REASON)

    def _depart(self, run: Run, stage: Stage, runner: RunnerState, stops: PendingStops) -> None:
        """Let a lasting run depart, unless too many tasks of its stage would be away."""
        if run in stops or run.state is not RunState.RUNNING:
            return
        urgent = self._relief.near_bound(runner, self._now)
        # The evacuation moves the runs of a draining runner.
        if not urgent and (runner.entry.draining or not may_be_certain(stage, run.task.ordinal)):
            return
        budget = run.spec.disruption_budget
        if not budget or tasks_away(stage, stops) + self._departing[stage.id] < budget:
            self._departing[stage.id] += 1
            self.departures.append(Departure(run, stage, urgent))

    def _relieve(
        self, runner: RunnerState, stops: PendingStops, stage_of: Callable[[Run], Stage | None]
    ) -> None:
        """Update the relief on a runner, and add the runs to stop."""
        to_stop, _ = self._relief.relieve(runner, stops, _equal_harm, self._now)
        for run in to_stop:
            if _may_stop(run, stage_of(run), stops):
                stops.add(run, RELIEF_REASON)
                self.counts["stops"] += 1

    @override
    def pace_orders(self, now: float) -> list[PaceOrder]:
        orders = self._relief.pace_orders(now)
        self.counts["paces"] += len(orders)
        return orders

    @override
    def looks(self, now: float) -> list[RunnerState]:
        return self._relief.looks(now)

    @override
    def concerns(self, stage: Stage) -> bool:
        return stage.spec.fills and stage.overdue

    @override
    def cost(self, stage: Stage, runner: RunnerState, late: bool) -> float:
        if not runner.serving_runs:
            return 0.0
        tails = [tail for _, tail in self._relief.tails_on(runner)]
        calm = all(tail is not None and tail.share <= CALM_SHARE for tail in tails)
        if calm and not self._relief.under_way(runner, self._now):
            return 0.0
        return NOT_CALM_COST

    @override
    def joins(self, stage: Stage, runner: RunnerState, running: int) -> bool:
        return True

    @override
    def record_placement(self, stage: Stage, chosen: str, instead: str) -> None:
        pass

    @override
    def record_answer(self, runner: RunnerState, now: float) -> None:
        pass

    @override
    def record_report(self, runner: RunnerState, run: Run, now: float) -> None:
        if run.spec.target:
            self._relief.tails.record(run, now)

    @override
    def record_end(self, runner: RunnerState, run: Run, outcome: str, now: float) -> None:
        pass

    @override
    def pairs(self, now: float) -> list[PairView]:
        return []


def _admits_overdue(image: str, overdue: bool) -> bool:
    return overdue


def _equal_harm(run: Run, suffering: Sequence[Run]) -> float:
    return 1.0


def _may_stop(run: Run, stage: Stage | None, stops: PendingStops) -> bool:
    """Return whether a run may be stopped; a step without a disruption budget sets no limit."""
    if run in stops:
        return False
    return not run.spec.disruption_budget or within_budget(run, stage, stops)


def _joined_serving(run: Run, runner: RunnerState) -> bool:
    """Return whether a filling run started beside serving ones, or may have."""
    return run.adopted or any(
        other.spec.target and other.started_at < run.started_at for other in runner.runs.values()
    )
