"""In-process stand-ins for the platform's services."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

import anyio.lowlevel
from typing_extensions import override

from ragworttiller.exceptions import (
    AppendUndecided,
    LogUnavailable,
    WorkerRefused,
    WorkerUnreachable,
)
from ragworttiller.resources import Resources
from ragworttiller.services.log import Log, LogSlice
from ragworttiller.services.worker import TaskReport, TaskSpec, Worker, WorkerFleet
from ragworttiller.timers import TimerService
from standins.agent import CellRecord, WorkerAgent
from standins.streams import StoredStream


class MemoryLog(Log):
    """In-process log with faults that tests set.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    keep : int, optional
        Number of entries retained per stream.

    Attributes
    ----------
    down : bool
        Refuse every append and read.
    append_delay : float
        Seconds before an append takes effect.
    lose_answers : int
        Number of next appends that take effect and then raise `AppendUndecided`.
    duplicate : int
        Number of next appends that take effect twice.
    hold_next : int
        Number of next appends that raise `AppendUndecided` and take effect only on `release`.
    """

    def __init__(self, timers: TimerService, keep: int | None = None) -> None:
        self._timers = timers
        self._streams: dict[str, StoredStream] = defaultdict(lambda: StoredStream(keep))
        self._held: list[tuple[str, list[bytes]]] = []
        self.down = False
        self.append_delay = 0.0
        self.lose_answers = 0
        self.duplicate = 0
        self.hold_next = 0
        self.appends = 0
        self.records = 0
        self.bytes_in = 0

    @override
    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise LogUnavailable(stream=stream)
        if self.append_delay > 0:
            await self._timers.sleep(self.append_delay)
        if self.hold_next > 0:
            self.hold_next -= 1
            self._held.append((stream, list(records)))
            raise AppendUndecided(stream=stream)
        first = self._apply_append(stream, records)
        if self.duplicate > 0:
            self.duplicate -= 1
            self._apply_append(stream, records)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AppendUndecided(stream=stream)
        return first

    @override
    async def read(self, stream: str, offset: int, wait: float = 0.0) -> LogSlice:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise LogUnavailable(stream=stream)
        stored = self._streams[stream]
        if wait > 0:
            with self._timers.move_on_after(wait):
                await stored.wait_for_offset(offset)
        if self.down:
            raise LogUnavailable(stream=stream)
        return stored.slice(offset)

    def release(self) -> None:
        """Apply the appends that were held back, in order."""
        held, self._held = self._held, []
        for stream, records in held:
            self._apply_append(stream, records)

    def entries(self, stream: str) -> list[bytes]:
        """Return the retained entries of a stream."""
        return list(self._streams[stream].entries)

    def _apply_append(self, stream: str, records: Sequence[bytes]) -> int:
        self.appends += 1
        self.records += len(records)
        self.bytes_in += sum(len(record) for record in records)
        return self._streams[stream].append(records)


class MemoryWorker(Worker):
    """Client of an in-process worker.

    Attributes
    ----------
    down : bool
        Refuse every command before it takes effect.
    refuse : bool
        Refuse every task.
    lose_answers : int
        Number of next commands that take effect and then raise `WorkerUnreachable`.
    """

    def __init__(self, name: str, agent: WorkerAgent) -> None:
        self._name = name
        self.agent = agent
        self.down = False
        self.refuse = False
        self.lose_answers = 0

    @override
    async def start(self, specs: list[TaskSpec]) -> list[str]:
        await self._check_reachable()
        if self.refuse:
            return ["refused"] * len(specs)
        results = self.agent.start(specs)
        self._lose_answer_if_set()
        return results

    @override
    async def stop(self, tasks: list[tuple[str, int]], checkpoint: bool = False) -> None:
        await self._check_reachable()
        self.agent.stop(tasks, checkpoint)
        self._lose_answer_if_set()

    @override
    async def throttle(self, task: str, attempt: int, cpu: int) -> None:
        await self._check_reachable()
        self.agent.throttle(task, attempt, cpu)
        self._lose_answer_if_set()

    @override
    async def renew(self, lease: float) -> list[TaskReport]:
        await self._check_reachable()
        reports = self.agent.renew(lease)
        self._lose_answer_if_set()
        return reports

    @override
    async def forget(self, tasks: list[tuple[str, int]]) -> None:
        await self._check_reachable()
        self.agent.forget(tasks)
        self._lose_answer_if_set()

    async def _check_reachable(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise WorkerRefused(worker=self._name, reason="not available")

    def _lose_answer_if_set(self) -> None:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise WorkerUnreachable(worker=self._name)


class MemoryWorkerFleet(WorkerFleet):
    """In-process workers.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    capacities : dict of str to Resources
        Resources of each worker, by name.
    usage_lag : float
        Seconds after its start until a task's usage appears in reports.
    """

    def __init__(
        self, timers: TimerService, capacities: dict[str, Resources], usage_lag: float = 0.0
    ) -> None:
        self.cell = CellRecord()
        self.workers = {
            name: MemoryWorker(name, WorkerAgent(name, capacity, timers, self.cell, usage_lag))
            for name, capacity in capacities.items()
        }

    @override
    def worker(self, name: str, address: str) -> MemoryWorker:
        return self.workers[name]
