"""Tests of the answers to queries (GET) in the time that callers wait for them."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import NotReady, PeerUnreachable, StateUnknown
from ragworttiller.metrics import Metrics
from ragworttiller.platform.submissions import DEADLINE_HEADER, decode_job
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, Callers
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.entry_api import CallerApp
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.entry.start_gate import MAX_START_SECONDS, StartGate
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.records.formats import JOBS, Accepted, encode
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.entry_rig import BODY, EntryRig, with_entry
from tests.scheduling_rig import JOB, QUEUE

# What an entry uses of the 3 s that callers wait.
CALLER_SECONDS = 2.4
STALE_SECONDS = 5.0
NEVER = float("inf")
UNKNOWN_JOB = "00000000000000bb"
OTHER_ENTRIES = {"e2", "e3", "e4", "e5", "e6"}


class SilentPeers:
    """Connections to other entries that do not answer, but for those with an answer."""

    instance = "e1"

    def __init__(self, rig: EntryRig):
        self._timers = rig.timers
        self.answers: dict[str, CallerReply] = {}
        self.asked: list[str] = []
        self.reconnected: list[str] = []

    def handle(self, message_type, handler):
        if message_type is CallerRequest:
            self.serve = handler

    def reconnect(self, name: str):
        self.reconnected.append(name)

    def post(self, name: str, message: object):
        pass

    async def call(self, name: str, message: CallerRequest, timeout: float) -> CallerReply:
        self.asked.append(name)
        if name in self.answers:
            return self.answers[name]
        await self._timers.sleep(timeout)
        raise PeerUnreachable(instance=name)


def relaying(rig: EntryRig, peers: SilentPeers, age: float = 0.0) -> RelayingCallers:
    """Return the callers of an entry that was up to date with the store ``age`` seconds ago."""
    return RelayingCallers(
        rig.callers,
        peers,
        rig.config,
        ConfigurationTransfer(rig.config, peers, lambda: {"e1"} | OTHER_ENTRIES, rig.timers),
        PeerReconnector(peers, rig.timers),
        lambda: age,
        lambda: "e2",
        lambda: {"e1"} | OTHER_ENTRIES,
        rig.timers,
        rig.writer,
    )


def query(job: str = JOB, timeout: float = CALLER_SECONDS) -> CallerRequest:
    """Return a query for the state of a job."""
    return CallerRequest("GET", QUEUE.host, QUEUE.prefix + job, b"", timeout)


async def ignore(message: object):
    """Drop a message to the caller."""


class TestTimeOfAnswers:
    @pytest.mark.parametrize("age", [0.0, STALE_SECONDS])
    @pytest.mark.parametrize("timeout", [CALLER_SECONDS, 1.0, 0.3])
    def test_waits_for_entries_and_store_do_not_add_up_past_the_callers_time(
        self, age: float, timeout: float
    ):
        async def body(rig: EntryRig):
            rig.link.cut = True
            began_at = rig.timers.now()
            with pytest.raises((StateUnknown, NotReady)) as caught:
                await relaying(rig, SilentPeers(rig), age).answer(query(UNKNOWN_JOB, timeout))
            assert (caught.value.status, caught.value.retry_after) == (503, 1.0)
            assert rig.timers.now() - began_at < timeout + 0.01

        with_entry(body)

    def test_a_relayed_query_is_answered_before_the_relaying_entry_gives_up(self):
        """An entry whose store is silent was taken for unreachable, and its connection replaced."""

        async def body(rig: EntryRig):
            peers = SilentPeers(rig)
            relaying(rig, peers)
            rig.link.cut = True
            began_at = rig.timers.now()
            forwarded = query(UNKNOWN_JOB, 0.5)._replace(version=1)
            assert (await peers.serve("e2", forwarded)).code == StateUnknown.code
            assert rig.timers.now() - began_at < 0.51

        with_entry(body)

    @pytest.mark.parametrize("timeout", [CALLER_SECONDS, 0.3])
    def test_a_state_known_here_is_told_while_all_other_entries_are_silent(self, timeout: float):
        async def body(rig: EntryRig):
            await rig.call("POST")
            await rig.timers.sleep(0.5)
            rig.link.cut = True
            reply = await relaying(rig, SilentPeers(rig), STALE_SECONDS).answer(query(JOB, timeout))
            assert reply.body == b'{"state":"queued"}'

        with_entry(body)

    def test_the_time_in_which_the_modules_load_counts_as_time_of_the_caller(self):
        """A query may have waited in the queue of the socket since the process began to listen."""

        async def body(rig: EntryRig):
            rig.link.cut = True
            callers = relaying(rig, SilentPeers(rig), STALE_SECONDS)
            gate = StartGate(callers, lambda: False, lambda: NEVER, rig.timers, 0.7)
            began_at = rig.timers.now()
            with pytest.raises((StateUnknown, NotReady)):
                await gate.answer(query(UNKNOWN_JOB))
            assert 0.7 + rig.timers.now() - began_at < CALLER_SECONDS + 0.01

        with_entry(body)


class RecordingCallers(Callers):
    """Callers that record the timeouts of requests."""

    def __init__(self):
        self.timeouts: list[float] = []

    async def answer(self, request: CallerRequest) -> CallerReply:
        self.timeouts.append(request.timeout)
        return CallerReply(200, b"{}")


class TestTimeouts:
    @pytest.mark.parametrize("value", [b"nan", b"", b"soon"])
    def test_a_timeout_that_is_no_number_does_not_keep_the_event_loop_busy(self, value: bytes):
        """A timer for the time NaN is due at once, and set again, until its request ends."""

        async def main():
            callers = RecordingCallers()
            app = CallerApp(callers, lambda: 1000, Metrics(), LoopTimers())
            scope = {"method": "GET", "path": "/", "headers": [(DEADLINE_HEADER, value)]}
            await app(scope, lambda: None, ignore)
            assert callers.timeouts == pytest.approx([CALLER_SECONDS])

        run_virtual(main)


class TestStarts:
    """An entry starts with jobs on many pages, which the store sends at one page in 0.2 s."""

    async def start(self, jobs: int) -> tuple[EntryRig, StartGate]:
        timers = LoopTimers()
        rig = EntryRig(StoreService(timers, page=1), timers)
        rig.service.answer_seconds = 0.2
        for number in range(jobs):
            job = f"{16 * number // jobs:x}" * 16
            rig.service.put(JOBS.topic, job, encode(Accepted(QUEUE, decode_job(BODY), 0.0)))
        peers = SilentPeers(rig)
        peers.answers = dict.fromkeys(OTHER_ENTRIES, CallerReply(503, b"", NotReady.code))
        callers = relaying(rig, peers)
        return rig, StartGate(
            callers, lambda: rig.acceptance.ready, lambda: rig.feed.load_seconds_left, timers
        )

    def answer(self, jobs: int) -> tuple[CallerReply | NotReady, float]:
        """Return the answer to a query at the start of an entry, and its time in seconds."""

        async def main():
            rig, gate = await self.start(jobs)
            began_at = rig.timers.now()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.feed.run)
                tasks.start_soon(gate.run)
                try:
                    reply = await gate.answer(query("0" * 16))
                except NotReady as exc:
                    reply = exc
                tasks.cancel_scope.cancel()
            return reply, rig.timers.now() - began_at

        return run_virtual(main)

    def test_a_query_waits_for_jobs_that_are_expected_in_time(self):
        reply, seconds = self.answer(jobs=8)
        assert reply.status == 200
        assert seconds < 8 * 0.2 + 0.1

    def test_a_query_does_not_wait_for_jobs_that_come_too_late(self):
        reply, seconds = self.answer(jobs=16)
        assert (reply.status, reply.retry_after) == (503, 1.0)
        assert seconds < MAX_START_SECONDS + 0.1


class TestOtherEntries:
    def test_a_query_at_an_entry_that_still_reads_the_jobs_is_answered_by_another_one(self):
        """The claims are read at once, the jobs page by page."""

        async def body(rig: EntryRig):
            peers = SilentPeers(rig)
            peers.answers["e2"] = CallerReply(200, b'{"state":"completed"}')
            rig.feed._position = None
            rig.link.silent_target = "log-newest"
            reply = await relaying(rig, peers).answer(query())
            assert reply.body == b'{"state":"completed"}'

        with_entry(body)

    def test_an_entry_that_does_not_know_a_state_does_not_answer_for_the_others(self):
        async def body(rig: EntryRig):
            await rig.call("POST")
            await rig.timers.sleep(0.5)
            peers = SilentPeers(rig)
            peers.answers = dict.fromkeys(OTHER_ENTRIES, CallerReply(503, b"", StateUnknown.code))
            stale = relaying(rig, peers, STALE_SECONDS)
            assert (await stale.answer(query())).body == b'{"state":"queued"}'
            rig.link.cut = True
            peers.answers |= {name: CallerReply(200, b"{}") for name in OTHER_ENTRIES - {"e2"}}
            assert (await stale.answer(query(UNKNOWN_JOB))).status == 200

        with_entry(body)

    def test_an_entry_that_answers_some_of_many_queries_keeps_its_connection(self):
        """A new connection ends all calls in flight, also those of advice and of the owner."""

        async def body(rig: EntryRig):
            peers = SilentPeers(rig)
            busy = anyio.Lock()

            async def answer_in_turn(name: str, message: CallerRequest, timeout: float):
                with anyio.move_on_after(timeout):
                    async with busy:
                        await rig.timers.sleep(0.1)
                        return CallerReply(200, b"{}")
                raise PeerUnreachable(instance=name)

            peers.call = answer_in_turn
            stale = relaying(rig, peers, STALE_SECONDS)
            await rig.call("POST")
            await rig.timers.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(stale.answer, query())
            assert peers.reconnected == []

        with_entry(body)
