"""HTTP connections that do not use the connection pool of httpcore.

A channel carries one exchange at a time. It is closed after a failed or cancelled exchange, so that
a late answer is never returned for a later request.
"""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio
import httpcore
from typing_extensions import override

MAX_IDLE_SECONDS = 4.0
MAX_IDLE_CHANNELS = 8
UNAVAILABLE = 503
# A channel sets or omits these headers itself; values from the request are dropped.
CHANNEL_HEADERS = frozenset({"host", "content-length", "connection", "transfer-encoding", "expect"})
DEFAULT_CONTENT_TYPE = "application/octet-stream"
# Unanswered probes reveal a peer that became unreachable while a read is waiting.
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

_NETWORK_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    anyio.ClosedResourceError,
    TimeoutError,
)


class Answer(NamedTuple):
    """Complete answer of a server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def refused(self) -> bool:
        """Whether the status says that the server has not carried out the request.

        Other statuses of 500 or more do not: a server may fail, or a proxy lose the answer,
        after the request was carried out.
        """
        return 400 <= self.status < 500 or self.status == UNAVAILABLE

    @property
    def content_type(self) -> str:
        """Value of the ``Content-Type`` header, or the default type if there is none."""
        values = {name.lower(): value for name, value in self.headers}
        return values.get("content-type", DEFAULT_CONTENT_TYPE)


class NotSent(Exception):
    """No byte of the request was written."""


class ExchangeBroken(Exception):
    """At least part of the request was written, and no complete answer arrived."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``, optionally with ``http://`` before and a path after.

    Raises
    ------
    ValueError
        The address has no port number.
    """
    host, _, port = address.removeprefix("http://").split("/", 1)[0].rpartition(":")
    return host.strip("[]"), int(port)


class Traffic:
    """Traffic counters shared by channels.

    Attributes
    ----------
    calls : int
        Requests sent.
    bytes_out, bytes_in : int
        Bytes written to and read from the connections, headers included.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.bytes_out = 0
        self.bytes_in = 0


class _CountedStream(httpcore.AsyncNetworkStream):
    """Network stream that counts bytes and writes the head and body of a request at once."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, traffic: Traffic) -> None:
        self._stream = stream
        self._traffic = traffic
        self._unsent: list[bytes] = []

    @override
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self._unsent:
            unsent, self._unsent = b"".join(self._unsent), []
            self._traffic.bytes_out += len(unsent)
            await self._stream.write(unsent, timeout)
        data = await self._stream.read(max_bytes, timeout)
        self._traffic.bytes_in += len(data)
        return data

    @override
    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._unsent.append(buffer)

    @override
    async def aclose(self) -> None:
        await self._stream.aclose()

    @override
    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class Channel:
    """One HTTP connection.

    Parameters
    ----------
    host : str
        Host name or IP address of the server.
    port : int
        Port of the server.
    connect_timeout : float
        Seconds to wait for the connection.
    traffic : Traffic
        Counts calls and bytes.
    """

    def __init__(self, host: str, port: int, connect_timeout: float, traffic: Traffic) -> None:
        self._traffic = traffic
        self._host = host
        self._port = port
        self._connect_timeout = connect_timeout
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        host_text = f"[{host}]" if ":" in host else host
        self._host_header = (b"host", f"{host_text}:{port}".encode())
        self._poll: select.poll | None = None
        self._connection: httpcore.AsyncHTTP11Connection | None = None
        self._used_at = 0.0

    @property
    def usable(self) -> bool:
        """Whether the connection may carry a request.

        It must be open and have been used within the last `MAX_IDLE_SECONDS`; the server must have
        neither closed it nor written to it since the last answer.
        """
        if self._connection is None or self._poll is None or self._connection.is_closed():
            return False
        if time.monotonic() - self._used_at > MAX_IDLE_SECONDS:
            return False
        return not self._poll.poll(0)

    async def open(self) -> None:
        """Connect.

        Raises
        ------
        NotSent
            The connection failed.
        """
        await self.close()
        backend = httpcore.AnyIOBackend()
        try:
            stream = await backend.connect_tcp(
                self._host, self._port, self._connect_timeout, socket_options=KEEP_ALIVE_OPTIONS
            )
        except _NETWORK_FAILURES as exc:
            raise NotSent(str(exc)) from exc
        self._poll = select.poll()
        self._poll.register(stream.get_extra_info("socket"), select.POLLIN)
        counted = _CountedStream(stream, self._traffic)
        self._connection = httpcore.AsyncHTTP11Connection(self._origin, counted)
        self._used_at = time.monotonic()

    async def request(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> Answer:
        """Send a request and return the complete answer.

        Raises
        ------
        NotSent
            The connection was not usable.
        ExchangeBroken
            The exchange failed, possibly after part of the request was written.
        """
        if not self.usable:
            await self.close()
            raise NotSent("the connection is closed")
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=self._host, port=self._port, target=target),
            headers=self._headers(headers, body),
            content=body or None,
        )
        self._traffic.calls += 1
        complete = False
        try:
            answer = await self._exchange(request)
            complete = True
        except _NETWORK_FAILURES as exc:
            raise ExchangeBroken(str(exc)) from exc
        finally:
            if not complete:
                await self.close()
        self._used_at = time.monotonic()
        return answer

    async def close(self) -> None:
        """Close the connection."""
        connection, self._connection, self._poll = self._connection, None, None
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    def _headers(
        self, headers: Sequence[tuple[str, str]], body: bytes
    ) -> list[tuple[bytes, bytes]]:
        pairs = [self._host_header, (b"content-length", b"%d" % len(body))]
        pairs.extend(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() not in CHANNEL_HEADERS
        )
        return pairs

    async def _exchange(self, request: httpcore.Request) -> Answer:
        assert self._connection is not None
        response = await self._connection.handle_async_request(request)
        try:
            body = await response.aread()
        finally:
            await response.aclose()
        headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        ]
        return Answer(response.status, headers, body)


class ChannelSet:
    """Small set of keep-alive channels to one server.

    Parameters
    ----------
    address : str
        ``host:port``, with or without ``http://``.
    timeout : float
        Seconds to wait for a connection, and for an answer unless the request sets its own.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self._host, self._port = split_address(address)
        self._timeout = timeout
        self._idle: list[Channel] = []
        self._traffic = Traffic()

    @property
    def traffic(self) -> Traffic:
        """Traffic counters of all channels."""
        return self._traffic

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout: float | None = None,
    ) -> Answer:
        """Send a request over an idle channel or a new one.

        Raises
        ------
        NotSent
            The connection failed before a byte was written.
        ExchangeBroken
            The exchange failed, or no complete answer arrived within the timeout.
        """
        channel = await self._channel()
        try:
            with anyio.fail_after(self._timeout if timeout is None else timeout):
                answer = await channel.request(method, target, headers, body)
        except TimeoutError as exc:
            # The idle connections to a server that timed out are likely to time out as well.
            await self.close()
            raise ExchangeBroken("no complete answer within the timeout") from exc
        if len(self._idle) < MAX_IDLE_CHANNELS:
            self._idle.append(channel)
        else:
            await channel.close()
        return answer

    async def close(self) -> None:
        """Close the idle channels."""
        idle, self._idle = self._idle, []
        for channel in idle:
            await channel.close()

    async def _channel(self) -> Channel:
        while self._idle:
            channel = self._idle.pop()
            if channel.usable:
                return channel
            await channel.close()
        channel = Channel(self._host, self._port, self._timeout, self._traffic)
        await channel.open()
        return channel
