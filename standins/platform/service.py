"""Services that answer HTTP exchanges, and in-process links to them."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import Any

import anyio

from ragworttiller.platform.answer_limits import MAX_ANSWER_BYTES
from ragworttiller.platform.channel import Traffic
from ragworttiller.platform.exchange import (
    Answer,
    Exchange,
    ExchangeBroken,
    NotSent,
    UnwantedAnswer,
)
from ragworttiller.timers import TimerService


def json_answer(status: int, body: dict[str, Any] | None = None) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, [("content-type", "application/json")], json.dumps(body or {}).encode())


DEFAULT_TIMEOUT_SECONDS = 1.0


class Service(ABC):
    """Service of the platform."""

    @property
    def process(self) -> object:
        """Process that answers now."""
        return self

    @abstractmethod
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Return the answer to one exchange."""


class Link:
    """In-process replacement for the channels of a client, with faults that tests set.

    Parameters
    ----------
    service : Service
        Service that answers the exchanges.
    timers : TimerService
        Source of time.

    Attributes
    ----------
    cut : bool
        Whether exchanges are neither carried out nor answered.
    unanswered : bool
        Whether exchanges are carried out but get no answer.
    refused : bool
        Whether connections are refused.
    silent_next : int
        Number of next exchanges that are neither carried out nor answered.
    silent_target : str
        Part of the targets whose exchanges are neither carried out nor answered; empty for none.
    lose_next : int
        Number of next exchanges that are carried out but get no answer.
    late_next : list of float
        Seconds after which each of the next exchanges is carried out, without an answer.
    paused_until : float
        Time until which exchanges are suspended, as if the client's process were paused.
    """

    def __init__(self, service: Service, timers: TimerService) -> None:
        self.service = service
        self._timers = timers
        self._delayed: list[tuple[float, tuple[str, str, bytes, dict[str, str]]]] = []
        self.traffic = Traffic()
        self.cut = False
        self.unanswered = False
        self.refused = False
        self.lose_next = 0
        self.late_next: list[float] = []
        self.paused_until = 0.0
        self._resumed = anyio.Event()
        self.silent_next = 0
        self.silent_target = ""
        self.on_open: Callable[[Exchange], Awaitable[None]] | None = None
        self._connected_to: object = None

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout: float | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> Answer:
        """Carry out an exchange, subject to the faults of the link.

        A connection that was open to another process than the one that answers now is replaced.
        """
        if self.on_open is not None and self._connected_to is not self.service.process:
            await self._connect(self.on_open)
        answer = await self._exchange(method, target, body, headers, timeout)
        if len(answer.body) > max_answer_bytes:
            raise UnwantedAnswer(len(answer.body))
        return answer

    async def _connect(self, on_open: Callable[[Exchange], Awaitable[None]]) -> None:
        process, self._connected_to = self.service.process, None
        try:
            await on_open(self._exchange)
        except ExchangeBroken as exc:
            raise NotSent("the first exchange of the connection failed") from exc
        self._connected_to = process

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout: float | None = None,
    ) -> Answer:
        self.traffic.calls += 1
        exchange = (method, target, body, {k.lower(): v for k, v in headers})
        if self.refused:
            raise NotSent("refused")
        while self.paused_until > self._timers.now():
            with self._timers.move_on_after(self.paused_until - self._timers.now()):
                await self._resumed.wait()
        if self._reset:
            raise ExchangeBroken("the process on the other end has ended")
        silent = bool(self.silent_target) and self.silent_target in target
        if self.cut or self.silent_next or silent:
            self.silent_next = max(self.silent_next - 1, 0)
            await self._timers.sleep(timeout or DEFAULT_TIMEOUT_SECONDS)
            raise ExchangeBroken("cut")
        if self.late_next:
            self._delayed.append((self._timers.now() + self.late_next.pop(0), exchange))
            await self._timers.sleep(timeout or DEFAULT_TIMEOUT_SECONDS)
            raise ExchangeBroken("late")
        if self.unanswered or self.lose_next:
            self.lose_next = max(self.lose_next - 1, 0)
            await self.service.answer(*exchange)
            await self._timers.sleep(timeout or DEFAULT_TIMEOUT_SECONDS)
            raise ExchangeBroken("lost")
        with self._timers.move_on_after(DEFAULT_TIMEOUT_SECONDS if timeout is None else timeout):
            return await self.service.answer(*exchange)
        raise ExchangeBroken("slow")

    @property
    def _reset(self) -> bool:
        """Whether the open connection was to a process that has ended."""
        process = self._connected_to
        return process is not None and process is not self.service.process

    @property
    def delivery_due(self) -> bool:
        """Whether a delayed exchange is to be carried out now."""
        return any(at <= self._timers.now() for at, _ in self._delayed)

    async def deliver_late(self) -> None:
        """Carry out the delayed exchanges that are due."""
        now = self._timers.now()
        due = [exchange for at, exchange in self._delayed if at <= now]
        self._delayed = [row for row in self._delayed if row[0] > now]
        async with anyio.create_task_group() as tasks:
            for exchange in due:
                tasks.start_soon(self._carry_out_late, exchange)

    async def _carry_out_late(self, exchange: tuple[str, str, bytes, dict[str, str]]) -> None:
        if self._reset:
            return
        with suppress(NotSent, ExchangeBroken):
            await self.service.answer(*exchange)

    def lift_faults(self) -> None:
        """Carry out and answer all exchanges, also suspended ones; delayed ones remain."""
        self.cut = self.unanswered = self.refused = False
        self.lose_next = self.silent_next = 0
        self.late_next = []
        self.paused_until = 0.0
        self._resumed.set()
        self._resumed = anyio.Event()
        self.silent_target = ""

    async def close(self) -> None:
        """Do nothing: there is no connection."""
