"""Tests that an odd record, message or submission of others ends in a known error or is skipped."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworttiller.exceptions import InvalidField, PeerUnreachable, Unreadable
from ragworttiller.exceptions.base import ErrorBody
from ragworttiller.messages import ENVELOPE_CODEC, CellCall, Envelope, ErrorReply
from ragworttiller.platform.configuration import decode_configuration
from ragworttiller.platform.store import CONFIG_KEY, Record
from ragworttiller.platform.submissions import MAX_TASKS, decode_job
from ragworttiller.process.calls import Call, CallTable
from ragworttiller.scheduling.entry.callers import error_reply
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.formats import (
    OWNER_CHANGE_KEY,
    OWNER_KEY,
    Accepted,
    Claim,
    EntryRecord,
    OwnerChange,
    Progress,
    decode,
    decode_bitmap,
    encode,
    encode_bitmap,
)
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.takeover import longest_wait
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import JOB, CellRig, job_body, job_id, step
from tests.test_nng_peers import echo, echo_call, pair, running

ODD_NUMBERS = st.integers() | st.floats(allow_nan=False, allow_infinity=False)
STEP_FIELDS = {"cpu", "mem_mb", "gpu", "estimate_ms", "target_ms", "anti_affinity", "speculative"}
STEP_FIELDS |= {"daemon", "gang", "fills", "same_rack", "disruption_budget"}
DEPTH = 100_000
NESTED = b"\x91" * DEPTH + b"\x90"


class TestNesting:
    @pytest.mark.parametrize("record_type", [Accepted, Claim, EntryRecord, OwnerChange, Progress])
    def test_a_deeply_nested_record_is_unreadable(self, record_type: type):
        with pytest.raises(Unreadable):
            decode(NESTED, record_type)

    @pytest.mark.parametrize("codec", [PEER_CODEC, ENVELOPE_CODEC])
    def test_a_deeply_nested_message_is_invalid(self, codec):
        for decode_bytes in (codec.decode, codec.decode_one):
            with pytest.raises(InvalidField):
                decode_bytes(b"\x92\x01" + NESTED)
            with pytest.raises(InvalidField):
                decode_bytes(NESTED)


def claim(**fields: Any) -> Claim:
    return Claim("e1", 1, 3, 7, ["w1"], [], {})._replace(**fields)


def fold_claims(*claims: Claim) -> Claim:
    fold = ClaimFold()
    for offset, row in enumerate(claims):
        fold.apply(Record(offset, OWNER_KEY, encode(row)))
    assert fold.claim is not None
    return fold.claim


class TestClaims:
    @pytest.mark.parametrize("epoch", [2**64 - 1, 2**62, 2**40, -1])
    def test_a_claim_with_an_epoch_out_of_range_ends_no_ownership(self, epoch: int):
        assert fold_claims(claim(), claim(epoch=epoch)) == claim()

    @pytest.mark.parametrize("seconds", [float("nan"), float("inf"), 1e308, -1.0, 1e6])
    def test_an_odd_time_until_runs_have_ended_counts_as_unknown(self, seconds: float):
        odd = fold_claims(claim(unsettled=["w1"], unsettled_seconds=seconds, lag=seconds))
        assert odd.unsettled_seconds is None and 0 <= odd.lag < 3600
        assert longest_wait(odd, 7.0, 4.5, 0.0) == longest_wait(claim(), 7.0, 4.5, 0.0)

    @pytest.mark.parametrize("field", ["position", "jobs_end"])
    @pytest.mark.parametrize("offset", [-1, 2**63])
    def test_a_claim_with_an_offset_out_of_range_is_skipped(self, field: str, offset: int):
        assert fold_claims(claim(), claim(epoch=4, **{field: offset})) == claim()


class TestOwnerChanges:
    @pytest.mark.parametrize("epoch", [2**64 - 1, 2**40, -1])
    def test_an_epoch_out_of_range_ends_no_term(self, epoch: int):
        jobs = JobFold()
        for offset, row in enumerate((3, epoch)):
            jobs.apply(Record(offset, OWNER_CHANGE_KEY, encode(OwnerChange(row))))
        assert jobs.owner_epoch == 3


class TestProgress:
    def test_a_huge_bitmap_of_ended_tasks_does_not_stall_its_reader(self):
        assert decode_bitmap(b"\xff" * 30_000) == set(range(MAX_TASKS))

    @given(st.sets(st.integers(0, 999)))
    @settings(max_examples=50, derandomize=True)
    def test_a_bitmap_is_read_as_written(self, done: set[int]):
        assert decode_bitmap(encode_bitmap(done, 1000)) == done


class TestPeers:
    @pytest.mark.parametrize("odd", ["", "host", "127.0.0.1:99999", "127.0.0.1:x", "\x00:1", "é:1"])
    def test_an_entry_with_an_odd_address_cuts_off_no_other(self, odd: str):
        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            fold = Members(a)
            async with running(a, b):
                fold.apply(Record(1, "c", encode(EntryRecord(odd, 1))))
                await anyio.sleep(0.05)
                assert (await a.call("b", echo_call(), 5.0)).result[0] == "a"
                with pytest.raises(PeerUnreachable):
                    await a.call("c", echo_call(), 0.1)
                fold.apply(Record(2, "c", b""))

        anyio.run(main)

    @pytest.mark.parametrize("speed", [float("nan"), float("inf"), 1e308, -1.0])
    def test_an_entry_of_odd_speed_is_asked_last(self, speed: float):
        async def main():
            fold = Members(pair()[0])
            fold.apply(Record(1, "c", encode(EntryRecord("127.0.0.1:1", 1, speed))))
            assert fold.speeds["c"] == 0.0

        anyio.run(main)

    @pytest.mark.parametrize(
        "fields", [{"retry_after": 1}, {"self": 1}, {"other": 1}, {"job": "j"}]
    )
    @pytest.mark.parametrize("retry_after", [float("nan"), 1e308, -1.0, None])
    def test_an_odd_error_of_an_entry_is_an_error_of_the_call(self, fields, retry_after):
        body = ErrorBody(
            code="job_unknown", message="?", ran="?", retry_after=retry_after, fields=fields
        )
        table, call = CallTable(), Call("b", 5)
        envelope = Envelope("b", 5, "a", 1, table.open(call), True, b"")
        table.deliver_reply(envelope, ErrorReply(body))
        assert call.done.is_set() and call.error is not None
        reply = error_reply(call.error)
        assert reply.retry_after is None and b"error" in reply.body

    def test_an_owner_of_an_absurd_epoch_does_not_keep_an_entry_from_owning(self):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            rig.owner.host.record_later_owner(2**63)
            await rig.submit(JOB, step(3))
            await rig.wait_completed(JOB, within=20.0)
            assert rig.owner.host.claims.claim.epoch == 1

        with_rig(body)


class TestSubmissions:
    @pytest.mark.parametrize("field", ["estimate_ms", "target_ms", "first_run_ms", "interval_ms"])
    @pytest.mark.parametrize("value", [1e308, 1e14, 10**18])
    def test_a_job_with_an_absurd_time_is_refused(self, field: str, value: float):
        body = job_body(step(1), times=2, **{field: value})
        if field in ("estimate_ms", "target_ms"):
            body = job_body(step(1, **{field: value}))
        with pytest.raises((InvalidField, Unreadable)):
            decode_job(body)

    @pytest.mark.parametrize(
        "field", ["cpu", "mem_mb", "gpu", "anti_affinity", "disruption_budget"]
    )
    @pytest.mark.parametrize("value", [2**53 + 1, 2**64 - 1, -1])
    def test_a_job_with_an_amount_out_of_range_is_refused(self, field: str, value: int):
        with pytest.raises((InvalidField, Unreadable)):
            decode_job(job_body(step(1, **{field: value})))

    def test_a_job_with_so_many_steps_that_planning_stalls_is_refused(self):
        for body in (job_body(*[{}] * 10_000), job_body(*[{}] * 100, times=1000)):
            with pytest.raises((InvalidField, Unreadable)):
                decode_job(body)

    @pytest.mark.parametrize(
        "odd", ["[" * 100_000, '{"steps":[{}],"x":%s}' % ("[" * 100_000), "1e999"]
    )
    def test_an_unreadable_job_is_refused(self, odd: str):
        with pytest.raises(Unreadable):
            decode_job(odd.encode())

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.dictionaries(st.sampled_from(sorted(STEP_FIELDS)), ODD_NUMBERS | st.booleans()),
        st.dictionaries(st.sampled_from(["times", "first_run_ms", "interval_ms"]), ODD_NUMBERS),
    )
    def test_any_accepted_job_lets_other_jobs_run(self, odd_step: dict, fields: dict):
        rig = CellRig(1, measures_pressure=True)
        with suppress(InvalidField, Unreadable):
            rig.submit(odd_step, job=job_id(1), **fields)
        rig.submit(step(1))
        started = {order.run.task.stage.job for _ in range(3) for order in rig.start_all()}
        assert JOB in started
        encode(rig.cell.claim("e", 1, 5, rig.now, "", rig.now))


def configuration(version: Any = 2, **fields: Any) -> bytes:
    route = {"name": "q", "host": "h", "service": "desk"}
    return json.dumps({"version": version, "routes": [route], **fields}).encode()


ODD_ROUTES = (
    5,
    {"priority": 2**63},
    {"attempts": -1},
    {"attempts": 2**63},
    {"slack_factor": 1e308},
    {"slack_factor": -1.0},
    {"target_latency_ms": 1e308},
    {"placement_advisor": {"decision_ms": 1e308}},
    {"placement_advisor": {"validity_ms": -1}},
    {"host": 5},
)
ODD_WORKSPACES = ({"weight": 1e308}, {"weight": "1e999"}, {"cap": {"cpu": 2**63}})


class TestConfigurations:
    @pytest.mark.parametrize(
        "odd",
        [
            configuration(2**63),
            configuration(-1),
            configuration(1e3),
            configuration(limits={"max_body_bytes": -1}),
            configuration(routes=5),
            configuration(more=0).replace(b"0}", b"[" * DEPTH + b"]" * DEPTH + b"}"),
        ],
    )
    def test_an_odd_version_leaves_the_last_one_in_force(self, odd: bytes):
        fold = QueueFold()
        for offset, value in enumerate((configuration(1), odd)):
            fold.apply(Record(offset, CONFIG_KEY, value))
        assert fold.version == 1
        fold.apply(Record(2, CONFIG_KEY, configuration(3)))
        assert fold.version == 3

    @pytest.mark.parametrize("odd", ODD_ROUTES)
    def test_an_odd_route_harms_no_other(self, odd: Any):
        odd = {"name": "odd", "host": "h", **odd} if isinstance(odd, dict) else odd
        found = decode_configuration(configuration(routes=[odd, {"name": "q", "host": "h"}]))
        assert [queue.name for queue in found.queues] == ["q"]

    @pytest.mark.parametrize("odd", ODD_WORKSPACES)
    def test_an_odd_workspace_harms_no_other(self, odd: dict):
        rows = [{"name": "a", "api_keys": ["k"], **odd}, {"name": "b", "api_keys": ["l"]}]
        found = decode_configuration(configuration(tenants=rows).replace(b'"1e999"', b"1e999"))
        assert [workspace.name for workspace in found.workspaces or ()] == ["b"]
