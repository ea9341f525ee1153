"""Whether the last tasks of a step wait for a fast runner rather than start on a slow one."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.forecast import RoomForecast
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_rules import accepts_another, suitable
from ragworttiller.scheduling.state.kind_speeds import KindSpeeds
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

# A wait has to end a task this much earlier: expected ends are not exact.
MAX_END_SHARE = 0.9
# Later stages of a pass start at once: searches for 150 took 20 ms, and a pass may take 5 ms.
MAX_STAGES_PER_PASS = 16

Shape = tuple[str, Resources, str, frozenset[str]]


class SlowStart(NamedTuple):
    """Start of tasks on slow runners that is possible now.

    ``slow`` are the kinds that are too slow for the queue, ``ratio`` the time ratio of the fastest
    runner of them with room, and ``expected`` the duration in seconds of a task on a runner of mean
    speed.
    """

    upstream: str
    slow: frozenset[str]
    ratio: float
    expected: float


class LastTasksPolicy(ABC):
    """Decides how many tasks that only slow runners have room for wait for a fast one."""

    @abstractmethod
    def begin(self, free: FreeResources, kinds: KindSpeeds, now: float) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        free : FreeResources
            Runners on which tasks may start, and what is free on them.
        kinds : KindSpeeds
            Observed speeds of kinds.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def record_starts(self, runners: Iterable[str]) -> None:
        """Record that tasks have started on runners in this pass."""

    @abstractmethod
    def waiting(self, stage: Stage, start: SlowStart, tasks: int) -> int:
        """Return how many of a stage's tasks, of which no fast runner has room for any, wait."""


class StartNow(LastTasksPolicy):
    """Start each task on whatever runner has room; the baseline."""

    @override
    def begin(self, free: FreeResources, kinds: KindSpeeds, now: float) -> None:
        """Do nothing."""

    @override
    def record_starts(self, runners: Iterable[str]) -> None:
        """Do nothing."""

    @override
    def waiting(self, stage: Stage, start: SlowStart, tasks: int) -> int:
        return 0


class WaitForFast(LastTasksPolicy):
    """Let a task wait if it is expected to end earlier on the next fast runner to have room.

    Each room that is expected counts for one waiting task in a pass. A task whose room goes to
    others again and again starts on a slow runner once it has waited for as long as it could have
    gained. Queues with an advisor start their tasks now: tickets may not last until there is room.

    Parameters
    ----------
    stop_seconds : float
        Longest time that a run takes to stop.
    """

    def __init__(self, stop_seconds: float) -> None:
        self._stop_seconds = stop_seconds
        self._now = 0.0
        self._stages_left = 0
        self._free = FreeResources(())
        self._kinds = KindSpeeds()
        self._forecast = RoomForecast(0.0, stop_seconds)
        self._promised: dict[str, Resources] = {}
        # Runners by the time at which they have room, for each shape of task.
        self._rooms: dict[Shape, list[tuple[float, str]]] = {}

    @override
    def begin(self, free: FreeResources, kinds: KindSpeeds, now: float) -> None:
        self._free, self._kinds, self._now = free, kinds, now
        self._forecast = RoomForecast(now, self._stop_seconds)
        self._stages_left = MAX_STAGES_PER_PASS
        self._promised.clear()
        self._rooms.clear()

    @override
    def record_starts(self, runners: Iterable[str]) -> None:
        for name in runners:
            runner = self._free.runner(name)
            if runner is not None:
                self._forecast.forget(runner)

    @override
    def waiting(self, stage: Stage, start: SlowStart, tasks: int) -> int:
        latest = self._now + MAX_END_SHARE * start.expected * start.ratio
        since = stage.waits_for_fast_since or self._now
        if self._stages_left <= 0 or self._now - since > self._most_gained(start):
            return 0
        self._stages_left -= 1
        shape = (start.upstream, stage.spec.reservation, stage.spec.label, start.slow)
        if shape not in self._rooms:
            self._rooms[shape] = self._expected_rooms(stage, start)
        count = 0
        while count < tasks and self._promise(stage, shape, start.expected, latest):
            count += 1
        stage.waits_for_fast_since = since if count else None
        return count

    def _most_gained(self, start: SlowStart) -> float:
        """Return how much earlier a task could end on a fast runner, in seconds."""
        fast = [kind for kind in self._kinds.known if kind not in start.slow]
        ratio = min(map(self._kinds.time_ratio, fast), default=1.0)
        return start.expected * (start.ratio - ratio)

    def _expected_rooms(self, stage: Stage, start: SlowStart) -> list[tuple[float, str]]:
        """Return a heap of the fast runners that suit a stage, by the time they have room."""
        runners = suitable(self._free.of_upstream(start.upstream), start.upstream, stage.spec)
        rows = [
            (self._room_at(runner, stage.spec.reservation), runner.id)
            for runner in runners
            if runner.entry.kind not in start.slow
        ]
        heapq.heapify(rows)
        return rows

    def _room_at(self, runner: RunnerState, size: Resources) -> float:
        promised = self._promised.get(runner.id, NO_RESOURCES)
        free = self._free.of_runner(runner.id).minus(promised)
        return self._forecast.fits_at(runner, size, free)

    def _promise(self, stage: Stage, shape: Shape, expected: float, latest: float) -> bool:
        """Promise the next room to a task if it ends there by a time, and return whether it does.

        The times of runners are computed again when they are reached: rooms may have been taken or
        promised since.
        """
        rooms, size = self._rooms[shape], stage.spec.reservation
        on_runner = stage.runs_by_runner()
        while rooms and rooms[0][0] < latest:
            at, name = rooms[0]
            runner = self._free.runner(name)
            if runner is None or not accepts_another(runner, stage, on_runner[name]):
                # Later stages of this shape do without it too, for this pass.
                heapq.heappop(rooms)
                continue
            current = self._room_at(runner, size)
            if current > at:
                heapq.heapreplace(rooms, (current, name))
                continue
            if at + expected * self._kinds.time_ratio(runner.entry.kind) > latest:
                return False
            self._promised[name] = self._promised.get(name, NO_RESOURCES).plus(size)
            heapq.heapreplace(rooms, (self._room_at(runner, size), name))
            return True
        return False
