"""Addresses that instances state of themselves, for replies to those that are not listed."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.messages import Introduction

# Time after the last reply after which a connection that was opened for replies is closed.
REPLY_CONNECTION_SECONDS = 10.0
MAX_INTRODUCTIONS = 1000


class _Introduced(NamedTuple):
    incarnation: int
    address: str


class Introductions:
    """Introductions received, and the connections that were opened for replies because of them.

    An instance may call before its record has been read, or after that was removed. Its calls are
    answered all the same.
    """

    def __init__(self) -> None:
        self._introduced: dict[str, _Introduced] = {}
        self._last_reply_at: dict[str, float] = {}

    def record(self, instance: str, incarnation: int, introduction: Introduction) -> None:
        """Record what an instance states of itself; the oldest are forgotten beyond a limit."""
        self._introduced.pop(instance, None)
        self._introduced[instance] = _Introduced(incarnation, introduction.address)
        if len(self._introduced) > MAX_INTRODUCTIONS:
            del self._introduced[next(iter(self._introduced))]

    def address_of(self, instance: str, incarnation: int) -> str | None:
        """Return the address of one start of an instance, None if it has not stated it."""
        row = self._introduced.get(instance)
        return row.address if row is not None and row.incarnation == incarnation else None

    def use(self, connection: str, now: float) -> None:
        """Record a reply over a connection that was opened for replies."""
        self._last_reply_at[connection] = now

    def opened(self, connection: str) -> bool:
        """Return whether a connection was opened for replies."""
        return connection in self._last_reply_at

    def take_unused(self, now: float) -> list[str]:
        """Remove and return the connections without a reply for `REPLY_CONNECTION_SECONDS`."""
        end = now - REPLY_CONNECTION_SECONDS
        unused = [name for name, used_at in self._last_reply_at.items() if used_at < end]
        for name in unused:
            del self._last_reply_at[name]
        return unused
