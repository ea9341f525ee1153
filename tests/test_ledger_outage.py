"""Tests of an owner that takes over a shard while the log is down."""

from __future__ import annotations

import pytest

from ragworttiller.messages import BurnAttempt
from tests.ledger_rig import rig_of, violations

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class TestTakeoverInOutage:
    async def test_request_is_refused_at_once(self):
        async with rig_of("a", "b", "c") as rig:
            rig.log.down = True
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            for number, entry in enumerate((rig.owner(), rig.others()[0])):
                result = await rig.submit(entry, f"t{number}", wait=0.0)
                assert result.code == "not_run"
                assert result.error is not None and result.error.retry_after
            rig.log.down = False
            await rig.settle(1.0)
            later = await rig.submit(rig.owner(), "t2")
            assert later.answer is not None and len(rig.sends) == 1
            assert violations(rig) == []

    async def test_waiting_request_is_refused_when_the_outage_is_detected(self):
        async with rig_of("a", "b", "c") as rig:
            rig.log.down = True
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            rig.owner().ledger.stream._commits.log_up = True
            result = await rig.submit(rig.owner(), "t1", wait=0.5)
            assert result.code == "not_run"
            assert violations(rig) == []

    async def test_attempt_and_lookup_without_a_ready_owner_are_answered_at_once(self):
        async with rig_of("a", "b", "c") as rig:
            rig.log.down = True
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            entry = rig.others()[0]
            request = BurnAttempt("k", "t1", 0.0)
            burn = rig.call(entry, "k", "t1", entry.requests._call_until_answered("k", request))
            lookup = await rig.lookup(entry)
            assert burn.code == lookup.code == "outcome_unknown"
