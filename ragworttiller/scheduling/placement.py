"""Choice of runners for the tasks of a stage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence

from typing_extensions import override

from ragworttiller.resources import Resources
from ragworttiller.scheduling.jobs import StepSpec
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Stage

REMOTE_DATA_FACTOR = 1.5
FILLED_RUNNER_PENALTY = 5.0


class FreeResources:
    """Free room of runners while several tasks are placed at once."""

    def __init__(self, runners: Iterable[RunnerState]) -> None:
        self._by_free_cpu = sorted(
            ((runner.free.cpu, runner) for runner in runners), key=lambda row: -row[0]
        )
        self._free = {runner.id: runner.free for _, runner in self._by_free_cpu}

    def candidates(self, size: Resources) -> list[RunnerState]:
        """Return the runners that have room for a task, those with the most processors first."""
        rows: list[RunnerState] = []
        for most, runner in self._by_free_cpu:
            # Room only shrinks meanwhile, so none of those after it has enough either.
            if most < size.cpu:
                break
            if size.fits(self._free[runner.id]):
                rows.append(runner)
        return rows

    def of_runner(self, runner: str) -> Resources:
        """Return what is free on a runner."""
        return self._free[runner]

    def subtract(self, runner: str, size: Resources) -> None:
        """Take room of a runner."""
        self._free[runner] = self._free[runner].minus(size)


def suits(runner: RunnerState, upstream: str, spec: StepSpec) -> bool:
    """Return whether tasks of a step may stand on a runner, whatever room it has now."""
    entry = runner.entry
    return (
        entry.upstream == upstream
        and (not spec.label or spec.label in entry.labels)
        and spec.reservation.fits(entry.capacity)
        and not (spec.fills and runner.runs_serving_task)
    )


class PlacementPolicy(ABC):
    """Prefers one of several runners that have room."""

    @abstractmethod
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        """Return how well a task stands on a runner; the smallest score is taken.

        Parameters
        ----------
        stage : Stage
            Stage of the task.
        runner : RunnerState
            Runner with room for it.
        free : Resources
            Room of the runner before the task.
        time_ratio : float
            Time that work takes there, against the mean of all runners.
        """


class FirstFit(PlacementPolicy):
    """Any runner with room; the baseline."""

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        return 0.0


class FastTightFit(PlacementPolicy):
    """A fast runner near the data, and among those the one that is left with the least room."""

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, time_ratio: float) -> float:
        spec = stage.spec
        remote = bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        left_over = (free.cpu - spec.reservation.cpu) / max(runner.entry.capacity.cpu, 1)
        beside_filler = bool(spec.target) and runner.runs_filling_task
        return (
            time_ratio * (REMOTE_DATA_FACTOR if remote else 1.0)
            + 0.25 * left_over
            + FILLED_RUNNER_PENALTY * beside_filler
        )


class Placer:
    """Places tasks of a stage, one after the other or all at once.

    Parameters
    ----------
    policy : PlacementPolicy
        Preference among runners with room.
    """

    def __init__(self, policy: PlacementPolicy) -> None:
        self._policy = policy

    def place(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        free_resources: FreeResources,
        indices: Sequence[int],
        time_ratios: dict[str, float],
    ) -> dict[int, str]:
        """Return a runner for each of the tasks ``indices`` that can be placed now.

        A gang gets runners for all of them or for none.
        """
        size = stage.spec.reservation
        on_runner = Counter(run.runner for run in stage.active_runs.values())
        chosen: dict[int, str] = {}
        for index in indices:
            best: RunnerState | None = None
            best_score = 0.0
            for runner in runners:
                if not self._allowed(stage, index, runner, on_runner):
                    continue
                free = free_resources.of_runner(runner.id)
                if not size.fits(free):
                    continue
                score = self._policy.score(stage, runner, free, time_ratios.get(runner.id, 1.0))
                if best is None or score < best_score:
                    best, best_score = runner, score
            if best is None:
                if stage.spec.gang:
                    self._return_resources(chosen, free_resources, size)
                    return {}
                if index in stage.last_failed_runner:
                    continue
                break
            chosen[index] = best.id
            on_runner[best.id] += 1
            free_resources.subtract(best.id, size)
        return chosen

    def _allowed(
        self, stage: Stage, index: int, runner: RunnerState, on_runner: Counter[str]
    ) -> bool:
        bound = stage.spec.per_runner
        if bound and on_runner[runner.id] >= bound:
            return False
        if runner.on_probation and (
            runner.probe_running or on_runner[runner.id] or index in stage.failed_runs
        ):
            return False
        return stage.last_failed_runner.get(index) != runner.id

    def _return_resources(
        self, chosen: dict[int, str], free_resources: FreeResources, size: Resources
    ) -> None:
        for runner in chosen.values():
            free_resources.subtract(runner, Resources().minus(size))
