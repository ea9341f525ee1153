"""Tests of the answers of an entry to callers."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import (
    AppendRefused,
    JobUnknown,
    NotReady,
    QueueUnknown,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
    Unreadable,
)
from ragworttiller.scheduling.records.formats import (
    JOBS,
    PROGRESS_SUFFIX,
    Claim,
    JobState,
    Progress,
    encode,
)
from ragworttiller.scheduling.records.queue_fold import QueueFold
from tests.entry_rig import BODY, EntryRig, with_entry
from tests.scheduling_rig import JOB, QUEUE, job_id


class TestSubmissions:
    def test_an_accepted_job_is_stored_and_shown(self):
        async def body(rig: EntryRig):
            assert (await rig.call("POST")).status == 200
            assert rig.stored() == [JOB]
            assert (await rig.call("GET")).body == b'{"state":"queued"}'

        with_entry(body)

    def test_the_same_job_is_stored_once(self):
        async def body(rig: EntryRig):
            for _ in range(3):
                await rig.call("POST")
                await rig.timers.sleep(1.0)
            assert len(rig.service.partition(JOBS.topic).records) == 1

        with_entry(body)

    def test_a_refused_job_is_never_stored(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            with pytest.raises(StoreDown) as caught:
                await rig.call("POST")
            assert caught.value.status == 503
            assert caught.value.retry_after is not None
            rig.service.down = False
            await rig.timers.sleep(30.0)
            assert rig.stored() == []

        with_entry(body)

    def test_a_job_that_the_store_never_accepts_is_refused_at_once_and_for_good(self):
        """Guards against callers who come back for a job that cannot be stored."""

        async def body(rig: EntryRig):
            rig.service.record_bytes = 100
            started_at = rig.timers.now()
            with pytest.raises(AppendRefused):
                await rig.call("POST")
            assert rig.timers.now() - started_at < 0.1
            assert rig.stored() == []

        with_entry(body)

    def test_retry_after_grows_with_the_duration_of_an_outage(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            delays: list[float] = []
            for _ in range(6):
                with pytest.raises(StoreDown) as caught:
                    await rig.call("POST", timeout=0.5)
                delays.append(caught.value.retry_after)
                await rig.timers.sleep(0.5)
            assert delays == sorted(delays)
            assert delays[0] == 1.0
            assert 2.0 < delays[-1] <= 4.0

        with_entry(body)

    def test_an_unknown_outcome_is_not_reported_as_a_refusal(self):
        async def body(rig: EntryRig):
            rig.link.lose_next = 100
            with pytest.raises(SubmissionUndecided) as caught:
                await rig.call("POST")
            assert caught.value.status == 504

        with_entry(body)

    def test_callers_do_not_wait_behind_an_append_without_result(self):
        async def body(rig: EntryRig):
            rig.link.cut = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.submit_undecided, rig)
                await rig.timers.sleep(1.0)
                start = rig.timers.now()
                with pytest.raises(StoreDown):
                    await rig.call("POST", "00000000000000bb")
                assert rig.timers.now() - start < 0.01

        with_entry(body)

    def test_one_refusal_by_a_slow_store_does_not_refuse_other_submissions(self):
        async def body(rig: EntryRig):
            rig.service.answer_seconds = 0.3
            await rig.call("POST")
            rig.service.down = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.call, "POST", job_id(1))
                await rig.timers.sleep(0.35)
                tasks.start_soon(rig.call, "POST", job_id(2))
                await rig.timers.sleep(0.3)
                rig.service.down = False
            assert len(rig.stored()) == 3

        with_entry(body)

    def test_submissions_behind_an_append_that_may_end_in_time_are_not_refused(self):
        """The store answers other calls, so the append in flight is late but not lost."""

        async def body(rig: EntryRig):
            rig.service.queue_seconds[JOBS.topic] = 1.5
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.call, "POST")
                await rig.timers.sleep(1.0)
                rig.service.queue_seconds.clear()
                await rig.feed.catch_up()
                assert (await rig.call("POST", job_id(2))).status == 200

        with_entry(body)

    @pytest.mark.parametrize(("timeout", "held"), [(1.7, 0.0), (2.4, 0.6)])
    def test_a_queued_submission_is_refused_once_no_answer_can_come_in_time(
        self, timeout: float, held: float
    ):
        async def body(rig: EntryRig):
            rig.service.queue_seconds[JOBS.topic] = 1.8
            await rig.call("POST", timeout=3.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.call, "POST", job_id(1), BODY, 3.0)
                await rig.timers.sleep(0.1)
                start = rig.timers.now()
                with pytest.raises(StoreDown):
                    await rig.call("POST", job_id(2), timeout=timeout)
                assert rig.timers.now() - start == pytest.approx(held, abs=0.05)

        with_entry(body)

    async def submit_undecided(self, rig: EntryRig):
        with pytest.raises(SubmissionUndecided):
            await rig.call("POST")

    def test_malformed_jobs_are_refused_and_not_stored(self):
        async def body(rig: EntryRig):
            with pytest.raises(Unreadable):
                await rig.call("POST", body=b"{")
            assert rig.stored() == []

        with_entry(body)

    def test_other_paths_have_no_queue(self):
        async def body(rig: EntryRig):
            for method, path in (("POST", "short"), ("PUT", JOB), ("DELETE", "")):
                with pytest.raises(QueueUnknown):
                    await rig.call(method, path)

        with_entry(body)

    def test_requests_are_refused_before_there_is_a_configuration(self):
        async def body(rig: EntryRig):
            rig.acceptance._config = QueueFold()
            assert rig.acceptance.max_body > len(BODY)
            with pytest.raises(NotReady) as caught:
                await rig.call("POST")
            assert caught.value.status == 503

        with_entry(body)


class TestStates:
    def test_an_unknown_job_is_looked_up_in_the_store(self):
        async def body(rig: EntryRig):
            other = EntryRig(rig.service, rig.timers)
            await other.feed.catch_up()
            await rig.call("POST")
            assert (await other.call("GET")).body == b'{"state":"queued"}'
            with pytest.raises(JobUnknown):
                await other.call("GET", "00000000000000bb")

        with_entry(body)

    def test_a_job_is_never_reported_as_unknown_without_the_store(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            with pytest.raises(StateUnknown):
                await rig.call("GET", "00000000000000bb")

        with_entry(body)

    def test_a_cancelled_job_stays_cancelled(self):
        async def body(rig: EntryRig):
            await rig.call("POST")
            assert (await rig.call("DELETE")).status == 200
            await rig.timers.sleep(0.5)
            await rig.call("POST")
            assert (await rig.call("GET")).body == b'{"state":"cancelled"}'

        with_entry(body)

    def test_a_cancellation_before_the_submission_takes_effect(self):
        async def body(rig: EntryRig):
            with pytest.raises(JobUnknown):
                await rig.call("DELETE")
            await rig.call("POST")
            await rig.timers.sleep(0.5)
            assert rig.jobs.jobs[JOB].open is False

        with_entry(body)

    def test_jobs_that_the_owner_has_not_counted_are_pending(self):
        async def body(rig: EntryRig):
            for number in range(3):
                await rig.call("POST", job_id(number))
            await rig.timers.sleep(0.5)
            assert (await rig.call("GET", "")).body == b'{"pending":3}'
            counts = {f"{QUEUE.host} {QUEUE.prefix}": 1}
            rig.claims.claim = Claim("e", 1, 1, 2, [], [], counts)
            assert (await rig.call("GET", "")).body == b'{"pending":2}'

        with_entry(body)

    def test_ended_jobs_make_the_count_of_pending_jobs_no_slower(self):
        async def body(rig: EntryRig):
            for number in range(5):
                await rig.call("POST", job_id(number))
            await rig.call("DELETE", job_id(0))
            ended = encode(Progress(JobState.COMPLETED, []))
            rig.service.put(JOBS.topic, job_id(1) + PROGRESS_SUFFIX, ended)
            rig.service.put(JOBS.topic, job_id(2), b"")
            await rig.timers.sleep(0.5)
            assert list(rig.jobs.open_jobs) == [job_id(3), job_id(4)]
            rig.jobs.jobs = {}
            assert (await rig.call("GET", "")).body == b'{"pending":2}'

        with_entry(body)
