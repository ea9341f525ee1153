"""Counts of the messages between instances."""

from __future__ import annotations

from typing import NamedTuple


class PeerTraffic(NamedTuple):
    """Messages and bytes since the start of the process, envelopes included."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class PeerTrafficCounter:
    """Counts batches.

    Attributes
    ----------
    total : PeerTraffic
        What was counted until now.
    """

    def __init__(self) -> None:
        self.total = PeerTraffic()

    def count_received(self, messages: int, size: int) -> None:
        """Count a batch of some messages and bytes that was received."""
        total = self.total
        self.total = total._replace(
            messages_in=total.messages_in + messages, bytes_in=total.bytes_in + size
        )

    def count_sent(self, messages: int, size: int) -> None:
        """Count a batch of some messages and bytes that was sent."""
        total = self.total
        self.total = total._replace(
            messages_out=total.messages_out + messages, bytes_out=total.bytes_out + size
        )
