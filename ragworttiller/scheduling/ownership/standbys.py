"""Standby entries, which receive the owner's heartbeats and claim soon after these stop.

An owner that stops as planned offers the cell to one of them.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.entry.entries import EntryFold
from ragworttiller.scheduling.ownership.offer import OwnershipOffer
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat

# Tolerates the loss of two standbys at once; each standby costs a continuous stream of messages.
MAX_STANDBYS = 3
OFFER_TIMEOUT_SECONDS = 0.5

log = logging.getLogger(__name__)


class Standbys(ABC):
    """Receivers of the owner's heartbeats."""

    @abstractmethod
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        """Send a heartbeat; a lost one is not resent."""

    @abstractmethod
    async def offer(self, name: str, epoch: int) -> bool:
        """Offer the ownership with an epoch to an entry, and return whether it claims it."""


class NoStandbys(Standbys):
    """No receivers; other entries detect a failed owner through the store only."""

    @override
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        return

    @override
    async def offer(self, name: str, epoch: int) -> bool:
        return False


class PeerStandbys(Standbys):
    """The other entries with the most cores; of equal ones, those after this one by name.

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
    def send(self, heartbeat: OwnerHeartbeat) -> None:
        for name in self.names():
            self._peers.post(name, heartbeat)

    @override
    async def offer(self, name: str, epoch: int) -> bool:
        extra: dict[str, object] = {"epoch": epoch, "successor": name}
        try:
            reply = await self._peers.call(name, OwnershipOffer(epoch), OFFER_TIMEOUT_SECONDS)
        except RagworttillerError as exc:
            log.info("ownership not offered", extra={**extra, "why": exc.code})
            return False
        log.info("ownership offered", extra={**extra, "accepted": reply.accepted})
        return bool(reply.accepted)

    def names(self) -> list[str]:
        """Return the names of the standbys of this entry."""
        own = self._peers.instance
        others = sorted(self._fold.names - {own}, key=lambda name: (name < own, name))
        others.sort(key=lambda name: -self._fold.speeds.get(name, 0.0))
        return others[:MAX_STANDBYS]
