"""Queue of messages to one instance."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import anyio

from ragworttiller.messages import Envelope
from ragworttiller.process.calls import Call

OUTBOX_MESSAGES = 4096
BATCH_BYTES = 1024 * 1024
MIN_DISCONNECTED_READINGS = 2


class QueuedEnvelope(NamedTuple):
    """Envelope queued at a monotonic time; ``call`` is None for a one-way message."""

    envelope: Envelope
    call: Call | None
    queued_at: float


class Outbox:
    """Queue of messages to one instance, with the state of the connection to it.

    Parameters
    ----------
    name, address : str
        Name of the instance and ``IP address:port`` on which it listens.
    incarnation : int
        Incarnation that messages are addressed to.

    Attributes
    ----------
    introduced : bool
        Whether this end has introduced itself on the present connection.
    disconnected_since : float or None
        Time of the first reading without a connection since the last one with it, in seconds.
    """

    def __init__(self, name: str, address: str, incarnation: int) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.scope = anyio.CancelScope()
        self.queued = anyio.Event()
        self.introduced = False
        self.disconnected_since: float | None = None
        self._items: deque[QueuedEnvelope] = deque()
        self._unsent: list[QueuedEnvelope] = []
        self._connected = False
        self._disconnected_readings = 0

    @property
    def idle(self) -> bool:
        """Whether the queue is empty."""
        return not self._items

    def update_connection(self, connected: bool, now: float) -> bool:
        """Record a reading of the connection; return whether it has just been lost."""
        if connected:
            self._connected, self._disconnected_readings = True, 0
            self.disconnected_since = None
            return False
        self.introduced = False
        if self.disconnected_since is None:
            self.disconnected_since = now
        self._disconnected_readings += 1
        lost = self._connected and self._disconnected_readings >= MIN_DISCONNECTED_READINGS
        self._connected = self._connected and not lost
        return lost

    def push(self, item: QueuedEnvelope) -> None:
        """Queue an envelope; a full outbox drops its oldest one-way message, or else this one."""
        if len(self._items) >= OUTBOX_MESSAGES and not self._drop_oldest_post():
            if item.call is not None:
                item.call.fail()
            return
        self._items.append(item)
        self.queued.set()

    def batch(self) -> list[QueuedEnvelope]:
        """Remove and return the oldest envelopes, as many as fit into one socket message.

        They count as unsent until `end_batch`.
        """
        items: list[QueuedEnvelope] = []
        size = 0
        while self._items and (not items or size < BATCH_BYTES):
            items.append(self._items.popleft())
            size += len(items[-1].envelope.payload)
        if not self._items:
            self.queued = anyio.Event()
        self._unsent = items
        return items

    def end_batch(self) -> None:
        """Record that the last batch was sent, or given up."""
        self._unsent = []

    def take_one_way(self) -> list[QueuedEnvelope]:
        """Remove and return the unsent messages that are no calls: one-way ones and replies."""
        items = [item for item in (*self._unsent, *self._items) if item.call is None]
        self._unsent = [item for item in self._unsent if item.call is not None]
        self._items = deque(item for item in self._items if item.call is not None)
        return items

    def clear(self) -> None:
        """Fail all queued calls and drop all messages."""
        for item in self._items:
            if item.call is not None:
                item.call.fail()
        self._items.clear()

    def _drop_oldest_post(self) -> bool:
        for position, item in enumerate(self._items):
            if item.envelope.correlation == 0:
                del self._items[position]
                return True
        return False
