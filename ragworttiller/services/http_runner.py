"""Adapter to the runners of upstreams over HTTP."""

from __future__ import annotations

from typing_extensions import override

from ragworttiller.exceptions import RunnerBroken, RunnerRefused
from ragworttiller.platform.channel import Channel, Traffic, split_address
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.services.runner import Answer, Exchange, RunnerConnection, RunnerDialer

CONNECT_TIMEOUT_SECONDS = 0.5


class HttpRunnerConnection(RunnerConnection):
    """Connection to a runner over HTTP.

    Parameters
    ----------
    runner : str
        Runner name.
    address : str
        ``host:port``.
    dialer : HttpRunnerDialer
        Dialer that provides the timeout and the traffic counters.
    """

    def __init__(self, runner: str, address: str, dialer: HttpRunnerDialer) -> None:
        self._runner = runner
        host, port = split_address(address)
        self._channel = Channel(host, port, dialer.connect_timeout, dialer.traffic)

    @property
    def usable(self) -> bool:
        """Whether the connection is open, recently used and not closed by the runner."""
        return self._channel.usable

    @override
    async def open(self) -> None:
        try:
            await self._channel.open()
        except NotSent as exc:
            raise RunnerRefused(runner=self._runner) from exc

    @override
    async def exchange(self, exchange: Exchange) -> Answer:
        try:
            return await self._channel.request(
                exchange.method, exchange.path, exchange.headers, exchange.body
            )
        except NotSent as exc:
            raise RunnerRefused(runner=self._runner) from exc
        except ExchangeBroken as exc:
            raise RunnerBroken(runner=self._runner) from exc

    @override
    async def close(self) -> None:
        await self._channel.close()


class HttpRunnerDialer(RunnerDialer):
    """Creates connections to runners over HTTP.

    Parameters
    ----------
    connect_timeout : float
        Seconds to wait for a connection.
    """

    def __init__(self, connect_timeout: float = CONNECT_TIMEOUT_SECONDS) -> None:
        self._connect_timeout = connect_timeout
        self._traffic = Traffic()

    @property
    def connect_timeout(self) -> float:
        """Seconds to wait for a connection."""
        return self._connect_timeout

    @property
    def traffic(self) -> Traffic:
        """Exchanges and bytes of all connections so far."""
        return self._traffic

    @override
    def connection(self, runner: str, address: str) -> HttpRunnerConnection:
        return HttpRunnerConnection(runner, address, self)
