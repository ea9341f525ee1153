"""Answers callers from the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import QueueUnknown, RagworttillerError
from ragworttiller.platform.submissions import error_body, pending_body, state_body
from ragworttiller.scheduling.entry.acceptance import Acceptance

OK = 200
OK_CODE = "ok"
# Code of the reply to a repeated submission, which needed no append.
ALREADY_STORED_CODE = "already_stored"


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
            return CallerReply(
                OK, state_body(await self._acceptance.state(target, request.timeout))
            )
        if target.job and method == "POST":
            appended = await self._acceptance.submit(target, request.body, request.timeout)
            return CallerReply(OK, b"{}", OK_CODE if appended else ALREADY_STORED_CODE)
        if target.job and method == "DELETE":
            await self._acceptance.cancel(target, request.timeout)
            return CallerReply(OK, b"{}")
        raise QueueUnknown(host=request.host, path=request.path)


def error_reply(exc: RagworttillerError) -> CallerReply:
    """Return the answer that reports an error to a caller."""
    return CallerReply(exc.status, error_body(exc), exc.code, exc.retry_after)
