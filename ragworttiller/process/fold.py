"""Interface of a state that is computed from one stream of the log only."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, NamedTuple


class Verdict(NamedTuple):
    """Whether a record is valid for a fold; ``reason`` is why a record is invalid.

    ``detail`` is further data that depends on the fold, such as the current version of an item.
    """

    valid: bool
    reason: str = ""
    detail: Any = None


VALID = Verdict(True)


class Committed(NamedTuple):
    """Offset of a record in its stream and the fold's verdict on it."""

    offset: int
    verdict: Verdict


class Fold(ABC):
    """State computed from the records of a stream only, in offset order.

    A fold reads no clock and no setting. It recognizes a second copy of a record by the state, not
    by the record's id, and rejects it.
    """

    @abstractmethod
    def apply(self, offset: int, record: Any) -> Verdict:
        """Apply one record and return whether it is valid."""

    @abstractmethod
    def dump(self) -> bytes:
        """Serialize the whole state, so that `load` restores the same fold."""

    @abstractmethod
    def load(self, data: bytes) -> None:
        """Replace the state with one that `dump` returned."""

    @abstractmethod
    def reset(self) -> None:
        """Return to the state before the first record."""
