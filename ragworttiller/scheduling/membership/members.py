"""Entries of the cell, as their records in the store tell."""

from __future__ import annotations

import logging

from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.store import Record
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.records.formats import EntryRecord, decode

log = logging.getLogger(__name__)

MAX_SPEED_CORES = 10_000.0


class Members(Fold):
    """Entries that have announced themselves.

    Parameters
    ----------
    peers : Peers
        Connections, updated with each change of the entries.

    Attributes
    ----------
    names : set of str
        Names of the entries, this one among them.
    speeds : dict of str to float
        Cores that each announced entry can use.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.names: set[str] = {peers.instance}
        self.speeds: dict[str, float] = {}

    @override
    def apply(self, record: Record) -> None:
        name = record.key
        if not record.value:
            self.names.discard(name)
            self.speeds.pop(name, None)
            self._peers.drop_peer(name)
            return
        try:
            entry = decode(record.value, EntryRecord)
        except Unreadable as exc:
            log.warning(
                "unreadable entry record skipped", extra={"offset": record.offset, "why": str(exc)}
            )
            return
        self.names.add(name)
        self.speeds[name] = entry.speed if 0 < entry.speed <= MAX_SPEED_CORES else 0.0
        self._peers.set_peer(name, entry.address, entry.incarnation)
