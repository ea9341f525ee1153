"""Tests of the answers of an entry to callers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio
import pytest

from ragworttiller.exceptions import (
    JobUnknown,
    NotReady,
    PeerUnreachable,
    QueueUnknown,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
    Unreadable,
)
from ragworttiller.platform.store import Producer, Store
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.callers import (
    CallerReply,
    CallerRequest,
    LocalCallers,
    RelayingCallers,
)
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS, Claim
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.scheduling_rig import JOB, QUEUE, job_body, step

BODY = job_body(step(2))


def configuration(version: int, prefix: str = QUEUE.prefix) -> bytes:
    route = {"name": "q", "host": QUEUE.host, "path_prefix": prefix, "service": "desk"}
    return json.dumps({"version": version, "routes": [route]}).encode()


class EntryRig:
    """The parts of one entry that answer callers, with a store."""

    def __init__(self, store: StoreService | None = None, timers: LoopTimers | None = None):
        self.timers = timers or LoopTimers()
        self.service = store or StoreService(self.timers)
        self.link = Link(self.service, self.timers)
        client = Store("", 1.0, self.link)
        self.jobs = JobFold()
        self.feed = Feed(client, JOBS, self.jobs, self.timers)
        self.config = QueueFold()
        self.config.adopt(configuration(1))
        self.claims = ClaimFold()
        self.writer = GroupCommit(client, JOBS, Producer("e", 1), self.timers, exclusive=True)
        self.acceptance = Acceptance(
            self.config, self.jobs, self.feed, self.claims, self.writer, self.timers, "e1"
        )
        self.callers = LocalCallers(self.acceptance)

    async def call(self, method: str, path: str = JOB, body: bytes = BODY, timeout: float = 2.0):
        request = CallerRequest(method, QUEUE.host, QUEUE.prefix + path, body, timeout)
        return await self.callers.answer(request)

    def stored(self) -> list[str]:
        return sorted(self.service.partition(JOBS.topic).newest())


def with_entry(body: Callable[[EntryRig], Awaitable[None]]):
    async def main():
        rig = EntryRig()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.feed.run)
            tasks.start_soon(rig.writer.run)
            await rig.timers.sleep(0.1)
            await body(rig)
            tasks.cancel_scope.cancel()

    run_virtual(main)


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
                await rig.call("POST", f"{number:016x}")
            await rig.timers.sleep(0.5)
            assert (await rig.call("GET", "")).body == b'{"pending":3}'
            counts = {f"{QUEUE.host} {QUEUE.prefix}": 1}
            rig.claims.claim = Claim("e", 1, 1, 2, [], [], counts)
            assert (await rig.call("GET", "")).body == b'{"pending":2}'

        with_entry(body)


class FakePeers:
    """Connections to other entries, with answers set by the test."""

    instance = "e1"

    def __init__(self):
        self.answers: dict[str, CallerReply | Exception] = {}
        self.asked: list[str] = []

    def handle(self, message_type, handler):
        self.serve = handler

    async def call(self, name, message, timeout):
        self.asked.append(name)
        answer = self.answers.get(name, PeerUnreachable(instance=name))
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestRelays:
    def relaying(self, rig: EntryRig, peers: FakePeers, age: float = 0.0) -> RelayingCallers:
        self.reconnected: list[str] = []
        return RelayingCallers(
            rig.callers,
            peers,
            rig.config,
            self.reconnected.append,
            lambda: age,
            lambda: "e2",
            lambda: {"e1", "e2", "e3"},
            rig.timers,
            rig.writer,
        )

    def request(self, method: str = "POST") -> CallerRequest:
        return CallerRequest(method, QUEUE.host, QUEUE.prefix + JOB, BODY, 2.0)

    def test_an_entry_that_reaches_the_store_asks_no_other_entry(self):
        async def body(rig: EntryRig):
            peers = FakePeers()
            reply = await self.relaying(rig, peers).answer(self.request())
            assert (reply.status, peers.asked) == (200, [])

        with_entry(body)

    def test_another_entry_is_asked_when_the_store_refuses(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            reply = await self.relaying(rig, peers).answer(self.request())
            assert (reply.status, peers.asked) == (200, ["e2"])

        with_entry(body)

    def test_an_unknown_outcome_does_not_become_a_refusal(self):
        async def body(rig: EntryRig):
            rig.link.cut = True
            peers = FakePeers()
            peers.answers = dict.fromkeys(("e2", "e3"), CallerReply(503, b"{}", "store_down", 1.0))
            with pytest.raises(SubmissionUndecided):
                await self.relaying(rig, peers).answer(self.request())

        with_entry(body)

    @pytest.mark.parametrize("second", [None, CallerReply(503, b"{}", "store_down", 1.0)])
    def test_a_job_that_an_unresponsive_entry_may_have_stored_is_not_refused(
        self, second: CallerReply | None
    ):
        async def body(rig: EntryRig):
            rig.service.down = True
            peers = FakePeers()
            if second is not None:
                peers.answers["e3"] = second
            with pytest.raises(SubmissionUndecided):
                await self.relaying(rig, peers).answer(self.request())
            assert peers.asked[0] == "e2"

        with_entry(body)

    def test_a_refusal_by_all_is_a_refusal(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            peers = FakePeers()
            peers.answers = dict.fromkeys(("e2", "e3"), CallerReply(503, b"{}", "store_down", 1.0))
            assert (await self.relaying(rig, peers).answer(self.request())).status == 503

        with_entry(body)

    def test_entries_that_do_not_answer_are_avoided(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            peers = FakePeers()
            peers.answers["e3"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers)
            for _ in range(2):
                assert (await relaying.answer(self.request())).status == 200
            assert peers.asked == ["e2", "e3", "e3"]
            assert self.reconnected == ["e2"]

        with_entry(body)

    def test_the_owner_appends_for_all_while_the_store_is_slow(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.4
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers)
            assert (await relaying.answer(self.request())).status == 200
            assert peers.asked == []
            other = self.request()._replace(path=QUEUE.prefix + "00000000000000bb")
            assert (await relaying.answer(other)).status == 200
            assert (peers.asked, rig.stored()) == (["e2"], [JOB])

        with_entry(body)

    def test_an_entry_appends_itself_once_the_store_is_fast_again(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.4
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers)
            for number in range(3):
                path = f"{QUEUE.prefix}{number:016x}"
                assert (await relaying.answer(self.request()._replace(path=path))).status == 200
            assert peers.asked == ["e2"]
            assert len(rig.stored()) == 2

        with_entry(body)

    def test_a_slow_answer_is_waited_for_without_an_owner(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.5
            relaying = self.relaying(rig, FakePeers())
            assert (await relaying.answer(self.request())).status == 200
            rig.service.write_seconds = 0.9
            other = self.request()._replace(path=QUEUE.prefix + "00000000000000bb")
            assert (await relaying.answer(other)).status == 200

        with_entry(body)

    def test_a_job_that_the_owner_may_have_stored_is_not_refused(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.4
            peers = FakePeers()
            relaying = self.relaying(rig, peers)
            assert (await relaying.answer(self.request())).status == 200
            rig.service.down = True
            peers.answers["e3"] = CallerReply(503, b"{}", "store_down", 1.0)
            other = self.request()._replace(path=QUEUE.prefix + "00000000000000bb")
            with pytest.raises(SubmissionUndecided):
                await relaying.answer(other)

        with_entry(body)

    def test_an_entry_with_stale_states_asks_another_entry_first(self):
        async def body(rig: EntryRig):
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b'{"state":"completed"}')
            relaying = self.relaying(rig, peers, age=5.0)
            assert (await relaying.answer(self.request("GET"))).body == b'{"state":"completed"}'

        with_entry(body)

    def test_a_relayed_request_is_answered_here(self):
        async def body(rig: EntryRig):
            peers = FakePeers()
            self.relaying(rig, peers)
            assert (await peers.serve("e2", self.request()._replace(version=1))).status == 200
            rig.service.down = True
            rig.link.refused = True
            refused = self.request()._replace(version=1, path=QUEUE.prefix + "00000000000000bb")
            assert (await peers.serve("e2", refused)).code == "store_down"

        with_entry(body)

    def test_an_entry_with_an_older_configuration_does_not_answer(self):
        """A relayed request must not be answered under an older version than at its first entry."""

        async def body(rig: EntryRig):
            peers = FakePeers()
            self.relaying(rig, peers)
            later = self.request("GET")._replace(version=2)
            assert (await peers.serve("e2", later)).status == 503

        with_entry(body)

    def test_a_later_configuration_is_adopted_first(self):
        async def body(rig: EntryRig):
            other = EntryRig(rig.service, rig.timers)
            other.config.adopt(configuration(2, "/new/"))
            await other.feed.catch_up()
            peers, others = FakePeers(), FakePeers()
            self.relaying(other, others)

            async def call(name, message, timeout):
                return await others.serve("e1", message)

            peers.call = call
            relaying = self.relaying(rig, peers, age=5.0)
            reply = await relaying.answer(self.request("GET")._replace(path=QUEUE.prefix))
            assert (reply.status, rig.config.version) == (404, 2)

        with_entry(body)
