"""Open calls to other instances."""

from __future__ import annotations

import itertools
from typing import Any

import anyio

from ragworttiller.exceptions import PeerUnreachable, RagworttillerError, error_from
from ragworttiller.messages import Envelope, ErrorReply

ANY_INCARNATION = 0


class Call:
    """Call to an instance, with its reply or error once it has ended.

    Parameters
    ----------
    peer : str
        Called instance.
    incarnation : int
        Called incarnation, or `ANY_INCARNATION` if it is not known.
    """

    def __init__(self, peer: str, incarnation: int) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self.done = anyio.Event()
        self._closed = False
        self.reply: Any = None
        self.error: RagworttillerError | None = None

    @property
    def ended(self) -> bool:
        """Whether nobody waits for the reply any more."""
        return self._closed or self.done.is_set()

    def close(self) -> None:
        """Record that the caller waits no longer."""
        self._closed = True

    def accepts(self, envelope: Envelope) -> bool:
        """Return whether a reply comes from the called incarnation."""
        expected = self.incarnation in (ANY_INCARNATION, envelope.sender_incarnation)
        return expected and envelope.sender == self.peer

    def fail(self) -> None:
        """End the call without a reply, unless it has ended."""
        if not self.done.is_set():
            self.error = PeerUnreachable(instance=self.peer)
            self.done.set()


class CallTable:
    """Open calls by correlation number."""

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}
        self._correlations = itertools.count(1)

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, call: Call) -> int:
        """Add a call and return its correlation number."""
        correlation = next(self._correlations)
        self._calls[correlation] = call
        return correlation

    def close(self, correlation: int) -> None:
        """Remove a call; a later reply to it is dropped."""
        self._calls.pop(correlation).close()

    def fail(self, peer: str) -> None:
        """End the calls to an instance without a reply."""
        for call in self._calls.values():
            if call.peer == peer:
                call.fail()

    def fail_other_incarnations(self, peer: str, incarnation: int) -> None:
        """End the calls to other incarnations of an instance without a reply."""
        for call in self._calls.values():
            if call.peer == peer and call.incarnation not in (ANY_INCARNATION, incarnation):
                call.fail()

    def fail_all(self) -> None:
        """End every call without a reply."""
        for call in self._calls.values():
            call.fail()

    def deliver_reply(self, envelope: Envelope, message: Any) -> None:
        """End the call that a reply answers; drop late replies and those of other senders."""
        call = self._calls.get(envelope.correlation)
        if call is None or call.done.is_set() or not call.accepts(envelope):
            return
        if isinstance(message, ErrorReply):
            call.error = error_from(message.body)
        else:
            call.reply = message
        call.done.set()
