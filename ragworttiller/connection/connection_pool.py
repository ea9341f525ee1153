"""Pooled connections to a runner, each with its own task and one exchange at a time."""

from __future__ import annotations

import logging

import anyio
from anyio.abc import TaskGroup

from ragworttiller.exceptions import RagworttillerError, RunnerBroken, RunnerRefused
from ragworttiller.services.runner import Answer, Exchange, RunnerConnection, RunnerDialer
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

MAX_IDLE_SECONDS = 4.0


class Delivery:
    """Exchange assigned to a connection.

    ``sent`` is whether bytes of the request may have been written.

    Parameters
    ----------
    exchange : Exchange
        Request to send.
    """

    __slots__ = (
        "exchange",
        "answer",
        "error",
        "sent",
        "abandoned",
        "_pooled_connection",
        "_done",
        "_watcher",
    )

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.answer: Answer | None = None
        self.error: RagworttillerError | None = None
        self.sent = False
        self.abandoned = False
        self._pooled_connection: _PooledConnection | None = None
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
        """Also set ``event`` when the answer or the failure is known."""
        self._watcher = event
        if self.done:
            event.set()

    def assign_to(self, pooled: _PooledConnection) -> None:
        """Set the connection that carries the exchange."""
        self._pooled_connection = pooled

    def finish(self, answer: Answer | None, error: RagworttillerError | None) -> None:
        """Set the answer or the failure."""
        self.answer = answer
        self.error = error
        self._done.set()
        if self._watcher is not None:
            self._watcher.set()

    def abandon(self) -> None:
        """Abandon the exchange unless it is done; its connection is closed and not reused."""
        if self.done or self.abandoned:
            return
        self.abandoned = True
        if self._pooled_connection is not None:
            self._pooled_connection.cancel()


class _PooledConnection:
    """One connection and its task."""

    def __init__(self, pool: RunnerConnectionPool, connection: RunnerConnection) -> None:
        self._pool = pool
        self._connection = connection
        self._delivery: Delivery | None = None
        self._wake = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self.idle_since = 0.0

    def assign(self, delivery: Delivery | None) -> None:
        """Assign the next exchange, or None to close the connection."""
        self._delivery = delivery
        self._wake.set()

    def cancel(self) -> None:
        """Cancel the exchange in progress."""
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Open the connection and carry exchanges until it is closed."""
        try:
            fresh = True
            while (delivery := await self._next_delivery()) is not None:
                with anyio.CancelScope() as self._scope:
                    await self._deliver(delivery, fresh)
                self._scope = None
                if delivery.abandoned or delivery.answer is None:
                    break
                fresh = False
                self._pool.mark_idle(self)
        finally:
            self._pool.remove_connection(self)
            with anyio.CancelScope(shield=True):
                await self._connection.close()

    async def _next_delivery(self) -> Delivery | None:
        await self._wake.wait()
        self._wake = anyio.Event()
        delivery, self._delivery = self._delivery, None
        return delivery

    async def _deliver(self, delivery: Delivery, fresh: bool) -> None:
        try:
            if fresh:
                await self._connection.open()
            if delivery.abandoned:
                return
            answer = await self._exchange(delivery, fresh)
            if answer is not None:
                delivery.finish(answer, None)
        except RunnerRefused as exc:
            delivery.sent = False
            delivery.finish(None, exc)
        except RunnerBroken as exc:
            delivery.finish(None, exc)

    async def _exchange(self, delivery: Delivery, fresh: bool) -> Answer | None:
        """Carry an exchange; return None if it was abandoned before it was sent."""
        delivery.sent = True
        try:
            return await self._connection.exchange(delivery.exchange)
        except RunnerRefused:
            if fresh:
                raise
        delivery.sent = False
        await self._connection.close()
        self._connection = self._pool.connection()
        await self._connection.open()
        if delivery.abandoned:
            log.info("abandoned request was not sent on a new connection")
            return None
        delivery.sent = True
        return await self._connection.exchange(delivery.exchange)


class RunnerConnectionPool:
    """Pool of connections to one runner.

    Parameters
    ----------
    dialer : RunnerDialer
        Creates connections.
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

    def start_exchange(self, delivery: Delivery) -> None:
        """Assign an exchange to an idle or new connection, whose task then carries it."""
        pooled = self._idle.pop() if self._idle else self._add_connection()
        delivery.assign_to(pooled)
        pooled.assign(delivery)

    def connection(self) -> RunnerConnection:
        """Return a new connection that is not yet open."""
        return self._dialer.connection(self._runner, self._address)

    def mark_idle(self, pooled: _PooledConnection) -> None:
        """Keep a connection for the next exchange."""
        pooled.idle_since = self._timers.now()
        self._idle.append(pooled)

    def remove_connection(self, pooled: _PooledConnection) -> None:
        """Remove a connection that is closing."""
        self._open.discard(pooled)
        if pooled in self._idle:
            self._idle.remove(pooled)

    def close_idle(self, idle_seconds: float = MAX_IDLE_SECONDS) -> None:
        """Close connections that have been idle for ``idle_seconds``."""
        cutoff = self._timers.now() - idle_seconds
        while self._idle and self._idle[0].idle_since <= cutoff:
            self._idle.pop(0).assign(None)

    def _add_connection(self) -> _PooledConnection:
        pooled = _PooledConnection(self, self.connection())
        self._open.add(pooled)
        self._tasks.start_soon(pooled.run)
        return pooled
