"""Table of the known instances with the local time of their latest heartbeats."""

from __future__ import annotations

import struct
from collections.abc import Iterable

import xxhash

from ragworttiller.messages import Beat, MemberRow

TAG_BITS = 16
LOW_BITS_MASK = 0xFFFF
HALF_RANGE = 0x8000
COUNTS_STRUCT = struct.Struct("<HH")
EXPIRY_SECONDS = 60.0
FULL_ROW_AFTER_CHANGE_SECONDS = 3.0
IGNORED_RELAYED_HEARTBEATS = 4

LIVE = "live"
LEAVING = "leaving"
LEFT = "left"


def tag_of(incarnation: int) -> int:
    """Return the low bits of an incarnation, enough to distinguish two starts of an instance."""
    return incarnation & ((1 << TAG_BITS) - 1)


class KnownMember:
    """Known instance: its newest row, and when its heartbeat and its fixed part last changed.

    A first row relayed by another instance may be stale. The instance is suspected until its
    heartbeat advances.

    Parameters
    ----------
    row : MemberRow
        First row.
    now : float
        Time in seconds.
    direct : bool
        Whether the instance sent the row itself.
    """

    def __init__(self, row: MemberRow, now: float, direct: bool) -> None:
        self.row = row
        self.last_heartbeat_at = now
        self.row_changed_at = now
        self.suspected = not direct
        self.suspected_until_heartbeat = 0

    def record_heartbeat(self, now: float, direct: bool) -> None:
        """Record that the heartbeat advanced, received directly or relayed by others."""
        self.last_heartbeat_at = now
        if direct or self.row.heartbeat > self.suspected_until_heartbeat:
            self.suspected = False
            self.suspected_until_heartbeat = 0


class HeartbeatTable:
    """Newest known row of every other instance.

    A row is newer if its incarnation is higher or, within one incarnation, its heartbeat is.

    Parameters
    ----------
    suspect_after : float
        Seconds of silence after which an instance is not counted as live.
    fanout : int
        Number of instances to which each heartbeat is sent.
    """

    def __init__(self, suspect_after: float, fanout: int) -> None:
        self._suspect_after = suspect_after
        self._fanout = fanout
        self._known_members: dict[str, KnownMember] = {}
        self._last_message_at = 0.0

    @property
    def live(self) -> dict[str, MemberRow]:
        """Rows of the other instances that are live."""
        return {
            name: member.row
            for name, member in self._known_members.items()
            if member.row.state == LIVE and not member.suspected
        }

    @property
    def suspected_instances(self) -> list[str]:
        """Names of the suspected instances that have not left."""
        return [
            name
            for name, member in self._known_members.items()
            if member.suspected and member.row.state != LEFT
        ]

    @property
    def unsuspected(self) -> list[KnownMember]:
        """Members that are not suspected; their heartbeats are passed on."""
        return [member for member in self._known_members.values() if not member.suspected]

    def get(self, name: str) -> MemberRow | None:
        """Return the newest row of an instance, live or not."""
        member = self._known_members.get(name)
        return None if member is None else member.row

    def record_message(self, now: float) -> None:
        """Record that a heartbeat message arrived from any instance."""
        self._last_message_at = now

    def discount_pause(self, seconds: float) -> None:
        """Discount a time during which this process was paused."""
        for member in self._known_members.values():
            member.last_heartbeat_at += seconds

    def merge_row(self, row: MemberRow, now: float, direct: bool) -> bool:
        """Merge a row if it is newer; return whether the instance or its fixed part is new.

        ``direct`` is true if the row came from the instance itself.
        """
        member = self._known_members.get(row.instance)
        if member is None or row.incarnation > member.row.incarnation:
            self._known_members[row.instance] = KnownMember(row, now, direct)
            return True
        old = member.row
        if (row.incarnation, row.heartbeat) <= (old.incarnation, old.heartbeat):
            return False
        member.row = row
        member.record_heartbeat(now, direct)
        if _fixed_part(row) == _fixed_part(old):
            return False
        member.row_changed_at = now
        return True

    def merge_beat(self, beat: Beat, now: float) -> None:
        """Merge a newer heartbeat of a known incarnation."""
        member = self._known_members.get(beat.instance)
        if member is None or tag_of(member.row.incarnation) != beat.tag:
            return
        if beat.heartbeat > member.row.heartbeat:
            member.row = member.row._replace(
                heartbeat=beat.heartbeat, config_offset=beat.config_offset
            )
            member.record_heartbeat(now, False)

    def suspect_disconnected(self, name: str) -> None:
        """Suspect an instance whose connection was lost.

        Others may still relay heartbeats that it sent before. It counts as live again once a
        heartbeat arrives directly or exceeds the last one by `IGNORED_RELAYED_HEARTBEATS`.
        """
        member = self._known_members.get(name)
        if member is not None:
            member.suspected = True
            member.suspected_until_heartbeat = member.row.heartbeat + IGNORED_RELAYED_HEARTBEATS

    def view(self, own: MemberRow) -> list[MemberRow]:
        """Return the rows of this instance and of all unsuspected instances, by name."""
        return sorted([own, *(member.row for member in self.unsuspected)])

    def merge_counts(self, view: list[MemberRow], counts: bytes, now: float) -> None:
        """Merge newer heartbeats for the members of a view that both sides hold."""
        for row, (heartbeat, offset) in zip(view, COUNTS_STRUCT.iter_unpack(counts), strict=True):
            member = self._known_members.get(row.instance)
            if member is None or not 0 < (heartbeat - row.heartbeat) & LOW_BITS_MASK < HALF_RANGE:
                continue
            member.row = row._replace(
                heartbeat=row.heartbeat + ((heartbeat - row.heartbeat) & LOW_BITS_MASK),
                config_offset=row.config_offset + _lead(offset, row.config_offset),
            )
            member.record_heartbeat(now, False)

    def suspect_silent(self, now: float) -> None:
        """Suspect the instances that have been silent for too long."""
        direct = len(self.live) <= self._fanout
        for member in self._known_members.values():
            member.suspected = member.suspected or self._is_silent(member, now, direct)

    def drop_expired(self, now: float) -> Iterable[str]:
        """Drop suspected instances without a heartbeat for `EXPIRY_SECONDS`; return their names."""
        expired = [
            name
            for name, member in self._known_members.items()
            if member.suspected and member.last_heartbeat_at + EXPIRY_SECONDS < now
        ]
        for name in expired:
            del self._known_members[name]
        return expired

    def _is_silent(self, member: KnownMember, now: float, direct: bool) -> bool:
        """Return whether an instance is silent compared with the latest message of any instance.

        A network outage then makes no instance suspect. Silence is measured up to now if every
        heartbeat is sent here directly, or once it lasts twice ``suspect_after``.
        """
        silence = now - member.last_heartbeat_at
        if direct or silence >= 2 * self._suspect_after:
            return silence >= self._suspect_after
        return self._last_message_at - member.last_heartbeat_at >= self._suspect_after


def view_id(view: list[MemberRow]) -> int:
    """Return a hash of the names, incarnations and states of the members of a view."""
    names = (f"{row.instance}\0{row.incarnation}\0{row.state}" for row in view)
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())


def pack_counts(view: list[MemberRow]) -> bytes:
    """Return the low bits of heartbeat and config offset of each row."""
    pairs = ((row.heartbeat & LOW_BITS_MASK, row.config_offset & LOW_BITS_MASK) for row in view)
    return b"".join(COUNTS_STRUCT.pack(*pair) for pair in pairs)


def _lead(low: int, known: int) -> int:
    """Return how far a number, given by its low bits, is ahead of a known one, else 0."""
    lead = (low - known) & LOW_BITS_MASK
    return lead if lead < HALF_RANGE else 0


def _fixed_part(row: MemberRow) -> MemberRow:
    """Return a row without the heartbeat and the config offset, which change often."""
    return row._replace(heartbeat=0, config_offset=0)
