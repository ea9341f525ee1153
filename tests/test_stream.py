"""Tests of tailing, folding, group commit and snapshots of a stream."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.process import commits
from ragworttiller.process import stream as stream_module
from ragworttiller.process.append_budget import (
    INSTANCE_APPENDS_PER_SECOND,
    LOG_APPENDS_PER_SECOND,
    LOG_WRITERS,
    AppendBudget,
)
from ragworttiller.process.commits import (
    POST_AND_WAIT_DELAY_SECONDS,
    POST_DELAY_SECONDS,
    RETRY_DELAY_SECONDS,
)
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.snapshots import Retention, SnapshotWriter
from ragworttiller.process.stream import Stream
from ragworttiller.records import RECORD_CODEC, Intent
from ragworttiller.timers import ManualTimers, settle_tasks
from standins.memory import MemoryLog

pytestmark = pytest.mark.anyio

NAME = "s"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def intent(number):
    return Intent(f"r{number}", f"k{number}", f"t{number}", b"", "a", "up", 1.0)


class Rig:
    def __init__(self, tasks, keep=None):
        self.tasks = tasks
        self.timers = ManualTimers()
        self.log = MemoryLog(self.timers, keep)
        self.budget = AppendBudget(self.timers, 1000.0)
        self.results = {}

    async def open(self):
        stream = Stream(NAME, self.log, LedgerFold(), self.timers, self.budget, "a@1")
        self.tasks.start_soon(stream.run)
        await self.timers.advance(0.3)
        return stream

    def commit(self, stream, record, timeout=1.0):
        self.tasks.start_soon(self._commit, stream, record, timeout)

    async def _commit(self, stream, record, timeout):
        try:
            self.results[record.id] = await stream.commit(record, timeout)
        except (AppendUndecided, LogUnavailable) as exc:
            self.results[record.id] = exc


@asynccontextmanager
async def rig_of(keep=None):
    async with anyio.create_task_group() as tasks:
        yield Rig(tasks, keep)
        tasks.cancel_scope.cancel()


class TestCommit:
    async def test_first_copy_counts_when_a_record_is_appended_twice(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.log.duplicate = 1
            rig.commit(stream, intent(1))
            await rig.timers.advance(0.1)
            assert rig.results["r1"].verdict.valid and rig.results["r1"].offset == 1

    async def test_record_ids_differ_between_streams_of_one_process(self):
        async with rig_of() as rig:
            one, other = await rig.open(), await rig.open()
            assert one.record_id() != other.record_id()

    async def test_records_queued_during_an_append_share_the_next_one(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.log.append_delay = 0.01
            for number in range(50):
                rig.commit(stream, intent(number))
                if number == 0:
                    await settle_tasks()
            await rig.timers.advance(0.1)
            assert len(rig.results) == 50 and rig.log.appends == 2

    async def test_posted_records_share_an_append_with_awaited_ones(self):
        async with rig_of() as rig:
            stream = await rig.open()
            stream.post(intent(1))
            await rig.timers.advance(0.02)
            rig.commit(stream, intent(2))
            await settle_tasks()
            assert rig.log.appends == 1 and len(rig.results) == 1
            stream.post(intent(3))
            await rig.timers.advance(POST_DELAY_SECONDS + 0.05)
            assert rig.log.appends == 2 and stream.next_offset == 4

    async def test_awaited_posts_are_delayed_longer_than_other_posts(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.tasks.start_soon(stream.post_and_wait, intent(1))
            await rig.timers.advance(POST_DELAY_SECONDS + 0.05)
            assert rig.log.appends == 0
            stream.post(intent(2))
            await rig.timers.advance(POST_DELAY_SECONDS + 0.01)
            assert rig.log.appends == 1 and stream.next_offset == 3

    async def test_awaited_records_go_before_posted_ones_when_an_append_is_full(self, monkeypatch):
        monkeypatch.setattr(commits, "MAX_APPEND_BYTES", 1)
        async with rig_of() as rig:
            stream = await rig.open()
            for number in range(5):
                stream.post(intent(number))
            rig.commit(stream, intent(9))
            await rig.timers.advance(0.1)
            assert rig.results["r9"].offset == 1 and stream.next_offset == 7

    async def test_refused_append_fails_at_once_and_posted_records_are_kept(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.log.down = True
            stream.post(intent(1))
            for number in (2, 3):
                rig.commit(stream, intent(number))
                await settle_tasks()
                assert isinstance(rig.results[f"r{number}"], LogUnavailable)
            assert not stream.log_up
            rig.log.down = False
            await rig.timers.advance(1.0)
            assert stream.log_up and stream.next_offset == 2

    async def test_timed_out_commit_is_never_appended_later(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.log.append_delay = 5.0
            rig.commit(stream, intent(1))
            await settle_tasks()
            rig.commit(stream, intent(2))
            await rig.timers.advance(20.0)
            assert isinstance(rig.results["r2"], AppendUndecided)
            assert rig.log.records == 1

    async def test_post_and_wait_and_flush_retry_after_lost_answers(self):
        async with rig_of() as rig:
            stream = await rig.open()
            rig.log.hold_next = 2
            done = []

            async def _post_and_flush():
                done.append(await stream.post_and_wait(intent(1)))
                await stream.flush()
                done.append(None)

            rig.tasks.start_soon(_post_and_flush)
            again = POST_DELAY_SECONDS + RETRY_DELAY_SECONDS
            await rig.timers.advance(POST_AND_WAIT_DELAY_SECONDS + again)
            assert done == []
            await rig.timers.advance(again)
            assert len(done) == 2
            rig.log.release()
            await rig.timers.advance(1.0)
            assert len(stream.fold.licenses) == 1


class TestAppendBudget:
    async def test_all_instances_together_stay_within_the_limit_of_the_log(self):
        async with rig_of() as rig:
            rig.budget = AppendBudget(rig.timers)
            streams = [await rig.open() for _ in range(4)]
            before = rig.log.appends
            for tenth in range(100):
                for number, stream in enumerate(streams):
                    rig.commit(stream, intent(f"{tenth}-{number}"), timeout=30.0)
                await rig.timers.advance(0.1)
            used = rig.log.appends - before
            assert used == rig.budget.used
            assert used <= INSTANCE_APPENDS_PER_SECOND * 10.0 + 5
            assert INSTANCE_APPENDS_PER_SECOND * LOG_WRITERS <= LOG_APPENDS_PER_SECOND
            await rig.timers.advance(5.0)
            assert len(rig.results) == 400


class TestSnapshots:
    async def filled_stream(self, rig, count, snapshot_at):
        stream = await rig.open()
        for number in range(count):
            stream.post(intent(number))
            await rig.timers.advance(0.06)
            if number == snapshot_at:
                stream.post_snapshot()
        return stream

    async def test_reader_starts_from_the_snapshot_near_the_end(self, monkeypatch):
        monkeypatch.setattr(stream_module, "SNAPSHOT_SEARCH_RECORDS", 10)
        async with rig_of() as rig:
            writer = await self.filled_stream(rig, 60, 40)
            read = []
            process_entry = Stream._process_entry
            monkeypatch.setattr(
                Stream,
                "_process_entry",
                lambda self, offset, data: (read.append(offset), process_entry(self, offset, data)),
            )
            reader = await rig.open()
            assert reader.ready and reader.fold.dump() == writer.fold.dump()
            assert min(read) > 20

    async def test_reader_without_a_snapshot_folds_from_the_start(self, monkeypatch):
        monkeypatch.setattr(stream_module, "SNAPSHOT_SEARCH_RECORDS", 10)
        async with rig_of() as rig:
            writer = await self.filled_stream(rig, 60, None)
            reader = await rig.open()
            assert reader.ready and reader.fold.dump() == writer.fold.dump()

    async def test_reader_is_not_ready_when_records_it_needs_are_gone(self):
        async with rig_of(keep=20) as rig:
            writer = await self.filled_stream(rig, 30, None)
            reader = await rig.open()
            assert not reader.ready and reader.expired is not None
            writer.post_snapshot()
            await rig.timers.advance(0.3)
            assert reader.ready and reader.fold.dump() == writer.fold.dump()

    async def test_reader_that_falls_behind_the_retention_is_not_ready(self):
        async with rig_of(keep=20) as rig:
            stream = await self.filled_stream(rig, 5, None)
            rig.log.down = True
            await rig.timers.advance(6.0)
            records = [RECORD_CODEC.encode_one(intent(f"x{number}")) for number in range(40)]
            rig.log._apply_append(NAME, records)
            rig.log.down = False
            await rig.timers.advance(1.0)
            assert not stream.ready and stream.expired is not None

    @pytest.mark.parametrize("idle", [False, True])
    async def test_snapshot_is_written_before_a_needed_record_expires(self, idle):
        async with rig_of(keep=100) as rig:
            retention = Retention(100, 400.0)
            stream = await rig.open()
            rig.tasks.start_soon(SnapshotWriter(stream, rig.timers, retention).run)
            stream.post(intent("first"))
            for number in range(300):
                if not idle:
                    stream.post(intent(number))
                await rig.timers.advance(1.0)
                assert stream.next_offset - stream.snapshot_as_of < retention.records
            assert rig.log.records >= 3 + (0 if idle else 300)
            reader = await rig.open()
            assert reader.ready and reader.fold.dump() == stream.fold.dump()
