"""Several entries that may own one cell, with runners and a store, on virtual time."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    RUNNERS_TOPIC,
    KeyedRecord,
    Partition,
    Store,
)
from ragworttiller.platform.submissions import decode_job
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import Advice, AdviceCall
from ragworttiller.scheduling.ownership.cell_host import CellHost
from ragworttiller.scheduling.ownership.earlier_owner import EarlierOwner, TermEnded, proves_end
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import Standbys
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import (
    CANCEL_SUFFIX,
    JOBS,
    Accepted,
    Claim,
    JobState,
    encode,
)
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from standins.platform.runner import RunMonitor, RunnerService
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.scheduling_rig import QUEUE, job_body

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "checks", "host": "h", "path_prefix": "/q/", "service": "desk", "attempts": 2}
    ],
}


class NoAdvice(Advice):
    @property
    def entries(self) -> list[str]:
        return []

    async def ask(self, call: AdviceCall) -> dict[str, str]:
        raise AssertionError(call)


class RigStandbys(Standbys):
    """Delivers heartbeats to every other entry, unless `heartbeats_lost` is set."""

    def __init__(self, rig: OwnersRig, name: str):
        self._rig = rig
        self._name = name

    def send(self, heartbeat: OwnerHeartbeat) -> None:
        for name, entry in self._rig.entries.items():
            if name != self._name and not self._rig.heartbeats_lost:
                entry.host.record_heartbeat(heartbeat)


class RigEarlierOwner(EarlierOwner):
    """Reaches every running entry, unless `peers_cut` is set; its name is its address."""

    def __init__(self, rig: OwnersRig):
        self._rig = rig

    async def has_ended(self, claim: Claim, epoch: int) -> bool:
        entry = self._rig.entries[claim.owner]
        if self._rig.peers_cut or entry.scope.cancel_called:
            return False
        entry.host.record_later_owner(epoch)
        return proves_end(claim, TermEnded(entry.incarnation, entry.name))


class Entry:
    """One entry: its host, its links, and the scope that ends it."""

    def __init__(self, rig: OwnersRig, name: str, incarnation: int):
        self.rig = rig
        self.name = name
        self.incarnation = incarnation
        self.store_link = Link(rig.store, rig.timers)
        self.runner_links: dict[str, Link] = {}
        self.store = Store("", 1.0, self.store_link)
        self.config = QueueFold()
        self.config_feed = Feed(self.store, Partition(CONFIG_TOPIC), self.config, rig.timers)
        self.host = CellHost(
            self.store,
            self.config,
            NoAdvice(),
            rig.timers,
            name,
            incarnation,
            connect=self.connect,
            standbys=RigStandbys(rig, name),
            address=name,
            earlier_owner=RigEarlierOwner(rig),
        )
        self.scope = anyio.CancelScope()

    @property
    def links(self) -> list[Link]:
        return [self.store_link, *self.runner_links.values()]

    def link(self, runner: str) -> Link:
        if runner not in self.runner_links:
            self.runner_links[runner] = Link(self.rig.runners[runner], self.rig.timers)
        return self.runner_links[runner]

    def connect(self, runner: str, address: str) -> RunnerClient:
        return RunnerClient(runner, address, self.link(runner))

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for feed in (self.config_feed, self.host.claims_feed, self.host.jobs_feed):
                    tasks.start_soon(feed.run)
                tasks.start_soon(self.host.run)


class OwnersRig:
    """Entries, runners and the store of one cell."""

    def __init__(self, tasks: TaskGroup, runners: int = 3, work: float = 0.5):
        self.tasks = tasks
        self.timers = LoopTimers()
        self.store = StoreService(self.timers)
        self.monitor = RunMonitor()
        self.runners: dict[str, RunnerService] = {}
        self.entries: dict[str, Entry] = {}
        self.work = work
        self.sizes: dict[str, Resources] = {}
        self.client = Store("", 1.0, Link(self.store, self.timers))
        self.heartbeats_lost = False
        self.peers_cut = False
        self._incarnation = 0
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(CONFIG).encode())
        for number in range(1, runners + 1):
            self.add_runner(f"w{number}")

    def add_runner(self, name: str, address: str = ""):
        size = Resources(4000, 8000, 0)
        self.runners[name] = RunnerService(
            name,
            self.timers,
            self.monitor,
            size,
            work=lambda task: self.work,
            rate=0.98,
            size=lambda task: self.sizes.get(task.split(".")[0], Resources(1000, 100, 0)),
        )
        entry = self.runners[name].record("desk", address or f"{name}:1")
        self.store.put(RUNNERS_TOPIC, name, entry)

    def add_entry(self, name: str) -> Entry:
        self._incarnation += 1
        entry = self.entries[name] = Entry(self, name, self._incarnation)
        self.tasks.start_soon(entry.run)
        return entry

    def kill(self, name: str):
        self.entries[name].scope.cancel()

    @property
    def owner(self) -> Entry | None:
        """First running entry that acts as the owner of the cell."""
        for entry in self.entries.values():
            if entry.host.owner is not None and not entry.scope.cancel_called:
                return entry
        return None

    async def submit(self, job: str, *steps: dict):
        accepted = Accepted(QUEUE, decode_job(job_body(*steps)), self.timers.wall())
        await self._append(KeyedRecord(job, encode(accepted)))

    async def cancel(self, job: str):
        await self._append(KeyedRecord(job + CANCEL_SUFFIX, b"1"))

    async def _append(self, record: KeyedRecord):
        while True:
            try:
                await self.client.append(JOBS, [record])
                return
            except (LogUnavailable, AppendUndecided):
                await self.timers.sleep(0.2)

    async def state(self, job: str) -> JobState:
        fold = JobFold()
        await Feed(self.client, JOBS, fold, self.timers).catch_up()
        row = fold.get(job)
        assert row is not None
        return row.state

    async def wait_completed(self, *jobs: str, within: float = 60.0) -> float:
        """Wait until the jobs are completed and return the seconds that it took."""
        start = self.timers.now()
        while self.timers.now() < start + within:
            if all([await self.state(job) == JobState.COMPLETED for job in jobs]):
                return self.timers.now() - start
            await self.timers.sleep(0.1)
        raise AssertionError(f"not completed: {[await self.state(job) for job in jobs]}")


def job_id(number: int) -> str:
    return f"{number:016x}"


def with_rig(body: Callable[[OwnersRig], Awaitable[None]], runners: int = 3, work: float = 0.5):
    async def main():
        async with anyio.create_task_group() as tasks:
            await body(OwnersRig(tasks, runners, work))
            tasks.cancel_scope.cancel()

    run_virtual(main)


async def start_entries(rig: OwnersRig, names: tuple[str, ...] = ("e1", "e2", "e3")):
    for name in names:
        rig.add_entry(name)
    await rig.timers.sleep(2.0)
    assert rig.owner is not None
