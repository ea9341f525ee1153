"""Bound on the bytes that wait to be sent to other instances."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

BYTES_PER_MB = 1024 * 1024
SHARE_OF_MEMORY_FOR_OUTBOXES = 1 / 16
MIN_OUTBOXES_BYTES = 8 * BYTES_PER_MB
# Part of the bound that may wait for one instance, so that a slow one leaves room for the others.
SHARE_FOR_ONE_INSTANCE = 1 / 8


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
        Bound on the payloads in all outboxes together. One message is taken whatever its length
        while all are empty.

    Attributes
    ----------
    queued : int
        Bytes that wait now.
    dropped : Counter of DropReason to int
        Messages that were not sent.
    """

    def __init__(self, max_bytes: int = MIN_OUTBOXES_BYTES) -> None:
        self._max_bytes = max_bytes
        self._max_bytes_of_one = int(max_bytes * SHARE_FOR_ONE_INSTANCE)
        self.queued = 0
        self.dropped: Counter[DropReason] = Counter()

    def fits(self, size: int, waiting: int) -> bool:
        """Return whether a message fits into an outbox in which some bytes wait."""
        if self.queued == 0:
            return True
        fits_one = waiting == 0 or waiting + size <= self._max_bytes_of_one
        return fits_one and self.queued + size <= self._max_bytes

    def drop(self, reason: DropReason) -> None:
        """Count a message that is not sent."""
        self.dropped[reason] += 1
