"""Removes the records of entries that are gone; done by the owner of the cell."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.store import KeyedRecord, Store
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.membership.departures import Departures
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import ENTRIES

log = logging.getLogger(__name__)

CHECK_PERIOD_SECONDS = 5.0


class RecordRemover:
    """Removes records while this entry owns the cell.

    A removal is conditional on what was read, so that it never meets a later record, however late
    it is carried out.

    Parameters
    ----------
    store : Store
        The platform's store.
    feed : Feed
        Feed of the entry records into ``members``.
    members : Members
        Entries that have announced themselves.
    peers : Peers
        Connections to the other entries.
    departures : Departures
        Chooses the entries that are gone.
    is_owner : Callable
        Returns whether this entry owns the cell.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        store: Store,
        feed: Feed,
        members: Members,
        peers: Peers,
        departures: Departures,
        is_owner: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._feed = feed
        self._members = members
        self._peers = peers
        self._departures = departures
        self._is_owner = is_owner
        self._clock = clock

    async def run(self) -> None:
        """Check for records to remove until cancelled."""
        async for _ in self._clock.ticks(CHECK_PERIOD_SECONDS):
            if self._is_owner():
                await self._remove_gone()

    async def _remove_gone(self) -> None:
        now, unreachable = self._clock.now(), self._peers.unreachable
        members = self._members
        names = self._departures.gone(members.names, members.replaced, unreachable, now)
        if not names:
            return
        ages = {name: round(now - unreachable[name], 1) for name in names if name in unreachable}
        extra = {"entries": names, "unreachable_seconds": ages}
        removals = [KeyedRecord(name, b"") for name in names]
        try:
            await self._store.append(ENTRIES, removals, at=self._feed.position)
        except RagworttillerError as exc:
            log.info("records of entries not removed", extra={**extra, "why": exc.code})
        else:
            log.info("records of entries that are gone removed", extra=extra)
