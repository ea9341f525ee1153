"""Interface of the policies for stragglers, and what they know of a running task."""

from __future__ import annotations

import math
import statistics
from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.scheduling.state.durations import Durations, duration_key
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runs import Run

MIN_SIBLINGS = 3
STRAGGLER_FACTOR = 2.0


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


class StragglerPolicy(ABC):
    """Decides which runs are stragglers, and whether a run elsewhere is worth its cost."""

    def straggles_after(self, median: float | None, slow_after: float | None) -> float:
        """Return the duration in seconds from which a run is a straggler, infinity if unknown.

        Parameters
        ----------
        median, slow_after : float or None
            As in `RunOutlook`.
        """
        by_median = math.inf if median is None else STRAGGLER_FACTOR * median
        return by_median if slow_after is None else min(by_median, slow_after)

    @abstractmethod
    def pays(self, outlook: RunOutlook, time_ratio: float, now: float) -> bool:
        """Return whether the task should end sooner on another runner.

        Parameters
        ----------
        outlook : RunOutlook
            The straggler.
        time_ratio : float
            Duration of tasks on the other runner, relative to the mean of all runners.
        now : float
            Time in seconds.
        """
