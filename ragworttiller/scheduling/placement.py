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

FAR_FACTOR = 1.5
DISTURBED_PENALTY = 5.0


class Room:
    """Free room of runners while several tasks are placed at once."""

    def __init__(self, runners: Iterable[RunnerState]) -> None:
        self._most_first = sorted(
            ((runner.free.cpu, runner) for runner in runners), key=lambda row: -row[0]
        )
        self._free = {runner.id: runner.free for _, runner in self._most_first}

    def candidates(self, size: Resources) -> list[RunnerState]:
        """Return the runners that have room for a task, those with the most processors first."""
        rows: list[RunnerState] = []
        for most, runner in self._most_first:
            # Room only shrinks meanwhile, so none of those after it has enough either.
            if most < size.cpu:
                break
            if size.fits(self._free[runner.id]):
                rows.append(runner)
        return rows

    def of(self, runner: str) -> Resources:
        """Return what is free on a runner."""
        return self._free[runner]

    def take(self, runner: str, size: Resources) -> None:
        """Take room of a runner."""
        self._free[runner] = self._free[runner].minus(size)


def suits(runner: RunnerState, upstream: str, spec: StepSpec) -> bool:
    """Return whether tasks of a step may stand on a runner, whatever room it has now."""
    entry = runner.entry
    return (
        entry.upstream == upstream
        and (not spec.label or spec.label in entry.labels)
        and spec.room.fits(entry.capacity)
        and not (spec.fills and runner.serving)
    )


class PlacementPolicy(ABC):
    """Prefers one of several runners that have room."""

    @abstractmethod
    def score(self, stage: Stage, runner: RunnerState, free: Resources, speed: float) -> float:
        """Return how well a task stands on a runner; the smallest score is taken.

        Parameters
        ----------
        stage : Stage
            Stage of the task.
        runner : RunnerState
            Runner with room for it.
        free : Resources
            Room of the runner before the task.
        speed : float
            Time that work takes there, against the mean of all runners.
        """


class FirstFit(PlacementPolicy):
    """Any runner with room; the baseline."""

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, speed: float) -> float:
        return 0.0


class FastTightFit(PlacementPolicy):
    """A fast runner near the data, and among those the one that is left with the least room."""

    @override
    def score(self, stage: Stage, runner: RunnerState, free: Resources, speed: float) -> float:
        spec = stage.spec
        far = bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        left = (free.cpu - spec.room.cpu) / max(runner.entry.capacity.cpu, 1)
        disturbed = bool(spec.target) and runner.filled
        return speed * (FAR_FACTOR if far else 1.0) + 0.25 * left + DISTURBED_PENALTY * disturbed


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
        room: Room,
        indices: Sequence[int],
        speeds: dict[str, float],
    ) -> dict[int, str]:
        """Return a runner for each of the tasks ``indices`` that can be placed now.

        A gang gets runners for all of them or for none.
        """
        size = stage.spec.room
        on_runner = Counter(run.runner for run in stage.live.values())
        chosen: dict[int, str] = {}
        for index in indices:
            best: RunnerState | None = None
            best_score = 0.0
            for runner in runners:
                if not self._allowed(stage, index, runner, on_runner):
                    continue
                free = room.of(runner.id)
                if not size.fits(free):
                    continue
                score = self._policy.score(stage, runner, free, speeds.get(runner.id, 1.0))
                if best is None or score < best_score:
                    best, best_score = runner, score
            if best is None:
                if stage.spec.gang:
                    self._release(chosen, room, size)
                    return {}
                if index in stage.failed_on:
                    continue
                break
            chosen[index] = best.id
            on_runner[best.id] += 1
            room.take(best.id, size)
        return chosen

    def _allowed(
        self, stage: Stage, index: int, runner: RunnerState, on_runner: Counter[str]
    ) -> bool:
        bound = stage.spec.per_runner
        if bound and on_runner[runner.id] >= bound:
            return False
        if runner.probing and (runner.probed or on_runner[runner.id] or index in stage.failures):
            return False
        return stage.failed_on.get(index) != runner.id

    def _release(self, chosen: dict[int, str], room: Room, size: Resources) -> None:
        for runner in chosen.values():
            room.take(runner, Resources().minus(size))
