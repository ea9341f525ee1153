"""Entries of the cell, as their records in the store tell, and which of them can be reached."""

from __future__ import annotations

import logging
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.store import Record
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.records.formats import EntryRecord, decode

log = logging.getLogger(__name__)

MAX_SPEED_CORES = 10_000.0


class _Listed(NamedTuple):
    record: EntryRecord
    offset: int


class Members(Fold):
    """Entries that have announced themselves, and this one.

    One process listens at an address. So of the entries that have announced the same address, all
    but the last one have ended, though their records may remain.

    Parameters
    ----------
    peers : Peers
        Connections, updated with each change of the entries.

    Attributes
    ----------
    names : set of str
        Names of the entries. This one is always among them, whatever its record says.
    speeds : dict of str to float
        Cores that each announced entry can use.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._listed: dict[str, _Listed] = {}
        self._current: dict[str, EntryRecord] = {}
        self.names: set[str] = {peers.instance}
        self.speeds: dict[str, float] = {}

    @property
    def reachable(self) -> set[str]:
        """Names of the entries to which there is a connection, this one among them."""
        return self.names - self._peers.unreachable.keys()

    @property
    def replaced(self) -> set[str]:
        """Names under which there is a record, of entries whose address another one has now."""
        return self._listed.keys() - self._current.keys()

    def record_of(self, name: str) -> EntryRecord | None:
        """Return the record of an entry, None if there is none or another has its address."""
        return self._current.get(name)

    @override
    def apply(self, record: Record) -> None:
        """Apply a record; one that is not readable counts as none, until its entry corrects it."""
        entry = _decoded(record) if record.value else None
        if entry is None:
            self._listed.pop(record.key, None)
        else:
            self._listed[record.key] = _Listed(entry, record.offset)
        self._update()

    def _update(self) -> None:
        """Update the connections to those entries whose record has changed, come or gone."""
        previous, self._current = self._current, self._last_at_each_address()
        self.names = {self._peers.instance, *self._current}
        for name in previous.keys() - self._current.keys():
            self.speeds.pop(name, None)
            self._peers.drop_peer(name)
        for name, entry in self._current.items():
            if previous.get(name) != entry:
                self.speeds[name] = entry.speed if 0 < entry.speed <= MAX_SPEED_CORES else 0.0
                self._peers.set_peer(name, entry.address, entry.incarnation)

    def _last_at_each_address(self) -> dict[str, EntryRecord]:
        last: dict[str, str] = {}
        for name, row in sorted(self._listed.items(), key=lambda item: item[1].offset):
            last[row.record.address] = name
        return {name: self._listed[name].record for name in last.values()}


def _decoded(record: Record) -> EntryRecord | None:
    try:
        return decode(record.value, EntryRecord)
    except Unreadable as exc:
        extra = {"entry": record.key, "offset": record.offset, "why": str(exc)}
        log.warning("unreadable entry record skipped", extra=extra)
        return None
