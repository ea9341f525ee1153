"""Relieves serving tasks that are over their target of the filling tasks beside them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from ragworttiller.scheduling.decisions.relief import HALF_LEVEL, PERCENTS, Beside, RunnerRelief
from ragworttiller.scheduling.state.orders import PaceOrder, PendingStops
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.tails import Tail, Tails

RELIEF_REASON = "serving task over its target"
LOOK_SECONDS = 0.4
# Time after which reports show the effect of a filling task that has joined serving ones.
JOIN_SECONDS = 1.5
RETAIN_SECONDS = 5.0
# Returns how much a filling run is believed to slow down some serving ones.
Harm = Callable[[Run, Sequence[Run]], float]


class ServingRelief:
    """Reliefs on the runners where filling tasks run beside serving ones.

    Parameters
    ----------
    bound : float
        Longest time in seconds for which a serving task may be over its target because of filling
        tasks.

    Attributes
    ----------
    tails : Tails
        Last reported tails of the serving runs.
    """

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self.tails = Tails()
        self._reliefs: dict[str, RunnerRelief] = {}
        self._runners: Mapping[str, RunnerState] = {}
        self._filling: list[Run] = []
        self._retained_at = float("-inf")

    @property
    def runners(self) -> Collection[str]:
        """Runners on which there is something of a relief to remember."""
        return self._reliefs.keys()

    def begin(self, runners: Mapping[str, RunnerState], now: float) -> bool:
        """Begin a planning pass, and return whether what concerns gone runs was forgotten."""
        self._runners = runners
        self._filling = []
        if now - self._retained_at < RETAIN_SECONDS:
            return False
        self._retained_at = now
        self.tails.retain({key for runner in runners.values() for key in runner.runs})
        for name in [name for name in self._reliefs if name not in runners]:
            del self._reliefs[name]
        return True

    def relieve(
        self, runner: RunnerState, stops: PendingStops, harm: Harm, now: float
    ) -> tuple[list[Run], list[Run]]:
        """Update the relief on a runner and the wanted paces there.

        Returns
        -------
        tuple of list of Run
            Filling runs that the relief asks to stop, and the serving runs that suffer.
        """
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
                return [], []
            # An earlier owner may have slowed them down, and the tail may be low only for that.
            unknown = any(run.adopted and run.pace.confirmed is None for run in filling)
            level = HALF_LEVEL if unknown else 0
            relief = self._reliefs[runner.id] = RunnerRelief(self._bound, level, now)
        beside = Beside([self.tails.get(run) for run in serving], filling)
        relief.update(beside, now)
        for run in filling:
            run.pace.wanted = PERCENTS[relief.level]
        suffering = [run for run in serving if self._over(run)]
        to_stop = relief.runs_to_stop(filling, lambda run: harm(run, suffering), now)
        if relief.idle(now) and not filling:
            del self._reliefs[runner.id]
        return list(to_stop), suffering

    def pace_orders(self, now: float) -> list[PaceOrder]:
        """Return the pace orders that are due now, and mark them as sent."""
        orders: list[PaceOrder] = []
        for run in self._filling:
            if run.state is RunState.RUNNING and run.pace.due(now):
                run.pace.mark_sent(now)
                relief = self._reliefs.get(run.runner)
                over = relief.over_since if relief is not None else None
                seconds = round(now - over, 3) if over is not None else 0.0
                orders.append(PaceOrder(run, run.pace.wanted, seconds))
        return orders

    def looks(self, now: float) -> list[RunnerState]:
        """Return the runners whose tails are to be asked for now."""
        return [
            runner
            for name, relief in self._reliefs.items()
            if (relief.over_since is not None or relief.level > 0)
            and (runner := self._runners.get(name)) is not None
            and not runner.look_in_flight
            and runner.ended_at is None
            and now - runner.last_look_at >= LOOK_SECONDS
        ]

    def under_way(self, runner: RunnerState, now: float) -> bool:
        """Return whether a runner is being relieved, or was a moment ago."""
        relief = self._reliefs.get(runner.id)
        return relief is not None and (relief.level > 0 or now < relief.closed_until)

    def near_bound(self, runner: RunnerState, now: float) -> bool:
        """Return whether a tail on a runner is over its target for nearly as long as allowed."""
        relief = self._reliefs.get(runner.id)
        return relief is not None and relief.near_bound(now)

    def joined_lately(self, runner: RunnerState, now: float) -> bool:
        """Return whether reports do not show yet what a filling task on a runner does."""
        runs = runner.runs.values()
        return any(run.spec.fills and now - run.started_at < JOIN_SECONDS for run in runs)

    def tails_on(self, runner: RunnerState) -> list[tuple[Run, Tail | None]]:
        """Return the serving runs on a runner with their tails, None for those not reported."""
        return [(run, self.tails.get(run)) for run in runner.runs.values() if run.spec.target]

    def _over(self, run: Run) -> bool:
        tail = self.tails.get(run)
        return tail is not None and tail.over_since is not None


def within_budget(run: Run, stage: Stage | None, stops: PendingStops) -> bool:
    """Return whether a run may be stopped within the disruption budget of its step.

    A lasting task without a budget may not.
    """
    if run in stops:
        return False
    if stage is None or not (run.spec.daemon or run.spec.disruption_budget):
        return True
    return tasks_away(stage, stops) < run.spec.disruption_budget


def tasks_away(stage: Stage, stops: PendingStops) -> int:
    """Return how many tasks of a stage are not at work, or about to be stopped."""
    active = stage.active_runs.values()
    down = sum(other.state is not RunState.RUNNING or other in stops for other in active)
    return len(stage.waiting) + down
