"""Learnt speeds of runners: the time that work takes there, against the mean of its stage."""

from __future__ import annotations

import math

from ragworttiller.scheduling.jobs import StageId

SMOOTHING_FACTOR = 0.2
MAX_TIME_RATIO = 8.0
# A runner that was found slow gets less work, so what was learnt fades without new readings.
DECAY_SECONDS = 15.0


class Speeds:
    """Ratios of runners, 1.0 for one as fast as the others."""

    def __init__(self) -> None:
        self._ratios: dict[str, tuple[float, float]] = {}
        self._stages: dict[StageId, tuple[float, int]] = {}

    def time_ratio(self, runner: str, now: float) -> float:
        """Return the time that work takes on a runner, against that on a mean one."""
        ratio, at = self._ratios.get(runner, (1.0, now))
        return 1.0 + (ratio - 1.0) * math.exp(-(now - at) / DECAY_SECONDS)

    def record_duration(self, runner: str, stage: StageId, seconds: float, now: float) -> None:
        """Take over that a task of a stage took some seconds on a runner."""
        total, count = self._stages.get(stage, (0.0, 0))
        self._stages[stage] = (total + seconds, count + 1)
        if count == 0 or total <= 0:
            return
        ratio = min(seconds * count / total, MAX_TIME_RATIO)
        previous = self.time_ratio(runner, now)
        self._ratios[runner] = (previous + SMOOTHING_FACTOR * (ratio - previous), now)

    def forget(self, stage: StageId) -> None:
        """Drop the readings of a stage that has ended."""
        self._stages.pop(stage, None)
