"""Gates that pause one simulated process: its timers, and its calls to the log and to workers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ragworttiller.records import RECORD_CODEC
from ragworttiller.services.worker import WorkerFleet
from ragworttiller.timers import TimerService


class Gate:
    """Simulates a paused process: blocks its calls and timers while closed."""

    def __init__(self) -> None:
        self._open = anyio.Event()
        self._open.set()

    def close(self) -> None:
        self._open = anyio.Event()

    def open(self) -> None:
        self._open.set()

    async def wait_open(self) -> None:
        while not self._open.is_set():
            await self._open.wait()


class GatedTimers(TimerService):
    """Timers of a process that may be paused; its clocks continue to run."""

    def __init__(self, timers: TimerService, gate: Gate) -> None:
        self._timers = timers
        self._gate = gate

    def now(self) -> float:
        return self._timers.now()

    def wall(self) -> float:
        return self._timers.wall()

    async def sleep(self, seconds: float) -> None:
        await self._timers.sleep(seconds)
        await self._gate.wait_open()

    def move_on_after(self, seconds: float) -> anyio.CancelScope:
        return self._timers.move_on_after(seconds)


class Gated:
    """Log or worker whose calls wait for a gate before they are sent and before they return."""

    def __init__(self, target: Any, gate: Gate) -> None:
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._target, name)

        async def gated(*arguments: Any, **named: Any) -> Any:
            await self._gate.wait_open()
            try:
                return await call(*arguments, **named)
            finally:
                await self._gate.wait_open()

        return gated


class GatedWorker(Gated):
    """Worker whose start commands also wait for a second gate right before they are sent."""

    def __init__(self, target: Any, gate: Gate, start_gate: Gate) -> None:
        super().__init__(target, gate)
        self._start_gate = start_gate

    async def start(self, specs: Any) -> Any:
        await self._start_gate.wait_open()
        return await self.__getattr__("start")(specs)


class GatedLog(Gated):
    """Log that can pause its process right before or after it appends a record of a given type."""

    def __init__(self, target: Any, gate: Gate, pause: Callable[[], None]) -> None:
        super().__init__(target, gate)
        self._pause = pause
        self.pause_before: type | None = None
        self.pause_after: type | None = None

    async def append(self, stream: str, records: Any) -> int:
        kinds = {type(RECORD_CODEC.decode_one(data)) for data in records}
        if self.pause_before in kinds:
            self.pause_before = None
            self._pause()
        await self._gate.wait_open()
        first = await self._target.append(stream, records)
        if self.pause_after in kinds:
            self.pause_after = None
            self._pause()
        await self._gate.wait_open()
        return int(first)


class GatedFleet(WorkerFleet):
    """Fleet of a process that may be paused."""

    def __init__(self, fleet: WorkerFleet, gate: Gate, start_gate: Gate) -> None:
        self._fleet = fleet
        self._gate = gate
        self._start_gate = start_gate

    def worker(self, name: str, address: str) -> Any:
        return GatedWorker(self._fleet.worker(name, address), self._gate, self._start_gate)
