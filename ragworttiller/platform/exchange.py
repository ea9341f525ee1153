"""One HTTP exchange: the head of its request, and its answer parsed by httptools."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import httptools
from typing_extensions import override

from ragworttiller.platform.answer_limits import (
    ALL_ANSWERS,
    MAX_ANSWER_BYTES,
    MAX_ANSWER_HEAD_BYTES,
    AnswerTooLong,
    IncompleteAnswer,
    IncompleteAnswers,
)

UNAVAILABLE = 503
FIRST_FINAL_STATUS = 200
DEFAULT_CONTENT_TYPE = "application/octet-stream"
# In a header these would begin another one, and in a target end it.
FORBIDDEN_IN_HEADER = re.compile(r"[\r\n\0]")
FORBIDDEN_IN_TARGET = re.compile(r"[\s\0]")


class NotSent(Exception):
    """No byte of the request was written.

    Parameters
    ----------
    reason : str
        What went wrong.
    refused : bool
        Whether the connection was refused: nothing listens at the address.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class ExchangeBroken(Exception):
    """At least part of the request was written, and no complete answer arrived."""


class UnwantedAnswer(ExchangeBroken):
    """The answer is longer than the caller wants to receive.

    Parameters
    ----------
    length : int
        Bytes that it has at least.
    """

    def __init__(self, length: int) -> None:
        super().__init__("the answer is longer than is wanted")
        self.length = length


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


# Sends a request with its method, target, body and headers, and returns the answer.
Exchange = Callable[[str, str, bytes, Sequence[tuple[str, str]]], Awaitable[Answer]]


def request_head(method: str, target: str, headers: Sequence[tuple[str, str]]) -> bytes:
    """Return the head of a request.

    Raises
    ------
    NotSent
        The method, the target or a header has a character that HTTP does not allow there.
    """
    if FORBIDDEN_IN_TARGET.search(method + target):
        raise NotSent("invalid character in the request line")
    lines = [f"{name}: {value}" for name, value in headers]
    if any(FORBIDDEN_IN_HEADER.search(line) for line in lines):
        raise NotSent("invalid character in a header")
    try:
        return "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""]).encode("latin-1")
    except UnicodeEncodeError as exc:
        raise NotSent("invalid character in the request") from exc


class AnswerParser(IncompleteAnswer):
    """Parser of one answer.

    Parameters
    ----------
    method : str
        Method of the request; the answer to ``HEAD`` has no body.
    all_answers : IncompleteAnswers
        Counts the bytes of all answers that the process is receiving.
    max_bytes : int
        Longest answer that is received.
    """

    def __init__(
        self,
        method: str,
        all_answers: IncompleteAnswers = ALL_ANSWERS,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._all_answers = all_answers
        self._length = 0
        self._stated_length = 0
        self._broken_off = False
        self._head_bytes = 0
        self._without_body = method == "HEAD"
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._in_body = False
        self._complete = False
        self._keeps_alive = False
        self._more_than_one = False

    @property
    def complete(self) -> bool:
        """Whether the whole answer was read."""
        return self._complete

    @property
    def length(self) -> int:
        """Bytes that the answer has at least."""
        return max(self._length, self._stated_length)

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""
        return self._complete and self._keeps_alive and not self._more_than_one

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection.

        Raises
        ------
        httptools.HttpParserError
            They are no valid answer.
        AnswerTooLong
            The answer exceeds a limit, or there is no room for it.
        """
        self._length += len(data)
        if self._broken_off or self._length > self._max_bytes:
            raise AnswerTooLong("the answer is too long, or there is no room for it")
        self._all_answers.add(self, len(data))
        if self._in_body:
            self._parser.feed_data(data)
        else:
            self._feed_head(data)
        if self._stated_length > self._max_bytes and not self._without_body:
            raise AnswerTooLong("the answer is longer than is wanted")

    def release(self) -> None:
        """Count the answer as no longer being received."""
        self._all_answers.remove(self)

    @override
    def break_off(self) -> None:
        self._broken_off = True
        self._body.clear()
        self._headers.clear()

    def _content_length(self) -> int:
        """Return the length of the body that the head states, 0 if it states none."""
        values = [value for name, value in self._headers if name == "content-length"]
        return int(values[0]) if values and values[0].isdecimal() else 0

    def _feed_head(self, data: bytes) -> None:
        """Parse no more at once than a head may have; its fields take several times that."""
        for start in range(0, len(data), MAX_ANSWER_HEAD_BYTES):
            piece = data[start : start + MAX_ANSWER_HEAD_BYTES]
            self._parser.feed_data(piece)
            self._head_bytes += 0 if self._in_body else len(piece)
            if self._head_bytes > MAX_ANSWER_HEAD_BYTES:
                raise AnswerTooLong("the head of the answer is too long")

    def end(self) -> bool:
        """Parse the end of the connection, and return whether it completes the answer."""
        names = {name for name, _ in self._headers}
        if self._in_body and not names & {"content-length", "transfer-encoding"}:
            self._complete = True
        return self._complete

    def answer(self) -> Answer:
        """Return the complete answer."""
        return Answer(self._status, self._headers, b"".join(self._body))

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin an answer; a second one was not asked for."""
        self._more_than_one = self._complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; nobody reads trailers."""
        if not self._complete and not self._in_body:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """End the headers."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < FIRST_FINAL_STATUS:
            self._headers.clear()
            return
        self._in_body = True
        self._stated_length = self._content_length()
        self._keeps_alive = self._parser.should_keep_alive()
        # The parser would wait for the body that the headers describe.
        self._complete = self._without_body
        self._keeps_alive = self._keeps_alive and not self._without_body

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if not self._complete:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """End an answer, unless it is an interim one."""
        if self._in_body:
            self._complete = True
