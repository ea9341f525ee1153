"""Event loop on virtual time, which advances to the next timer without waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from selectors import BaseSelector, SelectSelector
from typing import Any

import anyio
from typing_extensions import override

from ragworttiller.timers import TimerService


class _VirtualClockSelector(SelectSelector):
    """Selector that advances a virtual clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    @override
    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return super().select(0 if timeout is not None else None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; its timers fire in order, without real delay."""

    def __init__(self, selector: BaseSelector | None = None) -> None:
        self._virtual_clock = _VirtualClockSelector()
        super().__init__(self._virtual_clock)

    @override
    def time(self) -> float:
        return self._virtual_clock.now


class LoopTimers(TimerService):
    """Timer service based on the time of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @override
    def now(self) -> float:
        return self._loop.time()

    @override
    def wall(self) -> float:
        return self._loop.time()

    @override
    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)

    @override
    def move_on_after(self, seconds: float) -> anyio.CancelScope:
        return anyio.move_on_after(seconds)


def run_virtual(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function on virtual time and return its result."""
    return anyio.run(main, *args, backend_options={"loop_factory": VirtualLoop})
