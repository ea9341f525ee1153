"""Tests of the answers of an entry to callers through other entries."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import PeerUnreachable, SubmissionUndecided
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.records.formats import JOBS
from ragworttiller.scheduling.records.queue_fold import QueueFold
from tests.entry_rig import BODY, EntryRig, configuration, with_entry
from tests.scheduling_rig import JOB, QUEUE, job_id


class FakePeers:
    """Connections to other entries, with answers set by the test."""

    instance = "e1"

    def __init__(self):
        self.answers: dict[str, CallerReply | Exception] = {}
        self.asked: list[str] = []
        self.reconnected: list[str] = []

    def handle(self, message_type, handler):
        if message_type is CallerRequest:
            self.serve = handler

    def reconnect(self, name):
        self.reconnected.append(name)

    def post(self, name, message):
        pass

    async def call(self, name, message, timeout):
        self.asked.append(name)
        answer = self.answers.get(name, PeerUnreachable(instance=name))
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestRelays:
    def relaying(self, rig: EntryRig, peers: FakePeers, age: float = 0.0) -> RelayingCallers:
        return RelayingCallers(
            rig.callers,
            peers,
            rig.config,
            ConfigurationTransfer(rig.config, peers, lambda: {"e1", "e2", "e3"}, rig.timers),
            PeerReconnector(peers, rig.timers),
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
            assert peers.reconnected == ["e2"]

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

    def test_submissions_do_not_queue_behind_a_slow_append_in_flight(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 5.0
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(relaying.answer, self.request())
                await rig.timers.sleep(0.2)
                start = rig.timers.now()
                other = self.request()._replace(path=QUEUE.prefix + "00000000000000bb")
                assert (await relaying.answer(other)).status == 200
                assert rig.timers.now() - start < 0.01

        with_entry(body)

    def test_an_entry_appends_itself_once_the_store_is_fast_again(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.4
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"{}")
            relaying = self.relaying(rig, peers)
            for number in range(3):
                path = QUEUE.prefix + job_id(number)
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

    def test_an_append_that_is_answered_within_the_time_of_the_caller_is_waited_for(self):
        async def body(rig: EntryRig):
            rig.service.queue_seconds[JOBS.topic] = 1.8
            peers = FakePeers()
            peers.answers = dict.fromkeys(("e2", "e3"), CallerReply(503, b"{}", "store_down", 1.0))
            assert (await self.relaying(rig, peers).answer(self.request())).status == 200

        with_entry(body)

    def test_an_owner_that_answers_within_the_time_of_the_caller_is_waited_for(self):
        async def body(rig: EntryRig):
            owner = EntryRig(rig.service, rig.timers, "e2")
            peers, owner_peers = FakePeers(), FakePeers()
            self.relaying(owner, owner_peers)

            async def call(name, message, timeout):
                return await owner_peers.serve("e1", message)

            rig.service.write_seconds = 0.4
            relaying = self.relaying(rig, peers)
            assert (await relaying.answer(self.request())).status == 200
            rig.service.queue_seconds[JOBS.topic] = 1.8
            peers.call = call
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.writer.run)
                other = self.request()._replace(path=QUEUE.prefix + job_id(2))
                assert (await relaying.answer(other)).status == 200
                tasks.cancel_scope.cancel()

        with_entry(body)

    def test_an_owner_has_time_to_store_what_a_slow_store_refused_here(self):
        """A full queue of the store refuses appends of some entries for a moment."""

        async def body(rig: EntryRig):
            rig.service.answer_seconds = 0.3
            rig.service.down = True
            timeouts: list[float] = []

            async def call(name, message, timeout):
                timeouts.append(message.timeout)
                return CallerReply(200, b"{}")

            peers = FakePeers()
            peers.call = call
            assert (await self.relaying(rig, peers).answer(self.request())).status == 200
            assert timeouts == [pytest.approx(1.7, abs=0.1)]

        with_entry(body)

    def test_entries_do_not_append_beside_a_late_owner(self):
        """Appends of all entries would delay those of the owner further."""

        async def body(rig: EntryRig):
            async def call(name, message, timeout):
                await rig.timers.sleep(1.8)
                return CallerReply(200, b"{}")

            peers = FakePeers()
            peers.instance = "e3"
            peers.call = call
            rig.service.write_seconds = 0.4
            relaying = self.relaying(rig, peers)
            assert (await relaying.answer(self.request())).status == 200
            other = self.request()._replace(path=QUEUE.prefix + job_id(2))
            assert (await relaying.answer(other)).status == 200
            assert rig.stored() == [JOB]

        with_entry(body)

    def test_a_quick_answer_about_a_stored_job_does_not_show_a_fast_store(self):
        async def body(rig: EntryRig):
            owner = EntryRig(rig.service, rig.timers, "e2")
            peers, owner_peers = FakePeers(), FakePeers()
            self.relaying(owner, owner_peers)
            asked: list[str] = []

            async def call(name, message, timeout):
                asked.append(message.path)
                return await owner_peers.serve("e1", message)

            rig.service.write_seconds = 0.4
            relaying = self.relaying(rig, peers)
            assert (await relaying.answer(self.request())).status == 200
            await owner.feed.catch_up()
            peers.call = call
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.writer.run)
                for path in (JOB, job_id(2)):
                    other = self.request()._replace(path=QUEUE.prefix + path)
                    assert (await relaying.answer(other)).status == 200
                tasks.cancel_scope.cancel()
            assert len(asked) == 2

        with_entry(body)

    def test_a_refusal_here_does_not_hide_that_the_owner_may_store_the_job(self):
        async def body(rig: EntryRig):
            rig.service.write_seconds = 0.4
            relaying = self.relaying(rig, FakePeers())
            assert (await relaying.answer(self.request())).status == 200
            rig.acceptance._config = QueueFold()
            other = self.request()._replace(path=QUEUE.prefix + job_id(2))
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

    def test_an_unreadable_later_configuration_of_an_entry_is_no_answer(self):
        async def body(rig: EntryRig):
            rig.service.down = True
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(200, b"[", "later_configuration")
            peers.answers["e3"] = CallerReply(200, b"{}")
            reply = await self.relaying(rig, peers).answer(self.request())
            assert (reply.status, peers.asked) == (200, ["e2", "e3"])

        with_entry(body)
