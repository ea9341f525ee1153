"""Interface to the platform's append-only log."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple


class LogSlice(NamedTuple):
    """Consecutive entries of a stream.

    ``entries[i]`` has offset ``first + i``. ``start`` is the oldest offset that the log still
    keeps and ``end`` the offset of the next append.
    """

    first: int
    entries: list[bytes]
    start: int
    end: int


class Log(ABC):
    """Append-only log of named streams. Offsets count from 1 in each stream."""

    @abstractmethod
    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records at consecutive offsets and return the offset of the first.

        Raises
        ------
        LogUnavailable
            The records were not appended.
        AppendUndecided
            The records may have been appended or may still be.
        """

    @abstractmethod
    async def read(self, stream: str, offset: int, wait: float = 0.0) -> LogSlice:
        """Read entries from an offset on; wait up to ``wait`` seconds while there are none.

        An offset below the retained start gives an empty slice whose ``start`` is above it.

        Raises
        ------
        LogUnavailable
            The log gave no valid answer.
        """
