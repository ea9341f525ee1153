"""Tests of reports between entries that the store is slow."""

from __future__ import annotations

from collections.abc import Container

import anyio
import pytest

from ragworttiller.exceptions import PeerUnreachable
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC, SlowStore
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.entry.store_pace import REPORT_VALID_SECONDS, StorePace
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from tests.entry_rig import BODY, EntryRig, with_entry
from tests.scheduling_rig import QUEUE, job_id
from tests.test_relaying_callers import FakePeers


class Names(Container[str]):
    """Names of entries that can be looked up, but not enumerated."""

    def __contains__(self, name: object) -> bool:
        return name in ("e1", "e2", "e3")


class TestStorePace:
    def relaying(
        self,
        rig: EntryRig,
        peers: FakePeers,
        pace: StorePace,
        owner: str = "e2",
        names: Container[str] = frozenset({"e1", "e2", "e3"}),
    ) -> RelayingCallers:
        return RelayingCallers(
            rig.callers,
            peers,
            rig.config,
            ConfigurationTransfer(rig.config, peers, lambda: names, rig.timers),
            PeerReconnector(peers, rig.timers),
            lambda: 0.0,
            lambda: owner,
            lambda: names,
            rig.timers,
            rig.writer,
            pace,
        )

    def request(self, number: int) -> CallerRequest:
        path = QUEUE.prefix + job_id(number)
        return CallerRequest("POST", QUEUE.host, path, BODY, 2.0)

    def test_the_first_slow_append_keeps_other_entries_from_appending(self):
        """With 37 entries, one slow append of each fills the queue of the store."""

        async def body(rig: EntryRig):
            rig.service.write_seconds = 1.0
            other = EntryRig(rig.service, rig.timers, producer="e3")
            await other.feed.catch_up()
            other_pace = StorePace(other.writer, rig.timers)
            pace = StorePace(rig.writer, rig.timers, other_pace.record_report)
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.writer.run)
                tasks.start_soon(self.relaying(rig, FakePeers(), pace).answer, self.request(1))
                await rig.timers.sleep(0.2)
                relaying = self.relaying(other, peers, other_pace)
                assert (await relaying.answer(self.request(2))).status == 200
                await rig.timers.sleep(3.0)
                tasks.cancel_scope.cancel()
            assert peers.asked == ["e2"]
            assert rig.stored() == [job_id(1)]
            assert not other_pace.slow

        with_entry(body)

    @pytest.mark.parametrize("owner", ["e1", "e2"])
    def test_no_submission_looks_through_all_entries_while_the_store_is_fast(self, owner: str):
        """Guards against a cost for each submission that grows with the number of entries."""

        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            relaying = self.relaying(rig, FakePeers(), pace, owner, Names())
            assert (await relaying.answer(self.request(1))).status == 200

        with_entry(body)

    def test_a_fast_append_is_not_reported(self):
        async def body(rig: EntryRig):
            reports: list[bool] = []
            pace = StorePace(rig.writer, rig.timers, lambda: reports.append(True))
            relaying = self.relaying(rig, FakePeers(), pace)
            assert (await relaying.answer(self.request(1))).status == 200
            await rig.timers.sleep(1.0)
            assert (reports, pace.slow) == ([], False)

        with_entry(body)

    def test_each_entry_reports_a_slow_store_once_in_a_while(self):
        async def body(rig: EntryRig):
            reports: list[bool] = []
            rig.service.write_seconds = 0.5
            pace = StorePace(rig.writer, rig.timers, lambda: reports.append(True))
            relaying = self.relaying(rig, FakePeers(), pace)
            for number in range(3):
                assert (await relaying.answer(self.request(number))).status == 200
            assert len(reports) == 1

        with_entry(body)

    def test_an_owner_does_not_make_entries_pass_submissions_to_itself(self):
        """Its append may be late because an answer was lost, while those of others are not."""

        async def body(rig: EntryRig):
            reports: list[bool] = []
            rig.service.write_seconds = 0.5
            pace = StorePace(rig.writer, rig.timers, lambda: reports.append(True))
            peers = FakePeers()
            peers.instance = "e2"
            assert (await self.relaying(rig, peers, pace).answer(self.request(1))).status == 200
            assert reports == []

        with_entry(body)

    @pytest.mark.parametrize("owner", ["", "gone"])
    def test_one_entry_appends_for_all_without_an_owner(self, owner: str):
        """While the ownership changes, appends of all entries would fill the queue of the store."""

        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            peers = FakePeers()
            peers.instance = "e3"
            peers.answers["e1"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers, pace, owner)
            assert (await relaying.answer(self.request(1))).status == 200
            assert (peers.asked, rig.stored()) == (["e1"], [])

        with_entry(body)

    def test_an_entry_appends_itself_if_the_common_writer_is_lost(self):
        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            peers = FakePeers()
            assert (await self.relaying(rig, peers, pace).answer(self.request(1))).status == 200
            assert (peers.asked, rig.stored()) == (["e2"], [job_id(1)])

        with_entry(body)

    def test_another_common_writer_is_asked_if_the_owner_is_lost(self):
        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            peers = FakePeers()
            peers.instance = "e3"
            peers.answers["e1"] = CallerReply(200, b"{}")
            assert (await self.relaying(rig, peers, pace).answer(self.request(1))).status == 200
            assert (peers.asked, rig.stored()) == (["e2", "e1"], [])

        with_entry(body)

    @pytest.mark.parametrize("instance", ["e1", "e3"])
    def test_a_paused_owner_does_not_hold_callers_to_the_end_of_their_time(self, instance: str):
        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            peers = FakePeers()
            peers.instance = instance

            async def call(name, message, timeout):
                peers.asked.append(name)
                if name == "e2":
                    await rig.timers.sleep(timeout)
                    raise PeerUnreachable(instance=name)
                return CallerReply(200, b"{}")

            peers.call = call
            start = rig.timers.now()
            relaying = self.relaying(rig, peers, pace)
            assert (await relaying.answer(self.request(1))).status == 200
            assert rig.timers.now() - start < 1.6

        with_entry(body)

    def test_an_owner_that_was_late_is_avoided_for_a_while(self):
        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            peers = FakePeers()
            peers.instance = "e3"

            async def call(name, message, timeout):
                peers.asked.append(name)
                await rig.timers.sleep(timeout if name == "e2" else 0.2)
                return CallerReply(200, b"{}")

            peers.call = call
            relaying = self.relaying(rig, peers, pace)
            for number in range(2):
                assert (await relaying.answer(self.request(number))).status == 200
            assert peers.asked == ["e2", "e1", "e1"]

        with_entry(body)

    def test_a_report_expires(self):
        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            assert pace.slow
            await rig.timers.sleep(REPORT_VALID_SECONDS + 0.1)
            assert not pace.slow

        with_entry(body)

    def test_slow_answers_of_the_owner_extend_a_report(self):
        """Else all entries would append at once whenever a report expires."""

        async def body(rig: EntryRig):
            pace = StorePace(rig.writer, rig.timers)
            pace.record_report()
            await rig.timers.sleep(REPORT_VALID_SECONDS - 0.1)
            pace.record_append(0.5)
            await rig.timers.sleep(0.2)
            assert pace.slow

        with_entry(body)

    def test_entries_understand_a_report(self):
        assert PEER_CODEC.decode_one(PEER_CODEC.encode_one(SlowStore())) == SlowStore()
