"""Random faults at entries, runners and the store while jobs run, and mutations of safeguards."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest

from ragworttiller.exceptions import OrderRefused, OrderUndecided
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.scheduling.ownership import runner_calls
from ragworttiller.scheduling.state import run_tracker
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.takeover import Takeover
from standins.platform.service import Link
from tests.owners_rig import Entry, OwnersRig, job_id, start_entries, with_rig
from tests.scheduling_rig import step

JOB_COUNT = 9


class FaultInjector:
    """Injects faults at random times, most of them at the owner."""

    def __init__(self, rig: OwnersRig, seed: int):
        self.rig = rig
        self.rng = random.Random(seed)
        self.faults = (
            self.restart,
            self.pause,
            self.late_orders,
            self.lose_answers,
            self.store_down,
            self.cut,
            self.cut_runner,
            self.cut_runner_and_kill,
            self.expire,
            self.lose_heartbeats,
            self.slow_store,
        )

    async def run(self, seconds: float):
        end = self.rig.timers.now() + seconds
        while self.rig.timers.now() < end:
            await self.rig.timers.sleep(self.rng.uniform(0.2, 2.0))
            entry = self.rig.owner if self.rng.random() < 0.7 else None
            entry = entry or self.rig.entries[self.rng.choice(sorted(self.rig.entries))]
            await self.rng.choice(self.faults)(entry)

    async def deliver_late(self):
        while True:
            await self.rig.timers.sleep(0.05)
            for entry in list(self.rig.entries.values()):
                for link in entry.links:
                    await link.deliver_late()

    async def restart(self, entry: Entry):
        self.rig.kill(entry.name)
        await self.rig.timers.sleep(self.rng.uniform(0.0, 2.0))
        self.rig.add_entry(entry.name)

    async def pause(self, entry: Entry):
        until = self.rig.timers.now() + self.rng.uniform(1.0, 13.0)
        for link in entry.links:
            link.paused_until = until

    async def late_orders(self, entry: Entry):
        for link in self.random_links(entry):
            link.late_next = [self.rng.uniform(0.3, 3.0) for _ in range(4)]

    async def lose_answers(self, entry: Entry):
        for link in self.random_links(entry):
            link.lose_next = self.rng.randrange(4)

    async def store_down(self, entry: Entry):
        self.rig.store.down = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 5.0))
        self.rig.store.down = False

    async def cut(self, entry: Entry):
        links = self.random_links(entry)
        for link in links:
            link.cut = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 6.0))
        for link in links:
            link.cut = False

    async def cut_runner(self, entry: Entry, then: Callable[[], None] = lambda: None):
        runner = self.rng.choice(sorted(self.rig.runners))
        links = [e.link(runner) for e in self.rig.entries.values()]
        for link in links:
            link.cut = True
        then()
        await self.rig.timers.sleep(self.rng.uniform(1.0, 8.0))
        for link in links:
            link.cut = False

    async def cut_runner_and_kill(self, entry: Entry):
        await self.cut_runner(entry, lambda: self.rig.kill(entry.name))
        self.rig.add_entry(entry.name)

    async def expire(self, entry: Entry):
        self.rig.store.expire("keyed.jobs")

    async def lose_heartbeats(self, entry: Entry):
        self.rig.heartbeats_lost = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 4.0))
        self.rig.heartbeats_lost = False

    async def slow_store(self, entry: Entry):
        self.rig.store.write_seconds = self.rng.uniform(0.05, 0.8)
        await self.rig.timers.sleep(self.rng.uniform(0.5, 5.0))
        self.rig.store.write_seconds = 0.0

    def random_links(self, entry: Entry) -> list[Link]:
        return [link for link in entry.links if self.rng.random() < 0.6]


def run_with_faults(seed: int) -> OwnersRig:
    """Run the cell with random faults and return its rig."""
    rigs: list[OwnersRig] = []

    async def body(rig: OwnersRig):
        rigs.append(rig)
        await start_entries(rig)
        injector = FaultInjector(rig, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(injector.deliver_late)
            tasks.start_soon(injector.run, 40.0)
            for number in range(JOB_COUNT):
                await rig.submit(job_id(number), step(5, 1000), step(2, 1000, after=[0]))
                await rig.timers.sleep(4.0)
            tasks.cancel_scope.cancel()
        rig.store.down, rig.heartbeats_lost, rig.store.write_seconds = False, False, 0.0
        for entry in rig.entries.values():
            for link in entry.links:
                link.cut, link.paused_until, link.lose_next = False, 0.0, 0
                link.late_next = []
        await rig.wait_completed(*map(job_id, range(JOB_COUNT)), within=120.0)

    with_rig(body, runners=4, work=2.5)
    return rigs[0]


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(12))
    def test_no_task_runs_twice_and_every_job_ends(self, seed: int):
        rig = run_with_faults(seed)
        assert rig.monitor.violations == []


def find_violations(seeds: range) -> list[str]:
    violations: list[str] = []
    for seed in seeds:
        try:
            violations += run_with_faults(seed).monitor.violations
        except ExceptionGroup as exc:
            # A job that never ends violates a guarantee; any other error is a fault of the test.
            if exc.split(AssertionError)[1] is not None:
                raise
            violations.append(repr(exc))
        if violations:
            break
    return violations


class TestMutations:
    """With any one of the safeguards disabled, the random faults must cause a violation."""

    def test_tasks_of_an_unreachable_runner_started_early(self, monkeypatch: pytest.MonkeyPatch):
        monkeypatch.setattr(Takeover, "blocks", lambda self, row: False)
        monkeypatch.setattr(
            Takeover, "startable", lambda self, stage: list(reversed(stage.waiting))
        )
        assert find_violations(range(40))

    def test_leases_treated_as_expired_early(self, monkeypatch: pytest.MonkeyPatch):
        monkeypatch.setattr(RunnerState, "lease_expired", lambda self, now: self.misses > 0)
        assert find_violations(range(40))

    def test_ends_acknowledged_before_they_are_stored(self, monkeypatch: pytest.MonkeyPatch):
        changes = Cell.take_changes

        def acknowledge_early(self: Cell):
            taken = changes(self)
            self.mark_recorded(taken._replace(progress={}))
            return taken

        monkeypatch.setattr(Cell, "take_changes", acknowledge_early)
        assert find_violations(range(40))

    def test_starts_without_a_deadline_of_their_own(self, monkeypatch: pytest.MonkeyPatch):
        monkeypatch.setattr(run_tracker, "START_SLACK_SECONDS", -1.2)
        assert find_violations(range(40))

    def test_a_start_given_up_after_an_unanswered_attempt(self, monkeypatch: pytest.MonkeyPatch):
        async def give_up_after_one_attempt(client, start, token, still_needed):
            try:
                await client.start(start, token, 0.2)
            except OrderUndecided as exc:
                raise OrderRefused(runner="r", order="start", reason="late") from exc

        monkeypatch.setattr(runner_calls, "call_start", give_up_after_one_attempt)
        assert find_violations(range(40))

    def test_no_fence_at_the_runners(self, monkeypatch: pytest.MonkeyPatch):
        order = RunnerClient._send_order

        async def order_without_fence(
            self: RunnerClient, target: str, body: dict, *waits, **options
        ):
            return await order(self, target, body | {"fence_token": 1}, *waits, **options)

        monkeypatch.setattr(RunnerClient, "_send_order", order_without_fence)
        assert find_violations(range(40))
