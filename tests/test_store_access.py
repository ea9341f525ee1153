"""Tests of access to the platform's store: feeds, appends, and the encoding of records."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import msgspec
import pytest

from ragworttiller.exceptions import (
    AppendConflict,
    AppendFenced,
    AppendUndecided,
    LogUnavailable,
    Unreadable,
)
from ragworttiller.platform.channel import Answer
from ragworttiller.platform.listing import decode_entry
from ragworttiller.platform.names import is_job_id, task_id
from ragworttiller.platform.store import KeyedRecord, Partition, Producer, Record, Store
from ragworttiller.platform.submissions import decode_job
from ragworttiller.scheduling.records.feed import Feed, Fold
from ragworttiller.scheduling.records.formats import (
    Accepted,
    Claim,
    EntryRecord,
    Progress,
    StageProgress,
    Withdrawn,
    decode,
    encode,
)
from ragworttiller.scheduling.records.group_commit import MAX_BATCH_BYTES, GroupCommit
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.retention import Retention
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.scheduling_rig import JOB, QUEUE, job_body, step

PARTITION = Partition("keyed.things")


class RecordingFold(Fold):
    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.applied: list[int] = []

    def apply(self, record: Record):
        self.applied.append(record.offset)
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)


class StoreRig:
    """A store, a link to it and a client."""

    def __init__(self, page: int = 500):
        self.timers = LoopTimers()
        self.service = StoreService(self.timers, page)
        self.link = Link(self.service, self.timers)
        self.store = Store("", 1.0, self.link)
        self.recording = RecordingFold()

    def feed(self, **options) -> Feed:
        return Feed(self.store, PARTITION, self.recording, self.timers, **options)

    def writer(self, epoch: int = 1, **options) -> GroupCommit:
        return GroupCommit(self.store, PARTITION, Producer("p", epoch), self.timers, **options)

    def values(self) -> dict[str, bytes]:
        return {k: v for k, (_, v) in self.service.partition(PARTITION.topic).newest().items()}


def virtual(test: Callable[[], Awaitable[None]]):
    """Run an async test on virtual time."""

    def run(*args):
        run_virtual(test, *args)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def while_writing(writer: GroupCommit, body: Callable[[], Awaitable[None]]) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        await body()
        tasks.cancel_scope.cancel()


class FixedAnswer:
    """Channels on which every exchange has the same answer."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer

    async def request(self, *exchange: object, **options: object) -> Answer:
        return self.answer


class TestAppendStatuses:
    def append(self, status: int, body: bytes) -> None:
        store = Store("", 1.0, FixedAnswer(Answer(status, [], body)))
        anyio.run(store.append, PARTITION, [KeyedRecord("k", b"1")])

    @pytest.mark.parametrize("body", [b"", b"{}", b'{"error": "upstream failed"}'])
    @pytest.mark.parametrize("status", [202, 302, 500, 502, 504])
    def test_an_error_of_the_server_does_not_prove_that_nothing_was_appended(self, status, body):
        with pytest.raises(AppendUndecided):
            self.append(status, body)

    @pytest.mark.parametrize("status", [400, 404, 413, 429, 503, 507])
    def test_a_refusal_is_final(self, status):
        with pytest.raises(LogUnavailable):
            self.append(status, b"{}")


class TestStore:
    @virtual
    async def test_an_append_without_producer_is_never_a_retry(self):
        """The second of two claims must not count as a retry of the first."""
        rig = StoreRig()
        await rig.store.append(PARTITION, [KeyedRecord("k", b"1")], at=0)
        with pytest.raises(AppendConflict):
            await rig.store.append(PARTITION, [KeyedRecord("k", b"2")], at=0)

    @virtual
    async def test_a_lost_answer_is_undecided_and_a_refusal_is_not(self):
        rig = StoreRig()
        rig.link.lose_next = 1
        with pytest.raises(AppendUndecided):
            await rig.store.append(PARTITION, [KeyedRecord("k", b"1")])
        rig.service.down = True
        with pytest.raises(LogUnavailable):
            await rig.store.append(PARTITION, [KeyedRecord("k", b"2")])
        rig.service.down, rig.link.refused = False, True
        with pytest.raises(LogUnavailable):
            await rig.store.append(PARTITION, [KeyedRecord("k", b"3")])
        assert rig.values() == {"k": b"1"}

    @virtual
    async def test_an_unreadable_record_does_not_affect_others(self):
        rig = StoreRig()
        partition = rig.service.partition(PARTITION.topic)
        partition.records.append(b"\xff\x01")
        rig.service.put(PARTITION.topic, "k", b"1")
        found = await rig.store.read(PARTITION, 0)
        assert [record.key for record in found.records] == ["", "k"]

    @virtual
    async def test_a_read_with_an_invalid_answer_failed(self):
        rig = StoreRig()
        statuses = [200, 410]

        async def invalid(*args: object, **options: object) -> Answer:
            return Answer(statuses[0], [], b"{")

        rig.link.request = invalid
        while statuses:
            with pytest.raises(LogUnavailable) as caught:
                await rig.store.read(PARTITION, 0)
            assert caught.value.fields["stream"] == str(PARTITION)
            statuses.pop(0)

    @virtual
    async def test_long_polls_are_answered_when_the_stand_in_closes(self):
        rig = StoreRig()
        start = rig.timers.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.store.read, PARTITION, 0, 5.0)
            await rig.timers.sleep(0.1)
            rig.service.close()
        assert rig.timers.now() - start < 0.2


class TestGroupCommit:
    @virtual
    async def test_an_append_whose_answer_was_lost_is_retried(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            rig.link.lose_next = 2
            await writer.append([KeyedRecord("a", b"1")], 10.0)
            await writer.append([KeyedRecord("b", b"2")], 10.0)

        await while_writing(writer, body)
        assert len(rig.service.partition(PARTITION.topic).records) == 2

    @virtual
    async def test_queued_appends_share_calls(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            async with anyio.create_task_group() as tasks:
                for n in range(20):
                    tasks.start_soon(writer.append, [KeyedRecord(str(n), b"1")], 5.0)

        await while_writing(writer, body)
        assert len(rig.values()) == 20
        assert rig.link.traffic.calls <= 2

    @virtual
    async def test_a_call_holds_no_more_than_its_limit_of_bytes(self):
        rig = StoreRig()
        writer = rig.writer()
        record = KeyedRecord("k", b"x" * (MAX_BATCH_BYTES // 2))

        async def body():
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(writer.append, [record], 5.0)

        await while_writing(writer, body)
        assert rig.link.traffic.calls == 3

    @virtual
    async def test_a_fenced_writer_ends(self):
        rig = StoreRig()
        old, new = rig.writer(1), rig.writer(2)

        async def body():
            await new.append([KeyedRecord("a", b"1")], 5.0)

        await while_writing(new, body)
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(old.run)
                with pytest.raises(AppendFenced):
                    await old.append([KeyedRecord("b", b"1")], 5.0)

    @virtual
    async def test_a_refused_append_is_not_stored_later(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            rig.service.down = True
            with pytest.raises(LogUnavailable):
                await writer.append([KeyedRecord("a", b"1")], 1.0)
            rig.service.down = False
            await rig.timers.sleep(20.0)

        await while_writing(writer, body)
        assert rig.values() == {}

    @virtual
    async def test_an_undecided_append_is_never_reported_as_refused(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            rig.link.lose_next = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(down_after_loss)
                with pytest.raises(AppendUndecided):
                    await writer.append([KeyedRecord("a", b"1")], 3.0)

        async def down_after_loss():
            await rig.timers.sleep(0.5)
            rig.service.down = True

        await while_writing(writer, body)
        assert rig.values() == {"a": b"1"}

    @virtual
    async def test_an_append_that_was_not_sent_is_refused(self):
        rig = StoreRig()
        writer = rig.writer()
        refusals: list[bool] = []

        async def second():
            await rig.timers.sleep(0.1)
            with pytest.raises(LogUnavailable):
                await writer.append([KeyedRecord("b", b"1")], 1.0)
            refusals.append(True)

        async def body():
            rig.link.cut = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(second)
                with pytest.raises(AppendUndecided):
                    await writer.append([KeyedRecord("a", b"1")], 2.5)
            rig.link.cut = False
            await rig.timers.sleep(5.0)

        await while_writing(writer, body)
        assert refusals == [True]
        assert rig.values() == {"a": b"1"}

    @virtual
    async def test_all_writers_of_a_slow_store_succeed(self):
        """Retries at a fixed interval of a second would grow the queue of the store forever."""
        rig = StoreRig()
        rig.service.write_seconds = 0.25
        writers = [
            GroupCommit(rig.store, PARTITION, Producer(f"p{n}", 1), rig.timers) for n in range(12)
        ]
        async with anyio.create_task_group() as tasks:
            for writer in writers:
                tasks.start_soon(writer.run)
            async with anyio.create_task_group() as appends:
                for number, writer in enumerate(writers):
                    appends.start_soon(writer.append, [KeyedRecord(str(number), b"1")], 6.0)
            tasks.cancel_scope.cancel()
        assert len(rig.values()) == 12

    @virtual
    async def test_a_lost_answer_is_retried_before_the_first_call_times_out(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            rig.link.lose_next = 1
            start = rig.timers.now()
            await writer.append([KeyedRecord("a", b"1")], 10.0)
            assert rig.timers.now() - start < 1.2

        await while_writing(writer, body)

    @virtual
    async def test_an_unresponsive_store_is_retried_each_second(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            rig.link.cut = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.append, [KeyedRecord("a", b"1")], 20.0)
                await rig.timers.sleep(3.7)
                rig.link.cut = False
                await rig.timers.sleep(1.0)
                assert rig.values() == {"a": b"1"}

        await while_writing(writer, body)

    @virtual
    async def test_the_duration_of_the_last_append_expires(self):
        rig = StoreRig()
        rig.service.write_seconds = 0.4
        writer = rig.writer()

        async def body():
            await writer.append([KeyedRecord("a", b"1")], 10.0)
            assert writer.last_append_seconds == pytest.approx(0.4, abs=0.05)
            await rig.timers.sleep(11.0)
            assert writer.last_append_seconds == 0.0

        await while_writing(writer, body)

    @virtual
    async def test_a_higher_epoch_fences_a_writer(self):
        rig = StoreRig()
        old = rig.writer(1)

        async def body():
            await old.append([KeyedRecord("a", b"1")], 1.0)
            await rig.store.append(PARTITION, [], Producer("p", 2))
            for _ in range(2):
                with pytest.raises(AppendFenced):
                    await old.append([KeyedRecord("a", b"2")], 1.0)

        await while_writing(old, body)
        assert rig.values() == {"a": b"1"}

    @virtual
    async def test_a_broken_sequence_is_corrected(self):
        rig = StoreRig()
        writer = rig.writer(first_sequence=7)

        async def body():
            await rig.store.append(PARTITION, [KeyedRecord("a", b"1")], Producer("p", 1), 0)
            await writer.append([KeyedRecord("b", b"1")], 2.0)

        await while_writing(writer, body)
        assert set(rig.values()) == {"a", "b"}


class TestFeed:
    async def run_feed(self, rig: StoreRig, feed: Feed, body: Callable[[], Awaitable[None]]):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            await body()
            await rig.timers.sleep(1.0)
            tasks.cancel_scope.cancel()

    @virtual
    async def test_records_arrive_once_and_in_order(self):
        rig = StoreRig()
        feed = rig.feed()

        async def body():
            for n in range(5):
                rig.service.put(PARTITION.topic, f"k{n}", b"%d" % n)
                await rig.timers.sleep(0.1)
                await feed.catch_up()

        await TestFeed().run_feed(rig, feed, body)
        assert rig.recording.applied == sorted(set(rig.recording.applied))
        assert len(rig.recording.values) == 5

    @virtual
    async def test_expired_records_are_replaced_by_the_newest(self):
        rig = StoreRig(page=2)
        feed = rig.feed()

        async def body():
            for n in range(7):
                rig.service.put(PARTITION.topic, f"k{n}", b"old")
            await rig.timers.sleep(0.5)
            rig.service.down = True
            await rig.timers.sleep(0.5)
            rig.service.put(PARTITION.topic, "k3", b"new")
            rig.service.put(PARTITION.topic, "k4", b"")
            rig.service.expire(PARTITION.topic)
            rig.service.down = False
            await rig.timers.sleep(12.0)

        await TestFeed().run_feed(rig, feed, body)
        assert rig.recording.values["k3"] == b"new"
        assert "k4" not in rig.recording.values
        assert len(rig.recording.values) == 6

    @virtual
    async def test_no_page_is_applied_before_the_last_one_was_read(self):
        rig = StoreRig(page=2)
        feed = rig.feed()
        for n in range(5):
            rig.service.put(PARTITION.topic, f"k{n}", b"v")
        rig.link.silent_target = "after=k1"
        with pytest.raises(LogUnavailable):
            await feed.catch_up()
        assert rig.recording.values == {}
        rig.link.silent_target = ""
        await feed.catch_up()
        assert len(rig.recording.values) == 5

    @virtual
    async def test_an_unresponsive_connection_is_abandoned_in_time(self):
        """A configuration has to be in force within 2 s, and 3 s after a connection went silent."""
        rig = StoreRig()
        feed = rig.feed()
        seen_after: list[float] = []

        async def body():
            await rig.timers.sleep(5.0)
            rig.link.silent_next = 1
            rig.service.put(PARTITION.topic, "wake", b"1")
            start = rig.timers.now()
            await rig.timers.sleep(0.2)
            rig.service.put(PARTITION.topic, "k", b"1")
            while "k" not in rig.recording.values:
                await rig.timers.sleep(0.05)
            seen_after.append(rig.timers.now() - start)

        await TestFeed().run_feed(rig, feed, body)
        assert seen_after[0] < 5.0

    @virtual
    async def test_records_that_fit_one_answer_are_caught_up_with_in_one_read(self):
        """Each read of a slow store delays a takeover."""
        rig = StoreRig()
        feed = rig.feed()
        await feed.catch_up()
        rig.service.put(PARTITION.topic, "k", b"1")
        reads: list[int] = []
        read = rig.store.read

        async def counted(partition: Partition, offset: int, wait: float = 0.0):
            reads.append(offset)
            return await read(partition, offset, wait)

        rig.store.read = counted
        await feed.catch_up()
        assert rig.recording.values == {"k": b"1"}
        assert len(reads) == 1

    @virtual
    async def test_an_older_record_does_not_replace_a_newer_one(self):
        """Pages are no snapshot: a page may have records that are read again from the log later."""
        rig = StoreRig()
        feed = rig.feed()
        await feed.catch_up()
        feed._apply(Record(5, "k", b"new"))
        feed._apply(Record(4, "k", b"old"))
        assert rig.recording.values == {"k": b"new"}

    @virtual
    async def test_a_slow_read_does_not_restore_a_deleted_key(self):
        rig = StoreRig()
        feed = rig.feed()
        await feed.catch_up()
        slow = Link(rig.service, rig.timers)
        rig.service.put(PARTITION.topic, "k", b"1")
        stale = await Store("", 1.0, slow).read(PARTITION, 0)

        async def old_read(partition: Partition, offset: int, wait: float = 0.0):
            rig.store.read = read
            rig.service.put(PARTITION.topic, "k", b"")
            await feed.catch_up()
            return stale

        read, rig.store.read = rig.store.read, old_read
        await feed.catch_up()
        assert rig.recording.values == {}

    @virtual
    async def test_an_empty_poll_is_reported_only_when_the_store_answers(self):
        rig = StoreRig()
        empty_polls: list[float] = []
        feed = rig.feed(
            poll_seconds=2.0, on_empty_poll=lambda: empty_polls.append(rig.timers.now())
        )

        async def body():
            start = rig.timers.now()
            rig.service.down = True
            await rig.timers.sleep(5.0)
            assert empty_polls == []
            rig.service.down = False
            await rig.timers.sleep(2.8)
            assert len(empty_polls) == 1
            assert empty_polls[0] > start + 6.9

        await TestFeed().run_feed(rig, feed, body)


class TestRetention:
    def test_ended_jobs_are_dropped_after_a_while_and_open_ones_never(self):
        fold = JobFold()
        accepted = encode(Accepted(QUEUE, decode_job(job_body(step(1))), 0.0))
        fold.apply(Record(1, JOB, accepted))
        fold.apply(Record(2, "00000000000000bb", accepted))
        fold.apply(Record(3, f"{JOB}/progress", encode(Progress("completed", []))))
        retention = Retention(fold, status_seconds=10.0)
        assert retention.expired(0.0) == []
        assert retention.expired(49.0) == []
        keys = retention.expired(51.0)
        assert keys == [JOB, f"{JOB}/progress", f"{JOB}/cancel"]
        for offset, key in enumerate(keys):
            fold.apply(Record(10 + offset, key, b""))
        assert list(fold.jobs) == ["00000000000000bb"]
        assert retention.expired(1000.0) == []


class TestLaterRecords:
    """Entries of two versions may run at the same time: fields are added only at the end."""

    def encode_later(self, record: NamedTuple) -> bytes:
        """Return a record as a later version may write it, with one more field at each level."""

        def with_new_fields(value):
            if isinstance(value, tuple) and hasattr(value, "_fields"):
                return [*(with_new_fields(item) for item in value), "new"]
            if isinstance(value, list | tuple):
                return [with_new_fields(item) for item in value]
            if isinstance(value, dict):
                return {key: with_new_fields(item) for key, item in value.items()}
            return value

        return msgspec.msgpack.encode(with_new_fields(record))

    @pytest.mark.parametrize(
        "record",
        [
            Accepted(QUEUE, decode_job(job_body(step(2), step(1, after=[0]))), 1.0),
            Progress("", [StageProgress(0, 0, b"\x01", {1: [3]}, {1: "c"})]),
            Claim("e", 1, 2, 3, ["w1"], [Withdrawn("w2", ["t"], True)], {"q": 1}),
            EntryRecord("10.0.0.1:1", 1, 0.5),
        ],
    )
    def test_unknown_fields_are_ignored(self, record: NamedTuple):
        assert decode(self.encode_later(record), type(record)) == record

    def test_missing_later_fields_have_defaults(self):
        assert decode(msgspec.msgpack.encode(["a:1", 7]), EntryRecord) == EntryRecord("a:1", 7)

    @pytest.mark.parametrize("value", [b"", b"\x00", b"\xff\xff", msgspec.msgpack.encode([1])])
    def test_other_bytes_are_unreadable(self, value: bytes):
        with pytest.raises(Unreadable):
            decode(value, Claim)


class TestDecoding:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            b"[]",
            b'{"steps":[]}',
            job_body(step(0)),
            job_body(step(1, -5)),
            job_body(step(1, after=[0])),
            job_body(step(1), step(1, after=[2])),
            job_body(step(1), spec="x" * 5000),
            job_body(step(10**9)),
            job_body(step(1), times=10**9),
        ],
    )
    def test_malformed_jobs_raise_a_typed_error(self, body: bytes):
        with pytest.raises(Exception) as caught:
            decode_job(body)
        assert caught.value.status == 400
        assert caught.value.ran == "not_run"

    def test_a_job_keeps_its_fields(self):
        job = decode_job(job_body(step(3, gang=True, requires="b"), times=4, interval_ms=500))
        assert job.times == 4
        assert job.occurrences.due(2) == 1.0
        assert job.steps[0].gang
        assert job.steps[0].label == "b"

    @pytest.mark.parametrize(
        "text", ["", "x.0.0.0", f"{JOB}.0.0", f"{JOB}.0.0.-1", f"{JOB}.0.0.0.0"]
    )
    def test_malformed_task_names_are_refused(self, text: str):
        with pytest.raises(Unreadable):
            task_id(text)

    def test_a_task_has_one_name(self):
        assert str(task_id(f"{JOB}.3.2.17")) == f"{JOB}.3.2.17"
        assert not is_job_id(JOB + "0")

    @pytest.mark.parametrize("value", [b"", b"\x00", b"{}", b'{"version":"x"}'])
    def test_an_unreadable_configuration_is_ignored(self, value: bytes):
        fold = QueueFold()
        fold.apply(Record(1, "config", b'{"version":3,"routes":[]}'))
        fold.apply(Record(2, "config", value))
        assert fold.current.version == 3

    def test_an_older_configuration_is_ignored(self):
        fold = QueueFold()
        for version in (3, 2):
            fold.apply(Record(version, "config", json.dumps({"version": version}).encode()))
        assert fold.current.version == 3

    def test_the_longest_prefix_wins(self):
        routes = [
            {"name": "a", "host": "h", "path_prefix": "/a/", "service": "s"},
            {"name": "b", "host": "h", "path_prefix": "/a/b/", "service": "s"},
        ]
        fold = QueueFold()
        fold.adopt(json.dumps({"version": 1, "routes": routes}).encode())
        assert fold.find("h", "/a/b/c").name == "b"
        assert fold.find("h", "/a/x").name == "a"

    def test_unreadable_runner_records_are_ignored(self):
        fold = RunnerFold()
        fold.apply(Record(1, "w1", b"\xff\xff"))
        fold.apply(Record(2, "w2", b'{"address":"a:1","labels":["x"]}'))
        assert list(fold.entries) == ["w2"]
        assert decode_entry("w2", b'{"address":"a:1","state":"draining"}').draining

    def test_unreadable_job_records_are_ignored(self):
        fold = JobFold()
        for key in (JOB, f"{JOB}/progress", f"{JOB}/other", "x", ""):
            fold.apply(Record(1, key, b"\xc1"))
        assert fold.get(JOB) is None
