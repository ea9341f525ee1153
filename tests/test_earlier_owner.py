"""Tests of the statements by which an earlier owner's term need not be waited out."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.ownership.earlier_owner import TermEnded, proves_end
from ragworttiller.scheduling.records.formats import OWNER, Claim
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import LEASE_SECONDS, CellRig, job_id, step
from tests.test_owners import wait_new_owner

CLAIM = Claim("e1", 7, 1, 0, ["w1", "w2"], [], {}, address="a1")


class TestProof:
    @pytest.mark.parametrize(
        ("answer", "proof"),
        [
            (TermEnded(7, "a1"), True),
            (TermEnded(8, "a1"), True),
            (TermEnded(8, "a2"), False),
        ],
    )
    def test_only_the_owner_itself_or_a_later_start_at_its_address_proves_its_end(
        self, answer: TermEnded, proof: bool
    ):
        assert proves_end(CLAIM, answer) is proof

    def test_a_claim_without_an_address_is_not_ended_by_a_later_start(self):
        assert not proves_end(CLAIM._replace(address=""), TermEnded(8, ""))


class TestTakeover:
    def rig(self, claim: Claim) -> CellRig:
        rig = CellRig(0, claim, 100)
        rig.submit(step(1))
        rig.add_runner("w2")
        rig.cell.takeover.record_owner_ended(rig.now)
        rig.pass_time(LEASE_SECONDS + 1.0)
        return rig

    def test_an_owner_that_has_ended_is_not_waited_for_by_its_term(self):
        assert len(self.rig(CLAIM).plan().starts) == 1

    def test_a_runner_that_it_never_reached_is_waited_for_all_the_same(self):
        """The owner before it may still order there."""
        assert self.rig(CLAIM._replace(unsettled=["w1"])).plan().starts == []


class TestOwners:
    def after_a_change_with_a_silent_runner(self, rig: OwnersRig, first: str) -> None:
        for entry in rig.entries.values():
            entry.link("w1").cut = True
        rig.kill(first)
        rig.add_entry(first).link("w1").cut = True

    def test_tasks_wait_for_a_lease_only_once_the_earlier_owner_has_started_again(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(12))
            await rig.timers.sleep(0.5)
            self.after_a_change_with_a_silent_runner(rig, rig.owner.name)
            assert 5.0 < await rig.wait_completed(job_id(1), within=20.0) < 9.0
            assert rig.monitor.violations == []

        with_rig(body, work=2.0)

    def test_tasks_wait_for_the_term_too_while_the_earlier_owner_is_silent(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(job_id(1), step(12))
            await rig.timers.sleep(0.5)
            rig.peers_cut = True
            self.after_a_change_with_a_silent_runner(rig, rig.owner.name)
            assert await rig.wait_completed(job_id(1), within=30.0) > 9.0
            assert rig.monitor.violations == []

        with_rig(body, work=2.0)

    def test_an_owner_that_was_replaced_while_it_took_over_orders_nothing(self):
        async def body(rig: OwnersRig):
            entry = rig.add_entry("e1")
            entry.host.record_later_owner(1000)
            await rig.submit(job_id(1), step(3))
            await rig.timers.sleep(5.0)
            assert entry.host.claims.claim is not None
            assert [runner._fence_token for runner in rig.runners.values()] == [0, 0, 0]

        with_rig(body)

    def test_an_owner_without_the_store_ends_its_term_when_its_successor_asks(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            first = rig.owner
            term = first.host.owner._term
            for entry in rig.entries.values():
                entry.link("w1").cut = entry is not first
            first.store_link.silent_target = OWNER.topic
            await wait_new_owner(rig, first)
            await rig.timers.sleep(0.2)
            assert term.ended

        with_rig(body, runners=2)
