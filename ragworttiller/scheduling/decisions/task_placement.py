"""Ranks the runners that have room for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

REMOTE_DATA_FACTOR = 1.5
FILLED_RUNNER_PENALTY = 5.0
REMAINING_SHARE_WEIGHT = 0.25
# Fragments of accelerators keep work waiting that needs several of one runner.
REMAINING_ACCELERATORS_WEIGHT = 1.0


class PlacementPolicy(ABC):
    """Ranks the runners that have room for a task."""

    @abstractmethod
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        """Return the cost of placing a task on a runner; the lowest score wins.

        Parameters
        ----------
        stage : Stage
            Stage of the task.
        runner : RunnerState
            Runner with room for the task.
        free : Resources
            Free resources of the runner before the task.
        time_ratio : float
            Duration of tasks there, relative to the mean of all runners.
        """


class FirstFit(PlacementPolicy):
    """Take the first runner with room; the baseline."""

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        return 0.0


class FastTightFit(PlacementPolicy):
    """Prefer fast runners near the data, then the one left with the least free resources.

    A serving task avoids runners on which a filling task runs. Load pattern of the weights: tasks
    of one accelerator arrive beside tasks that need all accelerators of a runner. Spread by small
    differences in speed, the small ones would leave no runner whole.
    """

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        spec = stage.spec
        remote = bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        remaining = _remaining_share(spec.reservation, free, runner.entry.capacity)
        weight = REMAINING_SHARE_WEIGHT
        if spec.reservation.accelerators:
            weight = REMAINING_ACCELERATORS_WEIGHT
        joins_filling_task = bool(spec.target and runner.filling_runs)
        return (
            time_ratio * (REMOTE_DATA_FACTOR if remote else 1.0)
            + weight * remaining
            + FILLED_RUNNER_PENALTY * joins_filling_task
        )


def _remaining_share(size: Resources, free: Resources, capacity: Resources) -> float:
    """Return the mean share that a task leaves free, of processors and of accelerators if any."""
    shares = [(free.cpu - size.cpu) / max(capacity.cpu, 1)]
    if size.accelerators:
        shares.append((free.accelerators - size.accelerators) / max(capacity.accelerators, 1))
    return sum(shares) / len(shares)
