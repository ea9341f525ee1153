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
        """Append records next to one another and return the offset of the first.

        Raises
        ------
        LogUnavailable
            The records surely did not land.
        AppendUndecided
            The records may have landed or may still land.
        """

    @abstractmethod
    async def read(self, stream: str, offset: int, wait: float = 0.0) -> LogSlice:
        """Read from an offset on, waiting up to ``wait`` seconds while there is nothing new.

        An offset below the retained start gives an empty slice whose ``start`` is above it.

        Raises
        ------
        LogUnavailable
            The log did not answer.
        """
