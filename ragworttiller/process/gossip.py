"""Membership by gossip: instances exchange tables of heartbeats."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from typing_extensions import override

from ragworttiller.messages import Beat, Counts, Heartbeat, MemberRow, NamesWanted
from ragworttiller.process.heartbeats import (
    FULL_ROW_AFTER_CHANGE_SECONDS,
    LEAVING,
    LEFT,
    LIVE,
    HeartbeatTable,
    pack_counts,
    tag_of,
    view_id,
)
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.services.directory import Listing
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

PAUSE_THRESHOLD_PERIODS = 2
CONTACTS_WHILE_ALONE = 3


class GossipMembership(Membership):
    """Live instances by their heartbeats, discovered through the platform's list.

    The list only gives the instances to send a first heartbeat to. An instance counts as live from
    its first received heartbeat until its heartbeat has not advanced for ``suspect_after`` seconds
    of local time.

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
        Number of instances to which each heartbeat is sent.
    suspect_after : float
        Seconds of silence after which an instance is not counted as live.
    rng : random.Random
        Random numbers for the choice of contacts.
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
        self._distance_index = 0
        self._full_row_index = 0
        self._ticked_at = timers.now()
        self._superseded = False
        self._update_members()
        peers.handle(Heartbeat, self._receive_heartbeat)
        peers.handle(Counts, self._receive_counts)
        peers.handle(NamesWanted, self._answer_names_wanted)
        peers.on_connection_lost(self._suspect_disconnected)

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
        """Whether a later incarnation of this instance is known."""
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
        self._send_heartbeats(self._ticked_at)
        async for now in self._timers.ticks(self._period):
            self._send_heartbeats(now)

    async def leave(self) -> None:
        """Announce to all live instances that this one takes no more work."""
        self._announce(LEAVING)

    async def rejoin(self) -> None:
        """Announce to all live instances that this one takes work again after `leave`."""
        self._announce(LIVE)

    async def announce_stop(self) -> None:
        """Announce to all live instances that this one stops now."""
        self._announce(LEFT)

    def _announce(self, state: str) -> None:
        self._row = self._row._replace(state=state, heartbeat=self._row.heartbeat + 1)
        self._update_members()
        for name in self._table.live:
            self._peers.post(name, Heartbeat([self._row]))

    def _suspect_disconnected(self, name: str) -> None:
        self._table.suspect_disconnected(name)
        self._update_members()

    def _send_heartbeats(self, now: float) -> None:
        pause = now - self._ticked_at - PAUSE_THRESHOLD_PERIODS * self._period
        if pause > 0:
            log.warning("this process was paused for %.1f s", now - self._ticked_at)
            self._table.discount_pause(pause)
        self._ticked_at = now
        self._table.suspect_silent(now)
        for name in self._table.drop_expired(now):
            self._peers.drop_peer(name)
        if self._row.state == LEFT:
            return
        self._row = self._row._replace(heartbeat=self._row.heartbeat + 1)
        self._update_members()
        for name in self._targets():
            self._peers.post(name, self._counts())
        for name in self._next_contacts():
            self._peers.post(name, self._heartbeat_message(now))

    def _targets(self) -> list[str]:
        """Return the live instances to send the next heartbeat to.

        In a ring of the live instances by name, targets are at distances 1, 2, 4 and so on in
        rotation, so that every instance receives from as many others as it sends to.
        """
        ring = sorted([*self._table.live, self.instance])
        own_position = ring.index(self.instance)
        distances = (len(ring) - 1).bit_length()
        chosen = []
        for _ in range(min(self._fanout, distances)):
            distance = 1 << self._distance_index % distances
            chosen.append(ring[(own_position + distance) % len(ring)])
            self._distance_index += 1
        return chosen

    def _next_contacts(self) -> list[str]:
        contacts = self._contacts()
        count = min(len(contacts), 1 if self._table.live else CONTACTS_WHILE_ALONE)
        return self._rng.sample(contacts, count)

    def _contacts(self) -> list[str]:
        """Return instances that may be live: suspected ones, and listed ones not yet known.

        Sets the addresses of the latter in the peers.
        """
        contacts = self._table.suspected_instances
        listing = self._directory_listing()
        for listed in listing.entries if listing is not None else []:
            if listed.instance != self.instance and self._table.get(listed.instance) is None:
                self._peers.set_peer(listed.instance, listed.address, 0)
                contacts.append(listed.instance)
        return sorted(contacts)

    def _counts(self) -> Counts:
        view = self._table.view(self._row)
        return Counts(view_id(view), pack_counts(view))

    def _heartbeat_message(self, now: float, full_rows: bool = False) -> Heartbeat:
        known_members = self._table.unsuspected
        self._full_row_index += 1
        rows, beats = [self._row], []
        for position, member in enumerate(known_members):
            row_due = position == self._full_row_index % len(known_members)
            if full_rows or row_due or member.row_changed_at + FULL_ROW_AFTER_CHANGE_SECONDS > now:
                rows.append(member.row)
            else:
                row = member.row
                tag = tag_of(row.incarnation)
                beats.append(Beat(row.instance, tag, row.heartbeat, row.config_offset))
        return Heartbeat(rows, beats)

    async def _receive_heartbeat(self, sender: str, message: Heartbeat) -> Any:
        now = self._timers.now()
        self._table.record_message(now)
        new_instances = [
            row.instance
            for row in message.rows
            if self._merge_row(row, now, row.instance == sender)
        ]
        for beat in message.beats:
            self._table.merge_beat(beat, now)
        if sender in new_instances and self._row.state != LEFT:
            self._peers.post(sender, self._heartbeat_message(now, full_rows=True))
        self._update_members()

    async def _receive_counts(self, sender: str, message: Counts) -> None:
        now = self._timers.now()
        self._table.record_message(now)
        view = self._table.view(self._row)
        if view_id(view) == message.view:
            self._table.merge_counts(view, message.counts, now)
            self._update_members()
        else:
            self._peers.post(sender, NamesWanted(message.view))

    async def _answer_names_wanted(self, sender: str, _message: NamesWanted) -> None:
        self._peers.post(sender, self._heartbeat_message(self._timers.now()))

    def _merge_row(self, row: MemberRow, now: float, direct: bool) -> bool:
        if row.instance == self.instance:
            if row.incarnation > self.incarnation and not self._superseded:
                log.warning("a later incarnation of %s has started", self.instance)
                self._superseded = True
            return False
        changed = self._table.merge_row(row, now, direct)
        if changed:
            self._peers.set_peer(row.instance, row.address, row.incarnation)
        return changed

    def _update_members(self) -> None:
        before = {name: row.incarnation for name, row in self._members.items()}
        members = self._table.live
        if self._row.state == LIVE and not self._superseded:
            members[self.instance] = self._row
        self._members = members
        if before == {name: row.incarnation for name, row in members.items()}:
            return
        log.info("live instances changed to: %s", ", ".join(sorted(members)) or "none")
        for callback in self._callbacks:
            callback()
