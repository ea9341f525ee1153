"""Membership of one entry: its own record, what it knows of the others, and calls through them."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.store import Store
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.membership.announcer import Announcer
from ragworttiller.scheduling.membership.connection_checks import ConnectionChecks
from ragworttiller.scheduling.membership.departures import GoneWhenUnreachable
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.membership.peer_advice import PeerAdvice
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.membership.record_remover import RecordRemover
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import ENTRIES, EntryRecord

POLL_SECONDS = 5.0


class Membership:
    """Parts that keep the list of entries true, wired together.

    Parameters
    ----------
    store : Store
        The platform's store.
    peers : NngPeers
        Connections to the other entries.
    clock : Clock
        Source of time.
    record : EntryRecord
        Record of this entry.
    advisor : Advisor
        Client of the advisor.
    lag : Callable
        Returns how late the event loop of this entry runs, in seconds.
    is_owner : Callable
        Returns whether this entry owns the cell.

    Attributes
    ----------
    members : Members
        Entries of the cell, and which of them can be reached.
    reconnector : PeerReconnector
        Replaces connections of entries that do not answer.
    advice : PeerAdvice
        Calls to the advisor through this entry and others.
    """

    def __init__(
        self,
        store: Store,
        peers: NngPeers,
        clock: Clock,
        record: EntryRecord,
        advisor: Advisor,
        lag: Callable[[], float],
        is_owner: Callable[[], bool],
    ) -> None:
        self.members = Members(peers)
        self.reconnector = PeerReconnector(peers, clock)
        self.advice = PeerAdvice(peers, self.members, advisor, self.reconnector, clock, lag)
        self._feed = Feed(store, ENTRIES, self.members, clock, poll_seconds=POLL_SECONDS)
        self._checks = ConnectionChecks(peers, self.members, self.reconnector, clock, lag)
        self.advice.on_unanswered = self._checks.request
        self._announcer = Announcer(store, self._feed, self.members, clock, peers.instance, record)
        self._remover = RecordRemover(
            store, self._feed, self.members, peers, GoneWhenUnreachable(), is_owner, clock
        )

    @property
    def corrections(self) -> int:
        """Number of times that the record of this entry had to be corrected."""
        return self._announcer.corrections

    @property
    def known_names(self) -> set[str]:
        """Names of the entries, this one included; empty until they have been read."""
        return set(self.members.names) if self._feed.ready else set()

    async def run(self) -> None:
        """Announce this entry and follow the others until cancelled."""
        async with anyio.create_task_group() as tasks:
            for part in (self._feed, self._announcer, self._checks, self._remover):
                tasks.start_soon(part.run)

    async def withdraw(self) -> None:
        """Remove the record of this entry, which is about to end."""
        await self._announcer.withdraw()
