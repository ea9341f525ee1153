"""Runs the services of the shards that this instance owns."""

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

RESTART_DELAY_SECONDS = 1.0


class ShardService(ABC):
    """Owner side of one shard."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether the service has caught up with its stream and accepts work."""

    @abstractmethod
    async def run(self) -> None:
        """Serve the shard until cancelled."""

    @abstractmethod
    async def hand_over(self) -> None:
        """Accept no new work, finish what is in progress and flush records, within a time limit."""


P = TypeVar("P", bound=ShardService)


class _RunningService(Generic[P]):
    """Running service with the scope that stops it."""

    def __init__(self, service: P) -> None:
        self.service = service
        self.scope = anyio.CancelScope()


class ShardHost(Generic[P]):
    """Starts and stops the services of a family of shards as the owners change.

    Parameters
    ----------
    family : str
        Name of the family in logs.
    count : int
        Number of shards.
    stream_name : Callable[[int], str]
        Name of a shard's stream, which decides its owner.
    membership : Membership
        Live instances.
    create_service : Callable[[int], ShardService]
        Creates the service of a shard.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self,
        family: str,
        count: int,
        stream_name: Callable[[int], str],
        membership: Membership,
        create_service: Callable[[int], P],
        timers: TimerService,
    ) -> None:
        self._family = family
        self._count = count
        self._stream_name = stream_name
        self._membership = membership
        self._create_service = create_service
        self._timers = timers
        self._running: dict[int, _RunningService[P]] = {}
        self._handing_over: set[_RunningService[P]] = set()
        self._restarting: set[int] = set()
        self._changed = anyio.Event()
        self._stopped = False
        self._service_ended = anyio.Event()
        membership.balance([stream_name(shard) for shard in range(count)])
        membership.subscribe(self._signal_change)

    @property
    def owned(self) -> dict[int, P]:
        """Running services by shard, without those being handed over."""
        return {shard: running.service for shard, running in self._running.items()}

    @property
    def ready(self) -> bool:
        """Whether the services of all shards assigned to this instance are ready."""
        owned = self.owned
        return all(shard in owned and owned[shard].ready for shard in self._assigned_shards())

    def get(self, shard: int) -> P | None:
        """Return the service of a shard, or None while this instance does not serve it."""
        running = self._running.get(shard)
        return None if running is None else running.service

    async def run(self) -> None:
        """Start and hand over services as the membership changes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._changed = anyio.Event()
                self._reconcile(tasks)
                await self._changed.wait()

    async def leave(self) -> None:
        """Hand over all shards and take over none afterwards; for a planned stop."""
        self._stopped = True
        self._signal_change()
        while self._running or self._handing_over:
            self._service_ended = anyio.Event()
            await self._service_ended.wait()

    def _signal_change(self) -> None:
        self._changed.set()

    def _assigned_shards(self) -> set[int]:
        if self._stopped:
            return set()
        this_instance = self._membership.instance
        owner = self._membership.owner
        return {n for n in range(self._count) if owner(self._stream_name(n)) == this_instance}

    def _reconcile(self, tasks: TaskGroup) -> None:
        """Start and hand over services; a hand-over does not delay the start of other services."""
        assigned = self._assigned_shards()
        for shard in self._running.keys() - assigned:
            running = self._running.pop(shard)
            self._handing_over.add(running)
            log.info("%s shard %d is being handed over", self._family, shard)
            tasks.start_soon(self._hand_over, running)
        for shard in sorted(assigned - self._running.keys()):
            if shard in self._restarting:
                continue
            running = self._running[shard] = _RunningService(self._create_service(shard))
            log.info("%s shard %d started on this instance", self._family, shard)
            tasks.start_soon(self._run_service, shard, running)

    async def _run_service(self, shard: int, running: _RunningService[P]) -> None:
        try:
            with running.scope:
                await running.service.run()
        except Exception:
            log.exception("%s shard %d failed and will be restarted", self._family, shard)
            self._remove(shard, running)
            self._restarting.add(shard)
            await self._timers.sleep(RESTART_DELAY_SECONDS)
            self._restarting.discard(shard)
        finally:
            self._remove(shard, running)
            self._service_ended.set()
            self._signal_change()

    def _remove(self, shard: int, running: _RunningService[P]) -> None:
        self._handing_over.discard(running)
        if self._running.get(shard) is running:
            del self._running[shard]

    async def _hand_over(self, running: _RunningService[P]) -> None:
        try:
            await running.service.hand_over()
        finally:
            running.scope.cancel()
