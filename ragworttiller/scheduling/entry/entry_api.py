"""HTTP endpoints of an entry for callers, readiness checks, metrics and operators."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec

from ragworttiller.connection.bounded_protocol import RECEIVE_SECONDS
from ragworttiller.exceptions import (
    BodyTooLarge,
    RagworttillerError,
    Stopping,
    SubmissionUndecided,
)
from ragworttiller.metrics import Metrics
from ragworttiller.platform.submissions import API_KEY_HEADER, caller_timeout
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.acceptance import RETRY_AFTER_SECONDS
from ragworttiller.scheduling.entry.callers import (
    CallerReply,
    CallerRequest,
    Callers,
    error_reply,
)
from ragworttiller.scheduling.entry.open_requests import OpenRequests
from ragworttiller.scheduling.entry.operators import DRY_RUN_PATH, Operators
from ragworttiller.scheduling.entry.operators import ROOT as OPERATORS_ROOT
from ragworttiller.scheduling.entry.request_trace import traced_request

log = logging.getLogger(__name__)

DEFAULT_TIMEOUT_SECONDS = 3.0
# A caller that says it waits for longer is answered by then.
MAX_TIMEOUT_SECONDS = 60.0
# Share of a caller's timeout that is used here; the remainder is for sending the answer.
TIMEOUT_SHARE = 0.8
# Answers whose cause is the store, or an entry that cannot reach it.
STORE_FAILURE_STATUSES = (503, 504)
JSON_HEADER = (b"content-type", b"application/json")

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class CallerApp:
    """Application for callers.

    Parameters
    ----------
    callers : Callers
        Answers the requests.
    max_body : Callable
        Returns the longest body of a request, in bytes.
    metrics : Metrics
        Records response times by method, and the codes of answers.
    clock : Clock
        Source of time.
    instance : str
        Name of this instance.
    """

    def __init__(
        self,
        callers: Callers,
        max_body: Callable[[], int],
        metrics: Metrics,
        clock: Clock,
        instance: str = "",
    ) -> None:
        self._instance = instance
        self._open_requests = OpenRequests()
        self._metrics = metrics
        self._callers = callers
        self._max_body = max_body
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        started_at = self._clock.now()
        with traced_request(started_at) as trace:
            try:
                reply = await self._answer(scope, receive)
            except RagworttillerError as exc:
                reply = error_reply(exc)
        elapsed = self._clock.now() - started_at
        self._metrics.count_answer(reply.code)
        self._metrics.record_wait(scope["method"], elapsed)
        if scope["method"] != "GET" or reply.code != "ok":
            extra = {"method": scope["method"], "path": scope["path"], "status": reply.status}
            extra |= {"code": reply.code, "took": round(elapsed, 4)}
            if reply.status in STORE_FAILURE_STATUSES:
                extra |= trace.fields()
            log.info("request answered", extra=extra)
        await _reply(send, reply.status, reply.body, reply.retry_after)

    def end_requests(self) -> None:
        """Answer all requests at once as far as is known; the process is about to end."""
        self._open_requests.end()

    async def _answer(self, scope: Scope, receive: Receive) -> CallerReply:
        """Return the reply to a request, or raise what is known of it once requests are ended."""
        request = None
        stopping = Stopping(instance=self._instance, retry_after=RETRY_AFTER_SECONDS)
        if self._open_requests.ended:
            raise stopping
        with self._open_requests.track():
            request = await self._request(scope, receive)
            return await self._callers.answer(request)
        # The requests were ended meanwhile.
        if request is None or request.method == "GET":
            raise stopping
        # It may have been stored.
        job = request.path.rpartition("/")[2]
        raise SubmissionUndecided(job=job, retry_after=RETRY_AFTER_SECONDS)

    async def _request(self, scope: Scope, receive: Receive) -> CallerRequest:
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        body = b""
        if scope["method"] == "POST":
            body = await _body(receive, self._max_body())
        key = headers.get(API_KEY_HEADER, b"").decode("latin-1")
        timeout = _timeout(headers, scope.get("state", {}).get(RECEIVE_SECONDS, 0.0))
        return CallerRequest(scope["method"], host, scope["path"], body, timeout, key=key)


class ReadyApp:
    """Application for the platform's load balancer and for operators.

    Parameters
    ----------
    ready : Callable
        Returns the reasons why the entry should get no new connections.
    metrics : Callable
        Returns the metrics page.
    operators : Operators
        Answers operators.
    max_body : Callable
        Returns the longest body of a request, in bytes.
    """

    def __init__(
        self,
        ready: Callable[[], list[str]],
        metrics: Callable[[], bytes],
        operators: Operators,
        max_body: Callable[[], int],
    ) -> None:
        self._max_body = max_body
        self._ready = ready
        self._metrics = metrics
        self._operators = operators

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] == "/metrics":
            await _reply(send, 200, self._metrics(), None)
            return
        if scope["path"].startswith(OPERATORS_ROOT):
            await self._answer_operator(scope, receive, send)
            return
        reasons = self._ready()
        body = "\n".join(reasons).encode()
        await _reply(send, 503 if reasons else 200, body, None)

    async def _answer_operator(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        try:
            if path == DRY_RUN_PATH and scope["method"] == "POST":
                body = await self._operators.dry_run(await _body(receive, self._max_body()))
            else:
                body = await self._operators.answer(path)
        except RagworttillerError as exc:
            log.info("operator view request refused", extra={"path": path, "code": exc.code})
            await _reply(send, exc.status, msgspec.json.encode(exc.body()), None)
            return
        await _reply(send, 200, body, None)


async def _body(receive: Receive, max_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise BodyTooLarge(limit=max_bytes)
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def _reply(send: Send, status: int, body: bytes, retry_after: float | None) -> None:
    headers = [JSON_HEADER, (b"content-length", str(len(body)).encode())]
    if retry_after is not None:
        headers.append((b"retry-after", str(math.ceil(retry_after)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _timeout(headers: dict[bytes, bytes], receive_seconds: float) -> float:
    """Return the seconds for an answer to a request that took some seconds to arrive."""
    stated = caller_timeout(headers)
    if stated is None:
        return DEFAULT_TIMEOUT_SECONDS * TIMEOUT_SHARE
    left = max(stated - receive_seconds, 0.0)
    return min(left, MAX_TIMEOUT_SECONDS) * TIMEOUT_SHARE
