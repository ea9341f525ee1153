"""Stand-in for a machine, at whose address one boot of a runner after another answers."""

from __future__ import annotations

import anyio
from typing_extensions import override

from ragworttiller.platform.exchange import Answer, ExchangeBroken, NotSent
from ragworttiller.timers import TimerService
from standins.platform.runner import RunnerService
from standins.platform.service import DEFAULT_TIMEOUT_SECONDS, Service


class Machine(Service):
    """Address of a runner, which the next boot takes over.

    Parameters
    ----------
    name : str
        Name of the machine; its address is this name with the port 1.
    timers : TimerService
        Source of time.

    Attributes
    ----------
    boot : RunnerService or None
        Boot that answers now, None while the machine is off.
    earlier_boots : list of RunnerService
        Boots that have ended, oldest first.
    refuses : bool
        Whether connections are refused while the machine is off, and calls in progress break when
        the boot ends; otherwise calls get no answer.
    """

    def __init__(self, name: str, timers: TimerService) -> None:
        self.name = name
        self._timers = timers
        self.boot: RunnerService | None = None
        self.earlier_boots: list[RunnerService] = []
        self.refuses = False
        self._crashed = anyio.Event()

    @property
    def address(self) -> str:
        """Address at which the boots answer, ``host:port``."""
        return f"{self.name}:1"

    @property
    @override
    def process(self) -> object:
        return self.boot

    @override
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        boot = self.boot
        if boot is None:
            if self.refuses:
                raise NotSent("off", refused=True)
            await self._timers.sleep(DEFAULT_TIMEOUT_SECONDS)
            raise ExchangeBroken("off")
        answers: list[Answer] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_at_crash, tasks.cancel_scope)
            answers.append(await boot.answer(method, target, body, headers))
            tasks.cancel_scope.cancel()
        if self.boot is not boot or not answers:
            raise ExchangeBroken("the boot has ended")
        return answers[0]

    async def _cancel_at_crash(self, scope: anyio.CancelScope) -> None:
        await self._crashed.wait()
        if self.refuses:
            scope.cancel()

    def crash(self) -> None:
        """End the boot with all its runs; it answers no more, not even calls in progress."""
        if self.boot is not None:
            self.boot.crash()
            self.earlier_boots.append(self.boot)
        self.boot = None
        self._crashed.set()
        self._crashed = anyio.Event()
