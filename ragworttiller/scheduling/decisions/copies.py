"""Decides which running tasks are stragglers, and whether a second run of one pays."""

from __future__ import annotations

import math
import statistics
from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.durations import Durations, duration_key
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runs import Run

MIN_SIBLINGS = 3
STRAGGLER_FACTOR = 2.0
MAX_CAPACITY_SHARE = 0.05
# A start order, its answer and the report of the end take about this long.
START_SECONDS = 0.1


class LearntDurations(ABC):
    """What is learnt of the durations of tasks over all jobs."""

    @abstractmethod
    def ninetieth_percentile(self, queue: str, spec: StepSpec) -> float | None:
        """Return the duration in seconds that one in ten tasks exceeds, None if it is not known.

        Parameters
        ----------
        queue : str
            Key of the queue of the task.
        spec : StepSpec
            Step of the task; tasks of one image behave alike.
        """


class UnknownDurations(LearntDurations):
    """Nothing is learnt; the baseline."""

    @override
    def ninetieth_percentile(self, queue: str, spec: StepSpec) -> float | None:
        return None


def sibling_median(seconds: Collection[float]) -> float | None:
    """Return the median duration of the ended tasks of a stage, None if they are too few."""
    return statistics.median(seconds) if len(seconds) >= MIN_SIBLINGS else None


def straggler_seconds(median: float | None, slow_after: float | None) -> float:
    """Return the duration in seconds from which a run is a straggler, infinity if unknown.

    Parameters
    ----------
    median, slow_after : float or None
        As in `RunOutlook`.
    """
    by_median = math.inf if median is None else STRAGGLER_FACTOR * median
    return by_median if slow_after is None else min(by_median, slow_after)


class TailDurations(LearntDurations):
    """What the cell has observed of the images and queues of tasks.

    Parameters
    ----------
    durations : Durations
        Ratios of observed to estimated durations.
    """

    def __init__(self, durations: Durations) -> None:
        self._durations = durations

    @override
    def ninetieth_percentile(self, queue: str, spec: StepSpec) -> float | None:
        ratio = self._durations.tail(duration_key(spec.image, queue))
        return None if ratio is None else ratio * spec.estimate


class RunOutlook(NamedTuple):
    """Running task that may be a straggler; durations are in seconds.

    ``median`` is that of the ended tasks of its stage, ``slow_after`` the learnt duration that few
    tasks of its kind exceed; None if they are not known. ``silent`` is whether its runner does not
    answer.
    """

    run: Run
    median: float | None
    slow_after: float | None
    silent: bool

    @property
    def usual_seconds(self) -> float:
        """Duration that a new run of the task is expected to have on a runner of mean speed."""
        if self.median is not None:
            return self.median
        estimate = self.run.spec.estimate
        return estimate if self.slow_after is None else min(estimate, self.slow_after)

    def expected_end(self, now: float) -> float:
        """Return the time at which the run should end, infinity if its runner does not answer.

        An overdue run is expected to take as long again as it is overdue.
        """
        if self.silent:
            return math.inf
        overdue = max(now - self.run.expected_end, 0.0)
        return self.run.expected_end + 2 * overdue


class CopyPolicy(ABC):
    """Decides which running tasks get a copy."""

    @abstractmethod
    def straggles_after(self, median: float | None, slow_after: float | None) -> float:
        """Return the duration in seconds from which a run is a straggler, infinity if unknown.

        Parameters
        ----------
        median, slow_after : float or None
            As in `RunOutlook`.
        """

    @abstractmethod
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        """Return whether a new run on another runner should end before a straggler.

        Parameters
        ----------
        outlook : RunOutlook
            The straggler.
        time_ratio : float
            Duration of tasks on the other runner, relative to the mean of all runners.
        now : float
            Time in seconds.
        """

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
    def straggles_after(self, median: float | None, slow_after: float | None) -> float:
        return straggler_seconds(median, slow_after)

    @override
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        new_end = now + START_SECONDS + outlook.usual_seconds * time_ratio
        return new_end < outlook.expected_end(now)

    @override
    def budget(self, capacity: Resources) -> Resources:
        return Resources(*(int(MAX_CAPACITY_SHARE * amount) for amount in capacity))
