"""Answers callers from the store, and makes the first of them wait for a starting entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import QueueUnknown, RagworttillerError
from ragworttiller.platform.submissions import error_body, pending_body, state_body
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.acceptance import Acceptance

OK = 200
OK_CODE = "ok"
# Code of the reply to a repeated submission, which needed no append.
ALREADY_STORED_CODE = "already_stored"
# Time that an entry with a reachable store needs at most to read configuration and jobs.
MAX_START_SECONDS = 0.8
READY_CHECK_SECONDS = 0.02


class CallerRequest(NamedTuple):
    """Request of a caller; ``timeout`` is the time left for its answer, in seconds.

    ``version`` is the configuration version of the entry that relays the request. ``key`` is the
    caller's API key, empty for none.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout: float
    version: int = -1
    key: str = ""

    def __repr__(self) -> str:
        """Return a text without the API key, which must not appear in logs."""
        return f"CallerRequest({self.method} {self.host}{self.path}, version={self.version})"


class CallerReply(NamedTuple):
    """Answer to a caller; ``code`` names the error, ``retry_after`` is in seconds."""

    status: int
    body: bytes
    code: str = OK_CODE
    retry_after: float | None = None


class Callers(ABC):
    """Answers requests of callers."""

    @abstractmethod
    async def answer(self, request: CallerRequest) -> CallerReply:
        """Return the answer.

        Raises
        ------
        RagworttillerError
            The request is refused or its outcome is unknown.
        """


class LocalCallers(Callers):
    """Answers from the store.

    Parameters
    ----------
    acceptance : Acceptance
        Handles the requests.
    """

    def __init__(self, acceptance: Acceptance) -> None:
        self._acceptance = acceptance

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        target = await self._acceptance.target(request.host, request.path, request.key)
        method = request.method
        if not target.job and method == "GET":
            return CallerReply(OK, pending_body(self._acceptance.pending(target)))
        if target.job and method == "GET":
            return CallerReply(OK, state_body(await self._acceptance.state(target)))
        if target.job and method == "POST":
            appended = await self._acceptance.submit(target, request.body, request.timeout)
            return CallerReply(OK, b"{}", OK_CODE if appended else ALREADY_STORED_CODE)
        if target.job and method == "DELETE":
            await self._acceptance.cancel(target, request.timeout)
            return CallerReply(OK, b"{}")
        raise QueueUnknown(host=request.host, path=request.path)


class StartGate(Callers):
    """Lets the first requests wait until a starting entry can answer.

    Load pattern: callers whose connections were queued while the process loaded. The wait ends a
    fixed time after the start of the entry: if it is not ready by then, the store is out of reach.

    Parameters
    ----------
    callers : Callers
        Answers the requests.
    ready : Callable
        Returns whether the entry can answer.
    clock : Clock
        Source of time.
    """

    def __init__(self, callers: Callers, ready: Callable[[], bool], clock: Clock) -> None:
        self._callers = callers
        self._ready = ready
        self._clock = clock
        self._opens_at = clock.now() + MAX_START_SECONDS

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        received_at = self._clock.now()
        end = min(self._opens_at, received_at + request.timeout)
        while not self._ready() and self._clock.now() < end:
            await self._clock.sleep(READY_CHECK_SECONDS)
        waited = self._clock.now() - received_at
        return await self._callers.answer(request._replace(timeout=request.timeout - waited))


def error_reply(exc: RagworttillerError) -> CallerReply:
    """Return the answer that reports an error to a caller."""
    return CallerReply(exc.status, error_body(exc), exc.code, exc.retry_after)
