"""Tests of the group commit of appends to the platform's store."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import AppendFenced, AppendUndecided, LogUnavailable
from ragworttiller.platform.store import KeyedRecord, Producer
from ragworttiller.scheduling.records.group_commit import MAX_BATCH_BYTES, GroupCommit
from tests.store_rig import PARTITION, StoreRig, virtual, while_writing


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
    async def test_an_answer_that_cannot_be_read_is_asked_for_again(self):
        """Guards against the end of the writer, and with it of its entry, by odd answers."""
        rig = StoreRig()
        writer = rig.writer()
        request = rig.link.request

        async def answer_oddly(*exchange, **options):
            answer = await request(*exchange, **options)
            return answer._replace(body=b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}")

        async def body():
            rig.link.request = answer_oddly
            with pytest.raises(AppendUndecided):
                await writer.append([KeyedRecord("a", b"1")], 1.0)
            rig.link.request = request
            await writer.append([KeyedRecord("b", b"2")], 10.0)

        await while_writing(writer, body)
        assert rig.values() == {"a": b"1", "b": b"2"}
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
        # Of a length that the store accepts; five of them take half of a call.
        records = [KeyedRecord("k", b"x" * (MAX_BATCH_BYTES // 10))] * 5

        async def body():
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(writer.append, records, 5.0)

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
    async def test_an_append_in_a_full_queue_of_the_store_is_repeated_once_at_most(self):
        """Each repetition takes a place in the queue and delays all other writers."""
        rig = StoreRig()
        rig.service.queue_seconds[PARTITION.topic] = 2.2
        writer = rig.writer()
        calls: list[int] = []
        append = rig.store.append

        async def counted(*args, **options):
            calls.append(1)
            return await append(*args, **options)

        async def body():
            rig.store.append = counted
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.read_often, rig)
                await writer.append([KeyedRecord("a", b"1")], 4.0)
                tasks.cancel_scope.cancel()

        await while_writing(writer, body)
        assert len(calls) <= 2

    async def read_often(self, rig: StoreRig):
        while True:
            await rig.store.read(PARTITION, 0)
            await rig.timers.sleep(0.1)

    @virtual
    async def test_a_lost_answer_of_a_store_that_answers_other_calls_is_retried_soon(self):
        """All submissions of the entry wait for it."""
        rig = StoreRig()
        rig.link.silent_target = "log-append"
        writer = rig.writer()

        async def body():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.read_often, rig)
                tasks.start_soon(writer.append, [KeyedRecord("a", b"1")], 4.0)
                await rig.timers.sleep(0.5)
                rig.link.silent_target = ""
                await rig.timers.sleep(0.6)
                assert rig.values() == {"a": b"1"}
                tasks.cancel_scope.cancel()

        await while_writing(writer, body)

    @virtual
    async def test_an_append_is_refused_if_all_its_calls_were(self):
        rig = StoreRig()
        rig.service.down = True
        rig.service.answer_seconds = 1.2
        writer = rig.writer()

        async def body():
            with pytest.raises(LogUnavailable):
                await writer.append([KeyedRecord("a", b"1")], 3.0, retry_seconds=0.6)
            rig.service.down = False
            await rig.timers.sleep(10.0)

        await while_writing(writer, body)
        assert rig.values() == {}

    @virtual
    async def test_an_append_without_time_left_is_not_sent(self):
        rig = StoreRig()
        writer = rig.writer()

        async def body():
            with pytest.raises(LogUnavailable):
                await writer.append([KeyedRecord("a", b"1")], 0.0)
            await rig.timers.sleep(1.0)

        await while_writing(writer, body)
        assert rig.values() == {}

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
