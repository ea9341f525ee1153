"""Decides which runs are slow enough to be stopped and restarted on another runner."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.scheduling.state.runs import Run, RunState

# A run counts as slow if it is going to take this many times as long as is typical of its stage.
SLOW_FACTOR = 4.0
MIN_ELAPSED_SECONDS = 0.4
# A restart has to save a third of the time that it takes itself: the estimate may be wrong.
MIN_GAIN_FACTOR = 1.33


class StragglerPolicy(ABC):
    """Judges a run by its progress."""

    @abstractmethod
    def is_slow(self, run: Run, typical: float, now: float) -> bool:
        """Return whether a run is much slower than is typical of its stage.

        Parameters
        ----------
        run : Run
            Run that its runner has just reported.
        typical : float
            Typical duration of the tasks of its stage, in seconds.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def restart_ends_sooner(self, run: Run, typical: float, now: float) -> bool:
        """Return whether a slow run is to be restarted on another runner.

        Parameters
        ----------
        run, typical, now : Run, float, float
            As for `is_slow`.
        """


class KeepStragglers(StragglerPolicy):
    """Let every run end where it is; the baseline."""

    @override
    def is_slow(self, run: Run, typical: float, now: float) -> bool:
        return False

    @override
    def restart_ends_sooner(self, run: Run, typical: float, now: float) -> bool:
        return False


class RestartStragglers(StragglerPolicy):
    """Recognize slow runners by the progress of their runs, not by the ends of these.

    Load pattern: some runners turn several times slower while short tasks arrive. Until the first
    has ended there, more are placed on the runner, and all of them are late. Their progress shows
    it within a second.

    Parameters
    ----------
    stop_seconds : float
        Longest time that a run takes to stop.
    """

    def __init__(self, stop_seconds: float) -> None:
        self._stop_seconds = stop_seconds

    @override
    def is_slow(self, run: Run, typical: float, now: float) -> bool:
        if run.spec.daemon or run.spec.fills or run.state is not RunState.RUNNING:
            return False
        if now - run.started_at < MIN_ELAPSED_SECONDS:
            return False
        projected = run.projected_seconds
        return projected is not None and projected > SLOW_FACTOR * typical

    @override
    def restart_ends_sooner(self, run: Run, typical: float, now: float) -> bool:
        if run.spec.gang or not self.is_slow(run, typical, now):
            return False
        left = 1 - run.percent / 100 if run.spec.checkpoints else 1.0
        restart = self._stop_seconds + typical * left
        return run.expected_end - now > MIN_GAIN_FACTOR * restart
