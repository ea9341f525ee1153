"""Tests of the choice of standbys for the owner."""

from __future__ import annotations

from typing import Any

from ragworttiller.platform.store import Record
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import MAX_STANDBYS, PeerStandbys
from ragworttiller.scheduling.records.formats import EntryRecord, encode


class FakePeers:
    """Connections that record posted messages."""

    instance = "e3"

    def __init__(self) -> None:
        self.posted: list[tuple[str, Any]] = []
        self.unreachable: dict[str, float] = {}

    def post(self, instance: str, message: Any) -> None:
        self.posted.append((instance, message))

    def set_peer(self, name: str, address: str, incarnation: int) -> None:
        pass

    def drop_peer(self, name: str) -> None:
        pass


def standbys(*speeds: float) -> tuple[PeerStandbys, Members, FakePeers]:
    peers = FakePeers()
    fold = Members(peers)
    for number, speed in enumerate(speeds, 1):
        record = EntryRecord(f"10.0.0.{number}:1", 1, speed)
        fold.apply(Record(number, f"e{number}", encode(record)))
    return PeerStandbys(peers, fold), fold, peers


class TestPeerStandbys:
    def test_equal_entries_are_chosen_by_name(self):
        chosen, _, _ = standbys(1, 1, 1, 1, 1, 1)
        assert chosen.names() == ["e4", "e5", "e6"]

    def test_entries_with_more_cores_come_first(self):
        chosen, _, _ = standbys(2.0, 0.5, 1.0, 0.5, 1.0, 2.0)
        assert chosen.names() == ["e6", "e1", "e5"]

    def test_an_unreachable_entry_is_no_standby(self):
        """Guards against a planned stop that hands the cell to an entry that was lost."""
        chosen, _, peers = standbys(1, 1, 1, 1, 1)
        peers.unreachable = {"e4": 7.0}
        assert chosen.names() == ["e5", "e1", "e2"]

    def test_a_removed_entry_is_no_standby(self):
        chosen, fold, _ = standbys(1, 1, 1)
        fold.apply(Record(9, "e1", b""))
        assert chosen.names() == ["e2"]

    def test_each_standby_gets_the_heartbeat(self):
        chosen, _, peers = standbys(*[1.0] * 9)
        heartbeat = OwnerHeartbeat(4, True)
        chosen.send(heartbeat)
        assert len(peers.posted) == MAX_STANDBYS
        assert {message for _, message in peers.posted} == {heartbeat}
