"""Several entries that may own one cell, with runners and a store, on virtual time."""

from __future__ import annotations

import json
import random
import re
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.platform.channel import split_address
from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    RUNNERS_TOPIC,
    KeyedRecord,
    Partition,
    Store,
    StoreLimits,
)
from ragworttiller.platform.submissions import decode_job
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import Advice, AdviceCall
from ragworttiller.scheduling.decisions.cell_policies import CellPolicies, default_policies
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
    encode_cancel,
)
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE
from standins.platform.machine import Machine
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
CRASH_DELAY_SECONDS = 0.01
RETURN_SECONDS = 3.0
APPEND_TIMEOUT_SECONDS = 10.0
CAPACITY = Resources(4000, 8000, 0)
# Share of the machines on which the advisor allows a stage of a queue that asks it.
ALLOWED_SHARE = 0.7


class RigAdvice(Advice):
    """Allows each stage on the machines that the rig does, through the running entries."""

    def __init__(self, rig: OwnersRig):
        self._rig = rig

    @property
    def entries(self) -> list[str]:
        entries = self._rig.entries.values()
        return [entry.name for entry in entries if not entry.scope.cancel_called]

    async def ask(self, call: AdviceCall) -> dict[str, str]:
        await self._rig.timers.sleep(call.wait + call.duration)
        return {name: "t" for name in call.runners if self._rig.allows(str(call.stage), name)}


class RigStandbys(Standbys):
    """Delivers heartbeats to every other entry, unless `heartbeats_lost` is set."""

    def __init__(self, rig: OwnersRig, name: str):
        self._rig = rig
        self._name = name

    def send(self, heartbeat: OwnerHeartbeat) -> None:
        for name, entry in self._rig.entries.items():
            if name != self._name and not self._rig.heartbeats_lost:
                entry.host.record_heartbeat(heartbeat)

    def rank_after(self, owner: str) -> int:
        return sorted(set(self._rig.entries) - {owner}).index(self._name)


class RigEarlierOwner(EarlierOwner):
    """Reaches the running entries that reach the store, unless `peers_cut` is set.

    The name of an entry is its address.
    """

    def __init__(self, rig: OwnersRig):
        self._rig = rig

    def _reaches(self, entry: Entry) -> bool:
        paused = entry.store_link.paused_until > self._rig.timers.now()
        ended = entry.scope.cancel_called
        return not (self._rig.peers_cut or ended or paused or entry.store_link.cut)

    async def is_acting(self, claim: Claim) -> bool:
        entry = self._rig.entries[claim.owner]
        return self._reaches(entry) and entry.host.acts_as_owner(claim.epoch)

    async def has_ended(self, claim: Claim, epoch: int) -> bool:
        entry = self._rig.entries[claim.owner]
        if not self._reaches(entry):
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
        self.store = Store("", 1.0, self.store_link, limits=rig.store_limits)
        self.config = QueueFold()
        self.config_feed = Feed(self.store, Partition(CONFIG_TOPIC), self.config, rig.timers)
        self.host = CellHost(
            self.store,
            self.config,
            self.new_advice(),
            rig.timers,
            name,
            incarnation,
            connect=self.connect,
            standbys=self.new_standbys(),
            address=self.address,
            earlier_owner=self.new_earlier_owner(),
            policies=rig.policies,
        )
        self.scope = anyio.CancelScope()
        self.stopping = False

    @property
    def links(self) -> list[Link]:
        return [self.store_link, *self.runner_links.values()]

    @property
    def address(self) -> str:
        """Address at which it listens for the other entries."""
        return self.name

    def new_advice(self) -> Advice:
        return RigAdvice(self.rig)

    def new_standbys(self) -> Standbys:
        return RigStandbys(self.rig, self.name)

    def new_earlier_owner(self) -> EarlierOwner:
        return RigEarlierOwner(self.rig)

    def link(self, machine: str) -> Link:
        """Return the link to a machine, on which each of its boots answers, if there are any."""
        if machine not in self.runner_links:
            service = self.rig.machines.get(machine) or Machine(machine, self.rig.timers)
            self.runner_links[machine] = Link(service, self.rig.timers)
        return self.runner_links[machine]

    def connect(self, runner: str, address: str) -> RunnerClient:
        return RunnerClient(runner, address, self.link(split_address(address)[0]))

    def stop(self, successor: str):
        """Stop as planned, in favour of a successor."""
        self.stopping = True
        self.host.stop(successor)

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for feed in (self.config_feed, self.host.claims_feed, self.host.jobs_feed):
                    tasks.start_soon(feed.run)
                tasks.start_soon(self.host.run)


class OwnersRig:
    """Entries, runners and the store of one cell."""

    def __init__(
        self, tasks: TaskGroup, runners: int = 3, work: float = 0.5, keeps_ids: bool = False
    ):
        self.tasks = tasks
        self.timers = LoopTimers()
        self.store = StoreService(self.timers)
        self.monitor = RunMonitor()
        self.machines: dict[str, Machine] = {}
        self.entries: dict[str, Entry] = {}
        self.started_entries: list[Entry] = []
        self.work = work
        self.work_by_job: dict[str, float] = {}
        self.failing: set[str] = set()
        self.deadly: set[str] = set()
        # Whether the next boot of a machine keeps the identifier of the one before.
        self.keeps_ids = keeps_ids
        # Time after which a machine that was crashed by a task is up again.
        self.return_seconds = RETURN_SECONDS
        # Time from the start of a task to the crash that it causes.
        self.crash_seconds = CRASH_DELAY_SECONDS
        # Whether a machine that was crashed by a task refuses connections until it is up again.
        self.refuses_after_crash = True
        self.stop_seconds = 0.0
        self.sizes: dict[str, Resources] = {}
        self.client = Store("", 1.0, Link(self.store, self.timers))
        self.heartbeats_lost = False
        self.peers_cut = False
        self.policies: Callable[[], CellPolicies] = default_policies
        # What a boot reports of a task: its tail latency in milliseconds, if it serves.
        self.figure: Callable[[str, str], float] = lambda boot, task: 0.0
        self.draining: dict[str, float] = {}
        # Limits that the entries are told; the store has its own.
        self.store_limits = StoreLimits()
        # Checkpoint of each task.
        self.saves: Callable[[str], str] = lambda task: ""
        self._boots = 0
        self._incarnation = 0
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(CONFIG).encode())
        for number in range(1, runners + 1):
            self.add_runner(f"w{number}")

    @property
    def runners(self) -> dict[str, RunnerService]:
        """Boots that are up, by identifier."""
        boots = [machine.boot for machine in self.machines.values()]
        return {boot.name: boot for boot in boots if boot is not None}

    def add_runner(self, name: str):
        """Add a machine whose first boot has its name."""
        self.machines[name] = Machine(name, self.timers)
        self.boot(name, name)

    def boot(self, machine: str, name: str):
        """Start a boot on a machine that is off, and list it."""
        options = {
            "work": self.work_seconds,
            "fails": self.fails,
            "rate": 0.98,
            "size": lambda task: self.sizes.get(task.split(".")[0], Resources(1000, 100, 0)),
            "stop_seconds": self.stop_seconds,
            "on_start": lambda task: self._on_start(machine, task),
            "born": int(self.timers.wall() * 1000) if self.keeps_ids else 0,
            "figure": lambda task: self.figure(name, task),
            "saves": lambda task: self.saves(task),
        }
        self.machines[machine].boot = self.new_boot(machine, name, options)
        self.list_boot(machine)

    def new_boot(self, machine: str, name: str, options: dict[str, Any]) -> RunnerService:
        """Return a boot of a machine."""
        return RunnerService(name, self.timers, self.monitor, CAPACITY, **options)

    def _on_start(self, machine: str, task: str):
        if task in self.deadly:
            self.tasks.start_soon(self.crash_and_return, machine)

    async def crash_and_return(self, machine: str):
        """Crash the boot of a machine after a while; the next boot follows some seconds later."""
        if self.crash_seconds > CRASH_DELAY_SECONDS:
            await self.timers.sleep(self.crash_seconds - CRASH_DELAY_SECONDS)
        self.machines[machine].refuses = self.refuses_after_crash
        await self.timers.sleep(CRASH_DELAY_SECONDS)
        if self.machines[machine].boot is None:
            return
        self.machines[machine].crash()
        await self.timers.sleep(self.return_seconds)
        if self.machines[machine].boot is None:
            self.boot(machine, self.new_boot_name(machine))

    def new_boot_name(self, machine: str) -> str:
        """Return the identifier of the next boot, by default one that no boot has had."""
        if self.keeps_ids:
            return machine
        self._boots += 1
        return f"{machine}-boot{self._boots}"

    def list_boot(self, machine: str):
        """Write the record of the boot that is up on a machine."""
        boot, address = self.machines[machine].boot, self.machines[machine].address
        remaining = self.draining.get(machine)
        state = "ready" if remaining is None else "draining"
        if boot is not None:
            self.list_entry(boot.name, boot.record("desk", address, state, remaining))

    def list_entry(self, runner: str, entry: bytes = b""):
        """Write the record of a runner, empty to drop it from the list."""
        self.store.put(RUNNERS_TOPIC, runner, entry)

    def work_seconds(self, task: str) -> float:
        """Return the run time of a task."""
        return self.work_by_job.get(task.split(".")[0], self.work)

    def fails(self, task: str, run: int) -> bool:
        """Return whether a run fails at its end."""
        return task.split(".")[0] in self.failing

    def add_entry(self, name: str) -> Entry:
        """Start an entry; an earlier start of the same name ends."""
        if name in self.entries:
            self.kill(name)
        self._incarnation += 1
        entry = self.entries[name] = self.new_entry(name, self._incarnation)
        self.started_entries.append(entry)
        self.tasks.start_soon(entry.run)
        return entry

    def new_entry(self, name: str, incarnation: int) -> Entry:
        return Entry(self, name, incarnation)

    def kill(self, name: str):
        self.entries[name].scope.cancel()

    def restart_killed(self):
        """Start all entries that were killed."""
        for entry in list(self.entries.values()):
            if entry.scope.cancel_called:
                self.add_entry(entry.name)

    @property
    def owner(self) -> Entry | None:
        """First running entry that acts as the owner of the cell."""
        for entry in self.entries.values():
            if entry.host.owner is not None and not entry.scope.cancel_called:
                return entry
        return None

    async def cut_off(self, machine: str, seconds: float):
        """Cut a machine off from all entries for a while."""
        links = [entry.link(machine) for entry in self.entries.values()]
        for link in links:
            link.cut = True
        await self.timers.sleep(seconds)
        for link in links:
            link.cut = False

    def allows(self, stage: str, boot: str) -> bool:
        """Return whether the advisor allows a stage on the machine of a boot."""
        machine = re.split("[-@]", boot)[0]
        return random.Random(f"{stage} {machine}").random() < ALLOWED_SHARE

    async def submit(
        self, job: str, *steps: dict, queue: Queue = QUEUE, workspace: str = NO_WORKSPACE
    ):
        accepted = Accepted(queue, decode_job(job_body(*steps)), self.timers.wall(), workspace)
        await self._append(KeyedRecord(job, encode(accepted)))

    async def cancel(self, job: str, workspace: str = NO_WORKSPACE):
        await self._append(KeyedRecord(job + CANCEL_SUFFIX, encode_cancel(workspace)))

    async def _append(self, record: KeyedRecord):
        while True:
            try:
                # An append that was sent has its result before its caller ends: no other follows.
                with anyio.CancelScope(shield=True):
                    await self.client.append(JOBS, [record], timeout=APPEND_TIMEOUT_SECONDS)
                return
            except (LogUnavailable, AppendUndecided):
                await self.timers.sleep(0.2)

    async def states(self, jobs: Iterable[str]) -> list[JobState]:
        fold = JobFold()
        await Feed(self.client, JOBS, fold, self.timers).catch_up()
        rows = [fold.get(job) for job in jobs]
        assert None not in rows
        return [row.state for row in rows if row is not None]

    async def wait_completed(self, *jobs: str, within: float = 60.0) -> float:
        """Wait until the jobs are completed and return the seconds that it took."""
        start = self.timers.now()
        while self.timers.now() < start + within:
            states = await self.states(jobs)
            if all(state == JobState.COMPLETED for state in states):
                return self.timers.now() - start
            await self.timers.sleep(0.1)
        states = dict(zip(jobs, map(str, await self.states(jobs)), strict=True))
        unfinished = {job: state for job, state in states.items() if state != JobState.COMPLETED}
        raise AssertionError(f"not completed: {unfinished}")


def with_rig(
    body: Callable[[Any], Awaitable[None]],
    runners: int = 3,
    work: float = 0.5,
    keeps_ids: bool = False,
    rig_type: type[OwnersRig] = OwnersRig,
):
    async def main():
        async with anyio.create_task_group() as tasks:
            await body(rig_type(tasks, runners, work, keeps_ids))
            tasks.cancel_scope.cancel()

    run_virtual(main)


async def start_entries(rig: OwnersRig, names: tuple[str, ...] = ("e1", "e2", "e3")):
    for name in names:
        rig.add_entry(name)
    await rig.timers.sleep(2.0)
    assert rig.owner is not None
