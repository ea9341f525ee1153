"""Connections to one runner, each with a task of its own that carries one exchange at a time."""

from __future__ import annotations

import logging

import anyio
from anyio.abc import TaskGroup

from ragworttiller.exceptions import RagworttillerError, RunnerBroken, RunnerRefused
from ragworttiller.services.runner import Answer, Exchange, RunnerConnection, RunnerDialer
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

IDLE_SECONDS = 4.0


class Delivery:
    """Exchange handed to a connection.

    ``sent`` tells whether bytes of the request may have been written.
    """

    __slots__ = ("exchange", "answer", "error", "sent", "abandoned", "_lane", "_done", "_watcher")

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.answer: Answer | None = None
        self.error: RagworttillerError | None = None
        self.sent = False
        self.abandoned = False
        self._lane: _PooledConnection | None = None
        self._done = anyio.Event()
        self._watcher: anyio.Event | None = None

    @property
    def done(self) -> bool:
        """Whether the answer or the failure is known."""
        return self._done.is_set()

    async def wait(self) -> None:
        """Wait until the answer or the failure is known."""
        await self._done.wait()

    def watch(self, event: anyio.Event) -> None:
        """Set ``event`` too when the answer or the failure is known."""
        self._watcher = event
        if self.done:
            event.set()

    def carried_by(self, lane: _PooledConnection) -> None:
        """Note the connection that carries the exchange."""
        self._lane = lane

    def finish(self, answer: Answer | None, error: RagworttillerError | None) -> None:
        """Set the answer or the failure."""
        self.answer = answer
        self.error = error
        self._done.set()
        if self._watcher is not None:
            self._watcher.set()

    def abandon(self) -> None:
        """Give up the exchange, if it is not done; its connection is closed and not used again."""
        if self.done or self.abandoned:
            return
        self.abandoned = True
        if self._lane is not None:
            self._lane.cancel()


class _PooledConnection:
    """One connection and its task."""

    def __init__(self, lanes: RunnerConnectionPool, connection: RunnerConnection) -> None:
        self._lanes = lanes
        self._connection = connection
        self._delivery: Delivery | None = None
        self._wake = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self.idle_since = 0.0

    def give(self, delivery: Delivery | None) -> None:
        """Hand over the next exchange, or None to close the connection."""
        self._delivery = delivery
        self._wake.set()

    def cancel(self) -> None:
        """Cut off the exchange in progress."""
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Open the connection and carry exchanges until it is given up."""
        try:
            fresh = True
            while (delivery := await self._next()) is not None:
                with anyio.CancelScope() as self._scope:
                    await self._carry(delivery, fresh)
                self._scope = None
                if delivery.abandoned or delivery.answer is None:
                    break
                fresh = False
                self._lanes.park(self)
        finally:
            self._lanes.leave(self)
            with anyio.CancelScope(shield=True):
                await self._connection.close()

    async def _next(self) -> Delivery | None:
        await self._wake.wait()
        self._wake = anyio.Event()
        delivery, self._delivery = self._delivery, None
        return delivery

    async def _carry(self, delivery: Delivery, fresh: bool) -> None:
        try:
            if fresh:
                await self._connection.open()
            if delivery.abandoned:
                return
            delivery.finish(await self._exchange(delivery, fresh), None)
        except RunnerRefused as exc:
            delivery.sent = False
            delivery.finish(None, exc)
        except RunnerBroken as exc:
            delivery.finish(None, exc)

    async def _exchange(self, delivery: Delivery, fresh: bool) -> Answer:
        delivery.sent = True
        try:
            return await self._connection.exchange(delivery.exchange)
        except RunnerRefused:
            if fresh:
                raise
        delivery.sent = False
        await self._connection.close()
        self._connection = self._lanes.connection()
        await self._connection.open()
        delivery.sent = True
        return await self._connection.exchange(delivery.exchange)


class RunnerConnectionPool:
    """Bounded set of connections to one runner.

    Parameters
    ----------
    dialer : RunnerDialer
        Makes connections.
    runner : str
        Runner name.
    address : str
        ``host:port``.
    timers : TimerService
        Source of time.
    tasks : TaskGroup
        Runs the task of each connection.
    """

    def __init__(
        self,
        dialer: RunnerDialer,
        runner: str,
        address: str,
        timers: TimerService,
        tasks: TaskGroup,
    ) -> None:
        self._dialer = dialer
        self._runner = runner
        self._address = address
        self._timers = timers
        self._tasks = tasks
        self._idle: list[_PooledConnection] = []
        self._open: set[_PooledConnection] = set()

    @property
    def open(self) -> int:
        """Number of connections."""
        return len(self._open)

    def start(self, delivery: Delivery) -> None:
        """Hand an exchange to an idle or a new connection, whose task then carries it."""
        lane = self._idle.pop() if self._idle else self._start()
        delivery.carried_by(lane)
        lane.give(delivery)

    def connection(self) -> RunnerConnection:
        """Return a new connection that is not yet open."""
        return self._dialer.connection(self._runner, self._address)

    def park(self, lane: _PooledConnection) -> None:
        """Keep a connection for the next exchange."""
        lane.idle_since = self._timers.now()
        self._idle.append(lane)

    def leave(self, lane: _PooledConnection) -> None:
        """Forget a connection that is closing."""
        self._open.discard(lane)
        if lane in self._idle:
            self._idle.remove(lane)

    def close_idle(self, idle_seconds: float = IDLE_SECONDS) -> None:
        """Close connections that have been idle for ``idle_seconds``."""
        oldest = self._timers.now() - idle_seconds
        while self._idle and self._idle[0].idle_since <= oldest:
            self._idle.pop(0).give(None)

    def _start(self) -> _PooledConnection:
        lane = _PooledConnection(self, self.connection())
        self._open.add(lane)
        self._tasks.start_soon(lane.run)
        return lane
