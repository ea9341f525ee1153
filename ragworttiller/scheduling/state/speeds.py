"""Observed speeds of runners: task durations relative to the mean of their stage."""

from __future__ import annotations

import math

from ragworttiller.scheduling.state.jobs import StageId

SMOOTHING_FACTOR = 0.2
MAX_TIME_RATIO = 8.0
# A slow runner gets fewer tasks and thus fewer samples, so its ratio decays towards 1.
DECAY_SECONDS = 15.0


class Speeds:
    """Relative task durations by runner, 1.0 for one as fast as the mean."""

    def __init__(self) -> None:
        self._ratios: dict[str, tuple[float, float]] = {}
        self._stages: dict[StageId, tuple[float, int]] = {}

    def time_ratio(self, runner: str, now: float) -> float:
        """Return the duration of tasks on a runner, relative to the mean of all runners."""
        ratio, at = self._ratios.get(runner, (1.0, now))
        return 1.0 + (ratio - 1.0) * math.exp(-(now - at) / DECAY_SECONDS)

    def record_duration(self, runner: str, stage: StageId, seconds: float, now: float) -> None:
        """Record the duration of a task on a runner, in seconds."""
        total, count = self._stages.get(stage, (0.0, 0))
        self._stages[stage] = (total + seconds, count + 1)
        if count == 0 or total <= 0:
            return
        ratio = min(seconds * count / total, MAX_TIME_RATIO)
        previous = self.time_ratio(runner, now)
        self._ratios[runner] = (previous + SMOOTHING_FACTOR * (ratio - previous), now)

    def discard_stage(self, stage: StageId) -> None:
        """Discard the samples of a stage that has ended."""
        self._stages.pop(stage, None)
