"""Bound on the bytes that wait to be sent to other instances."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

BYTES_PER_MB = 1024 * 1024
SHARE_OF_MEMORY_FOR_OUTBOXES = 1 / 16
MIN_OUTBOXES_BYTES = 8 * BYTES_PER_MB
# Of the bytes that are free, the part that may wait for one instance. However many are slow, some
# bytes stay free for the others.
SHARE_OF_FREE_BYTES = 1 / 8
# So much may wait for each instance in any case: heartbeats, claims, calls.
RESERVED_BYTES = 64 * 1024


class DropReason(StrEnum):
    """Why a message is not sent."""

    EXPIRED = "expired"
    FULL = "full"


def outbox_bytes(memory_mb: int) -> int:
    """Return how many bytes may wait for all other instances of a process with some MiB."""
    return max(int(memory_mb * BYTES_PER_MB * SHARE_OF_MEMORY_FOR_OUTBOXES), MIN_OUTBOXES_BYTES)


class OutboxBudget:
    """Bytes that wait in the outboxes of a process, and how many messages they have dropped.

    Load pattern: the link of an instance is full, and whoever answers it or asks it would queue
    messages for as long as that lasts.

    Parameters
    ----------
    max_bytes : int
        Bound on the payloads in all outboxes together, beside `RESERVED_BYTES` for each. One
        message is taken whatever its length while all are empty.

    Attributes
    ----------
    queued : int
        Bytes that wait now.
    dropped : Counter of DropReason to int
        Messages that were not sent.
    """

    def __init__(self, max_bytes: int = MIN_OUTBOXES_BYTES) -> None:
        self._max_bytes = max_bytes
        self.queued = 0
        self.dropped: Counter[DropReason] = Counter()

    def fits(self, size: int, waiting: int, dropped: int = 0) -> bool:
        """Return whether a message fits into an outbox.

        One message of any length may wait beside short ones.

        Parameters
        ----------
        size : int
            Length of the message in bytes.
        waiting : int
            Bytes that wait in this outbox.
        dropped : int
            Bytes of them that would be dropped for it.
        """
        waiting, queued = waiting - dropped, self.queued - dropped
        free = self._max_bytes - queued
        if queued == 0 or waiting + size <= RESERVED_BYTES:
            return True
        if waiting <= RESERVED_BYTES and size <= free:
            return True
        return waiting + size <= SHARE_OF_FREE_BYTES * free

    def drop(self, reason: DropReason) -> None:
        """Count a message that is not sent."""
        self.dropped[reason] += 1
