"""Choice of runners for the tasks of a stage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence

from typing_extensions import override

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.headroom import UpstreamRoom
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

REMOTE_DATA_FACTOR = 1.5
FILLED_RUNNER_PENALTY = 5.0
REMAINING_SHARE_WEIGHT = 0.25
# Fragments of accelerators keep work waiting that needs several of one runner.
REMAINING_ACCELERATORS_WEIGHT = 1.0


class FreeResources:
    """Free resources of runners while several tasks are placed in one pass.

    Parameters
    ----------
    runners : iterable of RunnerState
        Runners on which tasks may be placed.
    """

    def __init__(self, runners: Iterable[RunnerState]) -> None:
        self._by_free_cpu = sorted(
            ((runner.free.cpu, runner) for runner in runners), key=lambda row: -row[0]
        )
        self._free = {runner.id: runner.free for _, runner in self._by_free_cpu}
        self._upstreams = {runner.id: runner.entry.upstream for _, runner in self._by_free_cpu}
        self._rooms: dict[str, UpstreamRoom] = {}
        for free_cpu, runner in self._by_free_cpu:
            room = self.upstream_room(runner.entry.upstream)
            self._rooms[room.upstream] = room._replace(
                free=room.free + free_cpu, capacity=room.capacity + runner.entry.capacity.cpu
            )

    def candidates(self, size: Resources) -> list[RunnerState]:
        """Return the runners that have room for a task, those with the most free CPU first."""
        rows: list[RunnerState] = []
        for free_cpu, runner in self._by_free_cpu:
            # Free CPU never exceeds its value at the start of the pass, so no later one has room.
            if free_cpu < size.cpu:
                break
            if size.fits(self._free[runner.id]):
                rows.append(runner)
        return rows

    def upstream_room(self, upstream: str) -> UpstreamRoom:
        """Return the free processor time and the capacity of an upstream's runners."""
        return self._rooms.get(upstream, UpstreamRoom(upstream, 0, 0))

    def of_runner(self, runner: str) -> Resources:
        """Return the free resources of a runner."""
        return self._free[runner]

    def subtract(self, runner: str, size: Resources) -> None:
        """Subtract resources from those free on a runner."""
        self._free[runner] = self._free[runner].minus(size)
        room = self._rooms[self._upstreams[runner]]
        self._rooms[room.upstream] = room._replace(free=room.free - size.cpu)


def suits(runner: RunnerState, upstream: str, spec: StepSpec) -> bool:
    """Return whether a runner meets the rules of a step, regardless of its free resources."""
    entry = runner.entry
    return (
        entry.upstream == upstream
        and (not spec.label or spec.label in entry.labels)
        and spec.reservation.fits(entry.capacity)
        and not (spec.fills and runner.runs_serving_task)
    )


def accepts_another(runner: RunnerState, stage: Stage, running: int) -> bool:
    """Return whether a runner may take one more task of a stage, regardless of its free resources.

    Parameters
    ----------
    runner : RunnerState
        Runner that suits the stage.
    stage : Stage
        Stage of the task.
    running : int
        Number of the stage's tasks that run there.
    """
    if at_limit(stage, running):
        return False
    return not (runner.on_probation and (runner.probe_running or running))


def at_limit(stage: Stage, running: int) -> bool:
    """Return whether a runner with ``running`` tasks of a stage may run no more of them."""
    limit = stage.spec.per_runner
    return bool(limit) and running >= limit


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
        joins_filling_task = bool(spec.target) and runner.runs_filling_task
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


class Placer:
    """Places tasks of a stage, individually or as a gang.

    Parameters
    ----------
    policy : PlacementPolicy
        Ranks the runners that have room.
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
        """Return a runner for each task in ``indices`` that can be placed now.

        A gang is placed whole or not at all.
        """
        size = stage.spec.reservation
        on_runner = stage.runs_by_runner()
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
                if index in stage.last_failed_runner or index in stage.failed_runs:
                    continue
                break
            chosen[index] = best.id
            on_runner[best.id] += 1
            free_resources.subtract(best.id, size)
        return chosen

    def _allowed(
        self, stage: Stage, index: int, runner: RunnerState, on_runner: Counter[str]
    ) -> bool:
        if not accepts_another(runner, stage, on_runner[runner.id]):
            return False
        if (
            runner.on_probation
            and index in stage.failed_runs
            and not stage.tries_failed_on_probation
        ):
            return False
        return stage.last_failed_runner.get(index) != runner.id

    def _return_resources(
        self, chosen: dict[int, str], free_resources: FreeResources, size: Resources
    ) -> None:
        for runner in chosen.values():
            free_resources.subtract(runner, Resources().minus(size))
