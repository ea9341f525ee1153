"""Relief of serving tasks that are over their target: filling tasks beside them are slowed down."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.tails import Tail

# Percent of filling tasks by level of relief.
PERCENTS = (100, 50, 0)
HIGHEST_LEVEL = len(PERCENTS) - 1
# Quarters of the bound after which filling tasks are stopped.
STOP_QUARTERS = 3
CALM_SECONDS = 1.0
# A tail that is over its target so soon after a step of restoring was restored too early.
REBOUND_SECONDS = 5.0
MAX_CALM_SECONDS = 32.0
HALF_LEVEL = 1


class Beside(NamedTuple):
    """Tails of the serving runs on a runner, None for those not reported, and its filling runs."""

    tails: Sequence[Tail | None]
    filling: Sequence[Run]


class RunnerRelief:
    """Relief on one runner; all times are in seconds.

    Parameters
    ----------
    bound : float
        Longest time for which a tail may be over its target because of filling tasks.
    level : int
        Level to begin with: 0 for none, 1 for half pace, 2 for no work.

    Attributes
    ----------
    level : int
        Level now.
    over_since : float or None
        Time since which a tail is over its target, None if none is.
    closed_until : float
        Time until which no filling task joins the serving ones.
    calm_seconds : float
        Calm that is asked for before the next step of restoring.
    """

    def __init__(self, bound: float, level: int = 0, now: float = float("-inf")) -> None:
        self._bound = bound
        self._quarter = bound / (STOP_QUARTERS + 1)
        self.level = level
        self.over_since: float | None = None
        self.closed_until = float("-inf")
        self.calm_seconds = CALM_SECONDS
        self._level_when_over = level
        self._changed_at = now
        self._restored_at = float("-inf")
        self._moved_at = float("-inf")

    def update(self, beside: Beside, now: float) -> None:
        """Set the level by the last reports."""
        tails = [tail for tail in beside.tails if tail is not None]
        starts = [tail.over_since for tail in tails if tail.over_since is not None]
        if not beside.tails:
            self.over_since = None
            self._set_level(0, now)
        elif starts:
            self._escalate(min(starts), now)
        else:
            self.over_since = None
            self._restore(beside.tails, now)

    def runs_to_stop(
        self, filling: Sequence[Run], harm: Callable[[Run], float], now: float
    ) -> list[Run]:
        """Return the filling runs to stop now.

        A run without a confirmed pace of 0 may still disturb. Of the others, one is moved in each
        ``bound``: the one with the highest ``harm``, or else the one that started last.
        """
        if not self.near_bound(now):
            return []
        stops = [run for run in filling if not run.pace.stopped]
        if not stops and filling and now - self._moved_at >= self._bound:
            stops = [max(filling, key=lambda run: (harm(run), run.started_at))]
        if stops:
            self._moved_at = now
        return stops

    def near_bound(self, now: float) -> bool:
        """Return whether a tail is over its target for so long that filling tasks are stopped."""
        if self.over_since is None:
            return False
        return now - self.over_since >= STOP_QUARTERS * self._quarter

    def idle(self, now: float) -> bool:
        """Return whether nothing of the relief is left to remember."""
        quiet = self.level == 0 and self.over_since is None and now >= self.closed_until
        return quiet and now - self._changed_at > self.calm_seconds + REBOUND_SECONDS

    def _escalate(self, over_since: float, now: float) -> None:
        if self.over_since is None:
            self._level_when_over = self.level
            if now - self._restored_at < REBOUND_SECONDS:
                self.calm_seconds = min(2 * self.calm_seconds, MAX_CALM_SECONDS)
        self.over_since = over_since
        self.closed_until = now + self._bound
        steps = int((now - over_since) / self._quarter)
        self._set_level(max(self.level, min(self._level_when_over + steps, HIGHEST_LEVEL)), now)

    def _restore(self, tails: Sequence[Tail | None], now: float) -> None:
        if self.level == 0:
            if now - self._changed_at > self.calm_seconds + REBOUND_SECONDS:
                self.calm_seconds = CALM_SECONDS
            return
        for tail in tails:
            if tail is None or tail.calm_since is None:
                return
            since = max(tail.calm_since, self._changed_at)
            if tail.reported_at - since < self.calm_seconds:
                return
        self._restored_at = now
        self._set_level(self.level - 1, now)

    def _set_level(self, level: int, now: float) -> None:
        if level != self.level:
            self.level, self._changed_at = level, now
