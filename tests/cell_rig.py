"""Cells of several instances over one stand-in log, network and fleet, in simulated time."""

from __future__ import annotations

import inspect
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio

from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import NotFound, RagworttillerError
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.cell import Cell
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.jobs import Jobs
from ragworttiller.process.membership import FixedMembership
from ragworttiller.process.quotas import ShardRooms
from ragworttiller.process.shards import ShardHost
from ragworttiller.process.stream import Stream
from ragworttiller.records import RECORD_CODEC, cell_stream
from ragworttiller.resources import Resources
from ragworttiller.services.directory import ListedEntry, ListedWorker, Listing
from ragworttiller.timers import ManualTimers, TimerService
from standins.agent import WorkerAgent
from standins.memory import MemoryLog, MemoryWorker, MemoryWorkerFleet
from standins.peers import MemoryNetwork
from tests.gates import Gate, GatedFleet, GatedLog, GatedTimers

STEP_SECONDS = 0.05
SIZE = Resources(4000, 8192, 0)
BATCH: dict[str, Any] = {
    "kind": "batch",
    "idempotent": True,
    "tasks": 1,
    "cpu": 1000,
    "memory": 1024,
    "run_time": 1.0,
}


class Item(NamedTuple):
    version: int
    body: dict[str, Any]


class FakeRegistry:
    """Items by workspace, kind and name."""

    def __init__(self) -> None:
        self.items: dict[tuple[str, str, str], Item] = {}

    def get(self, workspace: str, kind: str, name: str) -> Item:
        item = self.items.get((workspace, kind, name))
        if item is None:
            raise NotFound(kind=kind, name=name)
        return item

    def put(self, workspace: str, kind: str, name: str, body: dict[str, Any]) -> None:
        self.items[workspace, kind, name] = Item(len(self.items) + 1, body)


class Instance:
    """One incarnation of one instance."""

    def __init__(self, rig: Rig, name: str, incarnation: int) -> None:
        self.name = name
        self.rig = rig
        self.gate = Gate()
        self.timers = GatedTimers(rig.timers, self.gate)
        self.log: Any = GatedLog(rig.log, self.gate, self.pause)
        self.start_gate = Gate()
        self.fleet = GatedFleet(rig.fleet, self.gate, self.start_gate)
        self.decisions = DecisionLog(kept=100_000)
        self.membership = FixedMembership(name, rig.members, incarnation)
        self.budget = AppendBudget(self.timers, 1000.0)
        self.rooms = ShardRooms(rig.timers.now)
        self.peers = rig.network.peers(name)
        self.cells: dict[int, Cell] = {}
        self.host = ShardHost(
            "cell", rig.shards, cell_stream, self.membership, self._start, rig.timers
        )
        self.jobs = Jobs(
            self.peers,
            self.membership,
            self.host,
            rig.registry,
            rig.shards,
            self.timers,
            self.rooms,
        )
        self.scope = anyio.CancelScope()

    def pause(self) -> None:
        """Pause the process."""
        self.gate.close()
        self.rig.network.hold(self.name)

    def resume(self) -> None:
        """Resume the process."""
        self.gate.open()
        self.rig.network.release(self.name)

    async def run(self) -> None:
        with self.scope:
            await self.host.run()

    def _start(self, shard: int) -> Cell:
        stream = Stream(
            cell_stream(shard),
            self.log,
            CellFold(shard),
            self.timers,
            self.budget,
            self.membership.holder,
        )
        self.cells[shard] = Cell(
            shard,
            stream,
            self.fleet,
            self.peers,
            self.membership,
            self.rig.registry,
            self.timers,
            self.decisions,
            lambda: self.rig.listing,
            shards=self.rig.shards,
            rooms=self.rooms,
            seed=self.rig.seed + shard + 100 * ord(self.name[0]),
        )
        return self.cells[shard]


class Rig:
    """Instances, workers and the operator's view of them."""

    def __init__(
        self,
        workers: int | dict[str, Resources] = 2,
        members: tuple[str, ...] = ("a",),
        shards: int = 1,
        seed: int = 1,
        timers: TimerService | None = None,
    ) -> None:
        self.timers = timers or ManualTimers()
        self.log = MemoryLog(self.timers)
        self.network = MemoryNetwork(self.timers)
        self.registry = FakeRegistry()
        self.members = list(members)
        self.shards = shards
        self.seed = seed
        sizes = workers if isinstance(workers, dict) else {f"w{n}": SIZE for n in range(workers)}
        self.sizes = sizes
        self.fleet = MemoryWorkerFleet(self.timers, sizes)
        self.states = dict.fromkeys(sizes, "live")
        self.instances: dict[str, Instance] = {}
        self.submitted: dict[str, Any] = {}
        self.list_workers()

    def add_worker(self, name: str) -> None:
        """Add a worker to the fleet and the list."""
        self.sizes[name], self.states[name] = SIZE, "live"
        agent = WorkerAgent(name, SIZE, self.timers, self.fleet.cell, 0.0)
        self.fleet.workers[name] = MemoryWorker(name, agent)
        self.list_workers()

    def remove_worker(self, name: str) -> None:
        """Remove a worker from the list; its tasks run until their leases expire."""
        self.fleet.workers[name].down = True
        del self.states[name]
        self.list_workers()

    def list_workers(self) -> None:
        """Rebuild the platform's list."""
        workers = [
            ListedWorker(
                name, f"host/{name}", self.sizes[name], f"fd{i % 2}", f"rack{i % 4}", [], state
            )
            for i, (name, state) in enumerate(self.states.items())
        ]
        entries = [ListedEntry(name, "", "", "", "live") for name in self.members]
        self.listing = Listing(entries, [], workers)

    @property
    def jobs(self) -> Jobs:
        """Operators' calls at the first instance."""
        return self.instances[self.members[0]].jobs

    @property
    def violations(self) -> list[Any]:
        """Safety violations that the stand-in workers detected."""
        for worker in self.fleet.workers.values():
            worker.agent.end_due_tasks()
        return self.fleet.cell.violations

    @property
    def starts(self) -> list[Any]:
        """Start events in the workers' journal."""
        return [event for event in self.fleet.cell.journal if event.event == "start"]

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Rig]:
        """Run the network and all members."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.network.run)
            for name in self.members:
                self.start(name)
            await self.advance(1.0)
            yield self
            tasks.cancel_scope.cancel()

    def start(self, name: str, incarnation: int = 1) -> Instance:
        """Start an instance."""
        instance = self.instances[name] = Instance(self, name, incarnation)
        self.tasks.start_soon(instance.run)
        return instance

    def kill(self, name: str) -> None:
        """Kill an instance and remove it from the members that the others see."""
        self.instances.pop(name).scope.cancel()
        self.network.remove(name)
        self.set_members([member for member in self.members if member != name])

    def records(self, kind: type) -> list[Any]:
        """Return the records of a type in the streams of all shards."""
        streams = [cell_stream(shard) for shard in range(self.shards)]
        found = [RECORD_CODEC.decode_one(entry) for s in streams for entry in self.log.entries(s)]
        return [record for record in found if isinstance(record, kind)]

    def split(self) -> None:
        """Make each instance see itself as the only member."""
        for name, instance in self.instances.items():
            instance.membership.set_members([name])

    def set_members(self, members: list[str]) -> None:
        """Change the members that all instances see."""
        self.members = members
        self.list_workers()
        for instance in self.instances.values():
            instance.membership.set_members(members)

    async def advance(self, seconds: float) -> None:
        """Advance simulated time, or sleep if the timers are the system's."""
        if isinstance(self.timers, ManualTimers):
            await self.timers.advance(seconds)
        else:
            await self.timers.sleep(seconds)

    async def call(self, call: Coroutine[Any, Any, Any], seconds: float = 20.0) -> Any:
        """Return the result of a call, advancing time while it waits."""
        result: list[Any] = []

        async def run() -> None:
            try:
                result.append(await call)
            except Exception as exc:
                result.append(exc)

        self.tasks.start_soon(run)
        end = self.timers.now() + seconds
        while not result and self.timers.now() < end:
            await self.advance(STEP_SECONDS)
        assert result, "no answer in time"
        if isinstance(result[0], Exception):
            raise result[0]
        return result[0]

    async def submit(self, key: str, workspace: str = "ws", **fields: Any) -> str:
        """Publish a template under the key's name and submit it; return the job."""
        self.registry.put(workspace, "template", key, {**BATCH, **fields})
        status = await self.call(self.jobs.submit(workspace, key, {}, key))
        return str(status["job"])

    def submit_soon(self, key: str, workspace: str = "ws", **fields: Any) -> None:
        """Submit a job without waiting for the answer."""
        self.submit_at(key, self.members[0], workspace, **fields)

    def submit_at(self, key: str, entry: str, workspace: str = "ws", **fields: Any) -> None:
        """Submit a job at an entry without waiting; failed submissions are retried."""
        self.registry.put(workspace, "template", key, {**BATCH, **fields})
        self.tasks.start_soon(self.submit_until_answered, workspace, key, key, entry)

    async def submit_until_answered(
        self, workspace: str, template: str, key: str, entry: str
    ) -> None:
        """Submit a job of a published template, and retry until it is answered."""
        while True:
            jobs = self.instances[entry].jobs
            try:
                self.submitted[key] = await jobs.submit(workspace, template, {}, key)
                return
            except RagworttillerError:
                await self.timers.sleep(1.0)

    async def until(self, condition: Callable[[], Any], seconds: float = 60.0) -> float:
        """Advance time until a condition holds; return the seconds it took."""
        began = self.timers.now()
        while not condition():
            assert self.timers.now() - began < seconds, "condition not met in time"
            await self.advance(STEP_SECONDS)
        return self.timers.now() - began

    async def state(self, job: str) -> str:
        """Return the state of a job."""
        return str((await self.call(self.jobs.status(job)))["state"])

    async def finished(self, job: str, seconds: float = 60.0) -> dict[str, Any]:
        """Wait for the end of a job and return its status."""
        return dict(await self.call(self.jobs.wait(job, seconds), seconds + 5))


def scenario(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Return a synchronous test that runs an async one."""

    def run(*arguments: Any, **named: Any) -> None:
        async def main() -> None:
            await test(*arguments, **named)

        anyio.run(main)

    run.__name__ = test.__name__
    run.__signature__ = inspect.signature(test)  # type: ignore[attr-defined]
    return run
