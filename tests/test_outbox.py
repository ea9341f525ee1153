"""Tests of the bounds on what waits to be sent to other instances."""

from __future__ import annotations

import random

import anyio
import pynng
import pytest

from ragworttiller.messages import Envelope
from ragworttiller.process.calls import Call, CallTable
from ragworttiller.process.drop_report import DropReport
from ragworttiller.process.outbox import (
    BATCH_BYTES,
    ONE_WAY_SECONDS,
    OUTBOX_MESSAGES,
    REPLY_SECONDS,
    Outbox,
    QueuedEnvelope,
)
from ragworttiller.process.outbox_budget import (
    RESERVED_BYTES,
    DropReason,
    OutboxBudget,
    outbox_bytes,
)
from ragworttiller.process.outbox_sender import OutboxSender
from ragworttiller.process.peer_traffic import PeerTrafficCounter
from standins.virtual_time import LoopTimers, run_virtual

KIB = 1024
MIB = 1024 * KIB


def message(
    size: int, correlation: int = 0, reply: bool = False, call: Call | None = None, at: float = 0.0
) -> QueuedEnvelope:
    envelope = Envelope("a", 1, "b", 1, correlation, reply, bytes(size))
    return QueuedEnvelope(envelope, call, at)


def new_outbox(budget: OutboxBudget, name: str = "b") -> Outbox:
    return Outbox(name, "127.0.0.1:1", 1, budget)


class TestExpiredMessages:
    """Guards against a full link that carries messages for which nobody waits any more."""

    def test_a_call_that_was_given_up_is_not_sent(self):
        async def main():
            budget, table = OutboxBudget(), CallTable()
            box, call = new_outbox(budget), Call("b", 1)
            correlation = table.open(call)
            box.push(message(KIB, correlation, call=call))
            table.close(correlation)
            assert box.batch(0.0) == []
            assert budget.queued == 0
            assert budget.dropped == {DropReason.EXPIRED: 1}

        anyio.run(main)

    @pytest.mark.parametrize(
        ("reply", "seconds"), [(False, ONE_WAY_SECONDS), (True, REPLY_SECONDS)]
    )
    def test_old_one_way_messages_and_replies_are_not_sent(self, reply: bool, seconds: float):
        async def main():
            box = new_outbox(OutboxBudget())
            box.push(message(KIB, int(reply), reply))
            box.push(message(KIB, int(reply), reply, at=1.0))
            assert [item.queued_at for item in box.batch(seconds)] == [1.0]

        anyio.run(main)


class TestOutboxBytes:
    """Guards against the memory of an instance that answers others over their full links."""

    def test_replies_to_one_slow_instance_take_an_eighth_of_what_is_free(self):
        async def main():
            budget = OutboxBudget(9 * MIB)
            box = new_outbox(budget)
            for number in range(1, 200):
                box.push(message(16 * KIB, number, True))
            assert MIB - 16 * KIB < budget.queued <= MIB

        anyio.run(main)

    def test_many_slow_instances_leave_room_for_the_others(self):
        """Guards against owners that reach nobody since a third of the entries is slow."""

        async def main():
            budget = OutboxBudget(16 * MIB)
            slow = [new_outbox(budget, f"slow{number}") for number in range(36)]
            for number in range(1, 50):
                for box in slow:
                    box.push(message(128 * KIB, number, True))
            assert budget.queued <= 16 * MIB
            other, call = new_outbox(budget, "other"), Call("other", 1)
            for _ in range(10):
                other.push(message(KIB))
            other.push(message(128 * KIB, 1, call=call))
            assert [item.size for item in other.batch(0.0)] == [KIB] * 10
            other.end_batch()
            assert len(other.batch(0.0)) == 1
            assert not call.ended

        anyio.run(main)

    def test_one_way_messages_make_room_for_a_call(self):
        async def main():
            budget = OutboxBudget(MIB)
            box, call = new_outbox(budget), Call("b", 1)
            for _ in range(200):
                box.push(message(KIB))
            waiting = budget.queued
            box.push(message(3 * KIB, 1, call=call))
            assert not call.ended
            assert budget.queued <= waiting + KIB
            assert budget.dropped[DropReason.FULL] > 0

        anyio.run(main)

    def test_nothing_is_dropped_for_a_message_that_does_not_fit(self):
        async def main():
            budget = OutboxBudget(MIB)
            box, call = new_outbox(budget), Call("b", 1)
            for number in range(1, 8):
                box.push(message(16 * KIB, number, True))
            box.push(message(KIB))
            waiting = budget.queued
            box.push(message(MIB, 9, call=call))
            assert call.error is not None
            assert budget.queued == waiting

        anyio.run(main)

    def test_a_long_message_waits_beside_short_ones(self):
        async def main():
            box, call = new_outbox(OutboxBudget(8 * MIB)), Call("b", 1)
            box.push(message(KIB, 1, True))
            box.push(message(4 * MIB, 2, call=call))
            assert not call.ended

        anyio.run(main)

    def test_a_message_longer_than_the_bound_is_sent_alone(self):
        async def main():
            box = new_outbox(OutboxBudget(KIB))
            box.push(message(2 * BATCH_BYTES, 1, True))
            assert len(box.batch(0.0)) == 1

        anyio.run(main)

    def test_the_bound_follows_the_memory(self):
        assert outbox_bytes(1024) == 64 * MIB
        assert outbox_bytes(64) == 8 * MIB

    @pytest.mark.parametrize("seed", range(40))
    def test_random_operations_keep_the_bound_and_end_every_call(self, seed: int):
        async def main():
            rng, limit = random.Random(seed), 512 * KIB
            budget, table = OutboxBudget(limit), CallTable()
            boxes = [new_outbox(budget, name) for name in "bcd"]
            calls: dict[int, Call] = {}
            sent: set[int] = set()
            for step in range(400):
                now, box, size = step / 10, rng.choice(boxes), rng.randrange(64 * KIB)
                action = rng.choice(["post", "reply", "call", "call", "close", "send", "clear"])
                if action == "post":
                    box.push(message(size, at=now))
                elif action == "reply":
                    box.push(message(size, 1, True, at=now))
                elif action == "call":
                    call = Call(box.name, 1)
                    number = table.open(call)
                    calls[number] = call
                    box.push(message(size, number, call=call, at=now))
                elif action == "close" and (open_calls := [n for n in calls if n not in sent]):
                    number = rng.choice(open_calls)
                    table.close(number)
                    del calls[number]
                elif action == "send":
                    items = box.batch(now)
                    assert not any(item.expired(now) for item in items)
                    sent |= {item.envelope.correlation for item in items if item.call is not None}
                    box.end_batch()
                elif action == "clear" and rng.random() < 0.2:
                    box.clear()
                assert budget.queued <= limit + len(boxes) * RESERVED_BYTES
            for box in boxes:
                box.clear()
            assert budget.queued == 0
            assert all(call.ended for number, call in calls.items() if number not in sent)

        anyio.run(main)

    def test_reconnected_messages_are_counted_once(self):
        async def main():
            budget = OutboxBudget()
            box, call = new_outbox(budget), Call("b", 1)
            box.push(message(KIB))
            box.push(message(KIB, 1, call=call))
            box.batch(0.0)
            box.push(message(KIB, 1, True))
            waiting = box.take_one_way()
            box.clear()
            assert len(waiting) == 2
            assert budget.queued == 0

        anyio.run(main)

    def test_a_full_queue_of_short_messages_is_bounded_too(self):
        async def main():
            box = new_outbox(OutboxBudget())
            for number in range(1, OUTBOX_MESSAGES + 10):
                box.push(message(1, number, True))
            count = 0
            while items := box.batch(0.0):
                count += len(items)
                box.end_batch()
            assert count == OUTBOX_MESSAGES

        anyio.run(main)


class TestDropReport:
    """Guards against a log line for each message to an instance behind a full link."""

    def test_at_most_one_line_a_second(self, caplog: pytest.LogCaptureFixture):
        budget = OutboxBudget()
        report = DropReport(budget)
        budget.drop(DropReason.EXPIRED)
        report.update(0.0)
        assert not caplog.records
        for tick in range(20):
            budget.drop(DropReason.FULL)
            report.update(tick / 10)
        assert [record.__dict__["full"] for record in caplog.records] == [1, 10]


class SlowSocket:
    """Socket that takes a batch every ``period`` seconds."""

    def __init__(self, timers: LoopTimers, period: float) -> None:
        self._timers = timers
        self._period = period
        self._ready_at = timers.now() + period
        self.batches = 0

    def send(self, data: bytes, block: bool) -> None:
        if self._timers.now() < self._ready_at:
            raise pynng.TryAgain("full", 8)
        self._ready_at = self._timers.now() + self._period
        self.batches += 1


class TestSlowConnection:
    """Guards against replies that are thrown away while a slow connection goes on."""

    @pytest.mark.parametrize(("period", "batches"), [(1.5, 6), (3600.0, 0)])
    def test_replies_wait_for_as_long_as_the_connection_makes_progress(self, period, batches):
        async def main():
            timers, box = LoopTimers(), new_outbox(OutboxBudget())
            socket = SlowSocket(timers, period)
            sender = OutboxSender(message(0).envelope, timers, PeerTrafficCounter())
            for number in range(1, 7):
                box.push(message(BATCH_BYTES, number, True, at=timers.now()))
            with timers.move_on_after(7 * 1.5):
                await sender.run(socket, box)
            assert socket.batches == batches
            assert box.idle

        run_virtual(main)
