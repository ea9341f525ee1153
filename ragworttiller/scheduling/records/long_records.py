"""Records that a slow link takes long for, and where else to get them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

# A longer answer would hold up what else is on its link.
LONG_TRANSFER_SECONDS = 0.25
BYTES_PER_MEGABIT = 125_000


class OtherSource(ABC):
    """Source of the newest state of a partition other than the store."""

    @abstractmethod
    async def newest_position(self, position: int, seconds: float) -> int | None:
        """Take the newest state that is known elsewhere, if it is later than ``position``.

        Parameters
        ----------
        position : int
            Offset of the next record to read.
        seconds : float
            How long to wait for a later state.

        Returns
        -------
        int or None
            Offset of the first record that this state does not include, None if nobody has had a
            later one.
        """


class LongRecords(NamedTuple):
    """Records of a partition that are taken from another source, since they take long to read.

    ``link_mbps`` is the bandwidth of the link in Mbit/s.
    """

    link_mbps: float
    source: OtherSource

    @property
    def max_bytes(self) -> int:
        """Bytes of the longest answer that is read from the store at once."""
        return int(self.link_mbps * BYTES_PER_MEGABIT * LONG_TRANSFER_SECONDS)

    def transfer_seconds(self, length: int) -> float:
        """Return the seconds that the link takes for an answer of a length in bytes."""
        return length / (self.link_mbps * BYTES_PER_MEGABIT)
