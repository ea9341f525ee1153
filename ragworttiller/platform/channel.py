"""HTTP connections that do not use the connection pool of httpcore.

A channel carries one exchange at a time. It is closed after a failed or cancelled exchange, so that
a late answer is never returned for a later request. Connections are those of httpcore; answers are
parsed by httptools, since an owner at the largest deployments makes a thousand calls a second.
"""

from __future__ import annotations

import logging
import select
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import anyio
import httpcore
import httptools

from ragworttiller.platform.answer_limits import MAX_ANSWER_BYTES, AnswerTooLong
from ragworttiller.platform.exchange import (
    Answer,
    AnswerParser,
    Exchange,
    ExchangeBroken,
    NotSent,
    UnwantedAnswer,
    request_head,
)

log = logging.getLogger(__name__)

MAX_IDLE_SECONDS = 4.0
MAX_IDLE_CHANNELS = 8
READ_BYTES = 65_536
WRITE_BYTES = 65_536
# A channel sets or omits these headers itself; values from the request are dropped.
CHANNEL_HEADERS = frozenset({"host", "content-length", "connection", "transfer-encoding", "expect"})
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


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``, optionally with ``http://`` before and a path after.

    Raises
    ------
    ValueError
        The address has no port number.
    """
    host, _, port = address.removeprefix("http://").split("/", 1)[0].rpartition(":")
    return host.strip("[]"), int(port)


class Transfer(NamedTuple):
    """Bounds on one exchange.

    A longer answer than ``max_bytes`` is not received. ``on_progress`` is called after each read or
    write, with the number of its bytes.
    """

    max_bytes: int = MAX_ANSWER_BYTES
    on_progress: Callable[[int], None] = lambda count: None


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
        host_text = f"[{host}]" if ":" in host else host
        self._host_header = ("host", f"{host_text}:{port}")
        self._poll: select.poll | None = None
        self._stream: httpcore.AsyncNetworkStream | None = None
        self._used_at = 0.0
        self._received = 0

    @property
    def received(self) -> int:
        """Bytes received of the last answer."""
        return self._received

    @property
    def usable(self) -> bool:
        """Whether the connection may carry a request.

        It must be open and have been used within the last `MAX_IDLE_SECONDS`; the server must have
        neither closed it nor written to it since the last answer.
        """
        if self._stream is None or self._poll is None or self.stale:
            return False
        return not self._poll.poll(0)

    @property
    def stale(self) -> bool:
        """Whether the connection was last used too long ago."""
        return time.monotonic() - self._used_at > MAX_IDLE_SECONDS

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
            self._stream = await backend.connect_tcp(
                self._host, self._port, self._connect_timeout, socket_options=KEEP_ALIVE_OPTIONS
            )
        except _NETWORK_FAILURES as exc:
            raise NotSent(str(exc), refused=isinstance(exc, httpcore.ConnectError)) from exc
        self._poll = select.poll()
        self._poll.register(self._stream.get_extra_info("socket"), select.POLLIN)
        self._used_at = time.monotonic()

    async def request(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        transfer: Transfer = Transfer(),  # noqa: B008
    ) -> Answer:
        """Send a request and return the complete answer.

        Raises
        ------
        NotSent
            The connection was not usable, or the request has a character that HTTP does not allow.
        UnwantedAnswer
            The answer is longer than the transfer allows.
        ExchangeBroken
            The exchange failed, possibly after part of the request was written.
        """
        if not self.usable:
            await self.close()
            raise NotSent("the connection is closed")
        parser = AnswerParser(method, max_bytes=transfer.max_bytes)
        reusable = False
        try:
            head = request_head(method, target, [self._host_header, *_own_headers(headers, body)])
            self._traffic.calls += 1
            written = await self._exchange(head + body, parser, transfer)
            reusable = written and parser.reusable
        except AnswerTooLong as exc:
            raise UnwantedAnswer(parser.length) from exc
        except (*_NETWORK_FAILURES, httptools.HttpParserError) as exc:
            raise ExchangeBroken(str(exc)) from exc
        finally:
            parser.release()
            if not reusable:
                await self.close()
        answer = parser.answer()
        self._used_at = time.monotonic()
        return answer

    async def close(self) -> None:
        """Close the connection."""
        stream, self._stream, self._poll = self._stream, None, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _exchange(self, request: bytes, parser: AnswerParser, transfer: Transfer) -> bool:
        """Read the answer to a request, and return whether the request was written whole."""
        stream = self._stream
        assert stream is not None
        self._traffic.bytes_out += len(request)
        self._received = 0
        written = False
        try:
            for start in range(0, len(request), WRITE_BYTES):
                piece = request[start : start + WRITE_BYTES]
                await stream.write(piece)
                transfer.on_progress(len(piece))
            written = True
        except httpcore.WriteError as exc:
            # A server may refuse a request, and close, before it has read all of it.
            log.info("request not written whole", extra={"why": str(exc), "port": self._port})
        while not parser.complete:
            data = await stream.read(READ_BYTES)
            self._traffic.bytes_in += len(data)
            self._received += len(data)
            transfer.on_progress(len(data))
            if data:
                parser.feed(data)
            elif not parser.end():
                raise httpcore.RemoteProtocolError("the connection ended before the answer")
        return written


def _own_headers(headers: Sequence[tuple[str, str]], body: bytes) -> list[tuple[str, str]]:
    """Return the headers of a request with the length of its body, less those of the channel."""
    kept = [row for row in headers if row[0].lower() not in CHANNEL_HEADERS]
    return [("content-length", str(len(body))), *kept]


class ChannelSet:
    """Small set of keep-alive channels to one server.

    Parameters
    ----------
    address : str
        ``host:port``, with or without ``http://``.
    timeout : float
        Seconds to wait for a connection, and for an answer unless the request sets its own.
    min_progress_bytes : int, optional
        Bytes of an exchange with which its wait begins anew; by default it never does.

    Attributes
    ----------
    on_open : Callable or None
        Called with each new connection before it carries a request, to find out who answers on it.
        A connection never reaches another process than the one that accepted it.
    slack : Callable
        Returns the seconds by which each wait is longer, since this process is busy.
    """

    def __init__(self, address: str, timeout: float, min_progress_bytes: int | None = None) -> None:
        self._min_progress_bytes = min_progress_bytes
        self._host, self._port = split_address(address)
        self._timeout = timeout
        self._idle: list[Channel] = []
        self.on_open: Callable[[Exchange], Awaitable[None]] | None = None
        self.slack: Callable[[], float] = lambda: 0.0
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
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> Answer:
        """Send a request over an idle channel or a new one.

        Raises
        ------
        NotSent
            The connection failed before a byte of the request was written.
        UnwantedAnswer
            The answer is longer than ``max_answer_bytes``.
        ExchangeBroken
            The exchange failed, or no complete answer arrived within the timeout.
        """
        channel = await self._channel()
        try:
            seconds = self._timeout if timeout is None else timeout
            with anyio.fail_after(seconds + self.slack()) as scope:
                transfer = Transfer(max_answer_bytes, self._extension(scope))
                answer = await channel.request(method, target, headers, body, transfer)
        except TimeoutError as exc:
            if channel.received:
                extra = {"port": self._port, "received": channel.received, "seconds": seconds}
                log.info("answer not received whole in time", extra=extra)
            # The idle connections to a server that timed out are likely to time out as well.
            await self.close()
            raise ExchangeBroken("no complete answer within the timeout") from exc
        if len(self._idle) < MAX_IDLE_CHANNELS:
            self._idle.append(channel)
        else:
            await channel.close()
        await self._close_stale()
        return answer

    def _extension(self, scope: anyio.CancelScope) -> Callable[[int], None]:
        """Return what extends the deadline of an exchange while it makes enough progress."""
        needed, count = self._min_progress_bytes, 0

        def extend(length: int) -> None:
            nonlocal count
            count += length
            if needed is not None and count >= needed:
                count = 0
                deadline = anyio.current_time() + self._timeout + self.slack()
                scope.deadline = max(scope.deadline, deadline)

        return extend

    async def close(self) -> None:
        """Close the idle channels."""
        idle, self._idle = self._idle, []
        for channel in idle:
            await channel.close()

    async def _close_stale(self) -> None:
        """Close the channels that have been idle for too long; the last used one is the newest."""
        while self._idle and self._idle[0].stale:
            await self._idle.pop(0).close()

    async def _channel(self) -> Channel:
        while self._idle:
            channel = self._idle.pop()
            if channel.usable:
                return channel
            await channel.close()
        timeout = self._timeout + self.slack()
        channel = Channel(self._host, self._port, timeout, self._traffic)
        await channel.open()
        if self.on_open is not None:
            await self._greet(channel, self.on_open)
        return channel

    async def _greet(
        self, channel: Channel, on_open: Callable[[Exchange], Awaitable[None]]
    ) -> None:
        """Make the first exchange of a connection, which is closed if that fails."""

        async def exchange(
            method: str, target: str, body: bytes, headers: Sequence[tuple[str, str]]
        ) -> Answer:
            return await channel.request(method, target, headers, body)

        greeted = False
        try:
            with anyio.fail_after(self._timeout + self.slack()):
                await on_open(exchange)
            greeted = True
        except (ExchangeBroken, TimeoutError) as exc:
            raise NotSent("the first exchange of the connection failed") from exc
        finally:
            if not greeted:
                await channel.close()
