"""Tests of progress that is longer than a record of the store may be."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworttiller.exceptions import AppendRefused, RecordTooLong
from ragworttiller.platform.store import KeyedRecord, Record
from ragworttiller.platform.store_records import record_size
from ragworttiller.resources import Resources
from ragworttiller.scheduling.records.formats import (
    JOBS,
    Crash,
    Loss,
    Progress,
    StageProgress,
)
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.job_records import JobRecords, batches
from ragworttiller.scheduling.records.progress_parts import part_key, progress_records
from ragworttiller.scheduling.records.retention import RETENTION_FACTOR, Retention
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import JOB, job_id, step
from tests.store_rig import StoreRig, virtual, while_writing

LIMIT = 2000
LONG_RECORD_BYTES = 4000
TASKS = st.integers(0, 5000)
CRASHES = st.lists(st.builds(Crash, st.text("w1", max_size=9), st.floats(0, 9), st.just("trial")))
LOSSES = st.lists(
    st.builds(Loss, st.text("w2", max_size=9), st.just("a:1"), st.floats(0, 9), st.just("beside"))
)
STAGES = st.builds(
    StageProgress,
    st.just(0),
    st.just(0),
    st.binary(min_size=1, max_size=600),
    st.dictionaries(TASKS, st.lists(st.integers(1, 2**40), max_size=20), max_size=40),
    st.dictionaries(TASKS, st.text("c", max_size=900), max_size=40),
    st.dictionaries(TASKS, CRASHES, max_size=20),
    st.dictionaries(TASKS, st.text("w", max_size=20), max_size=40),
    st.none() | st.dictionaries(TASKS, LOSSES, max_size=20),
    st.dictionaries(TASKS, st.text("a", max_size=20), max_size=40),
    st.none() | st.dictionaries(TASKS, st.text("w", max_size=20), max_size=99),
)


def long_progress(tasks: int, characters: int, state: str = "") -> Progress:
    checkpoints = dict.fromkeys(range(tasks), "c" * characters)
    return Progress(state, [StageProgress(0, 0, b"\1", {}, checkpoints)])


def folded(records: list[KeyedRecord], fold: JobFold | None = None, offset: int = 0) -> Progress:
    """Return the progress that a reader of records has."""
    fold = fold or JobFold()
    for position, record in enumerate(records, offset):
        fold.apply(Record(position, record.key, record.value))
    return fold.jobs[JOB].progress


class TestProgressRecords:
    def test_a_short_progress_is_one_record_as_before(self):
        (record,) = progress_records(JOB, long_progress(2, 10), LIMIT)
        assert record.key == JOB + "/progress"

    @settings(max_examples=60, deadline=None)
    @given(stages=st.lists(STAGES, max_size=4), state=st.sampled_from(("", "completed")))
    def test_no_record_is_too_long_and_their_reader_has_the_same_progress(self, stages, state):
        stages = [row._replace(step=number) for number, row in enumerate(stages)]
        progress = Progress(state, stages)
        records = progress_records(JOB, progress, LIMIT)
        assert max(map(record_size, records)) <= LIMIT
        for order in (records, sorted(records)):
            assert folded(order)._replace(parts=1) == progress

    def test_what_is_left_over_from_a_longer_progress_does_not_count(self):
        fold, records = JobFold(), progress_records(JOB, long_progress(9, 900), LIMIT)
        folded(records, fold)
        shorter = long_progress(1, 20)
        assert folded(progress_records(JOB, shorter, LIMIT), fold, len(records)) == shorter
        shorter = long_progress(3, 900)
        later = progress_records(JOB, shorter, LIMIT)
        assert folded(later, fold, 2 * len(records))._replace(parts=1) == shorter

    def test_a_value_that_cannot_be_divided_is_an_error_of_its_job(self):
        with pytest.raises(RecordTooLong):
            progress_records(JOB, long_progress(1, LIMIT), LIMIT)

    @pytest.mark.parametrize("key", ["/progress/x", "/progress/0", "/progress/-1", "/progress/"])
    def test_a_part_with_an_odd_number_is_skipped(self, key: str):
        fold = JobFold()
        folded(progress_records(JOB, long_progress(1, 9), LIMIT), fold)
        fold.apply(Record(5, JOB + key, b"\x90"))
        assert fold.jobs[JOB].progress == long_progress(1, 9)

    def test_all_parts_of_an_ended_job_are_dropped(self):
        fold = JobFold()
        records = progress_records(JOB, long_progress(9, 900, "failed"), LIMIT)
        folded(records, fold)
        retention = Retention(fold, 10.0)
        assert retention.expired(0.0) == []
        dropped = retention.expired(10.0 * RETENTION_FACTOR + 1)
        assert {record.key for record in records} < set(dropped)


class TestBatches:
    def test_jobs_share_appends_up_to_the_limit(self):
        record = KeyedRecord("k", b"x" * 400)
        rows = [JobRecords(str(number), [record]) for number in range(7)]
        found = list(batches(rows, 1000))
        assert [len(batch) for batch in found] == [2, 2, 2, 1]

    def test_a_long_job_is_divided_in_order(self):
        records = [KeyedRecord(str(number), b"x" * 400) for number in range(5)]
        found = list(batches([JobRecords("j", records)], 1000))
        assert [record for batch in found for row in batch for record in row.records] == records
        assert all(sum(row.size for row in batch) <= 1000 for batch in found)


class TestRefusedAppends:
    @virtual
    async def test_a_refused_record_harms_no_other_of_its_call(self):
        """Guards against appends that are all repeated for ever since one of them is refused."""
        rig = StoreRig()
        rig.service.record_bytes = 100
        writer, refused = rig.writer(), []

        async def append(key: str, size: int):
            try:
                await writer.append([KeyedRecord(key, b"x" * size)], 5.0)
            except AppendRefused:
                refused.append(key)

        async def body():
            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(append, str(number), 200 if number == 3 else 20)
            await append("6", 20)

        await while_writing(writer, body)
        assert refused == ["3"]
        assert sorted(rig.values()) == ["0", "1", "2", "4", "5", "6"]
        assert rig.link.traffic.calls <= 10


class TestLongProgress:
    @pytest.mark.parametrize("told", [True, False], ids=["limit known", "limit unknown"])
    def test_the_progress_of_other_jobs_is_stored_beside_a_long_one(self, told: bool):
        """Guards against a cell that stands still since one job's progress is long (review/8)."""
        entries, tasks, other = ("e1", "e2", "e3"), 40, job_id(2)

        async def body(rig: OwnersRig):
            rig.store.record_bytes = LONG_RECORD_BYTES
            if told:
                rig.store_limits = rig.store_limits._replace(record_bytes=LONG_RECORD_BYTES)
            rig.saves = lambda task: "c" * 300 if task.startswith(JOB) else ""
            rig.work_by_job[JOB] = 1000.0
            rig.sizes = {JOB: Resources(300, 100, 0), other: Resources(100, 100, 0)}
            await start_entries(rig, entries)
            await rig.submit(JOB, step(tasks, 300, daemon=True, checkpoints=True))
            await rig.timers.sleep(3.0)
            for name in entries:
                rig.kill(name)
            await rig.timers.sleep(9.0)
            for name in entries:
                rig.add_entry(name)
            await rig.timers.sleep(20.0)
            await rig.submit(other, step(1, 100))
            await rig.wait_completed(other, within=5.0)
            running = {task for boot in rig.runners.values() for task in boot.running}
            if told:
                assert len([task for task in running if task.startswith(JOB)]) == tasks
                assert part_key(JOB, 1) in rig.store.partition(JOBS.topic).newest()
            assert not rig.monitor.violations

        with_rig(body, runners=6)
