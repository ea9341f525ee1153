"""Tests of what an entry keeps of the others: records, their corrections, and connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from ragworttiller.exceptions import NotOwner, PeerUnreachable
from ragworttiller.platform.store import Record, Store
from ragworttiller.process.nng_peers import UNREACHABLE_AFTER_SECONDS
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC, ConnectionQuery
from ragworttiller.scheduling.membership.departures import GONE_AFTER_SECONDS
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.membership.membership import Membership
from ragworttiller.scheduling.membership.record_remover import CHECK_PERIOD_SECONDS
from ragworttiller.scheduling.records.formats import ENTRIES, EntryRecord, encode
from ragworttiller.scheduling.state.jobs import StageId
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_peers import VirtualNetwork, VirtualPeers
from standins.virtual_time import LoopTimers, run_virtual
from tests.test_standbys import FakePeers

CORRECTED_SECONDS = 1.0


class Cell:
    """Store and network of entries that only keep track of each other."""

    def __init__(self, tasks: anyio.abc.TaskGroup):
        self.tasks = tasks
        self.timers = LoopTimers()
        self.store = StoreService(self.timers)
        self.network = VirtualNetwork(self.timers)

    def start(self, name: str, incarnation: int = 1, address: str = "") -> Member:
        member = Member(self, name, incarnation, address or f"{name}:1")
        self.tasks.start_soon(member.run)
        return member

    def records(self) -> dict[str, EntryRecord]:
        """Return the records in the store."""
        peers = FakePeers()
        members = Members(peers)
        for name, (offset, value) in self.store.partition(ENTRIES.topic).newest().items():
            members.apply(Record(offset, name, value))
        return {n: r for n in members.names if (r := members.record_of(n)) is not None}

    def put(self, name: str, value: bytes):
        """Carry out a late write of an entry record."""
        self.store.put(ENTRIES.topic, name, value)


class Member:
    """One entry of a `Cell`."""

    def __init__(self, cell: Cell, name: str, incarnation: int, address: str):
        self.scope = anyio.CancelScope()
        self.record = EntryRecord(address, incarnation, 1.0)
        self.is_owner = False
        self.link = Link(cell.store, cell.timers)
        self.peers = VirtualPeers(cell.network, name, incarnation, address, PEER_CODEC)
        self.membership = Membership(
            Store("", 1.0, self.link),
            self.peers,
            cell.timers,
            self.record,
            None,
            lambda: 0.0,
            lambda: self.is_owner,
        )
        self.members = self.membership.members

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.peers.run)
                tasks.start_soon(self.membership.run)


def play(body: Callable[[Cell], Awaitable[None]]):
    async def main():
        async with anyio.create_task_group() as tasks:
            await body(Cell(tasks))
            tasks.cancel_scope.cancel()

    run_virtual(main)


class TestMembers:
    def test_an_entry_never_leaves_its_own_list(self):
        """Guards against an owner that gives itself no calls since its record was removed."""
        members = Members(FakePeers())
        members.apply(Record(1, "e3", encode(EntryRecord("a:1", 1))))
        members.apply(Record(2, "e3", b""))
        assert members.names == members.reachable == {"e3"}

    def test_an_entry_whose_address_another_has_is_no_member(self):
        """Guards against calls to a lost entry whose address was given to another machine."""
        members = Members(FakePeers())
        members.apply(Record(1, "e1", encode(EntryRecord("a:1", 1))))
        members.apply(Record(2, "e2", encode(EntryRecord("a:1", 2))))
        assert (members.names, members.replaced) == ({"e2", "e3"}, {"e1"})
        members.apply(Record(3, "e2", b""))
        assert (members.names, members.replaced) == ({"e1", "e3"}, set())


class TestKnownNames:
    def test_no_names_are_known_before_the_records_have_been_read(self):
        """Guards against an entry that takes itself for the only one at its start."""

        async def body(cell: Cell):
            cell.start("e1")
            await cell.timers.sleep(1.0)
            late = cell.start("e2")
            late.link.refused = True
            await cell.timers.sleep(1.0)
            assert late.membership.known_names == set()
            late.link.refused = False
            await cell.timers.sleep(2.0)
            assert late.membership.known_names == {"e1", "e2"}

        play(body)


class TestAnnouncer:
    @pytest.mark.parametrize(
        "late_write",
        [b"", encode(EntryRecord("e1:1", 7)), b"unreadable"],
        ids=["withdrawal", "announcement", "odd bytes"],
    )
    def test_a_late_write_of_an_earlier_start_is_corrected(self, late_write: bytes):
        """Guards against an entry that is missing from the list until it is replaced."""

        async def body(cell: Cell):
            member = cell.start("e1")
            await cell.timers.sleep(1.0)
            cell.put("e1", late_write)
            await cell.timers.sleep(CORRECTED_SECONDS)
            assert cell.records() == {"e1": member.record}

        play(body)

    def test_a_record_of_another_name_at_its_address_is_corrected(self):
        """Guards against a late announcement of the machine that had the address before."""

        async def body(cell: Cell):
            member = cell.start("e2", address="a:1")
            await cell.timers.sleep(1.0)
            cell.put("e1", encode(EntryRecord("a:1", 7)))
            await cell.timers.sleep(CORRECTED_SECONDS)
            assert cell.records() == {"e2": member.record}

        play(body)

    @pytest.mark.parametrize("seconds", [0.1, 3.0])
    def test_a_late_withdrawal_does_not_remove_the_record_of_the_next_start(self, seconds: float):
        """Guards against an entry without a record, whose calls nobody answers (review/7)."""

        async def body(cell: Cell):
            first = cell.start("e1")
            await cell.timers.sleep(1.0)
            first.link.late_next = [seconds] * 3
            await first.membership.withdraw()
            first.scope.cancel()
            second = cell.start("e1", incarnation=2)
            await cell.timers.sleep(seconds)
            await first.link.deliver_late()
            assert cell.records() == {"e1": second.record}
            assert cell.store.partition(ENTRIES.topic).end == 2

        play(body)

    def test_two_processes_of_one_name_write_ever_more_rarely(self):
        async def body(cell: Cell):
            cell.start("e1", 1, "a:1")
            cell.start("e1", 2, "b:1")
            await cell.timers.sleep(60.0)
            assert cell.store.partition(ENTRIES.topic).end < 30

        play(body)

    def test_a_calm_list_costs_one_write_an_entry(self):
        async def body(cell: Cell):
            for number in range(7):
                cell.start(f"e{number}")
            await cell.timers.sleep(60.0)
            assert cell.store.partition(ENTRIES.topic).end == 7

        play(body)

    def test_entries_that_stop_at_once_are_all_withdrawn_in_time(self):
        async def body(cell: Cell):
            rows = [cell.start(f"e{number}") for number in range(3)]
            await cell.timers.sleep(1.0)
            async with anyio.create_task_group() as tasks:
                for row in rows:
                    tasks.start_soon(row.membership.withdraw)
            assert cell.records() == {}

        play(body)


class TestRecordRemover:
    def test_an_entry_that_was_killed_for_good_leaves_the_list(self):
        """Guards against a list that grows with every machine that was ever replaced."""

        async def body(cell: Cell):
            owner, lost = cell.start("e1"), cell.start("e2")
            cell.start("e3")
            owner.is_owner = True
            await cell.timers.sleep(1.0)
            lost.scope.cancel()
            await cell.timers.sleep(GONE_AFTER_SECONDS / 2)
            assert set(cell.records()) == {"e1", "e2", "e3"}
            await cell.timers.sleep(GONE_AFTER_SECONDS / 2 + 2 * CHECK_PERIOD_SECONDS)
            assert set(cell.records()) == owner.members.names == {"e1", "e3"}

        play(body)

    def test_an_entry_that_was_only_cut_off_is_a_member_again(self):
        async def body(cell: Cell):
            owner, cut = cell.start("e1"), cell.start("e2")
            cell.start("e3")
            owner.is_owner = True
            await cell.timers.sleep(1.0)
            cell.network.silent.add("e2:1")
            owner.peers.reconnect("e2")
            await cell.timers.sleep(GONE_AFTER_SECONDS + 2 * CHECK_PERIOD_SECONDS)
            cell.network.silent.clear()
            await cell.timers.sleep(CORRECTED_SECONDS)
            assert cell.records()["e2"] == cut.record
            assert owner.members.reachable == {"e1", "e2", "e3"}

        play(body)

    def test_an_owner_that_is_cut_off_itself_removes_no_other(self):
        """Guards against entries that all lose each other since their owner reaches none."""

        async def body(cell: Cell):
            owner, *_ = (cell.start(f"e{number}") for number in range(1, 5))
            owner.is_owner = True
            await cell.timers.sleep(1.0)
            cell.network.silent.add("e1:1")
            for name in ("e2", "e3", "e4"):
                owner.peers.reconnect(name)
            await cell.timers.sleep(2 * GONE_AFTER_SECONDS)
            assert cell.store.partition(ENTRIES.topic).end == 4

        play(body)


class TestReachability:
    def test_a_killed_entry_is_unreachable_soon_and_reachable_again_once_it_is_back(self):
        async def body(cell: Cell):
            one, two = cell.start("e1"), cell.start("e2")
            await cell.timers.sleep(1.0)
            assert one.members.reachable == {"e1", "e2"}
            two.scope.cancel()
            await cell.timers.sleep(UNREACHABLE_AFTER_SECONDS + 0.3)
            assert one.members.reachable == {"e1"}
            cell.start("e2", incarnation=2)
            await cell.timers.sleep(0.5)
            assert one.members.reachable == {"e1", "e2"}

        play(body)

    def test_one_unanswered_call_shows_all_machines_without_power(self):
        """Guards against calls that find out one after the other, each in its whole timeout."""

        async def body(cell: Cell):
            one = cell.start("e1")
            lost = [cell.start(f"e{number}") for number in range(2, 7)]
            cell.start("e7")
            await cell.timers.sleep(1.0)
            for entry in lost:
                cell.network.silent.add(entry.record.address)
                entry.scope.cancel()
            call = AdviceCall(StageId("0123456789abcdef", 0, 0), ("w1",), "e2", 0.0, 0.1, 2.5, 0.0)
            with pytest.raises(PeerUnreachable):
                await one.membership.advice.ask(call)
            await cell.timers.sleep(2.0)
            assert one.members.reachable == {"e1", "e7"}

        play(body)

    def test_an_entry_that_answers_a_check_by_an_error_ends_no_other(self):
        """Guards against an entry that ends since another one answers oddly."""

        async def fail(sender: str, message: ConnectionQuery):
            raise NotOwner(instance="e3", shard="?")

        async def body(cell: Cell):
            one, two, odd = (cell.start(f"e{number}") for number in (1, 2, 3))
            odd.peers.handle(ConnectionQuery, fail)
            await cell.timers.sleep(1.0)
            two.scope.cancel()
            one.membership.advice.on_unanswered()
            await cell.timers.sleep(3.0)
            assert one.members.reachable == {"e1", "e3"}

        play(body)


class TestReplies:
    @pytest.mark.parametrize("listed", [False, True])
    def test_a_call_is_answered_though_the_record_of_its_caller_is_gone_or_old(self, listed: bool):
        """Guards against an entry whose calls get no answer since its record is gone (review/7)."""

        async def body(cell: Cell):
            one, two = cell.start("e1"), cell.start("e2")
            await cell.timers.sleep(1.0)
            if listed:
                two.peers.set_peer("e1", "old:1", 9)
            else:
                two.peers.drop_peer("e1")
            await one.peers.call("e2", ConnectionQuery(), 0.5)

        play(body)
