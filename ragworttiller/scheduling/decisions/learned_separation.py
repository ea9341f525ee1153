"""Separation by learnt pairs of images, and relief of serving tasks beside filling ones."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

from typing_extensions import override

from ragworttiller.scheduling.decisions.pair_costs import PairCosts
from ragworttiller.scheduling.decisions.relief import HALF_LEVEL, PERCENTS, Beside, RunnerRelief
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.state.interference import Interference, PairView, Sample
from ragworttiller.scheduling.state.neighbours import Neighbours, images_now
from ragworttiller.scheduling.state.orders import PaceOrder, PendingStops, run_fields
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.tails import CALM_SHARE, Tails

log = logging.getLogger(__name__)

RELIEF_REASON = "serving task over its target"
# A tail covers half a second; reports that come faster overlap.
MIN_SAMPLE_SECONDS = 0.4
LOOK_SECONDS = 0.4
# Time after which reports show the effect of a filling task that has joined serving ones.
JOIN_SECONDS = 1.5
APART_BOUNDS = 4.0
MAX_APART_SECONDS = 120.0
RETAIN_SECONDS = 5.0


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
        self._tails = Tails()
        self._reliefs: dict[str, RunnerRelief] = {}
        self._runners: Mapping[str, RunnerState] = {}
        self._filling: list[Run] = []
        self._now = 0.0
        self._retained_at = float("-inf")
        self._sampled_at: dict[tuple[object, int], float] = {}
        self._costs = PairCosts(self._learnt, self._tails)
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
        self._filling = []
        if now - self._retained_at >= RETAIN_SECONDS:
            self._retain(now)
        for runner in runners.values():
            if runner.runs_serving_task and runner.admits_filling is None:
                runner.admits_filling = self._admission(runner)
            if runner.id in self._reliefs or runner.runs_filling_task:
                self._relieve(runner, stops, stage_of, now)

    def _relieve(
        self,
        runner: RunnerState,
        stops: PendingStops,
        stage_of: Callable[[Run], Stage | None],
        now: float,
    ) -> None:
        """Update the relief on a runner, the wanted paces, and the runs to stop."""
        serving: list[Run] = []
        filling: list[Run] = []
        for run in runner.runs.values():
            if run.spec.target and run.state is RunState.RUNNING:
                serving.append(run)
            elif run.spec.fills and run not in stops:
                filling.append(run)
        self._filling += filling
        relief = self._reliefs.get(runner.id)
        if relief is None:
            if not serving:
                return
            # An earlier owner may have slowed them down, and the tail may be low only for that.
            unknown = any(run.adopted and run.pace.confirmed is None for run in filling)
            level = HALF_LEVEL if unknown else 0
            relief = self._reliefs[runner.id] = RunnerRelief(self._bound, level, now)
        beside = Beside([self._tails.get(run) for run in serving], filling)
        relief.update(beside, now)
        for run in filling:
            run.pace.wanted = PERCENTS[relief.level]
        suffering = [run for run in serving if self._over(run)]
        for run in relief.runs_to_stop(filling, lambda run: self._harm(run, suffering), now):
            if _may_stop(run, stage_of(run), stops):
                stops.add(run, RELIEF_REASON)
                self.counts["stops"] += 1
                self._set_apart(run, suffering, now)
        if relief.idle(now) and not filling:
            del self._reliefs[runner.id]

    def _over(self, run: Run) -> bool:
        tail = self._tails.get(run)
        return tail is not None and tail.over_since is not None

    def _harm(self, run: Run, suffering: Iterable[Run]) -> float:
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
        orders: list[PaceOrder] = []
        for run in self._filling:
            if run.state is RunState.RUNNING and run.pace.due(now):
                run.pace.mark_sent(now)
                relief = self._reliefs.get(run.runner)
                over = relief.over_since if relief is not None else None
                seconds = round(now - over, 3) if over is not None else 0.0
                orders.append(PaceOrder(run, run.pace.wanted, seconds))
        self.counts["paces"] += len(orders)
        return orders

    @override
    def looks(self, now: float) -> list[RunnerState]:
        return [
            runner
            for name, relief in self._reliefs.items()
            if (relief.over_since is not None or relief.level > 0)
            and (runner := self._runners.get(name)) is not None
            and not runner.look_in_flight
            and runner.ended_at is None
            and now - runner.last_look_at >= LOOK_SECONDS
        ]

    # Placement

    def _admission(self, runner: RunnerState) -> Callable[[str], bool]:
        return lambda image: self._admits(runner, image)

    def _admits(self, runner: RunnerState, image: str) -> bool:
        """Return whether a filling task of an image may join the serving ones on a runner."""
        relief = self._reliefs.get(runner.id)
        if relief is not None and (relief.level > 0 or self._now < relief.closed_until):
            return False
        for run in runner.runs.values():
            if run.spec.fills and self._now - run.started_at < JOIN_SECONDS:
                return False
            if not run.spec.target:
                continue
            tail = self._tails.get(run)
            slowdown = self._costs.slowdown(run.image, image)
            if tail is None or tail.share * slowdown > CALM_SHARE:
                return False
            if self._now < self._apart.get((run.image, image), (0.0, 0.0))[0]:
                return False
        return True

    @override
    def joins(self, stage: Stage, runner: RunnerState, running: int) -> bool:
        return not (stage.spec.fills and runner.runs_serving_task and running)

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
        tail = self._tails.record(run, now)
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
        self._retained_at = now
        keys = {key for runner in self._runners.values() for key in runner.runs}
        self._tails.retain(keys)
        self._sampled_at = {key: at for key, at in self._sampled_at.items() if key in keys}
        self._neighbours.retain(self._runners)
        self._learnt.retain_runners(self._runners)
        for name in [name for name in self._reliefs if name not in self._runners]:
            del self._reliefs[name]
        self._apart = {
            pair: row for pair, row in self._apart.items() if now - row[0] < MAX_APART_SECONDS
        }


def _sample(runner: RunnerState, run: Run, ratio: float, beside: Mapping[str, float]) -> Sample:
    serves = bool(run.spec.target)
    return Sample(run.image, runner.id, runner.entry.kind, serves, ratio, beside)


def _may_stop(run: Run, stage: Stage | None, stops: PendingStops) -> bool:
    """Return whether a run may be stopped within the disruption budget of its step."""
    if run in stops:
        return False
    if stage is None or not (run.spec.daemon or run.spec.disruption_budget):
        return True
    active = stage.active_runs.values()
    down = sum(other.state is not RunState.RUNNING or other in stops for other in active)
    return len(stage.waiting) + down < run.spec.disruption_budget
