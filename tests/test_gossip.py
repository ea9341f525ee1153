"""Tests of membership by heartbeats, on simulated time."""

from __future__ import annotations

import contextlib
import random

import anyio
import pytest

from ragworttiller.messages import Heartbeat, MemberRow
from ragworttiller.process.gossip import GossipMembership
from ragworttiller.process.heartbeats import HeartbeatTable, pack_counts, view_id
from ragworttiller.services.directory import ListedEntry, Listing
from ragworttiller.timers import ManualTimers
from standins.peers import MemoryNetwork

PERIOD, FANOUT, SUSPECT_AFTER = 0.5, 2, 2.0
SETTLE_SECONDS = 4.0
FIRST_HEARTBEAT = 0xFFFF - 10


def listed(*names):
    entries = [ListedEntry(name, f"addr-{name}", "", "fd", "live") for name in names]
    return Listing(entries, [], [])


class Cell:
    """Several memberships on one network."""

    def __init__(self, seed=7):
        self.timers = ManualTimers()
        self.network = MemoryNetwork(self.timers)
        self.rng = random.Random(seed)
        self.listing = listed()
        self.tasks = None
        self.nodes = {}
        self.scopes = {}

    @contextlib.asynccontextmanager
    async def running(self, *names):
        self.listing = listed(*names)
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.network.run)
            await anyio.wait_all_tasks_blocked()
            for name in names:
                self.start(name)
            await self.timers.advance(SETTLE_SECONDS)
            yield
            self.tasks.cancel_scope.cancel()

    def start(self, name, incarnation=1):
        row = MemberRow(name, incarnation, FIRST_HEARTBEAT, "live", f"addr-{name}", "", "fd", 1)
        node = self.nodes[name] = GossipMembership(
            self.network.peers(name),
            lambda: self.listing,
            row,
            self.timers,
            PERIOD,
            FANOUT,
            SUSPECT_AFTER,
            random.Random(self.rng.random()),
        )
        self.scopes[name] = anyio.CancelScope()
        self.tasks.start_soon(self._run, node, self.scopes[name])

    async def _run(self, node, scope):
        with scope:
            await node.run()

    def kill(self, name):
        self.scopes[name].cancel()
        self.network.remove(name)
        del self.nodes[name]

    def lose_connection(self, one, other):
        for callback in self.nodes[one]._peers.connection_lost_callbacks:
            callback(other)

    def views(self):
        return {name: sorted(node.members) for name, node in self.nodes.items()}

    def agree_on(self, *names):
        return all(view == sorted(names) for view in self.views().values())


NAMES = [f"entry-{number}" for number in range(7)]


class TestHeartbeatTable:
    def table(self, heartbeat):
        table = HeartbeatTable(SUSPECT_AFTER, FANOUT)
        table.merge_row(MemberRow("b", 1, heartbeat, "live", "", "", "", 70_000), 0.0, True)
        return table

    def test_counts_carry_low_bits_over_the_wrap(self):
        own = MemberRow("a", 1, 1, "live", "", "", "", 1)
        ahead, behind = self.table(65_537), self.table(65_530)
        view = behind.view(own)
        assert view_id(view) == view_id(ahead.view(own))
        behind.merge_counts(view, pack_counts(ahead.view(own)), 1.0)
        assert behind.get("b").heartbeat == 65_537
        assert behind.get("b").config_offset == 70_000
        ahead.merge_counts(view, pack_counts(self.table(65_530).view(own)), 1.0)
        assert ahead.get("b").heartbeat == 65_537

    def test_counts_of_another_view_are_answered_by_a_request_for_names(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                node, other = cell.nodes[NAMES[0]], cell.nodes[NAMES[1]]
                other._table._known_members.pop(NAMES[0])
                other._update_members()
                await other._receive_counts(NAMES[0], node._counts())
                await cell.timers.advance(0.01)
                assert NAMES[0] in other.members

        anyio.run(main)


class TestGossipMembership:
    def test_instances_find_one_another_through_the_list(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                assert cell.agree_on(*NAMES)
                assert len({node.owner("ledger-001") for node in cell.nodes.values()}) == 1

        anyio.run(main)

    def test_dead_instance_is_removed_after_suspicion_and_no_other_is(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                changes = []
                watched = cell.nodes[NAMES[0]]
                watched.subscribe(lambda: changes.append(sorted(watched.members)))
                cell.kill(NAMES[3])
                await cell.timers.advance(SUSPECT_AFTER - 2 * PERIOD)
                assert cell.views()[NAMES[0]] == NAMES
                await cell.timers.advance(2.5)
                others = [name for name in NAMES if name != NAMES[3]]
                assert cell.agree_on(*others)
                await cell.timers.advance(62)
                assert cell.agree_on(*others)
                assert len(changes) == 1

        anyio.run(main)

    def test_lost_connection_removes_a_dead_instance_at_once_and_for_good(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                changes = []
                watched = cell.nodes[NAMES[0]]
                watched.subscribe(lambda: changes.append(sorted(watched.members)))
                cell.network.cut(NAMES[0], NAMES[3])
                cell.network.hold(NAMES[0])
                await cell.timers.advance(2 * PERIOD)
                cell.kill(NAMES[3])
                others = [name for name in NAMES if name != NAMES[3]]
                cell.lose_connection(NAMES[0], NAMES[3])
                assert sorted(watched.members) == others
                cell.network.release(NAMES[0])
                await cell.timers.advance(3 * SUSPECT_AFTER)
                assert cell.agree_on(*others)
                assert len(changes) == 1

        anyio.run(main)

    def test_live_instance_is_added_again_after_a_lost_connection(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                cell.lose_connection(NAMES[0], NAMES[3])
                assert NAMES[3] not in cell.nodes[NAMES[0]].members
                await cell.timers.advance(SUSPECT_AFTER + SETTLE_SECONDS)
                assert cell.agree_on(*NAMES)

        anyio.run(main)

    def test_stale_list_does_not_change_the_membership(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES[:4]):
                cell.listing = listed("ghost-1", "ghost-2", *NAMES[:4])
                cell.start(NAMES[4])
                await cell.timers.advance(SETTLE_SECONDS)
                assert cell.agree_on(*NAMES[:5])
                cell.kill(NAMES[0])
                await cell.timers.advance(SETTLE_SECONDS)
                assert cell.agree_on(*NAMES[1:5])
                cell.listing = None
                await cell.timers.advance(10)
                assert cell.agree_on(*NAMES[1:5])

        anyio.run(main)

    def test_planned_stop_moves_ownership_at_once(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                leaver = cell.nodes[NAMES[2]]
                await leaver.leave()
                await cell.timers.advance(0.1)
                others = [name for name in NAMES if name != NAMES[2]]
                assert cell.agree_on(*others)
                await cell.timers.advance(10)
                await leaver.announce_stop()
                await cell.timers.advance(5)
                assert cell.agree_on(*others)

        anyio.run(main)

    def test_later_incarnation_replaces_the_earlier_one(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                old = cell.nodes[NAMES[1]]
                cell.start(NAMES[1], incarnation=2)
                await cell.timers.advance(SETTLE_SECONDS)
                assert cell.agree_on(*NAMES)
                seen = {node.members[NAMES[1]].incarnation for node in cell.nodes.values()}
                assert seen == {2}
                assert cell.nodes[NAMES[1]].incarnation == 2
                assert not cell.nodes[NAMES[1]].superseded
                assert old.incarnation == 1

        anyio.run(main)

    def test_superseded_incarnation_removes_itself(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                old = cell.nodes[NAMES[1]]
                row = old.members[NAMES[1]]._replace(incarnation=2)
                old._merge_row(row, cell.timers.now(), False)
                old._update_members()
                assert old.superseded
                assert NAMES[1] not in old.members

        anyio.run(main)

    @pytest.mark.parametrize(("seconds", "kept"), [(3, True), (80, True), (80, False)])
    def test_paused_instance_is_removed_and_rejoins_without_dropping_others(self, seconds, kept):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                paused = NAMES[5]
                node = cell.nodes.pop(paused)
                cell.scopes[paused].cancel()
                cell.network.hold(paused)
                await cell.timers.advance(seconds)
                if seconds > SETTLE_SECONDS:
                    assert cell.agree_on(*[name for name in NAMES if name != paused])
                changes = []
                node.subscribe(lambda: changes.append(sorted(node.members)))
                cell.nodes[paused] = node
                if not kept:
                    cell.network._held[paused].clear()
                cell.network.release(paused)
                cell.scopes[paused] = anyio.CancelScope()
                cell.tasks.start_soon(cell._run, _Resumed(node), cell.scopes[paused])
                await cell.timers.advance(3)
                assert cell.agree_on(*NAMES)
                assert changes == []

        anyio.run(main)

    def test_stale_row_of_a_dropped_instance_does_not_add_it_again(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                dead, node = NAMES[0], cell.nodes[NAMES[1]]
                old = node.members[dead]
                cell.kill(dead)
                await cell.timers.advance(65)
                await node._receive_heartbeat(NAMES[2], Heartbeat([old]))
                assert dead not in node.members
                await node._receive_heartbeat(
                    NAMES[2], Heartbeat([old._replace(heartbeat=old.heartbeat + 1)])
                )
                assert dead in node.members

        anyio.run(main)

    def test_cut_between_two_instances_does_not_change_the_membership(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                cell.network.cut(NAMES[0], NAMES[1])
                await cell.timers.advance(8)
                assert cell.agree_on(*NAMES)

        anyio.run(main)

    def test_partitioned_cell_merges_again(self):
        async def main():
            cell = Cell()
            async with cell.running(*NAMES):
                for one in NAMES[:3]:
                    for other in NAMES[3:]:
                        cell.network.cut(one, other)
                await cell.timers.advance(20)
                assert cell.views()[NAMES[0]] == NAMES[:3]
                assert cell.views()[NAMES[6]] == NAMES[3:]
                cell.network.heal()
                await cell.timers.advance(3)
                assert cell.agree_on(*NAMES)

        anyio.run(main)


class _Resumed:
    """Runs a membership whose process was paused, without resetting its clock."""

    def __init__(self, node):
        self._node = node

    async def run(self):
        self._node._send_heartbeats(self._node._timers.now())
        async for now in self._node._timers.ticks(PERIOD):
            self._node._send_heartbeats(now)
