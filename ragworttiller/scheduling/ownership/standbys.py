"""Standby entries, which receive the owner's heartbeats and claim soon after these stop."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat

# Tolerates the loss of two standbys at once; each standby costs a continuous stream of messages.
MAX_STANDBYS = 3


class Standbys(ABC):
    """Receivers of the owner's heartbeats."""

    @abstractmethod
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        """Send a heartbeat; a lost one is not resent."""

    @abstractmethod
    def rank_after(self, owner: str) -> int:
        """Return how many entries are to claim before this one if an owner is lost."""


class NoStandbys(Standbys):
    """No receivers; other entries detect a failed owner through the store only."""

    @override
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        return

    @override
    def rank_after(self, owner: str) -> int:
        return 0


class PeerStandbys(Standbys):
    """The reachable entries with the most cores; of equal ones, those after this one by name.

    Parameters
    ----------
    peers : Peers
        Connections to the other entries.
    members : Members
        Entries that have announced themselves.
    """

    def __init__(self, peers: Peers, members: Members) -> None:
        self._peers = peers
        self._members = members

    @override
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        for name in self.names():
            self._peers.post(name, heartbeat)

    @override
    def rank_after(self, owner: str) -> int:
        names, own = self._successors(owner), self._peers.instance
        return names.index(own) if own in names else len(names)

    def names(self) -> list[str]:
        """Return the names of the standbys of this entry."""
        return self._successors(self._peers.instance)[:MAX_STANDBYS]

    def _successors(self, owner: str) -> list[str]:
        """Return the reachable entries but an owner, in the order in which they are to claim."""
        others = sorted(self._members.reachable - {owner}, key=lambda name: (name < owner, name))
        others.sort(key=lambda name: -self._members.speeds.get(name, 0.0))
        return others
