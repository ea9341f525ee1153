"""Decides which running tasks get a copy: a second run on another runner."""

from __future__ import annotations

import math
from abc import abstractmethod

from typing_extensions import override

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.straggler_policy import RunOutlook, StragglerPolicy

MAX_CAPACITY_SHARE = 0.05
# A start order, its answer and the report of the end take about this long.
START_SECONDS = 0.1


class CopyPolicy(StragglerPolicy):
    """Decides which running tasks get a copy."""

    @abstractmethod
    def budget(self, capacity: Resources) -> Resources:
        """Return what all copies together may reserve, given the capacity of all runners."""


class NoCopies(CopyPolicy):
    """Leave stragglers alone; the baseline."""

    @override
    def straggles_after(self, median: float | None, slow_after: float | None) -> float:
        return math.inf

    @override
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        return False

    @override
    def budget(self, capacity: Resources) -> Resources:
        return Resources()


class StragglerCopies(CopyPolicy):
    """Copy a run that takes twice as long as its siblings if a new run should end before it.

    Load pattern: a few tasks of a stage take several times as long as the others, for want of a
    fast runner or by chance, and the stage ends with the last of them.
    """

    @override
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        new_end = now + START_SECONDS + outlook.usual_seconds * time_ratio
        return new_end < outlook.expected_end(now)

    @override
    def budget(self, capacity: Resources) -> Resources:
        return Resources(*(int(MAX_CAPACITY_SHARE * amount) for amount in capacity))
