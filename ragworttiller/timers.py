"""Timer service: the single source of time of a process."""

from __future__ import annotations

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.lowlevel
from typing_extensions import override

SETTLE_ROUNDS = 20


class TimerService(ABC):
    """Source of time for the components of a process.

    `now` is monotonic and only its differences are meaningful; `wall` is for display and records.
    """

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""

    @abstractmethod
    def move_on_after(self, seconds: float) -> anyio.CancelScope:
        """Return a scope that is cancelled after ``seconds``."""

    async def ticks(self, period: float) -> AsyncIterator[float]:
        """Yield the time once every ``period`` seconds; several missed ticks become one."""
        due = self.now() + period
        while True:
            await self.sleep(max(0.0, due - self.now()))
            current = self.now()
            yield current
            due = max(due + period, current)


class SystemTimers(TimerService):
    """Timer service that reads the system clocks."""

    @override
    def now(self) -> float:
        return time.monotonic()

    @override
    def wall(self) -> float:
        return time.time()

    @override
    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)

    @override
    def move_on_after(self, seconds: float) -> anyio.CancelScope:
        return anyio.move_on_after(seconds)


class ManualTimers(TimerService):
    """Timer service whose time advances only when `advance` is called.

    Parameters
    ----------
    start : float
        First value of `now`, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._waiting: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @override
    def now(self) -> float:
        return self._now

    @override
    def wall(self) -> float:
        return self._now

    @override
    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        heapq.heappush(self._waiting, (self._now + seconds, next(self._order), event.set))
        await event.wait()

    @override
    def move_on_after(self, seconds: float) -> anyio.CancelScope:
        scope = anyio.CancelScope()
        heapq.heappush(self._waiting, (self._now + seconds, next(self._order), scope.cancel))
        return scope

    async def advance(self, seconds: float) -> None:
        """Advance the time and wake sleepers in the order of their due times."""
        await settle_tasks()
        end = self._now + seconds
        while self._waiting and self._waiting[0][0] <= end:
            due, _, wake = heapq.heappop(self._waiting)
            self._now = due
            wake()
            await settle_tasks()
        self._now = end
        await settle_tasks()


async def settle_tasks() -> None:
    """Wait until every other task is blocked.

    It yields `SETTLE_ROUNDS` times first, because `anyio.wait_all_tasks_blocked` sleeps whenever it
    finds a task that can run.
    """
    for _ in range(SETTLE_ROUNDS):
        await anyio.sleep(0)
    await anyio.wait_all_tasks_blocked()
