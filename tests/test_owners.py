"""Tests of the ownership of a cell: takeover, fencing, and orders of owners that have lost it."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import AppendFenced
from ragworttiller.platform.store import KeyedRecord, Producer, Record, Store
from ragworttiller.scheduling.ownership.owner_watch import (
    EMPTY_POLLS_BEFORE_CLAIM,
    HEARTBEAT_TIMEOUT_SECONDS,
    OwnerHeartbeat,
    OwnerWatch,
)
from ragworttiller.scheduling.ownership.ownership import Ownership
from ragworttiller.scheduling.ownership.term import TERM_SECONDS, ClaimFold, Term
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import (
    JOBS,
    OWNER,
    OWNER_CHANGE_KEY,
    OWNER_KEY,
    Claim,
    OwnerChange,
    decode,
    encode,
)
from ragworttiller.timers import ManualTimers
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.owners_rig import Entry, OwnersRig, start_entries, with_rig
from tests.scheduling_rig import job_id, step


async def wait_new_owner(rig: OwnersRig, first: Entry) -> float:
    """Wait until another entry owns the cell and return the seconds that it took."""
    start = rig.timers.now()
    while all(e is first or e.host.owner is None for e in rig.entries.values()):
        await rig.timers.sleep(0.01)
    return rig.timers.now() - start


class TestOwnership:
    def test_only_one_entry_claims(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            owners = [e for e in rig.entries.values() if e.host.owner is not None]
            assert len(owners) == 1
            assert {e.host.claims.claim.epoch for e in rig.entries.values()} == {1}

        with_rig(body)

    def test_a_job_is_completed(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(5), step(3, after=[0]))
            assert await rig.wait_completed(job_id(1)) < 3.0
            assert rig.monitor.violations == []

        with_rig(body)

    def test_a_killed_owner_is_replaced(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(20))
            await rig.timers.sleep(0.6)
            rig.kill(rig.owner.name)
            assert await rig.wait_completed(job_id(1)) < 6.0
            assert rig.monitor.violations == []

        with_rig(body)

    def test_a_standby_replaces_a_killed_owner_soon(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            rig.kill(first.name)
            assert await wait_new_owner(rig, first) < 0.9
            assert rig.owner.host.claims.claim.epoch == 2

        with_rig(body)

    def test_a_standby_replaces_an_owner_that_cannot_reach_the_store(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            first.store_link.cut = True
            assert await wait_new_owner(rig, first) < 1.4

        with_rig(body)

    def test_a_slow_store_does_not_change_the_owner(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            rig.store.write_seconds = 0.45
            await rig.timers.sleep(10.0)
            assert rig.owner.host.claims.claim.epoch == 1

        with_rig(body)

    def test_lost_heartbeats_alone_do_not_change_the_owner(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            rig.heartbeats_lost = True
            await rig.timers.sleep(5.0)
            assert rig.owner.host.claims.claim.epoch == 1

        with_rig(body)

    def test_without_heartbeats_empty_polls_replace_a_killed_owner(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            rig.heartbeats_lost = True
            rig.kill(first.name)
            assert await wait_new_owner(rig, first) < 2.2

        with_rig(body)

    def test_running_tasks_survive_a_killed_owner(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(6))
            await rig.timers.sleep(1.0)
            rig.kill(rig.owner.name)
            await rig.wait_completed(job_id(1), within=14.0)
            assert len(rig.monitor.starts) == 6
            assert rig.monitor.violations == []

        with_rig(body, work=8.0)

    def test_a_released_ownership_is_claimed_at_once(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            first.host.stop("e3" if first.name != "e3" else "e2")
            start = rig.timers.now()
            while rig.owner in (None, first):
                await rig.timers.sleep(0.01)
            assert rig.timers.now() - start < 0.2

        with_rig(body)

    def test_another_entry_claims_soon_if_the_successor_does_not(self):
        async def body(rig: OwnersRig):
            rig.heartbeats_lost = True
            await start_entries(rig)
            first = rig.owner
            second = "e3" if first.name != "e3" else "e2"
            rig.kill(second)
            rig.entries.pop(second)
            first.host.stop(second)
            assert await wait_new_owner(rig, first) < 0.9

        with_rig(body)

    def test_a_restarted_owner_claims_at_once(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            name = rig.owner.name
            rig.kill(name)
            rig.add_entry(name)
            await rig.timers.sleep(0.5)
            assert rig.entries[name].host.owner is not None

        with_rig(body)

    def test_no_entry_claims_while_the_store_is_down(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            rig.store.down = True
            await rig.timers.sleep(6.0)
            rig.store.down = False
            await rig.timers.sleep(4.0)
            assert rig.owner is first
            assert first.host.claims.claim.epoch == 1

        with_rig(body)

    def test_tasks_are_started_while_the_store_is_down(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(30))
            await rig.timers.sleep(0.3)
            rig.store.down = True
            before = len(rig.monitor.starts)
            await rig.timers.sleep(3.0)
            assert len(rig.monitor.starts) > before + 6
            rig.store.down = False
            await rig.wait_completed(job_id(1))
            assert len(rig.monitor.starts) == 30
            assert rig.monitor.violations == []

        with_rig(body)

    def test_an_owner_without_renewals_stops_when_its_term_ends(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            term = first.host.owner._term
            first.store_link.cut = True
            await rig.timers.sleep(TERM_SECONDS + 1.0)
            assert not term.valid

        with_rig(body)

    def test_an_unreachable_runner_delays_tasks_of_earlier_jobs(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(6))
            await rig.timers.sleep(1.0)
            old = rig.owner
            rig.kill(old.name)
            for name in ("e1", "e2", "e3"):
                rig.entries[name].link("w1").cut = True
            await rig.timers.sleep(5.0)
            assert rig.owner is not None
            assert len(rig.monitor.starts) == 6
            await rig.wait_completed(job_id(1), within=60.0)
            assert rig.monitor.violations == []

        with_rig(body, work=3.0)

    def test_a_replaced_owner_starts_no_job_that_was_accepted_after_it_was_replaced(self):
        """It may still read jobs though the claim of its successor does not reach it."""

        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            for entry in rig.entries.values():
                entry.link("w1").cut = entry is not first
            first.store_link.silent_target = OWNER.topic
            await wait_new_owner(rig, first)
            await rig.submit(job_id(1), step(8))
            await rig.timers.sleep(0.5)
            assert {run // 10_000 for _, run, _ in rig.monitor.starts} == {1}
            assert rig.monitor.violations == []

        with_rig(body, runners=2, work=3.0)

    def test_a_job_submitted_again_after_the_takeover_counts_as_known_before(self):
        """Of each key the newest record is loaded, which hides that the job is older."""

        async def body(rig: OwnersRig):
            rig.add_entry("e1")
            await rig.timers.sleep(3.0)
            await rig.submit(job_id(1), step(8))
            await rig.timers.sleep(0.5)
            assert len(rig.monitor.starts) == 8
            rig.kill("e1")
            second = rig.add_entry("e2")
            for name in rig.runners:
                second.link(name).cut = True
            second.store_link.silent_target = f"log-newest?topic={JOBS.topic}"
            records = rig.store.partition(JOBS.topic).records
            taken_over = KeyedRecord(OWNER_CHANGE_KEY, encode(OwnerChange(2)))
            while not any(record.endswith(taken_over.value) for record in records[1:]):
                await rig.timers.sleep(0.01)
            await rig.submit(job_id(1), step(8))
            second.store_link.silent_target = ""
            rig.add_runner("w9")
            await rig.timers.sleep(3.0)
            assert second.host.owner is not None
            assert rig.monitor.violations == []

        with_rig(body, runners=2, work=20.0)

    def test_the_first_renewal_counts_the_jobs_that_have_not_started(self):
        """Entries show the count, so that none of these jobs may be left out."""

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(1, 5000))
            await rig.timers.sleep(0.5)
            first = rig.owner
            rig.kill(first.name)
            await wait_new_owner(rig, first)
            await rig.timers.sleep(0.05)
            records = rig.store.partition(OWNER.topic).records
            claims = [decode(record[1 + record[0] :], Claim) for record in records]
            offset = rig.owner.host.jobs.get(job_id(1)).offset
            acting = [claim for claim in claims if claim.epoch == 2 and claim.may_order]
            assert acting
            assert {sum(claim.pending.values()) for claim in acting} == {1}
            for claim in claims:
                assert claim.position <= offset or sum(claim.pending.values()) == 1

        with_rig(body)

    def test_a_cancelled_job_stops(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(20))
            await rig.timers.sleep(1.0)
            await rig.cancel(job_id(1))
            await rig.timers.sleep(1.0)
            assert all(not runner.running for runner in rig.runners.values())

        with_rig(body, work=30.0)


class TestOwnerWatch:
    def watch(self) -> tuple[OwnerWatch, ManualTimers]:
        timers = ManualTimers()
        return OwnerWatch(timers), timers

    def test_an_owner_times_out_after_consecutive_empty_polls(self):
        watch, _ = self.watch()
        for _ in range(EMPTY_POLLS_BEFORE_CLAIM):
            assert not watch.owner_timed_out(1)
            watch.record_empty_poll()
        assert watch.owner_timed_out(1)
        watch.record_claim()
        assert not watch.owner_timed_out(1)

    def test_missing_heartbeats_count_only_with_an_empty_poll(self):
        watch, timers = self.watch()
        watch.record_heartbeat(OwnerHeartbeat(1, True))
        anyio.run(timers.advance, 5.0)
        assert not watch.owner_timed_out(1)
        watch.record_empty_poll()
        assert watch.owner_timed_out(1)

    def test_heartbeats_of_an_earlier_owner_do_not_count(self):
        watch, timers = self.watch()
        watch.record_heartbeat(OwnerHeartbeat(1, True))
        anyio.run(timers.advance, 5.0)
        watch.record_empty_poll()
        assert not watch.owner_timed_out(2)
        assert watch.seconds_until_timeout(2) is None

    def test_an_owner_whose_renewals_fail_times_out_sooner(self):
        watch, timers = self.watch()
        watch.record_empty_poll()
        watch.record_heartbeat(OwnerHeartbeat(1, True))
        anyio.run(timers.advance, 0.1)
        assert watch.seconds_until_timeout(1) == pytest.approx(HEARTBEAT_TIMEOUT_SECONDS - 0.1)
        watch.record_heartbeat(OwnerHeartbeat(1, False))
        assert not watch.owner_timed_out(1)
        watch.record_empty_poll()
        assert watch.owner_timed_out(1)

    def test_a_late_heartbeat_of_an_earlier_owner_is_ignored(self):
        watch, _ = self.watch()
        watch.record_heartbeat(OwnerHeartbeat(2, True))
        watch.record_heartbeat(OwnerHeartbeat(1, False))
        watch.record_empty_poll()
        assert not watch.owner_timed_out(2)


class TestTerm:
    def test_a_term_counts_from_the_time_its_renewal_was_sent(self):
        async def main():
            timers = LoopTimers()
            term = Term(1, timers, timers.now())
            await timers.sleep(TERM_SECONDS - 1)
            assert term.valid
            term.record_renewal(timers.now() - 5)
            await timers.sleep(5.5)
            assert not term.valid

        run_virtual(main)

    def test_a_claim_of_an_earlier_epoch_is_ignored(self):
        fold = ClaimFold()
        for offset, epoch in enumerate((5, 4)):
            claim = Claim(f"e{epoch}", 1, epoch, 0, [], [], {})
            fold.apply(Record(offset, OWNER_KEY, encode(claim)))
        fold.apply(Record(2, OWNER_KEY, b"\xc1"))
        assert fold.claim.owner == "e5"


class TestClaims:
    """Claims while another owner or claimant writes at the same moment."""

    async def claimant(self, service: StoreService, name: str, timers: LoopTimers):
        link = Link(service, timers)
        store, fold = Store("", 1.0, link), ClaimFold()
        feed = Feed(store, OWNER, fold, timers)
        await feed.catch_up()
        return Ownership(store, feed, fold, timers, name, 1), fold, link

    def test_of_two_claims_of_one_epoch_one_succeeds(self):
        async def main():
            timers = LoopTimers()
            service = StoreService(timers)
            rows = [await self.claimant(service, name, timers) for name in ("e1", "e2")]
            for row in rows:
                row[0]._feed.catch_up = anyio.lowlevel.checkpoint
            results = [await row[0].claim(None) for row in rows]
            assert [claimed is not None for claimed in results] == [True, False]

        run_virtual(main)

    def test_a_claim_whose_answer_was_lost_succeeds(self):
        async def main():
            timers = LoopTimers()
            service = StoreService(timers)
            claims, fold, link = await self.claimant(service, "e1", timers)
            claims._feed.catch_up = anyio.lowlevel.checkpoint
            link.lose_next = 1
            claimed = await claims.claim(None)
            assert claimed.term.epoch == 1
            assert len(service.partition(OWNER.topic).records) == 1

        run_virtual(main)

    def test_the_term_of_the_earlier_owner_counts_from_its_last_renewal_though_it_looks_the_same(
        self,
    ):
        async def main():
            timers = LoopTimers()
            service = StoreService(timers)
            first, _, link = await self.claimant(service, "e1", timers)
            await first.claim(None)
            second, later, _ = await self.claimant(service, "e2", timers)
            second._feed.on_change = second.record_claim
            claim = later.claim
            await timers.sleep(2.0)
            store = Store("", 1.0, link)
            renewal = [KeyedRecord(OWNER_KEY, encode(claim))]
            await store.append(OWNER, renewal, Producer("owner", 1), first._sequence + 1)
            sent_at = timers.now()
            await timers.sleep(1.0)
            claimed = await second.claim(claim)
            assert claimed.previous_read_at >= sent_at

        run_virtual(main)

    def test_the_earlier_owner_cannot_renew_after_a_claim(self):
        """With such a renewal, it could start tasks on runners that the claim does not name."""

        async def main():
            timers = LoopTimers()
            service = StoreService(timers)
            first, fold, link = await self.claimant(service, "e1", timers)
            await first.claim(None)
            second, later, _ = await self.claimant(service, "e2", timers)
            store = Store("", 1.0, link)
            claimed = await second.claim(later.claim)
            assert claimed.term.epoch == 2
            with pytest.raises(AppendFenced):
                late = [KeyedRecord(OWNER_KEY, encode(fold.claim or later.claim))]
                await store.append(OWNER, late, Producer("owner", 1), first._sequence + 1)

        run_virtual(main)
