"""Tests that an abandoned exchange, reported as not sent, is never sent."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ragworttiller.connection.connection_pool import Delivery, RunnerConnectionPool
from ragworttiller.exceptions import RunnerRefused
from ragworttiller.services.runner import Answer, Exchange, RunnerConnection, RunnerDialer
from ragworttiller.timers import ManualTimers

EXCHANGE = Exchange("POST", "/grade", [], b"body")


class FakeConnection(RunnerConnection):
    """Connection that carries one exchange and then refuses."""

    def __init__(self, dialer: FakeDialer) -> None:
        self._dialer = dialer
        self._exchanges = 0

    async def open(self) -> None:
        self._dialer.opened += 1
        self._dialer.on_open(self._dialer.opened)

    async def exchange(self, exchange: Exchange) -> Answer:
        self._exchanges += 1
        if self._exchanges > 1:
            raise RunnerRefused(runner="m-0")
        self._dialer.sent += 1
        return Answer(200, [], b"")

    async def close(self) -> None:
        pass


class FakeDialer(RunnerDialer):
    """Dialer that counts connections and sent requests."""

    def __init__(self) -> None:
        self.opened = 0
        self.sent = 0
        self.on_open: Callable[[int], None] = lambda number: None

    def connection(self, runner: str, address: str) -> FakeConnection:
        return FakeConnection(self)


async def exchange_twice(dialer: FakeDialer, abandon_at: int) -> Delivery:
    """Carry one exchange, then one whose sender gives up when a connection opens."""
    delivery = Delivery(EXCHANGE)
    dialer.on_open = lambda number: delivery.abandon() if number == abandon_at else None
    async with anyio.create_task_group() as tasks:
        pool = RunnerConnectionPool(dialer, "m-0", "", ManualTimers(), tasks)
        first = Delivery(EXCHANGE)
        pool.start_exchange(first)
        await first.wait()
        await anyio.lowlevel.checkpoint()
        pool.start_exchange(delivery)
        for _ in range(20):
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return delivery


class TestAbandonedExchange:
    def test_nothing_is_sent_on_a_connection_that_opened_too_late(self):
        dialer = FakeDialer()
        delivery = anyio.run(exchange_twice, dialer, 2)
        assert (dialer.opened, dialer.sent, delivery.sent) == (2, 1, False)

    def test_an_exchange_that_is_still_wanted_is_sent_on_a_new_connection(self):
        dialer = FakeDialer()
        delivery = anyio.run(exchange_twice, dialer, 0)
        assert (dialer.opened, dialer.sent, delivery.sent) == (2, 2, True)
