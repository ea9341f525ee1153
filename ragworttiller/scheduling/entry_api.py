"""HTTP endpoints of an entry on the platform: callers, readiness and metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ragworttiller.exceptions import BodyTooLarge, QueueUnknown, RagworttillerError
from ragworttiller.platform.submissions import (
    DEADLINE_HEADER,
    error_body,
    pending_body,
    state_body,
)
from ragworttiller.scheduling.acceptance import Acceptance, Target
from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_TIMEOUT_SECONDS = 3.0
# Part of a caller's waiting time that is left for the answer's way back.
TIMEOUT_SHARE = 0.8
JSON = (b"content-type", b"application/json")

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Reply = tuple[int, bytes]


class CallerApp:
    """Application for callers.

    Parameters
    ----------
    acceptance : Acceptance
        Gives the answers.
    clock : Clock
        Source of time.
    """

    def __init__(self, acceptance: Acceptance, clock: Clock) -> None:
        self._acceptance = acceptance
        self._clock = clock
        self.answers: dict[str, int] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        began = self._clock.now()
        headers = dict(scope["headers"])
        retry_after: float | None = None
        code = "ok"
        try:
            status, body = await self._answer(scope, headers, receive)
        except RagworttillerError as exc:
            status, body, code, retry_after = exc.status, error_body(exc), exc.code, exc.retry_after
        self.answers[code] = self.answers.get(code, 0) + 1
        if scope["method"] != "GET" or code != "ok":
            extra = {"method": scope["method"], "path": scope["path"], "status": status}
            took = round(self._clock.now() - began, 4)
            log.info("request answered", extra={**extra, "code": code, "took": took})
        await _reply(send, status, body, retry_after)

    async def _answer(self, scope: Scope, headers: dict[bytes, bytes], receive: Receive) -> Reply:
        host = headers.get(b"host", b"").decode("latin-1")
        target = self._acceptance.target(host, scope["path"])
        method = scope["method"]
        timeout = _timeout(headers)
        if not target.job and method == "GET":
            return 200, pending_body(self._acceptance.pending(target))
        if target.job and method == "GET":
            return 200, state_body(await self._acceptance.state(target))
        if target.job and method == "POST":
            return await self._submit(target, receive, timeout)
        if target.job and method == "DELETE":
            await self._acceptance.cancel(target, timeout)
            return 200, b"{}"
        raise QueueUnknown(host=host, path=scope["path"])

    async def _submit(self, target: Target, receive: Receive, timeout: float) -> Reply:
        body = await _body(receive, self._acceptance.max_body)
        await self._acceptance.submit(target, body, timeout)
        return 200, b"{}"


class ReadyApp:
    """Application for the platform's balancer.

    Parameters
    ----------
    ready : Callable
        Returns the reasons why the entry should get no new connections.
    metrics : Callable
        Returns the metrics page.
    """

    def __init__(self, ready: Callable[[], list[str]], metrics: Callable[[], bytes]) -> None:
        self._ready = ready
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] == "/metrics":
            await _reply(send, 200, self._metrics(), None)
            return
        reasons = self._ready()
        body = "\n".join(reasons).encode()
        await _reply(send, 503 if reasons else 200, body, None)


async def _body(receive: Receive, most: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        part = message.get("body", b"")
        size += len(part)
        if size > most:
            raise BodyTooLarge(limit=most)
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def _reply(send: Send, status: int, body: bytes, retry_after: float | None) -> None:
    headers = [JSON, (b"content-length", str(len(body)).encode())]
    if retry_after is not None:
        headers.append((b"retry-after", str(max(round(retry_after), 1)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _timeout(headers: dict[bytes, bytes]) -> float:
    try:
        given = float(headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        given = DEFAULT_TIMEOUT_SECONDS
    return max(given, 0.0) * TIMEOUT_SHARE
