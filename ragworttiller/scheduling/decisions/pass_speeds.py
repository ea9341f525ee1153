"""Speeds of runners in one planning pass, each computed once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ragworttiller.scheduling.state.kind_speeds import KindSpeeds
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.speeds import Speeds


class PassSpeeds:
    """Time ratios of runners, computed on demand and once in a planning pass.

    Parameters
    ----------
    speeds : Speeds
        Observed speeds of runners and of their kinds.
    """

    def __init__(self, speeds: Speeds) -> None:
        self._speeds = speeds
        self._now = 0.0
        self._ratios: dict[str, float] = {}
        self._ratios_by_kind: dict[str, float] = {}

    @property
    def kinds(self) -> KindSpeeds:
        """Observed speeds of kinds."""
        return self._speeds.kinds

    def begin(self, runners_by_kind: Mapping[str, int], now: float) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        runners_by_kind : mapping of str to int
            Number of listed runners by kind.
        now : float
            Time in seconds.
        """
        self._now = now
        self._speeds.kinds.refresh(runners_by_kind, now)
        self._ratios.clear()
        self._ratios_by_kind.clear()

    def time_ratios(self, runners: Iterable[RunnerState], by_kind: bool) -> Mapping[str, float]:
        """Return the duration of tasks on runners relative to the mean, by identifier.

        Parameters
        ----------
        runners : iterable of RunnerState
            Runners of which the ratio is needed; others may be contained.
        by_kind : bool
            Whether the difference between kinds counts in full. It is otherwise what the last tasks
            of each runner showed.
        """
        ratios = self._ratios_by_kind if by_kind else self._ratios
        for runner in runners:
            if runner.id not in ratios:
                ratios[runner.id] = self._time_ratio(runner, by_kind)
        return ratios

    def _time_ratio(self, runner: RunnerState, by_kind: bool) -> float:
        if by_kind:
            return self._speeds.time_ratio_of_kind(runner.id, runner.entry.kind, self._now)
        return self._speeds.time_ratio(runner.id, self._now)
