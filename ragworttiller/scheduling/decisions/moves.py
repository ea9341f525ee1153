"""Decides whether a straggler with a checkpoint is stopped to go on elsewhere."""

from __future__ import annotations

import math

from typing_extensions import override

from ragworttiller.scheduling.decisions.straggler_policy import RunOutlook, StragglerPolicy


class MovePolicy(StragglerPolicy):
    """Decides which stragglers are moved."""


class NoMoves(MovePolicy):
    """Leave stragglers where they are; the baseline."""

    @override
    def straggles_after(self, median: float | None, slow_after: float | None) -> float:
        return math.inf

    @override
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        return False


class CheckpointedMoves(MovePolicy):
    """Move a run that takes twice as long as its siblings if it has enough left to do.

    Parameters
    ----------
    stop_seconds : float
        Longest time that a run takes to stop.
    restore_seconds : float
        Time that a run takes to resume from a checkpoint.
    """

    def __init__(self, stop_seconds: float, restore_seconds: float) -> None:
        self._stop_seconds = stop_seconds
        self._restore_seconds = restore_seconds

    @override
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        left = outlook.expected_end(now) - now
        # The stop and restore are paid for sure, the time left is a forecast.
        if left <= 2 * self._restore_seconds + self._stop_seconds:
            return False
        rest = outlook.usual_seconds * time_ratio * (1 - outlook.run.percent / 100)
        return self._stop_seconds + self._restore_seconds + rest < left
