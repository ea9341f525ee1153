"""HTTP connection that bounds what its client can make the process hold.

It receives each request whole before the application gets it, so that whatever is refused here was
not accepted. Parsing and answers are those of uvicorn.
"""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import Any, NamedTuple

import httptools
from typing_extensions import override
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ragworttiller.connection.connection_table import NEVER, Connection, ConnectionState, Phase
from ragworttiller.connection.ended_connections import EndReason
from ragworttiller.connection.request_meter import RequestMeter
from ragworttiller.connection.server_guard import ServerGuard
from ragworttiller.exceptions import (
    BodyTooLarge,
    HeadTooLarge,
    MalformedRequest,
    RagworttillerError,
    RequestTimeout,
    TargetTooLong,
    TooManyRequests,
)

# Answers that a client does not read are buffered up to here; then the application waits.
UNSENT_BYTES = 16_384
# A refused client that still sends is read for so long, so that no reset overtakes the refusal.
LINGER_SECONDS = 2.0
LINGER_BYTES = 1024 * 1024
RETRY_AFTER_SECONDS = 1.0
# Key of a request's state under which the application finds the seconds that receiving it took.
RECEIVE_SECONDS = "receive_seconds"


class Refusal(NamedTuple):
    """Reason to refuse a request, and the error that its sender gets."""

    reason: EndReason
    error: RagworttillerError


class BoundedProtocol(HttpToolsProtocol, Connection):
    """HTTP connection with bounds on its requests.

    Parameters
    ----------
    guard : ServerGuard
        Limits, and the connections that share them.
    **arguments : object
        Arguments of uvicorn.
    """

    def __init__(self, guard: ServerGuard, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._guard = guard
        self._policy = guard.policy
        self._limits = guard.policy.limits
        self._meter = RequestMeter(self._limits)
        self._now = guard.timers.now()
        self._begun_at = self._now
        self._state = ConnectionState(
            self, guard.listener, self._now, self._now + self._limits.idle_timeout
        )
        # Found while a piece is parsed; the request is refused after it.
        self._refusal: Refusal | None = None
        # Application for the request that is being received.
        self._next_app: Any = None
        # Requests that wait for the answer to an earlier one: their memory, and bytes not parsed.
        self._waiting_memory: deque[int] = deque()
        self._sent_ahead = b""
        self._is_answering = False
        self._closes_after_answer = False
        self._is_lost = False
        # Time by which the client has to read some of its answers.
        self._unread_deadline = NEVER
        # Bytes read and dropped since the refusal; None before.
        self._dropped: int | None = None

    # Transport

    @override
    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        for state in self._guard.table.add(self._state, self._now):
            if state is self._state:
                self._refuse(Refusal(EndReason.TOO_MANY_CONNECTIONS, _overload()))
            else:
                state.connection.make_room(EndReason.TOO_MANY_CONNECTIONS)

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._is_lost = True
        self._forget_requests()
        self._guard.table.remove(self._state)

    @override
    def data_received(self, data: bytes) -> None:
        if self._dropped is not None:
            self._drop(len(data))
            return
        if self._closes_after_answer:
            return
        self._unset_keepalive_if_required()
        self._now = self._guard.timers.now()
        self._parse(data)

    @override
    def pause_writing(self) -> None:
        super().pause_writing()
        self._unread_deadline = self._guard.timers.now() + self._limits.idle_timeout
        if self._state.phase is not Phase.CLOSING:
            self._state.deadline = self._unread_deadline

    @override
    def resume_writing(self) -> None:
        super().resume_writing()
        self._unread_deadline = NEVER
        if self._state.phase is Phase.IN_PROGRESS:
            self._state.deadline = NEVER

    # Parsing

    def _parse(self, data: bytes) -> None:
        position = 0
        while position < len(data) and self._dropped is None and not self._closes_after_answer:
            if self._is_answering:
                self._keep_ahead(data[position:])
                return
            if self._state.phase is Phase.IDLE:
                self._begin_request()
            count = self._meter.next_length(data, position)
            self._feed(data if count == len(data) else data[position : position + count])
            position += count

    def _begin_request(self) -> None:
        self._limits = self._meter.limits = self._policy.limits
        self._begun_at = self._now
        self._state.enter(Phase.HEAD, self._now, self._now + self._limits.head_timeout)

    def _feed(self, data: bytes) -> None:
        meter = self._meter
        meter.begin_piece()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows the request belongs to a protocol that is not spoken here.
            self._closes_after_answer = True
        except httptools.HttpParserError:
            self._refusal = self._refusal or Refusal(EndReason.MALFORMED, MalformedRequest())
        meter.end_piece(len(data))
        self._count_received(meter.take_uncounted())
        if meter.head_too_large:
            self._refusal = self._refusal or self._head_refusal()
        self._refuse_if_needed()

    def _count_received(self, count: int) -> None:
        if not count:
            return
        for state in self._guard.table.receive(self._state, count, self._now):
            state.connection.make_room(EndReason.TOO_MANY_BYTES)

    def _head_refusal(self) -> Refusal:
        limit = self._limits.max_head
        if self._meter.in_head and self.headers is not None and len(self.url) > limit // 2:
            return Refusal(EndReason.HEAD_TOO_LARGE, TargetTooLong(limit=limit))
        return Refusal(EndReason.HEAD_TOO_LARGE, HeadTooLarge(limit=limit))

    def _keep_ahead(self, data: bytes) -> None:
        """Keep what a client sends before it has the answer to its last request."""
        self._sent_ahead += data
        self.flow.pause_reading()
        self._count_received(len(data))

    def _parse_ahead(self) -> None:
        """Parse what was kept, now that the answer is sent."""
        data, self._sent_ahead = self._sent_ahead, b""
        self._guard.table.forget(self._state, len(data))
        self._now = self._guard.timers.now()
        self._parse(data)

    # Callbacks of the parser

    @override
    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._meter.begin_request()

    @override
    def on_url(self, url: bytes) -> None:
        super().on_url(url)
        self._meter.add_target(len(url))

    @override
    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._meter.in_head:
            # Nobody reads trailers.
            return
        super().on_header(name, value)
        self._meter.add_field(name.lower(), value)

    @override
    def on_headers_complete(self) -> None:
        self._meter.end_head()
        if self._meter.body_too_large:
            self._refuse_body()
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Begin a chunk of a body."""
        self._meter.begin_chunk()

    @override
    def on_body(self, body: bytes) -> None:
        self._meter.add_body(len(body))
        if self._meter.body_too_large:
            self._refuse_body()
        if self._refusal is None:
            self.cycle.body += body

    @override
    def on_message_complete(self) -> None:
        memory = self._meter.end_request()
        if self._refusal is not None or self._dropped is not None:
            return
        super().on_message_complete()
        self._waiting_memory.append(memory)
        app, self._next_app = self._next_app, None
        if app is not None:
            self._hand_on(self.cycle, app)

    def _refuse_body(self) -> None:
        error = BodyTooLarge(limit=self._limits.max_body)
        self._refusal = self._refusal or Refusal(EndReason.BODY_TOO_LARGE, error)

    def _body_deadline(self) -> float:
        timeout = self._policy.caller_timeout(self.headers)
        end = self._now + self._limits.body_timeout
        return end if timeout is None else min(end, self._begun_at + timeout)

    # Application

    @override
    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        if not cycle.more_body:
            self._hand_on(cycle, app)
            return
        self._next_app = app
        self._state.enter(Phase.BODY, self._now, self._body_deadline())
        if cycle.waiting_for_100_continue and self._refusal is None:
            cycle.waiting_for_100_continue = False
            self.transport.write(STATUS_LINE[100] + b"\r\n")

    def _hand_on(self, cycle: RequestResponseCycle, app: Any) -> None:
        memory = self._waiting_memory.popleft()
        # What is handed on has to be counted as received before.
        self._count_received(self._meter.take_uncounted())
        if self._dropped is not None:
            return
        if not self._guard.table.hand_on(self._state, memory, self._now):
            self._refusal = Refusal(EndReason.TOO_MANY_IN_PROGRESS, _overload())
            return
        self._is_answering = True
        self._state.deadline = self._unread_deadline
        cycle.scope["state"][RECEIVE_SECONDS] = self._now - self._begun_at
        super()._start_asgi_task(cycle, partial(self._run, app, memory))

    async def _run(self, app: Any, memory: int, scope: Any, receive: Any, send: Any) -> None:
        """Run the application on a request, which counts until it is done with it."""
        try:
            # A client that has left already would be told nothing.
            if not self._is_lost:
                await app(scope, receive, send)
        finally:
            self._guard.table.finish(memory)
            if self._is_lost:
                self._forget_last_request()

    @override
    def on_response_complete(self) -> None:
        self._is_answering = False
        self._now = self._guard.timers.now()
        if self.transport.is_closing():
            self._guard.table.close(self._state, self._now, LINGER_SECONDS)
        elif self._closes_after_answer:
            self._linger()
        else:
            self._state.enter(Phase.IDLE, self._now, self._now + self._limits.idle_timeout)
            if not self.pipeline and self.cycle.response_complete:
                self._forget_last_request()
            super().on_response_complete()
            self._refuse_if_needed()
            if self._sent_ahead and not self._is_answering:
                self.loop.call_soon(self._parse_ahead)

    # End of the connection

    @override
    def make_room(self, reason: EndReason) -> None:
        phase = self._state.phase
        if phase in (Phase.HEAD, Phase.BODY, Phase.IN_PROGRESS):
            self._refuse(Refusal(reason, _overload()))
            return
        if phase is Phase.IDLE:
            self._count_end(reason)
        # Others that come before the event loop has closed it find the room free.
        self.abort()

    @override
    def expire(self) -> None:
        phase = self._state.phase
        if phase is Phase.HEAD:
            error = RequestTimeout(part="head", seconds=self._limits.head_timeout)
            self._refuse(Refusal(EndReason.HEAD_TIMEOUT, error))
        elif phase is Phase.BODY:
            seconds = round(self._state.deadline - self._begun_at, 3)
            error = RequestTimeout(part="body", seconds=seconds)
            self._refuse(Refusal(EndReason.BODY_TIMEOUT, error))
        elif phase is Phase.IDLE:
            self._count_end(EndReason.IDLE_TIMEOUT)
            self._close()
        else:
            if phase is Phase.IN_PROGRESS:
                self._count_end(EndReason.ANSWER_NOT_READ)
            self.transport.abort()

    @override
    def abort(self) -> None:
        self.transport.abort()
        self._guard.table.remove(self._state)

    def _refuse_if_needed(self) -> None:
        refusal, self._refusal = self._refusal, None
        if refusal is not None:
            self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse the request that is being received; one that was handed on keeps its answer."""
        if self._dropped is not None:
            return
        self._count_end(refusal.reason)
        if self._is_answering:
            self._closes_after_answer = True
            self._forget_requests()
            self.flow.pause_reading()
            return
        self.transport.write(self._answer(refusal.error))
        self._linger()

    def _answer(self, error: RagworttillerError) -> bytes:
        body = self._policy.error_body(error)
        lines = [
            STATUS_LINE[error.status],
            b"content-type: application/json\r\n",
            b"content-length: %d\r\n" % len(body),
            b"connection: close\r\n",
        ]
        if error.retry_after is not None:
            lines.append(b"retry-after: %d\r\n" % error.retry_after)
        return b"".join([*lines, b"\r\n", body])

    def _linger(self) -> None:
        """Close once the client does, or after a time, in which what it sends is dropped."""
        self._dropped = 0
        self._forget_requests()
        self._guard.table.close(self._state, self._guard.timers.now(), LINGER_SECONDS)
        if not self.transport.can_write_eof():
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The client has reset the connection, and the event loop has not noticed yet.
            self.transport.abort()
            return
        self.flow.resume_reading()

    def _close(self) -> None:
        self._forget_requests()
        self._guard.table.close(self._state, self._guard.timers.now(), LINGER_SECONDS)
        self.transport.close()

    def _drop(self, count: int) -> None:
        assert self._dropped is not None
        self._dropped += count
        if self._dropped > LINGER_BYTES:
            self.transport.abort()

    def _forget_requests(self) -> None:
        """Forget the requests that were not handed on."""
        self._sent_ahead = b""
        self._next_app = None
        self._waiting_memory.clear()
        self.pipeline.clear()
        self._guard.table.forget(self._state, self._state.received)
        if not self._is_answering:
            self._forget_last_request()

    def _forget_last_request(self) -> None:
        """Release the memory of the last request, which uvicorn keeps until the next one."""
        self.headers = []
        self.url = b""
        self.scope = {}  # type: ignore[typeddict-item]
        if self.cycle is not None:
            self.cycle.scope = self.scope
            self.cycle.body = bytearray()

    def _count_end(self, reason: EndReason) -> None:
        self._guard.ended.count(reason, self.client[0] if self.client else "")


def _overload() -> TooManyRequests:
    return TooManyRequests(retry_after=RETRY_AFTER_SECONDS)
