"""Reports between entries that the store is slow."""

from __future__ import annotations

from collections.abc import Callable, Set
from heapq import nsmallest

from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.entry.peer_messages import SlowStore
from ragworttiller.scheduling.entry.store_pace import StorePace
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.timers import TimerService

# Entries beside the owner that pass a report on, in case the owner is lost.
SPARE_RELAYS = 2


class SlowStoreReports:
    """Tells all entries that the store is slow, through a few of them.

    Load pattern: many entries find the store slow at the same moment. If each told all others,
    their messages would grow with the square of their number. So each tells a few, which pass the
    report on to all if it is new to them.

    Parameters
    ----------
    peers : NngPeers
        Connections to the other entries.
    names : Callable
        Returns the names of all entries.
    owner : Callable
        Returns the name of the cell's owner.
    writer : GroupCommit
        Writer of this entry to the jobs.
    clock : TimerService
        Source of time.

    Attributes
    ----------
    pace : StorePace
        Whether the store is slow.
    """

    def __init__(
        self,
        peers: NngPeers,
        names: Callable[[], Set[str]],
        owner: Callable[[], str],
        writer: GroupCommit,
        clock: TimerService,
    ) -> None:
        self._peers = peers
        self._names = names
        self._owner = owner
        self.pace = StorePace(writer, clock, self._report)
        peers.handle(SlowStore, self._receive)

    def _report(self) -> None:
        """Report what this entry has found itself."""
        relays = self._relays()
        self._post(self._names() if self._peers.instance in relays else relays)

    async def _receive(self, sender: str, message: SlowStore) -> None:
        is_new = self.pace.record_report()
        if is_new and self._peers.instance in self._relays():
            self._post(self._names() - {sender})

    def _relays(self) -> Set[str]:
        """Return the entries that pass reports on; entries mostly agree on them."""
        names, owner = self._names(), self._owner()
        relays = {owner} & names
        return relays.union(nsmallest(SPARE_RELAYS, names - relays))

    def _post(self, names: Set[str]) -> None:
        for name in names - {self._peers.instance}:
            self._peers.post(name, SlowStore())
