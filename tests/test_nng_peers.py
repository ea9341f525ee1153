"""Tests of messages between instances over pynng, on loopback."""

from __future__ import annotations

import contextlib
import os

import anyio
import pynng
import pytest

from ragworttiller.exceptions import NotOwner, PeerUnreachable, RagworttillerError
from ragworttiller.messages import (
    ENVELOPE_CODEC,
    PAYLOAD_CODEC,
    CellCall,
    CellReply,
    Envelope,
)
from ragworttiller.process import introductions, outbox, outbox_sender
from ragworttiller.process.calls import Call
from ragworttiller.process.nng_peers import CONNECTION_CHECK_PERIOD_SECONDS, NngPeers
from ragworttiller.process.outbox import MIN_DISCONNECTED_READINGS
from ragworttiller.process.outbox_budget import OutboxBudget
from ragworttiller.process.push_sockets import CLOSE_DELAY_SECONDS, CLOSING_RECONNECT_MS
from ragworttiller.timers import SystemTimers
from standins.addresses import free_address


@contextlib.asynccontextmanager
async def running(*peers):
    async with anyio.create_task_group() as tasks:
        for item in peers:
            tasks.start_soon(item.run)
            await item.wait_bound()
        yield
        tasks.cancel_scope.cancel()


def pair():
    one, two = free_address(), free_address()
    a, b = (NngPeers(*row, SystemTimers()) for row in (("a", 1, one), ("b", 5, two)))
    a.set_peer("b", two, 5)
    b.set_peer("a", one, 1)
    return a, b, one, two


async def echo(sender, message):
    return CellReply([sender, message.arguments])


def echo_call(number=0):
    return CellCall(1, "echo", {"number": number})


class TestNngPeers:
    def test_each_call_gets_its_own_reply(self):
        async def main():
            a, b, *_ = pair()

            async def reorder(sender, message):
                await anyio.sleep(0.05 - message.arguments["number"] / 1000)
                return await echo(sender, message)

            b.handle(CellCall, reorder)
            replies = {}

            async def one(number):
                replies[number] = await a.call("b", echo_call(number), 5)

            async with running(a, b), anyio.create_task_group() as calls:
                for number in range(40):
                    calls.start_soon(one, number)
            assert replies == {n: CellReply(["a", {"number": n}]) for n in range(40)}
            assert a.open_calls == 0
            # The first message of the connection introduces its sender.
            assert a.traffic.messages_out == b.traffic.messages_in == 41
            assert a.traffic.bytes_in == b.traffic.bytes_out > 0

        anyio.run(main)

    def test_an_instance_dropped_at_once_does_not_end_the_connections_to_others(self):
        async def main():
            a, b, _, two = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                # An entry that has announced itself and withdrawn is read with both records.
                a.set_peer("c", two, 9)
                a.drop_peer("c")
                await anyio.sleep(3 * CONNECTION_CHECK_PERIOD_SECONDS)
                assert await a.call("b", echo_call(7), 5) == CellReply(["a", {"number": 7}])

        anyio.run(main)

    def test_an_error_of_one_socket_does_not_end_the_connections_to_others(self, monkeypatch):
        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                failing, send = True, pynng.Push0.send

                def send_or_fail(socket, data, block=True):
                    if failing:
                        raise pynng.exceptions.NoMemory("out of memory", 2)
                    send(socket, data, block)

                monkeypatch.setattr(pynng.Push0, "send", send_or_fail)
                with pytest.raises(PeerUnreachable):
                    await a.call("b", echo_call(1), 5)
                failing = False
                assert await a.call("b", echo_call(2), 5) == CellReply(["a", {"number": 2}])

        anyio.run(main)

    def test_a_connection_is_replaced_while_messages_wait(self):
        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                for _ in range(20):
                    a.post("b", echo_call())
                    a.reconnect("b")
                    await anyio.sleep(0)
                assert await a.call("b", echo_call(7), 5) == CellReply(["a", {"number": 7}])

        anyio.run(main)

    def test_no_socket_is_closed_while_it_may_begin_to_connect(self, monkeypatch):
        """Guards against an abort of nng, which ended the process of an entry whose peer died."""
        closed = []

        def record_close(socket, *exc_info):
            (dialer,) = socket.dialers
            closed.append((anyio.current_time(), dialer.reconnect_time_min))
            socket.close()

        async def main():
            monkeypatch.setattr(pynng.Push0, "__exit__", record_close)
            a, *_ = pair()
            ended = []
            async with running(a):
                await anyio.sleep(0.05)
                for end in (lambda: a.reconnect("b"), lambda: a.drop_peer("b")):
                    ended.append(anyio.current_time())
                    end()
                    await anyio.sleep(0.05)
                a.set_peer("b", free_address(), 5)
                await anyio.sleep(0.05)
                ended.append(anyio.current_time())
            assert len(closed) == len(ended)
            for (closed_at, reconnect_ms), ended_at in zip(closed, ended, strict=True):
                assert closed_at - ended_at > 0.9 * CLOSE_DELAY_SECONDS
                assert reconnect_ms == CLOSING_RECONNECT_MS

        anyio.run(main)

    def test_a_connected_socket_is_closed_without_delay(self):
        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                await a.call("b", echo_call(), 5)
                began_at = anyio.current_time()
            assert anyio.current_time() - began_at < CLOSE_DELAY_SECONDS

        anyio.run(main)

    def test_error_of_a_handler_is_returned_and_a_fault_is_an_internal_error(self):
        async def main():
            a, b, *_ = pair()

            async def refuse(_sender, message):
                if message.verb == "fault":
                    raise ZeroDivisionError
                raise NotOwner(instance="b", shard="cell-001")

            for item in (a, b):
                item.handle(CellCall, refuse)
            async with running(a, b):
                for name in ("a", "b"):
                    with pytest.raises(NotOwner, match="cell-001"):
                        await a.call(name, echo_call(), 5)
                    with pytest.raises(RagworttillerError, match="internal error"):
                        await a.call(name, CellCall(1, "fault", {}), 5)

        anyio.run(main)

    def test_a_reply_that_cannot_be_encoded_is_an_internal_error(self):
        """Guards against the end of the called process by one of its replies."""

        async def main():
            a, b, *_ = pair()

            async def answer(_sender, message):
                return CellReply(2**70 if message.verb == "fault" else 1)

            b.handle(CellCall, answer)
            async with running(a, b):
                with pytest.raises(RagworttillerError, match="internal error"):
                    await a.call("b", CellCall(1, "fault", {}), 5)
                assert await a.call("b", echo_call(), 5) == CellReply(1)

        anyio.run(main)

    def test_late_duplicate_and_foreign_replies_are_dropped(self):
        async def main():
            a, b, *_ = pair()
            rogue = NngPeers("c", 9, free_address(), SystemTimers())
            rogue.set_peer("a", a._address, 1)
            seen = []

            async def slow(_sender, message):
                seen.append(message)
                await anyio.sleep(message.arguments["number"])
                return CellReply("mine")

            b.handle(CellCall, slow)

            def forge(name, incarnation, correlation, receiver_incarnation=1):
                payload = PAYLOAD_CODEC.encode_one(CellReply("forged"))
                return Envelope(
                    name, incarnation, "a", receiver_incarnation, correlation, True, payload
                )

            async with running(a, b, rogue):
                with pytest.raises(PeerUnreachable):
                    await a.call("b", echo_call(0.2), 0.1)
                result = []

                async def call():
                    result.append(await a.call("b", echo_call(0.2), 5))

                async with anyio.create_task_group() as calls:
                    calls.start_soon(call)
                    await anyio.sleep(0.05)
                    forged = [forge("c", 9, 2), forge("b", 4, 2), forge("b", 5, 2, 8)]
                    forged += [forge("b", 5, 1), forge("b", 5, 77)]
                    a._receive_batch(ENVELOPE_CODEC.encode(forged))
                assert result == [CellReply("mine")]
                a._receive_batch(ENVELOPE_CODEC.encode([forge("b", 5, 2)]))
                assert len(seen) == 2

        anyio.run(main)

    def test_message_to_another_incarnation_is_ignored(self):
        async def main():
            a, b, _, two = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                a.set_peer("b", two, 4)
                with pytest.raises(PeerUnreachable):
                    await a.call("b", echo_call(), 0.2)
                a.set_peer("b", two, 0)
                assert await a.call("b", echo_call(), 5)

        anyio.run(main)

    def test_calls_fail_at_once_when_the_peer_is_dropped_or_replaced(self):
        async def main():
            a, b, _, two = pair()
            b.handle(CellCall, lambda _sender, _message: anyio.sleep(60))
            async with running(a, b):
                for fail_calls in (lambda: a.set_peer("b", two, 6), lambda: a.drop_peer("b")):
                    with anyio.fail_after(3), pytest.raises(PeerUnreachable):
                        async with anyio.create_task_group() as calls:

                            async def delayed(fail_calls=fail_calls):
                                await anyio.sleep(0.05)
                                fail_calls()

                            calls.start_soon(delayed)
                            try:
                                await a.call("b", echo_call(), 60)
                            except PeerUnreachable as exc:
                                unreachable = exc
                        raise unreachable
                with pytest.raises(PeerUnreachable):
                    await a.call("b", echo_call(), 60)

        anyio.run(main)

    def test_full_outbox_drops_oldest_one_way_messages_before_calls(self, monkeypatch):
        monkeypatch.setattr(outbox, "OUTBOX_MESSAGES", 3)

        async def main():
            box = outbox.Outbox("b", "127.0.0.1:1", 1, OutboxBudget())
            calls = [Call("b", 1) for _ in range(4)]

            def push(correlation, call=None):
                envelope = Envelope("a", 1, "b", 1, correlation, False, b"")
                box.push(outbox.QueuedEnvelope(envelope, call, 0.0))

            push(0)
            for number, call in enumerate(calls, start=1):
                push(number, call)
            push(0)
            assert [item.envelope.correlation for item in box.batch(0.0)] == [1, 2, 3]
            assert [call.error is not None for call in calls] == [False, False, False, True]

        anyio.run(main)

    def test_restarted_peer_is_reached_again(self):
        async def main():
            a, b, _, two = pair()
            restarted = NngPeers("b", 6, two, SystemTimers())
            for item in (b, restarted):
                item.handle(CellCall, echo)
            async with running(a):
                async with running(b):
                    assert await a.call("b", echo_call(), 3)
                async with running(restarted):
                    a.set_peer("b", two, 6)
                    restarted.set_peer("a", a._address, 1)
                    assert await a.call("b", echo_call(), 3)

        anyio.run(main)

    def test_lost_connection_is_noticed_soon_and_fails_calls(self):
        async def main():
            a, b, *_ = pair()
            lost = []
            a.on_connection_lost(lost.append)

            async def silent(sender, message):
                await anyio.sleep_forever()

            b.handle(CellCall, silent)
            async with running(a):
                async with running(b):
                    a.post("b", echo_call())
                    await anyio.sleep(3 * CONNECTION_CHECK_PERIOD_SECONDS)
                    assert lost == []
                with anyio.fail_after(
                    MIN_DISCONNECTED_READINGS * CONNECTION_CHECK_PERIOD_SECONDS + 1.0
                ):
                    with pytest.raises(PeerUnreachable):
                        await a.call("b", echo_call(), 30.0)
                assert lost == ["b"]

        anyio.run(main)

    def test_sockets_and_descriptors_are_released(self):
        async def main():
            before = len(os.listdir("/proc/self/fd"))
            for _ in range(10):
                a, b, *_ = pair()
                b.handle(CellCall, echo)
                a.set_peer("dead", free_address(), 1)
                a.post("dead", echo_call())
                async with running(a, b):
                    await a.call("b", echo_call(), 3)
            await anyio.sleep(0.2)
            assert len(os.listdir("/proc/self/fd")) - before < 10

        anyio.run(main)

    def test_a_caller_that_is_not_known_gets_its_reply_and_its_connection_ends(self, monkeypatch):
        """Guards against calls without an answer while the record of their sender is missing."""
        monkeypatch.setattr(introductions, "REPLY_CONNECTION_SECONDS", 0.3)

        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            b.drop_peer("a")
            lost = []
            b.on_connection_lost(lost.append)
            async with running(b):
                async with running(a):
                    for number in (1, 2):
                        reply = await a.call("b", echo_call(number), 3)
                        assert reply == CellReply(["a", {"number": number}])
                    assert len(b._outboxes) == 1
                    await anyio.sleep(0.3 + 3 * CONNECTION_CHECK_PERIOD_SECONDS)
                    assert len(b._outboxes) == 0
                    assert await a.call("b", echo_call(3), 3)
                await anyio.sleep(4 * CONNECTION_CHECK_PERIOD_SECONDS)
            assert lost == []

        anyio.run(main)

    def test_replies_that_wait_go_over_the_next_connection(self):
        """Guards against the loss of replies to a peer whose connection is replaced."""

        async def main():
            a, b, *_ = pair()
            answered = anyio.Event()

            async def answer(sender, message):
                answered.set()
                return CellReply(1)

            b.handle(CellCall, answer)
            async with running(a, b):
                replies = []

                async def call():
                    replies.append(await a.call("b", echo_call(), 3))

                async with anyio.create_task_group() as calls:
                    calls.start_soon(call)
                    await answered.wait()
                    for _ in range(3):
                        b.reconnect("a")
                        await anyio.sleep(0)
            assert replies == [CellReply(1)]

        anyio.run(main)

    def test_a_batch_that_waited_for_long_is_tried_once(self, monkeypatch):
        """Guards against messages that are dropped since the event loop was late."""
        monkeypatch.setattr(outbox_sender, "SEND_TIMEOUT_SECONDS", 0.0)

        async def main():
            a, b, *_ = pair()
            b.handle(CellCall, echo)
            async with running(a, b):
                await anyio.sleep(3 * CONNECTION_CHECK_PERIOD_SECONDS)
                assert await a.call("b", echo_call(), 3)

        anyio.run(main)
