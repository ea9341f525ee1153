"""HTTP client of the command-line tool."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import httpcore
import msgspec

from ragworttiller.exceptions import (
    EntryAnswerLost,
    EntryUnreachable,
    ErrorBody,
    NotReady,
    RagworttillerError,
    Ran,
    Stopping,
    error_from,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 2.0
FIRST_ERROR_STATUS = 400
SAFE_METHODS = frozenset({"GET"})


class Reply(NamedTuple):
    """Complete answer of an entry; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ran(self) -> str:
        """Value of the header ``x-ran``, empty if the answer has none."""
        return self.headers.get("x-ran", "")


def api_path(*parts: str) -> str:
    """Return the path of the HTTP API made of ``parts``, each percent-encoded."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


class Client:
    """Calls entries in order until one accepts the call.

    The next entry is tried when one is not ready, is stopping or cannot be connected to, and for
    reads also when its answer is lost.

    Parameters
    ----------
    entries : sequence of str
        URLs of entries.
    token : str
        Bearer token of an operator, empty for none.
    author : str
        Name that changes are recorded under.
    timeout : float
        Longest wait for an answer in seconds.
    """

    def __init__(self, entries: Sequence[str], token: str, author: str, timeout: float) -> None:
        self._entries = [entry.rstrip("/") for entry in entries]
        self._headers = {"x-author": author}
        if token:
            self._headers["authorization"] = f"Bearer {token}"
        self._timeout = timeout
        self._pool = httpcore.ConnectionPool()

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: Mapping[str, str] | None = None,
        query: Mapping[str, str] | None = None,
    ) -> Any:
        """Call the operators' API and return the decoded answer.

        Raises
        ------
        RagworttillerError
            The entry answered with an error, or no entry answered.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        sent = {"content-type": "application/json", **(headers or {})}
        target = f"{path}?{urlencode(query)}" if query else path
        reply = self.exchange(method, target, body, sent)
        if reply.status >= FIRST_ERROR_STATUS:
            raise _decode_error(reply)
        return msgspec.json.decode(reply.body)

    def exchange(self, method: str, path: str, body: bytes, headers: Mapping[str, str]) -> Reply:
        """Send a request and return the answer of the first entry that accepts it.

        Returns the last refusal if some entries answered but none accepted the request.

        Raises
        ------
        EntryUnreachable
            No entry answered.
        EntryAnswerLost
            The answer to a request other than a read was lost; the entry may have accepted it.
        """
        problems = []
        refusal: Reply | None = None
        for entry in self._entries:
            try:
                reply = self._send(entry, method, path, body, headers)
            except EntryAnswerLost as exc:
                if method not in SAFE_METHODS:
                    raise
                problems.append(str(exc))
            except EntryUnreachable as exc:
                problems.append(str(exc.fields["entries"]))
            else:
                if not _may_retry_elsewhere(reply):
                    return reply
                refusal = reply
        if refusal is not None:
            return refusal
        raise EntryUnreachable(entries="; ".join(problems) or "no --entry was given")

    def _send(
        self, entry: str, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Reply:
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": self._timeout,
            "write": self._timeout,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
        merged = {**self._headers, **headers}
        sent = [(name.encode(), text.encode()) for name, text in merged.items()]
        try:
            response = self._pool.request(
                method,
                f"{entry}{path}",
                headers=sent,
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.UnsupportedProtocol) as e:
            raise EntryUnreachable(entries=f"{entry}: {e or type(e).__name__}") from e
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as e:
            raise EntryAnswerLost(entry=entry, method=method, path=path) from e
        pairs = {name.decode().lower(): text.decode() for name, text in response.headers}
        return Reply(response.status, pairs, response.content)


def _may_retry_elsewhere(reply: Reply) -> bool:
    """Return whether another entry may accept the request that this one refused."""
    if reply.status < FIRST_ERROR_STATUS or reply.ran != Ran.NO.value:
        return False
    return isinstance(_decode_error(reply), NotReady | Stopping)


def _decode_error(reply: Reply) -> RagworttillerError:
    try:
        return error_from(msgspec.json.decode(reply.body, type=ErrorBody))
    except (msgspec.MsgspecError, KeyError):
        log.debug("an answer with status %d has no error body", reply.status)
        return RagworttillerError()


def caller_error(reply: Reply) -> RagworttillerError | None:
    """Return the error that an entry reports to a caller, None if the upstream has answered."""
    if reply.status < FIRST_ERROR_STATUS or reply.ran == Ran.YES.value:
        return None
    return _decode_error(reply)
