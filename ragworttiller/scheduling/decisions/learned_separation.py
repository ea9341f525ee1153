"""Separation by learnt pairs of images, and relief of serving tasks beside filling ones."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

from typing_extensions import override

from ragworttiller.scheduling.decisions.pair_costs import PairCosts
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.decisions.serving_relief import (
    RELIEF_REASON,
    ServingRelief,
    within_budget,
)
from ragworttiller.scheduling.state.interference import Interference, PairView, Sample
from ragworttiller.scheduling.state.neighbours import Neighbours, images_now
from ragworttiller.scheduling.state.orders import PaceOrder, PendingStops, run_fields
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage
from ragworttiller.scheduling.state.tails import CALM_SHARE

log = logging.getLogger(__name__)

# A tail covers half a second; reports that come faster overlap.
MIN_SAMPLE_SECONDS = 0.4
APART_BOUNDS = 4.0
MAX_APART_SECONDS = 120.0


class LearnedSeparation(SeparationPolicy):
    """Learn which images disturb each other, and slow filling tasks down beside serving ones.

    Parameters
    ----------
    bound : float
        Longest time in seconds for which a serving task may be over its target because of filling
        tasks.
    expected_seconds : Callable
        Returns the expected duration of a run in seconds, 0 if it is unknown; the estimate of its
        step by default.
    """

    def __init__(
        self,
        bound: float,
        expected_seconds: Callable[[Run], float] = lambda run: run.spec.estimate,
    ) -> None:
        super().__init__()
        self._bound = bound
        self._expected_seconds = expected_seconds
        self._learnt = Interference()
        self._neighbours = Neighbours()
        self._relief = ServingRelief(bound)
        self._runners: Mapping[str, RunnerState] = {}
        self._now = 0.0
        self._sampled_at: dict[tuple[object, int], float] = {}
        self._costs = PairCosts(self._learnt, self._relief.tails)
        self._apart: dict[tuple[str, str], tuple[float, float]] = {}

    # Planning

    @override
    def begin(
        self,
        runners: Mapping[str, RunnerState],
        stops: PendingStops,
        stage_of: Callable[[Run], Stage | None],
        now: float,
    ) -> None:
        self._runners, self._now = runners, now
        self._costs.begin(now)
        self.counts["pairs"] = self._learnt.size
        if self._relief.begin(runners, now):
            self._retain(now)
        for runner in runners.values():
            if runner.serving_runs and runner.admits_filling is None:
                runner.admits_filling = self._admission(runner)
            if runner.filling_runs or runner.id in self._relief.runners:
                self._relieve(runner, stops, stage_of, now)

    def _relieve(
        self,
        runner: RunnerState,
        stops: PendingStops,
        stage_of: Callable[[Run], Stage | None],
        now: float,
    ) -> None:
        """Update the relief on a runner, and add the runs to stop."""
        to_stop, suffering = self._relief.relieve(runner, stops, self._harm, now)
        for run in to_stop:
            if within_budget(run, stage_of(run), stops):
                stops.add(run, RELIEF_REASON)
                self.counts["stops"] += 1
                self._set_apart(run, suffering, now)

    def _harm(self, run: Run, suffering: Sequence[Run]) -> float:
        """Return the largest slowdown that a run is believed to cause."""
        slowdowns = (self._costs.slowdown(other.image, run.image) for other in suffering)
        return max(slowdowns, default=1.0)

    def _set_apart(self, run: Run, suffering: Iterable[Run], now: float) -> None:
        """Keep the image of a stopped run away from those that suffered, longer each time."""
        extra = {
            **run_fields(run),
            "image": run.image,
            "beside": sorted(r.image for r in suffering),
        }
        log.info("filling task moved away from a serving one", extra=extra)
        for other in suffering:
            key = (other.image, run.image)
            until, seconds = self._apart.get(key, (now, 0.0))
            if now >= until:
                recent = now - until < MAX_APART_SECONDS
                seconds = 2 * seconds if seconds and recent else APART_BOUNDS * self._bound
                seconds = min(seconds, MAX_APART_SECONDS)
                self._apart[key] = (now + seconds, seconds)

    @override
    def pace_orders(self, now: float) -> list[PaceOrder]:
        orders = self._relief.pace_orders(now)
        self.counts["paces"] += len(orders)
        return orders

    @override
    def looks(self, now: float) -> list[RunnerState]:
        return self._relief.looks(now)

    # Placement

    def _admission(self, runner: RunnerState) -> Callable[[str, bool], bool]:
        return lambda image, overdue: self._admits(runner, image)

    def _admits(self, runner: RunnerState, image: str) -> bool:
        """Return whether a filling task of an image may join the serving ones on a runner."""
        relief = self._relief
        if relief.under_way(runner, self._now) or relief.joined_lately(runner, self._now):
            return False
        for run, tail in relief.tails_on(runner):
            slowdown = self._costs.slowdown(run.image, image)
            if tail is None or tail.share * slowdown > CALM_SHARE:
                return False
            if self._now < self._apart.get((run.image, image), (0.0, 0.0))[0]:
                return False
        return True

    @override
    def joins(self, stage: Stage, runner: RunnerState, running: int) -> bool:
        return not (stage.spec.fills and runner.serving_runs and running)

    @override
    def concerns(self, stage: Stage) -> bool:
        return stage.spec.fills or self._costs.knows(stage.image)

    @override
    def cost(self, stage: Stage, runner: RunnerState, late: bool) -> float:
        return self._costs.cost(stage, runner, late)

    @override
    def record_placement(self, stage: Stage, chosen: str, instead: str) -> None:
        self.counts["placements"] += 1
        runner = self._runners.get(instead)
        if runner is not None:
            self._costs.log_choice(stage, chosen, runner)

    # Learning

    @override
    def record_answer(self, runner: RunnerState, now: float) -> None:
        self._neighbours.advance(runner, now)

    @override
    def record_report(self, runner: RunnerState, run: Run, now: float) -> None:
        if not run.spec.target:
            return
        tail = self._relief.tails.record(run, now)
        if now - self._sampled_at.get(run.key, float("-inf")) < MIN_SAMPLE_SECONDS:
            return
        self._sampled_at[run.key] = now
        if tail.share > 0:
            beside = images_now(runner, run)
            self._learnt.record(_sample(runner, run, tail.share, beside), now)

    @override
    def record_end(self, runner: RunnerState, run: Run, outcome: str, now: float) -> None:
        spec = run.spec
        expected = self._expected_seconds(run)
        comparable = not (spec.daemon or spec.fills or spec.gang or run.adopted or run.checkpoint)
        if outcome == "done" and comparable and not spec.target and expected > 0:
            beside = self._neighbours.beside(runner, run, now)
            ratio = (now - run.started_at) / expected
            self._learnt.record(_sample(runner, run, ratio, beside), now)
        self._neighbours.forget(runner, run)

    @override
    def pairs(self, now: float) -> list[PairView]:
        return self._learnt.views(now)

    def _retain(self, now: float) -> None:
        """Forget what concerns runs and runners that are gone."""
        keys = {key for runner in self._runners.values() for key in runner.runs}
        self._sampled_at = {key: at for key, at in self._sampled_at.items() if key in keys}
        self._neighbours.retain(self._runners)
        self._learnt.retain_runners(self._runners)
        self._apart = {
            pair: row for pair, row in self._apart.items() if now - row[0] < MAX_APART_SECONDS
        }


def _sample(runner: RunnerState, run: Run, ratio: float, beside: Mapping[str, float]) -> Sample:
    serves = bool(run.spec.target)
    return Sample(run.image, runner.id, runner.entry.kind, serves, ratio, beside)
