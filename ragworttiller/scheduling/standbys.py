"""Entries that hear of the owner directly, and claim soon after it falls silent."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.entries import EntryFold
from ragworttiller.scheduling.owner_watch import OwnerHeartbeat

# Enough to outlast two losses together; each costs messages all the time.
MOST_STANDBYS = 3


class Standbys(ABC):
    """Receivers of the owner's heartbeats."""

    @abstractmethod
    def tell(self, heartbeat: OwnerHeartbeat) -> None:
        """Send a heartbeat; a lost one is not repeated."""


class NoStandbys(Standbys):
    """Nobody; the others learn of the owner's end from the store only."""

    @override
    def tell(self, heartbeat: OwnerHeartbeat) -> None:
        return


class PeerStandbys(Standbys):
    """The strongest other entries; of equal ones, those that follow this one by name.

    Parameters
    ----------
    peers : Peers
        Connections to the other entries.
    fold : EntryFold
        Entries that have announced themselves.
    """

    def __init__(self, peers: Peers, fold: EntryFold) -> None:
        self._peers = peers
        self._fold = fold

    @override
    def tell(self, heartbeat: OwnerHeartbeat) -> None:
        for name in self.names():
            self._peers.post(name, heartbeat)

    def names(self) -> list[str]:
        """Return the names of the standbys of this entry."""
        own = self._peers.instance
        others = sorted(self._fold.names - {own}, key=lambda name: (name < own, name))
        others.sort(key=lambda name: -self._fold.speeds.get(name, 0.0))
        return others[:MOST_STANDBYS]
