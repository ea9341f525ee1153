"""Membership by heartbeat tables that instances pass on to one another."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from typing_extensions import override

from ragworttiller.messages import Beat, Counts, Heartbeat, MemberRow, NamesWanted
from ragworttiller.process.heartbeats import (
    LEAVING,
    LEFT,
    LIVE,
    SPREAD_SECONDS,
    HeartbeatTable,
    identify,
    pack_counts,
    tag_of,
)
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.services.directory import Listing
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

PAUSE_PERIODS = 2
FIRST_CONTACTS = 3


class GossipMembership(Membership):
    """Live instances by their heartbeats, found through the platform's list.

    The list only tells whom to send a first heartbeat to: an instance counts as live from the
    first heartbeat that is heard of it, and until its heartbeat has stood still for
    ``suspect_after`` seconds of local time.

    Parameters
    ----------
    peers : Peers
        Messages to other instances; addresses are set here.
    directory_listing : callable
        Returns the latest reading of the platform's list, or None.
    row : MemberRow
        This instance; its incarnation must exceed those of earlier starts.
    timers : TimerService
        Source of time.
    period : float
        Seconds between two heartbeats.
    fanout : int
        Instances that each heartbeat goes to.
    suspect_after : float
        Seconds of silence after which an instance is not counted as live.
    rng : random.Random
        Source of the order in which instances are chosen.
    """

    def __init__(
        self,
        peers: Peers,
        directory_listing: Callable[[], Listing | None],
        row: MemberRow,
        timers: TimerService,
        period: float,
        fanout: int,
        suspect_after: float,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._directory_listing = directory_listing
        self._row = row
        self._timers = timers
        self._period = period
        self._fanout = fanout
        self._rng = rng
        self._table = HeartbeatTable(suspect_after, fanout)
        self._callbacks: list[Callable[[], None]] = []
        self._members: dict[str, MemberRow] = {}
        self._turn = 0
        self._shown = 0
        self._ticked_at = timers.now()
        self._superseded = False
        self._update()
        peers.handle(Heartbeat, self._take)
        peers.handle(Counts, self._take_counts)
        peers.handle(NamesWanted, self._send_names)
        peers.on_connection_lost(self._lose)

    @property
    @override
    def instance(self) -> str:
        return self._row.instance

    @property
    @override
    def incarnation(self) -> int:
        return self._row.incarnation

    @property
    @override
    def members(self) -> dict[str, MemberRow]:
        return self._members

    @property
    def superseded(self) -> bool:
        """Whether a later start of this instance has been heard of."""
        return self._superseded

    @override
    def set_config_offset(self, offset: int) -> None:
        self._row = self._row._replace(config_offset=offset)

    @override
    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self._ticked_at = self._timers.now()
        self._beat(self._ticked_at)
        async for now in self._timers.ticks(self._period):
            self._beat(now)

    async def leave(self) -> None:
        """Tell every instance that this one takes no more work."""
        self._announce(LEAVING)

    async def rejoin(self) -> None:
        """Tell every instance that this one takes work again after `leave`."""
        self._announce(LIVE)

    async def announce_stop(self) -> None:
        """Tell every instance that this one stops now."""
        self._announce(LEFT)

    def _announce(self, state: str) -> None:
        self._row = self._row._replace(state=state, heartbeat=self._row.heartbeat + 1)
        self._update()
        for name in self._table.live:
            self._peers.post(name, Heartbeat([self._row]))

    def _lose(self, name: str) -> None:
        self._table.accuse(name)
        self._update()

    def _beat(self, now: float) -> None:
        pause = now - self._ticked_at - PAUSE_PERIODS * self._period
        if pause > 0:
            log.warning("this process did not run for %.1f s", now - self._ticked_at)
            self._table.postpone(pause)
        self._ticked_at = now
        self._table.suspect(now)
        for name in self._table.forget(now):
            self._peers.drop_peer(name)
        if self._row.state == LEFT:
            return
        self._row = self._row._replace(heartbeat=self._row.heartbeat + 1)
        self._update()
        for name in self._targets():
            self._peers.post(name, self._counts())
        for name in self._next_contacts():
            self._peers.post(name, self._heartbeat(now))

    def _targets(self) -> list[str]:
        """Return the live instances whose turn it is.

        With the live instances in a ring by name, the distances 1, 2, 4 and so on take turns, so
        that every instance hears from as many others as it sends to.
        """
        ring = sorted([*self._table.live, self.instance])
        place = ring.index(self.instance)
        distances = (len(ring) - 1).bit_length()
        chosen = []
        for _ in range(min(self._fanout, distances)):
            distance = 1 << self._turn % distances
            chosen.append(ring[(place + distance) % len(ring)])
            self._turn += 1
        return chosen

    def _next_contacts(self) -> list[str]:
        contacts = self._contacts()
        count = min(len(contacts), 1 if self._table.live else FIRST_CONTACTS)
        return self._rng.sample(contacts, count)

    def _contacts(self) -> list[str]:
        """Return instances that are not live but may be: silent ones and listed ones."""
        contacts = self._table.silent
        listing = self._directory_listing()
        for listed in listing.entries if listing is not None else []:
            if listed.instance != self.instance and self._table.get(listed.instance) is None:
                self._peers.set_peer(listed.instance, listed.address, 0)
                contacts.append(listed.instance)
        return sorted(contacts)

    def _counts(self) -> Counts:
        view = self._table.view(self._row)
        return Counts(identify(view), pack_counts(view))

    def _heartbeat(self, now: float, whole: bool = False) -> Heartbeat:
        entries = self._table.spreadable
        self._shown += 1
        rows, beats = [self._row], []
        for position, entry in enumerate(entries):
            in_turn = position == self._shown % len(entries)
            if whole or in_turn or entry.changed_at + SPREAD_SECONDS > now:
                rows.append(entry.row)
            else:
                row = entry.row
                tag = tag_of(row.incarnation)
                beats.append(Beat(row.instance, tag, row.heartbeat, row.config_offset))
        return Heartbeat(rows, beats)

    async def _take(self, sender: str, message: Heartbeat) -> Any:
        now = self._timers.now()
        self._table.hear(now)
        newcomers = [
            row.instance for row in message.rows if self._take_row(row, now, row.instance == sender)
        ]
        for beat in message.beats:
            self._table.merge_beat(beat, now)
        if sender in newcomers and self._row.state != LEFT:
            self._peers.post(sender, self._heartbeat(now, whole=True))
        self._update()

    async def _take_counts(self, sender: str, message: Counts) -> None:
        now = self._timers.now()
        self._table.hear(now)
        view = self._table.view(self._row)
        if identify(view) == message.view:
            self._table.merge_counts(view, message.counts, now)
            self._update()
        else:
            self._peers.post(sender, NamesWanted(message.view))

    async def _send_names(self, sender: str, _message: NamesWanted) -> None:
        self._peers.post(sender, self._heartbeat(self._timers.now()))

    def _take_row(self, row: MemberRow, now: float, direct: bool) -> bool:
        if row.instance == self.instance:
            if row.incarnation > self.incarnation and not self._superseded:
                log.warning("a later start of %s was heard of", self.instance)
                self._superseded = True
            return False
        changed = self._table.merge_row(row, now, direct)
        if changed:
            self._peers.set_peer(row.instance, row.address, row.incarnation)
        return changed

    def _update(self) -> None:
        before = {name: row.incarnation for name, row in self._members.items()}
        members = self._table.live
        if self._row.state == LIVE and not self._superseded:
            members[self.instance] = self._row
        self._members = members
        if before == {name: row.incarnation for name, row in members.items()}:
            return
        log.info("live instances: %s", ", ".join(sorted(members)) or "none")
        for callback in self._callbacks:
            callback()
