"""Tests of licenses in interleavings of instances, log and network."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import NoRunner, RunnerBroken
from ragworttiller.messages import BurnAttempt
from ragworttiller.process import ledger as ledger_module
from ragworttiller.process.ledger import LedgerLimits
from ragworttiller.process.licensed_attempts import MAX_RECORDED_BODY_BYTES
from ragworttiller.records import RECORD_CODEC, GiveUp
from tests.ledger_rig import Rig, rig_of, violations

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def take_over(rig: Rig, name: str) -> None:
    """Remove ``name`` from the members that all other instances see; it keeps running."""
    rest = [one for one in rig.instances if one != name]
    for one in rest:
        rig.instances[one].membership.set_members(rest)
    await rig.settle(1.0)


class TestSubmit:
    async def test_any_entry_reaches_the_owner_and_one_send_is_made(self):
        async with rig_of("a", "b", "c") as rig:
            for number, entry in enumerate(rig.instances.values()):
                result = await rig.submit(entry, f"t{number}", f"k{number}")
                assert result.answer is not None and not result.answer.replayed
            assert [(send.instance, send.attempt) for send in rig.sends] == [
                (rig.owner().name, f"t{number}") for number in range(3)
            ]
            assert violations(rig) == []

    async def test_repeated_key_gets_the_recorded_answer_after_takeover(self):
        async with rig_of("a", "b", "c") as rig:
            first = await rig.submit(rig.others()[0], "t1")
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            again = await rig.submit(rig.owner(), "t2")
            found = await rig.lookup(rig.others()[0])
            assert first.answer is not None
            assert again.answer == found.answer == first.answer._replace(replayed=True)
            assert len(rig.sends) == 1

    async def test_same_key_with_other_body_is_refused_as_reused(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.may_answer = anyio.Event()
            await rig.submit(rig.owner(), "t1", body=b"one")
            during = await rig.submit(rig.owner(), "t2", body=b"two")
            rig.owner().sender.may_answer.set()
            await rig.settle()
            after = await rig.submit(rig.owner(), "t3", body=b"two")
            assert (during.code, after.code) == ("key_reused", "key_reused")
            assert len(rig.sends) == 1

    async def test_same_key_while_in_progress_waits_for_the_one_send(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.may_answer = anyio.Event()
            first = await rig.submit(rig.others()[0], "t1")
            second = await rig.submit(rig.owner(), "t2")
            assert (first.code, second.code) == ("pending", "pending")
            rig.owner().sender.may_answer.set()
            await rig.settle()
            assert first.answer is not None
            assert second.answer == first.answer._replace(replayed=True)
            assert violations(rig) == [] and len(rig.sends) == 1

    async def test_log_down_refuses_at_once_with_retry_after(self):
        async with rig_of("a", "b") as rig:
            rig.log.down = True
            for attempt in ("t1", "t2"):
                result = await rig.submit(rig.others()[0], attempt, wait=0.0)
                assert result.code == "not_run"
                assert result.error is not None and result.error.retry_after
            assert rig.sends == []
            assert rig.owner().decisions.count == 2

    async def test_undecided_log_ends_in_not_run_within_the_commit_timeout(self):
        async with rig_of("a", "b") as rig:
            rig.log.append_delay = 100.0
            first = await rig.submit(rig.others()[0], "t1", wait=2.1)
            second = await rig.submit(rig.others()[0], "t2", "other", wait=0.0)
            assert (first.code, second.code) == ("not_run", "not_run")

    async def test_give_up_then_retry_with_the_same_key(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.error = NoRunner(upstream="marking", retry_after=7.0)
            first = await rig.submit(rig.others()[0], "t1")
            assert first.code == "not_run"
            assert first.error is not None and first.error.retry_after == 7.0
            rig.owner().sender.error = None
            assert (await rig.submit(rig.others()[0], "t2")).code == "answered"
            assert violations(rig) == []

    async def test_broken_runner_leaves_the_outcome_unknown_permanently(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.error = RunnerBroken(runner="r")
            assert (await rig.submit(rig.owner(), "t1", wait=0.0)).code == "outcome_unknown"
            rig.owner().sender.error = None
            await rig.settle(20.0)
            assert (await rig.submit(rig.owner(), "t2")).code == "outcome_unknown"
            assert (await rig.lookup(rig.owner())).code == "outcome_unknown"
            assert len(rig.sends) == 1

    async def test_unexpected_failure_of_the_sender_ends_one_request_only(self):
        class Unforeseen(Exception):
            ran = "unforeseen"

        async with rig_of("a", "b") as rig:
            rig.owner().sender.error = Unforeseen()
            assert (await rig.submit(rig.owner(), "t1", "k1")).code == "outcome_unknown"
            rig.owner().sender.error = None
            assert (await rig.submit(rig.owner(), "t2", "k2")).code == "answered"
            assert (await rig.submit(rig.owner(), "t3", "k1")).code == "outcome_unknown"
            assert violations(rig) == []

    async def test_caller_that_disconnects_neither_cancels_nor_repeats_the_send(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.may_answer = anyio.Event()
            result = await rig.submit(rig.owner(), "t1")
            result.scope.cancel()
            await rig.settle()
            rig.owner().sender.may_answer.set()
            await rig.settle()
            assert rig.sends[0].answered
            again = await rig.submit(rig.others()[0], "t2")
            assert again.answer is not None and again.answer.replayed
            assert len(rig.sends) == 1

    async def test_full_shard_refuses_new_keys(self, monkeypatch):
        async with rig_of("a") as rig:
            rig.owner().ledger._limits = LedgerLimits(max_keys=1)
            assert (await rig.submit(rig.owner(), "t1", "k1")).code == "answered"
            assert (await rig.submit(rig.owner(), "t2", "k2")).code == "not_run"
            assert (await rig.submit(rig.owner(), "t3", "k1")).code == "answered"

    async def test_large_answer_is_delivered_but_not_recorded(self):
        async with rig_of("a") as rig:
            key = "k" * (MAX_RECORDED_BODY_BYTES + 1)
            first = await rig.submit(rig.owner(), "t1", key)
            again = await rig.submit(rig.owner(), "t2", key)
            assert first.answer is not None and first.answer.body
            assert again.answer is not None and again.answer.body is None


class TestTakeover:
    async def test_pause_between_license_and_send(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            entry, other = rig.others()
            old.sender.may_send = anyio.Event()
            first = await rig.submit(entry, "t1")
            rig.network.hold(old.name)
            await take_over(rig, old.name)
            assert first.code == "outcome_unknown"
            assert (await rig.submit(other, "t2")).code == "outcome_unknown"
            old.sender.may_send.set()
            rig.network.release(old.name)
            await rig.settle()
            assert [send.attempt for send in rig.sends] == ["t1"]
            late = await rig.submit(other, "t3")
            assert late.answer is not None and late.answer.replayed
            assert violations(rig) == []

    async def test_request_that_reaches_a_paused_owner_late_is_not_sent(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            entry = rig.others()[0]
            rig.network.hold(old.name)
            first = await rig.submit(entry, "t1")
            await take_over(rig, old.name)
            assert first.code == "not_run"
            rig.network.release(old.name)
            await rig.settle()
            assert rig.sends == []
            assert (await rig.submit(entry, "t2")).code == "answered"
            assert violations(rig) == []

    async def test_intent_appended_late_after_give_up_and_takeover(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            rig.log.hold_next = 1
            first = await rig.submit(rig.others()[0], "t1", wait=2.5)
            assert first.code == "not_run"
            await take_over(rig, old.name)
            second = await rig.submit(rig.others()[0], "t2")
            rig.log.release()
            await rig.settle()
            third = await rig.submit(rig.others()[0], "t3")
            assert second.code == "answered"
            assert third.answer is not None and third.answer.replayed
            assert violations(rig) == []

    async def test_intent_appended_late_before_its_give_up(self):
        async with rig_of("a", "b") as rig:
            rig.log.hold_next = 2
            first = await rig.submit(rig.others()[0], "t1", wait=2.01)
            assert first.code == "not_run"
            rig.log.release()
            await rig.settle(1.0)
            assert (await rig.submit(rig.others()[0], "t2")).code == "answered"
            assert violations(rig) == []

    async def test_intent_appended_twice_releases_its_key_once_given_up(self):
        async with rig_of("a", "b") as rig:
            rig.owner().sender.error = NoRunner(upstream="marking")
            rig.log.duplicate = 1
            await rig.submit(rig.owner(), "t1")
            rig.owner().sender.error = None
            assert (await rig.submit(rig.owner(), "t2")).code == "answered"
            assert violations(rig) == []

    async def test_lost_append_answer_is_read_back(self):
        async with rig_of("a", "b") as rig:
            rig.log.lose_answers = 1
            assert (await rig.submit(rig.others()[0], "t1")).code == "answered"

    async def test_two_owners_at_once_send_a_key_once(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            await take_over(rig, old.name)
            new = next(one for one in rig.others() if one.host.get(0) is not None)
            rig.log.append_delay = 0.1
            results = [await rig.submit(one, f"t-{one.name}", wait=0.0) for one in (old, new)]
            await rig.settle(1.0)
            assert len(rig.sends) == 1
            assert {result.code for result in results} == {"answered", "outcome_unknown"}
            assert violations(rig) == []

    async def test_killed_owner_leaves_licensed_requests_unknown(self):
        async with rig_of("a", "b", "c") as rig:
            rig.owner().sender.may_answer = anyio.Event()
            entry = rig.others()[0]
            first = await rig.submit(entry, "t1")
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            await rig.settle(1.0)
            assert first.code == "outcome_unknown"
            assert (await rig.submit(entry, "t2")).code == "outcome_unknown"
            assert violations(rig) == []

    async def test_request_lost_with_its_owner_is_provably_not_run(self):
        async with rig_of("a", "b", "c") as rig:
            entry = rig.others()[0]
            rig.network.cut(entry.name, rig.owner().name)
            first = await rig.submit(entry, "t1")
            await rig.kill(rig.owner().name)
            await rig.set_members(list(rig.instances))
            await rig.settle(1.0)
            assert first.code == "not_run"

    async def test_unreachable_owner_leaves_the_outcome_unknown(self):
        async with rig_of("a", "b") as rig:
            entry, owner = rig.others()[0], rig.owner()
            rig.network.cut(entry.name, owner.name)
            result = await rig.submit(entry, "t1", wait=16.0)
            assert result.code == "outcome_unknown"
            assert result.error is not None and result.error.retry_after

    async def test_burn_with_the_log_down_leaves_the_outcome_unknown(self):
        async with rig_of("a", "b") as rig:
            rig.log.down = True
            work = rig.owner().ledger.burn(BurnAttempt("k", "t1", 1.0))
            result = rig.call(rig.owner(), "k", "t1", work)
            await rig.settle(0.0)
            assert result.code == "outcome_unknown"

    async def test_planned_stop_finishes_and_records_what_is_in_progress(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            entry = rig.others()[0]
            old.sender.may_answer = anyio.Event()
            first = await rig.submit(entry, "t1")
            rig.tasks.start_soon(old.host.leave)
            await take_over(rig, old.name)
            assert first.code == "pending"
            old.sender.may_answer.set()
            await rig.settle()
            assert first.code == "answered"
            assert old.host.get(0) is None
            again = await rig.submit(entry, "t2")
            assert again.answer is not None and again.answer.replayed

    async def test_crossed_answers_reach_their_own_callers(self):
        async with rig_of("a", "b", "c") as rig:
            rig.network.delay = 0.05
            rig.owner().sender.may_answer = anyio.Event()
            results = [
                await rig.submit(entry, f"t{n}-{entry.name}", f"k{n}", wait=0.0)
                for n in range(10)
                for entry in rig.instances.values()
            ]
            rig.owner().sender.may_answer.set()
            await rig.settle(1.0)
            assert all(result.code == "answered" for result in results)
            assert violations(rig) == []


class TestKeyWindow:
    async def test_keys_expire_by_record_and_late_attempts_stay_invalid(self):
        async with rig_of("a", "b", "c") as rig:
            old = rig.owner()
            entry, other = rig.others()
            await rig.submit(entry, "t0", "old")
            rig.network.hold(old.name)
            late = await rig.submit(entry, "t1")
            await take_over(rig, old.name)
            assert late.code == "not_run"
            await rig.settle(ledger_module.MAX_BUDGET_SECONDS + 10.0)
            assert (await rig.lookup(other, "old")).code == "key_unknown"
            new = next(one for one in rig.others() if one.host.get(0) is not None)
            assert new.ledger.stream.fold.size == 0
            rig.network.release(old.name)
            await rig.settle()
            assert rig.sends[1:] == []
            assert violations(rig) == []

    async def test_burn_after_the_window_leaves_the_outcome_unknown(self):
        async with rig_of("a", "b") as rig:
            started_at = rig.timers.wall()
            await rig.submit(rig.owner(), "t1")
            await rig.settle(ledger_module.MAX_BUDGET_SECONDS + 10.0)
            work = rig.owner().ledger.burn(BurnAttempt("k", "t1", started_at))
            result = rig.call(rig.owner(), "k", "t1", work)
            await rig.settle()
            assert result.code == "outcome_unknown"

    async def test_orphaned_license_of_an_expired_give_up_is_released(self):
        async with rig_of("a") as rig:
            rig.log.hold_next = 1
            await rig.submit(rig.owner(), "t1", wait=3.0)
            owner = rig.owner().ledger
            owner.stream.fold.burnt.clear()
            rig.log.release()
            await rig.settle(ledger_module.UPKEEP_PERIOD_SECONDS + 1.0)
            last = RECORD_CODEC.decode_one(rig.log.entries(owner.stream.name)[-1])
            assert isinstance(last, GiveUp) and last.attempt == "t1"
            assert (await rig.submit(rig.owner(), "t2")).code == "answered"
