"""Queue of messages to one instance."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

import anyio

from ragworttiller.messages import Envelope
from ragworttiller.process.calls import Call
from ragworttiller.process.outbox_budget import DropReason, OutboxBudget

OUTBOX_MESSAGES = 4096
# A socket holds several batches, which no longer count as queued.
BATCH_BYTES = 64 * 1024
MIN_DISCONNECTED_READINGS = 2
# One-way messages may be lost: what they tell is sent again, or asked for, within this time.
ONE_WAY_SECONDS = 10.0
# Callers of an instance wait for a reply for no longer.
REPLY_SECONDS = 60.0


class QueuedEnvelope(NamedTuple):
    """Envelope queued at a monotonic time; ``call`` is None for one-way messages and replies."""

    envelope: Envelope
    call: Call | None
    queued_at: float

    @property
    def size(self) -> int:
        """Length of the payload in bytes."""
        return len(self.envelope.payload)

    @property
    def is_post(self) -> bool:
        """Whether it is a one-way message."""
        return self.envelope.correlation == 0

    def expired(self, now: float) -> bool:
        """Return whether nobody waits for the message any more."""
        if self.call is not None:
            return self.call.ended
        limit = REPLY_SECONDS if self.envelope.reply else ONE_WAY_SECONDS
        return self.queued_at + limit <= now


class Outbox:
    """Queue of messages to one instance, with the state of the connection to it.

    Parameters
    ----------
    name, address : str
        Name of the instance and ``IP address:port`` on which it listens.
    incarnation : int
        Incarnation that messages are addressed to.
    budget : OutboxBudget
        Bound on the bytes in all outboxes of the process.

    Attributes
    ----------
    introduced : bool
        Whether this end has introduced itself on the present connection.
    disconnected_since : float or None
        Time of the first reading without a connection since the last one with it, in seconds.
    taken_at : float
        Time at which the socket last took a batch, in seconds.
    """

    def __init__(self, name: str, address: str, incarnation: int, budget: OutboxBudget) -> None:
        self._budget = budget
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.scope = anyio.CancelScope()
        self.queued = anyio.Event()
        self.introduced = False
        self.disconnected_since: float | None = None
        self.taken_at = -math.inf
        self._items: deque[QueuedEnvelope] = deque()
        self._unsent: list[QueuedEnvelope] = []
        self._bytes = 0
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
        """Queue an envelope.

        A full outbox drops what has expired, then its oldest one-way messages if that makes room,
        or else this one.
        """
        if not self._fits(item):
            self._drop_expired(item.queued_at)
        if not self._fits(item) and not self._fits_without_posts(item):
            self._budget.drop(DropReason.FULL)
            _fail(item)
            return
        while not self._fits(item):
            self._drop_oldest_post()
        self._items.append(item)
        self._count(item.size)
        self.queued.set()

    def batch(self, now: float) -> list[QueuedEnvelope]:
        """Remove and return the oldest envelopes, as many as fit into one socket message.

        Those that have expired by ``now`` are dropped. The others count as unsent, and their bytes
        as queued, until `end_batch`.
        """
        items: list[QueuedEnvelope] = []
        size = 0
        while self._items and (not items or size + self._items[0].size <= BATCH_BYTES):
            item = self._items.popleft()
            if item.expired(now):
                self._drop(item, DropReason.EXPIRED)
                continue
            items.append(item)
            size += item.size
        if not self._items:
            self.queued = anyio.Event()
        self._unsent = items
        return items

    def end_batch(self) -> None:
        """Record that the last batch was sent, or given up."""
        self._count(-sum(item.size for item in self._unsent))
        self._unsent = []

    def take_one_way(self) -> list[QueuedEnvelope]:
        """Remove and return the unsent messages that are no calls: one-way ones and replies."""
        items = [item for item in (*self._unsent, *self._items) if item.call is None]
        self._unsent = [item for item in self._unsent if item.call is not None]
        self._items = deque(item for item in self._items if item.call is not None)
        self._count(-sum(item.size for item in items))
        return items

    def clear(self) -> None:
        """Fail all queued calls and drop all messages."""
        for item in self._items:
            _fail(item)
        self._items.clear()
        self._unsent = []
        self._count(-self._bytes)

    def _fits(self, item: QueuedEnvelope) -> bool:
        fits = self._budget.fits(item.size, self._bytes)
        return fits and len(self._items) < OUTBOX_MESSAGES

    def _fits_without_posts(self, item: QueuedEnvelope) -> bool:
        """Return whether an envelope would fit if all one-way messages were dropped."""
        posts = [queued.size for queued in self._items if queued.is_post]
        fits = self._budget.fits(item.size, self._bytes, sum(posts))
        return fits and len(self._items) - len(posts) < OUTBOX_MESSAGES

    def _count(self, size: int) -> None:
        """Add to the bytes that wait."""
        self._bytes += size
        self._budget.queued += size

    def _drop(self, item: QueuedEnvelope, reason: DropReason) -> None:
        self._count(-item.size)
        self._budget.drop(reason)

    def _drop_expired(self, now: float) -> None:
        for item in self._items:
            if item.expired(now):
                self._drop(item, DropReason.EXPIRED)
        self._items = deque(item for item in self._items if not item.expired(now))

    def _drop_oldest_post(self) -> None:
        position = next(i for i, item in enumerate(self._items) if item.is_post)
        self._drop(self._items[position], DropReason.FULL)
        del self._items[position]


def _fail(item: QueuedEnvelope) -> None:
    """End the call of a message that is not sent."""
    if item.call is not None:
        item.call.fail()
