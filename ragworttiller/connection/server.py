"""HTTP server of an instance: one task for each connection, run by uvicorn."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Iterator
from functools import partial
from typing import TYPE_CHECKING

import anyio
import uvicorn
from typing_extensions import override

from ragworttiller.connection.bounded_protocol import BoundedProtocol
from ragworttiller.connection.limits import DEFAULT_CONNECTION_LIMITS, RequestLimits
from ragworttiller.connection.request_policy import FixedPolicy, RequestPolicy
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.listeners import LISTEN_BACKLOG, open_listener
from ragworttiller.timers import SystemTimers

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

    from ragworttiller.config.settings import TlsSettings


# The connection table ends idle connections sooner.
KEEP_ALIVE_SECONDS = 3600
EXPIRY_CHECK_SECONDS = 0.5
# Connections that are accepted before others are served. Each takes a descriptor at once, also if
# it is then refused.
ACCEPTED_AT_ONCE = 16
# A burst of callers waits in the queue; beyond it, the kernel drops the opening packets.
MIN_QUEUE_LENGTH = 512


class _Uvicorn(uvicorn.Server):
    """Uvicorn without signal handlers; the daemon installs its own.

    Parameters
    ----------
    config : uvicorn.Config
        Configuration of uvicorn.
    queue_length : int
        Connections that may wait to be accepted; the kernel holds unread bytes of each.
    """

    def __init__(self, config: uvicorn.Config, queue_length: int) -> None:
        super().__init__(config)
        self._queue_length = queue_length

    @override
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    @override
    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        for listener in sockets or []:
            # asyncio takes one number for this and for the connections accepted at once.
            listener.listen(self._queue_length)


class _DrainMiddleware:
    """Middleware that asks callers to close their connections while the server is draining."""

    def __init__(self, app: ASGIApp) -> None:
        self._app = app
        self.draining = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: Message) -> None:
            if self.draining and message["type"] == "http.response.start":
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self._app(scope, receive, send_closing)


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    app : ASGIApp
        Application.
    drain_seconds : float
        Seconds that requests in progress may take after `stop`.
    tls : TlsSettings, optional
        Files for HTTPS; without a certificate the server uses plain HTTP.
    listener : socket, optional
        Socket that listens on the address already.
    connections : ServerConnections, optional
        Connections of the process, which share its limits; by default those of this server only.
    policy : RequestPolicy, optional
        Limits on each request; by default those of `RequestLimits`.
    max_connections : int, optional
        Most connections; by default as many as the limits of the process allow.
    """

    def __init__(
        self,
        address: str,
        app: ASGIApp,
        drain_seconds: float,
        tls: TlsSettings | None = None,
        listener: socket.socket | None = None,
        connections: ServerConnections | None = None,
        policy: RequestPolicy | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._socket = listener or open_listener(address)
        self._connections = connections or ServerConnections(
            DEFAULT_CONNECTION_LIMITS, SystemTimers()
        )
        self._guard = self._connections.guard(
            policy or FixedPolicy(RequestLimits()), max_connections
        )
        self._app = _DrainMiddleware(app)
        config = uvicorn.Config(
            self._app,
            loop="asyncio",
            http=partial(BoundedProtocol, self._guard),  # type: ignore[arg-type]
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            backlog=ACCEPTED_AT_ONCE,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            ssl_certfile=tls and tls.certificate,
            ssl_keyfile=str(tls.key) if tls and tls.key else None,
            ssl_ca_certs=str(tls.authority) if tls and tls.authority else None,
            ssl_cert_reqs=ssl.CERT_REQUIRED if tls and tls.authority else ssl.CERT_NONE,
        )
        longest = max(self._guard.listener.max_connections, MIN_QUEUE_LENGTH)
        queue_length = min(longest, LISTEN_BACKLOG)
        self._server = _Uvicorn(config, queue_length)
        self._set_drain_seconds(drain_seconds)
        self._stopped = anyio.Event()

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._socket.getsockname()[1])

    async def run(self) -> None:
        """Serve until `stop`, then finish the requests in progress."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._end_expired)
                await self._server.serve(sockets=[self._socket])
                tasks.cancel_scope.cancel()
        finally:
            self._stopped.set()

    async def stopped(self) -> None:
        """Wait until `run` has returned."""
        await self._stopped.wait()

    def drain(self) -> None:
        """Ask callers to close their connections after their next answer."""
        self._app.draining = True

    def stop(self, drain_seconds: float | None = None) -> None:
        """Accept no new connections; `run` returns when the last request is answered.

        Parameters
        ----------
        drain_seconds : float, optional
            Seconds that requests in progress may take, in place of those given before.
        """
        if drain_seconds is not None:
            self._set_drain_seconds(drain_seconds)
        self._server.should_exit = True

    async def _end_expired(self) -> None:
        async for _ in self._connections.timers.ticks(EXPIRY_CHECK_SECONDS):
            self._connections.end_expired(self._guard)

    def _set_drain_seconds(self, seconds: float) -> None:
        # Declared as whole seconds, but passed on to `asyncio.timeout`.
        self._server.config.timeout_graceful_shutdown = seconds  # type: ignore[assignment]
