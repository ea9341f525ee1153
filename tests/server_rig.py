"""An HTTP server on loopback, and a raw connection to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
import anyio.abc

from ragworttiller.connection.limits import ConnectionLimits, RequestLimits
from ragworttiller.connection.request_policy import FixedPolicy, Headers
from ragworttiller.connection.server import HttpServer
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.timers import SystemTimers

LIMITS = RequestLimits(head_timeout=0.6, idle_timeout=1.2, body_timeout=1.2)
CONNECTIONS = ConnectionLimits(connections=8, request_bytes=8 * 1024 * 1024)
ANSWER_TIMEOUT_SECONDS = 10.0
HEAD_END = b"\r\n\r\n"


class RawAnswer(NamedTuple):
    """One answer as it was received."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class DeadlinePolicy(FixedPolicy):
    """Policy under which a header field states for how many seconds the caller waits."""

    def caller_timeout(self, headers: Headers) -> float | None:
        value = dict(headers).get(b"wait")
        return float(value) if value else None


class RawConnection:
    """A connection that sends any bytes and reads answers."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._read = b""

    async def send(self, data: bytes) -> None:
        await self.stream.send(data)

    async def answer(self) -> RawAnswer:
        """Read one answer.

        Raises
        ------
        anyio.EndOfStream, anyio.BrokenResourceError
            The connection ended before it.
        """
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            while HEAD_END not in self._read:
                self._read += await self.stream.receive()
            head, _, self._read = self._read.partition(HEAD_END)
            status, *lines = head.split(b"\r\n")
            headers = dict(line.split(b": ", 1) for line in lines)
            length = int(headers.get(b"content-length", 0))
            while len(self._read) < length:
                self._read += await self.stream.receive()
        body, self._read = self._read[:length], self._read[length:]
        return RawAnswer(int(status.split()[1]), headers, body)

    async def ends(self) -> bool:
        """Wait until the server ends the connection, and return whether it sent nothing more."""
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            try:
                return not await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True


class ServerRig:
    """A server whose application says which bodies it got, and connections to it.

    Attributes
    ----------
    bodies : list of bytes
        Bodies of the requests that were handed on.
    gate : Event
        The application answers requests below ``/wait`` once it is set.
    """

    def __init__(
        self, limits: RequestLimits = LIMITS, connections: ConnectionLimits = CONNECTIONS
    ) -> None:
        self.connections = ServerConnections(connections, SystemTimers())
        policy = DeadlinePolicy(limits)
        self.server = HttpServer(
            "127.0.0.1:0", self._app, 0.5, connections=self.connections, policy=policy
        )
        self.bodies: list[bytes] = []
        self.states: list[dict[str, Any]] = []
        self.headers: list[list[tuple[bytes, bytes]]] = []
        self.gate = anyio.Event()

    @property
    def counts(self) -> dict[str, float]:
        """Connections that the server has ended, by reason, without reasons that did not occur."""
        return {reason: n for reason, n in self.connections.ended.counts.items() if n}

    async def connect(self) -> RawConnection:
        return RawConnection(await anyio.connect_tcp("127.0.0.1", self.server.port))

    async def _app(self, scope, receive, send):
        message = await receive()
        assert not message["more_body"]
        self.bodies.append(message["body"])
        self.states.append(scope["state"])
        self.headers.append(list(scope["headers"]))
        if scope["path"].startswith("/wait"):
            await self.gate.wait()
        body = b"%d" % len(message["body"])
        if scope["path"].startswith("/long"):
            body = b"x" * 4_000_000
        headers = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})


def with_server(
    body: Callable[[ServerRig], Awaitable[None]],
    limits: RequestLimits = LIMITS,
    connections: ConnectionLimits = CONNECTIONS,
) -> None:
    """Run a test body while a server runs."""

    async def main():
        rig = ServerRig(limits, connections)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.server.run)
            await body(rig)
            tasks.cancel_scope.cancel()

    anyio.run(main)
