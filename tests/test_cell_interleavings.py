"""Random interleavings of failures, checked by the stand-in workers, and mutations they detect."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ragworttiller.process.bookings import Bookings
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.lease_book import LeaseBook
from ragworttiller.process.license_proof import LicenseProof
from ragworttiller.process.task_endings import TaskEndings
from ragworttiller.process.worker_keeper import WorkerKeeper
from ragworttiller.records import RECORD_CODEC, JobSubmitted, TaskStarted
from ragworttiller.resources import Resources
from tests.cell_rig import Rig, scenario

ABC = ("a", "b", "c")
EXAMPLES = int(os.environ.get("CELL_EXAMPLES", "4"))
STEPS = 14
SETTLE_SECONDS = 200.0


class FaultInjector:
    """Injects faults into a rig step by step, and undoes them at the end."""

    def __init__(self, rig: Rig, rng: random.Random) -> None:
        self.rig = rig
        self.rng = rng
        self.jobs = 0
        self.incarnations = dict.fromkeys(ABC, 1)

    async def run_step(self, step: str) -> None:
        await getattr(self, step)()
        await self.rig.advance(self.rng.choice([0.05, 0.3, 1.0, 4.0]))

    async def submit(self) -> None:
        self.jobs += 1
        kind = self.rng.choice(["batch", "batch", "gang"])
        fields: dict[str, Any] = {
            "kind": kind,
            "idempotent": self.rng.random() < 0.4,
            "tasks": self.rng.randint(1, 6),
            "run_time": self.rng.choice([0.2, 3.0, 25.0]),
            "memory": self.rng.choice([1024, 4096]),
        }
        self.rig.submit_at(f"job{self.jobs}", self.rng.choice(self.rig.members), **fields)

    async def wait(self) -> None:
        await self.rig.advance(self.rng.choice([2.0, 10.0, 25.0]))

    async def restart(self) -> None:
        name = self.rng.choice(ABC)
        instance = self.rig.instances[name]
        instance.resume()
        instance.scope.cancel()
        self.rig.network.remove(name)
        self.incarnations[name] += 1
        self.rig.start(name, self.incarnations[name])

    async def pause(self) -> None:
        self.rig.instances[self.rng.choice(ABC)].pause()

    async def resume(self) -> None:
        for instance in self.rig.instances.values():
            instance.resume()

    async def delay_starts(self) -> None:
        self.rig.instances[self.rng.choice(ABC)].start_gate.close()

    async def split(self) -> None:
        self.rig.split()

    async def heal_membership(self) -> None:
        self.rig.set_members(list(ABC))

    async def lose_start_answers(self) -> None:
        self.rig.fleet.workers[self.rng.choice(list(self.rig.states))].lose_answers = 2

    async def worker_down(self) -> None:
        self.rig.fleet.workers[self.rng.choice(list(self.rig.states))].down = True

    async def workers_up(self) -> None:
        for worker in self.rig.fleet.workers.values():
            worker.down = False

    async def log_down(self) -> None:
        self.rig.log.down = True

    async def log_up(self) -> None:
        self.rig.log.down = False

    async def lose_append_answers(self) -> None:
        self.rig.log.lose_answers = 2

    async def duplicate_appends(self) -> None:
        self.rig.log.duplicate = 2

    async def hold_appends(self) -> None:
        self.rig.log.hold_next = 2

    async def release_appends(self) -> None:
        self.rig.log.release()

    async def settle(self) -> None:
        for undo in (
            self.resume,
            self.heal_membership,
            self.workers_up,
            self.log_up,
            self.release_appends,
        ):
            await undo()
        for instance in self.rig.instances.values():
            instance.start_gate.open()
        self.rig.log.hold_next = 0
        await self.rig.advance(SETTLE_SECONDS)


STEP_NAMES = [
    name
    for name in vars(FaultInjector)
    if not name.startswith("_") and name not in ("run_step", "settle", "jobs", "incarnations")
]


def run_steps(steps: list[str], number: int) -> Rig:
    """Run steps on a new rig and return it once all tasks have had time to end."""
    rig = Rig(workers=4, members=ABC, shards=3, seed=number)

    async def main() -> None:
        async with rig.running():
            injector = FaultInjector(rig, random.Random(number))
            for step in steps:
                await injector.run_step(step)
            await injector.settle()

    anyio.run(main)
    return rig


class TestInterleavings:
    @seed(20261203)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(
        st.lists(st.sampled_from(STEP_NAMES), min_size=STEPS, max_size=STEPS),
        st.integers(0, 10**6),
    )
    def test_no_task_runs_twice_and_no_worker_is_overbooked(self, steps, number):
        rig = run_steps(["submit", *steps, "submit"], number)
        assert rig.violations == []
        assert rig.fleet.cell.running == {}


async def book_after_pause(rig: Rig) -> None:
    """Pause an owner before it books room that more urgent work gets meanwhile."""
    first = str(rig.instances["a"].membership.owner("cell-000"))
    second = next(name for name in ABC if name != first)
    fields = {"memory": 4096, "cpu": 500, "idempotent": False, "run_time": 30.0}
    rig.instances[first].log.pause_before = TaskStarted
    rig.submit_soon("early", tasks=6, **fields)
    await rig.advance(0.2)
    need = Resources(500, 4096, 0)
    urgent = JobSubmitted(
        "x:1", "j000-x", "ws", "t", 1, "batch", 6, need, 9, None, 30.0, False, {}, 1000.0
    )
    await rig.log.append("cell-000", [RECORD_CODEC.encode_one(urgent)])
    rig.instances[second].membership.set_members([second])
    await rig.advance(0.8)
    rig.instances[first].resume()
    await rig.advance(2.0)


async def start_after_pause(rig: Rig) -> None:
    """Pause an owner before it licenses tasks that another owner starts meanwhile."""
    first = str(rig.instances["a"].membership.owner("cell-000"))
    second = next(name for name in ABC if name != first)
    rig.instances[first].log.pause_before = TaskStarted
    rig.registry.put("ws", "policy", "placement", {"placement": "random"})
    rig.submit_soon("early", tasks=4, idempotent=False, run_time=30.0)
    await rig.advance(0.2)
    rig.instances[second].membership.set_members([second])
    await rig.advance(0.8)
    rig.instances[first].resume()
    await rig.advance(2.0)


async def interrupt_worker(rig: Rig) -> None:
    """Make a worker with tasks unreachable for less than a lease."""
    rig.submit_soon("thin", tasks=6, idempotent=False, run_time=40.0)
    await rig.advance(2.0)
    unreachable = rig.fleet.workers[rig.starts[0].worker]
    unreachable.down = True
    await rig.advance(8.0)
    unreachable.down = False
    await rig.advance(20.0)


def check_cpu_only(self: Bookings, worker: str, need: Any) -> str:
    row = self.workers.get(worker)
    return "" if row is not None and need.cpu <= row.available.cpu else "no room"


def ignore_earlier_start(self: CellFold, task: str, attempt: int) -> str:
    return "" if task.rpartition("/")[0] in self.jobs else "job is unknown"


async def assume_cannot_send(self: LicenseProof, name: str) -> bool:
    return True


MUTATIONS: dict[str, list[tuple[type, str, Callable[..., Any]]]] = {
    "capacity is checked on processors only": [(Bookings, "obstacle", check_cpu_only)],
    "an earlier start is ignored": [(CellFold, "_task_obstacle", ignore_earlier_start)],
    "a task is started again without proof of its stop": [
        (WorkerKeeper, "_lapse_seconds", lambda self: 0.0),
        (LeaseBook, "lapsed", lambda self, worker, now: True),
        (LicenseProof, "cannot_send", assume_cannot_send),
        (TaskEndings, "_is_listed", lambda self, worker: False),
    ],
}


class TestMutations:
    @pytest.mark.parametrize("name", [None, *MUTATIONS])
    @scenario
    async def test_workers_detect_each_mutation(self, name, monkeypatch):
        for owner, attribute, replacement in MUTATIONS.get(name, []):
            monkeypatch.setattr(owner, attribute, replacement)
        found: list[Any] = []
        for events in (book_after_pause, start_after_pause, interrupt_worker):
            async with Rig(workers=3, members=ABC).running() as rig:
                await events(rig)
                found += rig.violations
        assert bool(found) == (name is not None)
