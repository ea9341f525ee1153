"""Runs the parts of those shards that this instance owns."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from ragworttiller.process.membership import Membership
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

RESTART_SECONDS = 1.0


class ShardService(ABC):
    """Owner side of one shard."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether the part has caught up with its stream and takes work."""

    @abstractmethod
    async def run(self) -> None:
        """Serve the shard until cancelled."""

    @abstractmethod
    async def hand_over(self) -> None:
        """Take no new work, finish what is in progress and flush records, within a bound."""


P = TypeVar("P", bound=ShardService)


class _Running(Generic[P]):
    """Part that runs, with the scope that stops it."""

    def __init__(self, part: P) -> None:
        self.part = part
        self.scope = anyio.CancelScope()


class ShardHost(Generic[P]):
    """Starts and stops the parts of a family of shards as the owners change.

    Parameters
    ----------
    family : str
        Name of the family, for logs.
    count : int
        Number of shards.
    stream_name : Callable[[int], str]
        Name of a shard's stream, which decides its owner.
    membership : Membership
        Live instances.
    start : Callable[[int], ShardService]
        Makes the part of a shard.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self,
        family: str,
        count: int,
        stream_name: Callable[[int], str],
        membership: Membership,
        start: Callable[[int], P],
        timers: TimerService,
    ) -> None:
        self._family = family
        self._count = count
        self._stream_name = stream_name
        self._membership = membership
        self._start = start
        self._timers = timers
        self._running: dict[int, _Running[P]] = {}
        self._leaving: set[_Running[P]] = set()
        self._pausing: set[int] = set()
        self._changed = anyio.Event()
        self._left = False
        self._empty = anyio.Event()
        membership.balance([stream_name(shard) for shard in range(count)])
        membership.subscribe(self._notice)

    @property
    def owned(self) -> dict[int, P]:
        """Parts in service by shard number."""
        return {shard: running.part for shard, running in self._running.items()}

    @property
    def ready(self) -> bool:
        """Whether every shard that this instance should own is served and caught up."""
        owned = self.owned
        return all(shard in owned and owned[shard].ready for shard in self._wanted())

    def get(self, shard: int) -> P | None:
        """Return the part of a shard, or None while this instance does not serve it."""
        running = self._running.get(shard)
        return None if running is None else running.part

    async def run(self) -> None:
        """Follow the membership until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._changed = anyio.Event()
                self._reconcile(tasks)
                await self._changed.wait()

    async def leave(self) -> None:
        """Hand over all shards and take none again; for a planned stop."""
        self._left = True
        self._notice()
        while self._running or self._leaving:
            self._empty = anyio.Event()
            await self._empty.wait()

    def _notice(self) -> None:
        self._changed.set()

    def _wanted(self) -> set[int]:
        if self._left:
            return set()
        me = self._membership.instance
        owner = self._membership.owner
        return {n for n in range(self._count) if owner(self._stream_name(n)) == me}

    def _reconcile(self, tasks: TaskGroup) -> None:
        """Start and hand over parts; one that is being handed over holds up no new one."""
        wanted = self._wanted()
        for shard in self._running.keys() - wanted:
            running = self._running.pop(shard)
            self._leaving.add(running)
            log.info("%s shard %d is handed over", self._family, shard)
            tasks.start_soon(self._hand_over, running)
        for shard in sorted(wanted - self._running.keys()):
            if shard in self._pausing:
                continue
            running = self._running[shard] = _Running(self._start(shard))
            log.info("%s shard %d starts here", self._family, shard)
            tasks.start_soon(self._serve, shard, running)

    async def _serve(self, shard: int, running: _Running[P]) -> None:
        try:
            with running.scope:
                await running.part.run()
        except Exception:
            log.exception("%s shard %d failed and starts again", self._family, shard)
            self._forget(shard, running)
            self._pausing.add(shard)
            await self._timers.sleep(RESTART_SECONDS)
            self._pausing.discard(shard)
        finally:
            self._forget(shard, running)
            self._empty.set()
            self._notice()

    def _forget(self, shard: int, running: _Running[P]) -> None:
        self._leaving.discard(running)
        if self._running.get(shard) is running:
            del self._running[shard]

    async def _hand_over(self, running: _Running[P]) -> None:
        try:
            await running.part.hand_over()
        finally:
            running.scope.cancel()
