"""Random interleavings of several owners over one log and one network.

``LEDGER_EXAMPLES`` sets the number of examples, ``LEDGER_SEED`` their seed.
"""

from __future__ import annotations

import os

import anyio
import anyio.from_thread
from anyio import TASK_STATUS_IGNORED
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ragworttiller.exceptions import NoRunner, RunnerBroken
from ragworttiller.process import ledger, stream
from ragworttiller.process.snapshots import Retention, SnapshotWriter
from ragworttiller.process.stream import Stream
from ragworttiller.timers import TimerService
from tests.ledger_rig import WINDOW_SECONDS, Instance, Rig, violations

NAMES = ["a", "b", "c"]
FAULTS = [
    "pass_window lose_answers duplicate hold_next land_late log_down log_slow cut heal hold",
    "split agree disconnect kill restart pause_before pause_within resume refuse break serve",
    "release lose_sight hand_over",
]
FAULTS = " ".join(FAULTS).split()
SNAPSHOT_EVERY = 5
KEEP = 60
EXAMPLES = int(os.environ.get("LEDGER_EXAMPLES", "25"))
SEED = int(os.environ.get("LEDGER_SEED", "0"))

name = st.sampled_from(NAMES)
age = st.integers(0, 1)
ATTEMPTS_PER_KEY = 4


class FrequentSnapshots(SnapshotWriter):
    """Writes snapshots after a few records; ``early`` of them before the retention asks for it."""

    early = 0

    def __init__(self, stream: Stream, timers: TimerService, retention: Retention):
        super().__init__(stream, timers, retention, SNAPSHOT_EVERY)

    def post(self) -> None:
        records = self._stream.next_offset - max(self._stream.snapshot_as_of, self._posted_as_of)
        FrequentSnapshots.early += records < self._retention.records // 4
        super().post()


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.context = anyio.from_thread.start_blocking_portal("asyncio")
        self.portal = self.context.__enter__()
        self.attempts = 0
        self.rig_task, self.rig = self.portal.start_task(self.run_rig)
        self.call(self.rig.start, *NAMES)

    async def run_rig(self, *, task_status=TASK_STATUS_IGNORED):
        self.ended = anyio.Event()
        async with anyio.create_task_group() as tasks:
            rig = Rig(tasks, KEEP)
            tasks.start_soon(rig.network.run)
            task_status.started(rig)
            await self.ended.wait()
            tasks.cancel_scope.cancel()

    def call(self, function, *arguments):
        return self.portal.call(function, *arguments)

    def find_instance(self, instance_name: str) -> Instance | None:
        return self.rig.instances.get(instance_name)

    def key(self, age: int) -> str:
        """Return the key that is in use now, or the one before it."""
        return f"k{max(0, self.attempts // ATTEMPTS_PER_KEY - age)}"

    @rule(
        entries=st.lists(name, min_size=1, max_size=3),
        age=age,
        body=st.sampled_from([b"", b"", b"", b"other"]),
        gap=st.sampled_from([0.0, 0.0, 0.06, 0.3]),
    )
    def submit(self, entries, age, body, gap):
        key = self.key(age)
        for entry in map(self.find_instance, entries):
            if entry is not None:
                self.attempts += 1
                self.call(self.rig.submit, entry, f"t{self.attempts}", key, body, gap)

    @rule(at=name, age=age)
    def look_up(self, at, age):
        entry = self.find_instance(at)
        if entry is not None:
            self.call(self.rig.lookup, entry, self.key(age))

    @rule(seconds=st.sampled_from([0.02, 0.1, 0.3, 1.0, 3.0]))
    def advance(self, seconds):
        self.call(self.rig.settle, seconds)

    @rule(fault=st.sampled_from(FAULTS), at=name, other=name)
    def inject_fault(self, fault, at, other):
        self.call(self.inject, fault, at, other)

    async def inject(self, fault, at, other):
        rig = self.rig
        instance = rig.instances.get(at)
        match fault:
            case "pass_window":
                await rig.settle(WINDOW_SECONDS + 11.0)
            case "lose_answers" | "duplicate" | "hold_next":
                setattr(rig.log, fault, 1)
            case "land_late":
                rig.log.release()
            case "log_down":
                rig.log.down = not rig.log.down
            case "log_slow":
                rig.log.append_delay = 0.1 - rig.log.append_delay
            case "cut":
                rig.network.cut(at, other)
            case "heal":
                rig.network.heal()
            case "hold":
                rig.network.hold(at)
            case "release":
                rig.network.release(at)
            case "split":
                for one in rig.instances.values():
                    one.membership.set_members([one.name])
            case "agree":
                await rig.set_members(list(rig.instances))
            case "disconnect":
                for result in rig.results[-2:]:
                    result.scope.cancel()
            case "kill" if len(rig.instances) > 1 and instance is not None:
                await rig.kill(at)
            case "restart":
                if instance is not None:
                    await rig.kill(at)
                await rig.start(at)
            case _ if instance is not None:
                self.inject_into_instance(fault, instance, other)

    def inject_into_instance(self, fault, instance, other):
        sender = instance.sender
        match fault:
            case "pause_before":
                sender.may_send = anyio.Event()
            case "pause_within":
                sender.may_answer = anyio.Event()
            case "resume":
                sender.may_send.set()
                sender.may_answer.set()
            case "refuse":
                sender.error = NoRunner(upstream="u")
            case "break":
                sender.error = RunnerBroken(runner="r")
            case "serve":
                sender.error = None
            case "lose_sight":
                members = set(instance.membership.members) - {other}
                instance.membership.set_members(sorted(members or {instance.name}))
            case "hand_over":
                self.rig.tasks.start_soon(instance.host.leave)

    @initialize(faults=st.sets(st.sampled_from(["split", "log_slow", "break", "hold"])), at=name)
    def begin(self, faults, at):
        for fault in sorted(faults):
            for one in NAMES if fault == "break" else [at]:
                self.call(self.inject, fault, one, at)

    @invariant()
    def guarantees_hold(self):
        assert violations(self.rig) == []

    def teardown(self):
        try:
            self.call(self.heal)
            assert violations(self.rig) == []
        finally:
            self.call(self.ended.set)
            self.rig_task.result()
            self.context.__exit__(None, None, None)

    async def heal(self):
        """Clear all faults; check that every caller is answered and a new key is served."""
        rig = self.rig
        rig.log.down = False
        rig.log.append_delay = 0.0
        rig.log.lose_answers = rig.log.duplicate = rig.log.hold_next = 0
        rig.log.release()
        rig.network.heal()
        for one in NAMES:
            rig.network.release(one)
        for instance in rig.instances.values():
            instance.sender.may_send.set()
            instance.sender.may_answer.set()
        await rig.set_members(list(rig.instances))
        await rig.settle(20.0)
        for result in rig.results:
            gone = result.scope.cancel_called or result.entry not in rig.instances.values()
            assert gone or result.code != "pending"
        for one in NAMES:
            if one in rig.instances:
                await rig.kill(one)
            await rig.start(one)
        await rig.settle(1.0)
        result = await rig.submit(rig.others()[0], "last", "fresh", wait=1.0)
        assert result.code == "answered"


class TestRandomInterleavings:
    def test_no_second_send_no_false_not_run_and_equal_replays(self, monkeypatch):
        monkeypatch.setattr(ledger, "SnapshotWriter", FrequentSnapshots)
        monkeypatch.setattr(FrequentSnapshots, "early", 0)
        monkeypatch.setattr(stream, "SNAPSHOT_SEARCH_RECORDS", KEEP // 2)
        run_state_machine_as_test(
            seed(SEED)(LedgerMachine),
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=40,
                derandomize=SEED == 0,
                deadline=None,
                database=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
        assert FrequentSnapshots.early > 0
