"""Random interleavings of publishing, faults and replacement of instances, on a simulated clock.

For a longer run, set ``CONFIG_MACHINE_EXAMPLES=500 CONFIG_MACHINE_SEED=9`` in the environment.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, Phase, assume, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ragworttiller.process.snapshots import Retention
from ragworttiller.version.config_fold import ConfigFold, Item
from tests.config_cell import ConfigCell

SEED = int(os.environ.get("CONFIG_MACHINE_SEED", "4"))
EXAMPLES = int(os.environ.get("CONFIG_MACHINE_EXAMPLES", "12"))
IN_FORCE_SECONDS = 4.0
MAX_INSTANCES = 4
ITEMS = ["t", "u"]
RUN_SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=30,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class Accepted(NamedTuple):
    """Accepted change, as acknowledged to the operator."""

    item: str
    base: int
    version: int
    at: float


class ConfigMachine(RuleBasedStateMachine):
    """Instances with registries, an operator, and faults."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.cell = ConfigCell(keep=80, retention=Retention(records=80, seconds=120.0))
        self.done = asyncio.Event()
        self.accepted = []
        self.newest = {}
        self.current_since = {}
        self.number = 0

    @initialize()
    def begin(self):
        started = asyncio.Event()

        async def main():
            async with self.cell.running("a", "b", "c"):
                started.set()
                await self.done.wait()

        self.main = self.loop.create_task(main())
        self.await_(started.wait())

    def await_(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def pick(self, number):
        return sorted(self.cell.instances)[number % len(self.cell.instances)]

    def shown(self, name, item):
        """Return the newest version that an instance shows, tombstones included."""
        with contextlib.suppress(Exception):
            return self.cell.registry(name).history("ws", "template", item)[-1].version
        return 0

    @rule(
        who=st.integers(0, 9),
        item=st.sampled_from(ITEMS),
        stale=st.booleans(),
        keep=st.integers(0, 4),
    )
    def publish(self, who, item, stale, keep):
        name = self.pick(who)
        assume(self.cell.registry(name).ready)
        base = self.shown(name, item)
        base = max(0, base - 1) if stale else base
        self.number += 1
        result = self.await_(self.cell.publish(name, self.number, base, item, keep > 0, wait=0.3))
        if isinstance(result, Item):
            now = self.cell.timers.now()
            self.accepted.append(Accepted(item, base, result.version, now))

    @rule(items=st.lists(st.integers(0, 9), min_size=2, max_size=3), item=st.sampled_from(ITEMS))
    def race(self, items, item):
        """Publish an item several times at once, all with the same base."""
        bases = {self.shown(self.pick(who), item) for who in items}
        results = []

        async def publish(name, base, size):
            with contextlib.suppress(Exception):
                registry = self.cell.registry(name)
                body = {"size": size}
                row = await registry.publish("ws", "template", item, base, body, name, 1.0)
                results.append(Accepted(item, base, row.version, self.cell.timers.now()))

        async def publish_all():
            for who in items:
                self.number += 1
                self.cell.tasks.start_soon(publish, self.pick(who), max(bases), self.number)
            await self.cell.timers.advance(1.2)

        self.await_(publish_all())
        self.accepted += results

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 30.0]))
    def wait(self, seconds):
        self.await_(self.cell.timers.advance(seconds))

    @rule(down=st.booleans())
    def log(self, down):
        """Make the log unavailable or available to all instances."""
        self.cell.log.down = down

    @rule(who=st.integers(0, 9), down=st.booleans())
    def reach(self, who, down):
        """Make the log unavailable or available to one instance."""
        self.cell.instances[self.pick(who)].log.down = down

    @rule(kind=st.sampled_from(["hold_next", "lose_answers", "duplicate"]))
    def spoil_append(self, kind):
        """Make the next append late, unanswered or duplicated."""
        setattr(self.cell.log, kind, 1)

    @rule()
    def land_late(self):
        """Append the late records."""
        self.cell.log.release()

    @rule(one=st.integers(0, 9), other=st.integers(0, 9))
    def cut(self, one, other):
        assume(self.pick(one) != self.pick(other))
        self.cell.network.cut(self.pick(one), self.pick(other))

    @rule()
    def heal(self):
        self.cell.network.heal()

    @precondition(lambda self: len(self.cell.instances) < MAX_INSTANCES)
    @rule()
    def start(self):
        self.await_(self._start(f"n{self.cell.starts}"))

    async def _start(self, name):
        self.cell.start(name)
        await self.cell.timers.advance(0.1)

    @precondition(lambda self: len(self.cell.instances) > 2)
    @rule(who=st.integers(0, 9))
    def kill(self, who):
        """Kill an instance that is not the only one to hold an accepted change."""
        name = self.pick(who)
        others = [other for other in self.cell.instances if other != name]
        for row in self.accepted:
            assume(any(self.shown(other, row.item) >= row.version for other in others))
        self.await_(self._kill(name))

    async def _kill(self, name):
        self.cell.kill(name)

    @invariant()
    def nothing_reverts(self):
        for name in self.cell.instances:
            for item in ITEMS:
                seen = self.shown(name, item)
                assert seen >= self.newest.get((name, item), 0), (name, item, seen)
                self.newest[name, item] = seen

    @invariant()
    def one_winner_for_each_base(self):
        bases = [(row.item, row.base) for row in self.accepted if row.base]
        assert len(bases) == len(set(bases)), bases

    @invariant()
    def accepted_is_in_force_where_current_is_claimed(self):
        now = self.cell.timers.now()
        for name, instance in self.cell.instances.items():
            if not instance.registry.current:
                self.current_since.pop(name, None)
                continue
            since = self.current_since.setdefault(name, now)
            for row in self.accepted:
                if min(now - row.at, now - since) >= IN_FORCE_SECONDS:
                    assert self.shown(name, row.item) >= row.version, (name, row)

    def teardown(self):
        if not hasattr(self, "main"):
            return
        try:
            self._settle()
        finally:
            self.done.set()
            self.await_(self.main)
            self.loop.close()

    def _settle(self):
        """Undo the faults and require that all instances show the same, newest state."""
        self.cell.log.down = False
        self.cell.log.release()
        self.cell.network.heal()
        for instance in self.cell.instances.values():
            instance.log.down = False
        self.await_(self.cell.timers.advance(2 * IN_FORCE_SECONDS))
        for item in ITEMS:
            versions = {self.shown(name, item) for name in self.cell.instances}
            newest = max((row.version for row in self.accepted if row.item == item), default=0)
            assert len(versions) == 1, (item, versions)
            assert min(versions) >= newest


def run_machine():
    seed(SEED)(ConfigMachine)
    run_state_machine_as_test(ConfigMachine, settings=RUN_SETTINGS)


class TestConfigMachine:
    def test_invariants_hold(self):
        run_machine()

    def test_dropped_base_check_is_caught(self, monkeypatch):
        original = ConfigFold._publish

        def accept(fold, offset, record):
            verdict = original(fold, offset, record)
            return (
                verdict
                if verdict.valid
                else original(fold, offset, record._replace(base=verdict.detail))
            )

        monkeypatch.setattr(ConfigFold, "_publish", accept)
        with pytest.raises(AssertionError):
            run_machine()
