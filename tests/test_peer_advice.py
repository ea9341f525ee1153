"""Tests of calls to the advisor through other entries while the owner or they are slow."""

from __future__ import annotations

import anyio

from ragworttiller.exceptions import PeerUnreachable
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.entry.peer_messages import AdviceReply
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.membership.peer_advice import PeerAdvice
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.state.jobs import StageId
from standins.virtual_time import LoopTimers, run_virtual

CALL = AdviceCall(StageId("0123456789abcdef", 0, 0), ("w1@5",), "e2", 0.0, 0.3, 2.5, 0.0)


class SlowPeers:
    """Peers whose answers take some seconds; a replaced connection ends the calls on it."""

    instance = "e1"
    unreachable: dict[str, float] = {}

    def __init__(self, timers: LoopTimers, seconds: float):
        self.timers = timers
        self.seconds = seconds
        self.replaced: list[str] = []
        self.asked: list[list[str]] = []
        self.quick: tuple[int, ...] = ()
        self._scopes: set[anyio.CancelScope] = set()

    def handle(self, message_type: type, handler: object):
        pass

    def post(self, instance: str, message: object):
        pass

    def reconnect(self, name: str):
        self.replaced.append(name)
        for scope in self._scopes:
            scope.cancel()

    async def call(self, instance: str, message: object, timeout: float) -> AdviceReply:
        self.asked.append(message.runners)
        if len(self.asked) - 1 in self.quick:
            await self.timers.sleep(0.2)
            return AdviceReply({"w1": "t1"})
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            await self.timers.sleep(min(timeout, self.seconds))
        self._scopes.discard(scope)
        if scope.cancelled_caught or self.seconds >= timeout:
            raise PeerUnreachable(instance=instance)
        return AdviceReply({"w1": "t1"})


def ask(
    seconds: float,
    lag: float = 0.0,
    starts: tuple[float, ...] = (0.0,),
    quick: tuple[int, ...] = (),
):
    """Return the peers, and the answers to calls that start at the given times.

    Those in ``quick``, counted from 0, are answered soon.
    """
    answers: list[dict[str, str] | None] = []
    kept: list[SlowPeers] = []

    async def main():
        timers = LoopTimers()
        peers = SlowPeers(timers, seconds)
        peers.quick = quick
        kept.append(peers)
        reconnector = PeerReconnector(peers, timers)
        advice = PeerAdvice(peers, Members(peers), None, reconnector, timers, lambda: lag)

        async def call(start: float):
            await timers.sleep(start)
            try:
                answers.append(await advice.ask(CALL))
            except PeerUnreachable:
                answers.append(None)

        async with anyio.create_task_group() as tasks:
            for start in starts:
                tasks.start_soon(call, start)

    run_virtual(main)
    return kept[0], answers


class TestBusyOwner:
    def test_an_answer_that_its_own_event_loop_reads_late_is_waited_for(self):
        peers, answers = ask(seconds=2.5, lag=0.6)
        assert answers == [{"w1@5": "t1"}]
        assert peers.replaced == []

    def test_an_entry_that_does_not_answer_an_owner_with_time_is_given_up_as_before(self):
        peers, answers = ask(seconds=2.5)
        assert answers == [None]
        assert peers.replaced == ["e2"]


class TestReplacedConnections:
    def test_calls_that_end_with_their_connection_do_not_replace_the_next_one(self):
        peers, answers = ask(seconds=60.0, starts=(0.0, 0.5, 0.7, 0.9))
        assert answers == [None] * 4
        assert peers.replaced == ["e2"]

    def test_a_call_on_the_next_connection_may_replace_it(self):
        peers, _ = ask(seconds=60.0, starts=(0.0, 3.0))
        assert peers.replaced == ["e2", "e2"]

    def test_an_entry_that_has_answered_another_call_since_keeps_its_connection(self):
        peers, answers = ask(seconds=60.0, starts=(0.0, 0.5), quick=(1,))
        assert answers == [{"w1@5": "t1"}, None]
        assert peers.replaced == []

    def test_the_advisor_is_asked_about_runners_not_boots(self):
        peers, answers = ask(seconds=0.1)
        assert peers.asked == [["w1"]]
        assert answers == [{"w1@5": "t1"}]
