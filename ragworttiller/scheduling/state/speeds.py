"""Observed speeds of runners: task durations relative to the mean of their stage."""

from __future__ import annotations

import math

from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.kind_speeds import KindSpeeds

SMOOTHING_FACTOR = 0.2
MAX_TIME_RATIO = 8.0
# A slow runner gets fewer tasks and thus fewer samples, so its ratio decays towards 1.
DECAY_SECONDS = 15.0
# More boots of runners than that are of runners that have ended.
MAX_RUNNERS = 4096

Ratios = dict[str, tuple[float, float]]


class Speeds:
    """Relative task durations by runner, 1.0 for one as fast as the mean.

    Attributes
    ----------
    kinds : KindSpeeds
        Relative task durations by kind of runner.
    """

    def __init__(self) -> None:
        self.kinds = KindSpeeds()
        self._ratios: Ratios = {}
        # What is left of the ratios without the difference between kinds.
        self._own_ratios: Ratios = {}
        self._stages: dict[StageId, tuple[float, int]] = {}

    def time_ratio(self, runner: str, now: float) -> float:
        """Return the duration of tasks on a runner, relative to the mean of all runners."""
        return _decayed(self._ratios, runner, now)

    def time_ratio_of_kind(self, runner: str, kind: str, now: float) -> float:
        """Return the same from the ratio of the runner's kind and its own ratio within the kind."""
        return self.kinds.time_ratio(kind) * _decayed(self._own_ratios, runner, now)

    def record_duration(
        self, runner: str, stage: StageId, seconds: float, now: float, kind: str = ""
    ) -> None:
        """Record the duration of a task on a runner of a kind, in seconds.

        Parameters
        ----------
        runner : str
            Identifier of the runner.
        stage : StageId
            Stage of the task.
        seconds : float
            Duration of the task, in seconds.
        now : float
            Time in seconds.
        kind : str
            Kind of the runner; empty if the duration tells nothing of it.
        """
        own_ratio = self.kinds.record_duration(kind, stage, seconds, now)
        total, count = self._stages.get(stage, (0.0, 0))
        self._stages[stage] = (total + seconds, count + 1)
        if count == 0 or total <= 0:
            return
        _record(self._ratios, runner, seconds * count / total, now)
        _record(self._own_ratios, runner, own_ratio, now)

    def discard_stage(self, stage: StageId) -> None:
        """Discard the samples of a stage that has ended."""
        self._stages.pop(stage, None)
        self.kinds.discard_stage(stage)


def _decayed(ratios: Ratios, runner: str, now: float) -> float:
    ratio, at = ratios.get(runner, (1.0, now))
    return 1.0 + (ratio - 1.0) * math.exp(-(now - at) / DECAY_SECONDS)


def _record(ratios: Ratios, runner: str, ratio: float, now: float) -> None:
    """Add a sample to the ratio of a runner; the runner with the oldest sample may be dropped."""
    previous = _decayed(ratios, runner, now)
    ratios.pop(runner, None)
    sample = min(ratio, MAX_TIME_RATIO)
    ratios[runner] = (previous + SMOOTHING_FACTOR * (sample - previous), now)
    if len(ratios) > MAX_RUNNERS:
        del ratios[next(iter(ratios))]
