"""Tests of an owner that is busy: it is neither replaced nor takes longer to replace once dead."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.ownership.earlier_owner import query_timeout
from ragworttiller.scheduling.ownership.owner import Owner
from ragworttiller.scheduling.ownership.renewals import Renewals
from ragworttiller.scheduling.ownership.runner_calls import RunnerCalls
from tests.owners_rig import OwnersRig, start_entries, with_rig

LAG_SECONDS = 0.7
MINUTE_SECONDS = 60.0


@pytest.fixture()
def busy_owner(monkeypatch):
    """Let each step of a renewal come late, as in an owner whose planning passes are long."""
    write = Renewals._write_next

    async def write_late(self, *arguments):
        await self._clock.sleep(2 * LAG_SECONDS)
        await write(self, *arguments)

    monkeypatch.setattr(Renewals, "_write_next", write_late)
    monkeypatch.setattr(Owner, "lag", LAG_SECONDS)


class TestBusyOwner:
    def test_a_busy_owner_keeps_the_cell_for_a_minute(self, busy_owner):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.timers.sleep(MINUTE_SECONDS)
            assert {e.host.claims.claim.epoch for e in rig.entries.values()} == {1}

        with_rig(body)

    def test_its_claims_tell_how_long_to_wait_for_its_answer(self, busy_owner):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.timers.sleep(3.0)
            claim = rig.owner.host.claims.claim
            assert query_timeout(claim) > 2 * LAG_SECONDS
            assert query_timeout(claim._replace(lag=0.0)) <= 0.3

        with_rig(body)

    def test_a_busy_owner_that_cannot_reach_the_store_is_replaced(self, busy_owner):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            owner = rig.owner
            owner.store_link.cut = True
            await rig.timers.sleep(6.0)
            assert rig.owner is not owner

        with_rig(body)


class TestSlack:
    """Waits of an owner for its runners, by how late its event loop runs."""

    @pytest.mark.parametrize(
        ("lag", "seconds"), [(0.0, 0.0), (0.1, 0.0), (0.3, 0.4), (0.5, 0.8), (5.0, 1.0)]
    )
    def test_a_late_event_loop_waits_longer_up_to_a_limit(self, lag: float, seconds: float):
        calls = RunnerCalls(None, None, None, None, None, None, lambda: lag)
        assert calls._slack() == pytest.approx(seconds)
