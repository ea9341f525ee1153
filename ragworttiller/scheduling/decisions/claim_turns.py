"""Decides when an entry claims a cell whose owner is lost, so that few claim at one moment."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

# A claim is written, and then read by the entries that wait: two exchanges with the store.
EXCHANGES_A_TURN = 2
MAX_TURN_DELAY_SECONDS = 1.5


class ClaimTurns(ABC):
    """Chooses how long an entry waits before it claims."""

    @abstractmethod
    def delay(self, rank: int, exchange: float) -> float:
        """Return the seconds for which an entry waits before it claims.

        Parameters
        ----------
        rank : int
            Number of entries that may claim before it.
        exchange : float
            Seconds that the last exchange with the store took.
        """


class ClaimAtOnce(ClaimTurns):
    """Claim as soon as the owner seems lost; the baseline."""

    @override
    def delay(self, rank: int, exchange: float) -> float:
        return 0.0


class ClaimInTurn(ClaimTurns):
    """Leave each entry the time to claim before the next one does.

    Load pattern: tens of entries find at one moment that the owner is lost, while the store is
    slow. One claim is stored, and the others wait in the queue of the partition, before the
    renewals of the new owner; these come too late, and the entries claim again.
    """

    @override
    def delay(self, rank: int, exchange: float) -> float:
        return min(rank * EXCHANGES_A_TURN * exchange, MAX_TURN_DELAY_SECONDS)
