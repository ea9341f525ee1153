"""Cell whose entries come, go and return while writes of their records are lost or late."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio
from typing_extensions import override

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.platform.store import Store
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import Advice
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC
from ragworttiller.scheduling.membership.membership import Membership
from ragworttiller.scheduling.ownership.earlier_owner import (
    EarlierOwner,
    EarlierOwnerPeer,
    OwnerQuery,
    OwnerReplaced,
    OwnerStatus,
    TermEnded,
)
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import PeerStandbys, Standbys
from ragworttiller.scheduling.records.formats import ENTRIES, EntryRecord
from ragworttiller.scheduling.state.jobs import StageId
from standins.platform.service import Link
from standins.virtual_peers import VirtualNetwork, VirtualPeers
from tests.fault_injector import deliver_late
from tests.lasting_judge import CALM_SECONDS, RESTART_SECONDS, ROOM_SECONDS
from tests.owners_rig import Entry, OwnersRig
from tests.scheduling_rig import QUEUE, job_id, step

RUNNERS = 4
START_SECONDS = 2.0
# Bounds of the platform: from the end of all traffic, and without anything running.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
CHECK_SECONDS = 0.1
WITHDRAW_SECONDS = 0.5
HANDOVER_SECONDS = 4.0
DRAIN_SECONDS = 1.0
MIN_LATE_SECONDS, MAX_LATE_SECONDS = 1.0, 6.0
SHORT_CALLS = QUEUE._replace(prefix="/s/", advice=AdviceCost(0.018, 0.00026, 2.5))
LONG_CALLS = QUEUE._replace(prefix="/l/", advice=AdviceCost(0.37, 0.0053, 2.5))


class Change(NamedTuple):
    """Change of the entries or a fault around them; ``at`` and ``seconds`` are in seconds.

    ``kind`` is the name of the method of `Changes` that causes it, ``entry`` selects an entry.
    """

    kind: str
    at: float
    seconds: float
    entry: int


class JobKind(NamedTuple):
    """Job that has to start; ``seconds`` is how long its tasks run."""

    name: str
    queue: Queue
    steps: list[dict[str, Any]]
    seconds: float

    @property
    def lasts(self) -> bool:
        return bool(self.steps[0].get("daemon"))

    @property
    def tasks(self) -> int:
        return sum(row["count"] for row in self.steps)


TASK_SIZE = Resources(300, 100, 0)
JOBS = (
    JobKind("short calls", SHORT_CALLS, [step(4, 300)], 0.5),
    JobKind("long calls", LONG_CALLS, [step(4, 300)], 0.5),
    JobKind("two steps", LONG_CALLS, [step(2, 300), step(2, 300, after=[0])], 0.5),
    JobKind("gang", LONG_CALLS, [step(3, 300, gang=True)], 0.5),
    JobKind("lasting", LONG_CALLS, [step(2, 300, daemon=True)], 1000.0),
    JobKind("lasting, short calls", SHORT_CALLS, [step(2, 300, daemon=True)], 1000.0),
)


class VirtualAdvisor:
    """Advisor that allows every runner, and serves one call at a time for each entry."""

    def __init__(self, rig: MembersRig):
        self._rig = rig
        self._turn = anyio.Lock()

    async def advise(
        self, stage: StageId, runners: Sequence[str], timeout: float
    ) -> dict[str, str]:
        cost = self._rig.costs[str(stage).split(".")[0]]
        async with self._turn:
            await self._rig.timers.sleep(cost.decision + cost.per_runner * len(runners))
        return dict.fromkeys(runners, "t")


class EntriesLink(Link):
    """Link to the store for the records of the entries, of which writes may be lost or late."""

    def __init__(self, rig: MembersRig):
        super().__init__(rig.store, rig.timers)
        self._rig = rig

    @override
    async def request(self, *args: Any, **options: Any) -> Any:
        rng = self._rig.rng
        if args[0] == "POST" and self._rig.timers.now() < self._rig.writes_fail_until:
            fault = rng.choice(("none", "late", "late", "lost"))
            if fault == "late":
                seconds = rng.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS)
                self.late_next.append(seconds)
                self._rig.record_trouble(seconds)
            elif fault == "lost":
                self.lose_next += 1
        return await super().request(*args, **options)


class MemberEntry(Entry):
    """Entry that announces itself, and reaches the others over the network."""

    def __init__(self, rig: MembersRig, name: str, incarnation: int):
        self.rig = rig
        self.name = name
        self.peers = VirtualPeers(rig.network, name, incarnation, self.address, PEER_CODEC)
        self.entries_link = EntriesLink(rig)
        self.membership = Membership(
            Store("", 1.0, self.entries_link),
            self.peers,
            rig.timers,
            EntryRecord(self.address, incarnation, 1.0),
            VirtualAdvisor(rig),
            lambda: 0.0,
            lambda: self.host.gives_orders,
        )
        super().__init__(rig, name, incarnation)
        self.peers.handle(OwnerHeartbeat, self._handle_heartbeat)
        self.peers.handle(OwnerReplaced, self._handle_owner_replaced)
        self.peers.handle(OwnerQuery, self._handle_owner_query)

    @property
    def address(self) -> str:
        return self.rig.addresses[self.name]

    @property
    def links(self) -> list[Link]:
        return [*super().links, self.entries_link]

    def new_advice(self) -> Advice:
        return self.membership.advice

    def new_standbys(self) -> Standbys:
        self.standbys = PeerStandbys(self.peers, self.membership.members)
        return self.standbys

    def new_earlier_owner(self) -> EarlierOwner:
        return EarlierOwnerPeer(self.peers)

    async def _handle_heartbeat(self, sender: str, heartbeat: OwnerHeartbeat):
        self.host.record_heartbeat(heartbeat)

    async def _handle_owner_replaced(self, sender: str, message: OwnerReplaced) -> TermEnded:
        self.host.record_later_owner(message.epoch)
        return TermEnded(self.incarnation, self.address)

    async def _handle_owner_query(self, sender: str, message: OwnerQuery) -> OwnerStatus:
        return OwnerStatus(self.host.acts_as_owner(message.epoch))

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for feed in (self.config_feed, self.host.claims_feed, self.host.jobs_feed):
                    tasks.start_soon(feed.run)
                tasks.start_soon(self.peers.run)
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.host.run)

    async def end_as_planned(self):
        """Hand the cell over, withdraw the record, and end."""
        timers = self.rig.timers
        self.stop(next(iter(self.standbys.names()), ""))
        with timers.move_on_after(HANDOVER_SECONDS):
            while self.host.holds_cell:
                await timers.sleep(0.02)
        with timers.move_on_after(WITHDRAW_SECONDS):
            await self.membership.withdraw()
        await timers.sleep(DRAIN_SECONDS)
        self.scope.cancel()


class MembersRig(OwnersRig):
    """Cell whose entries reach each other through a network and their records in the store.

    Attributes
    ----------
    writes_fail_until : float
        Time until which writes of entry records are lost or late at random, in seconds.
    calm_since : float
        Time since which there was no disturbance, in seconds.
    costs : dict of str to AdviceCost
        Time that the advisor takes, by job.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self.network = VirtualNetwork(self.timers)
        self.rng = random.Random(0)
        self.addresses: dict[str, str] = {}
        self.writes_fail_until = 0.0
        self.calm_since = 0.0
        self.costs: dict[str, AdviceCost] = {}
        self._machines_added = 0

    def new_entry(self, name: str, incarnation: int) -> Entry:
        self.addresses.setdefault(name, f"{name}:1")
        return MemberEntry(self, name, incarnation)

    def record_trouble(self, seconds: float = 0.0):
        """Record a disturbance that lasts for some more seconds."""
        self.calm_since = max(self.calm_since, self.timers.now() + seconds)

    @property
    def running_entries(self) -> list[MemberEntry]:
        rows = [entry for entry in self.entries.values() if not entry.scope.cancel_called]
        return [entry for entry in rows if isinstance(entry, MemberEntry)]


class Changes:
    """Causes changes of the entries, of which at least one is left."""

    def __init__(self, rig: MembersRig):
        self._rig = rig
        self._added = 0

    async def cause(self, row: Change):
        """Cause a change at its time."""
        await self._rig.timers.sleep(row.at)
        rows = sorted(self._rig.running_entries, key=lambda entry: entry.name)
        rows = [entry for entry in rows if not entry.stopping]
        if rows:
            await getattr(self, row.kind)(rows[row.entry % len(rows)], row.seconds)
        self._rig.record_trouble()

    def _may_go(self) -> bool:
        return sum(not entry.stopping for entry in self._rig.running_entries) > 1

    async def kill(self, entry: MemberEntry, seconds: float):
        """Kill an entry, which starts again under its name."""
        self._rig.kill(entry.name)
        await self._rig.timers.sleep(seconds)
        self._rig.add_entry(entry.name)

    async def stop(self, entry: MemberEntry, seconds: float):
        """Stop an entry as planned, and start it again."""
        if self._may_go():
            await entry.end_as_planned()
            await self._rig.timers.sleep(min(seconds, 0.5))
            self._rig.add_entry(entry.name)

    async def stop_late(self, entry: MemberEntry, seconds: float):
        """Stop an entry and start it again, before its last write is carried out."""
        if self._may_go():
            entry.entries_link.late_next = [MAX_LATE_SECONDS] * 2
            self._rig.record_trouble(MAX_LATE_SECONDS)
            await self.stop(entry, 0.2)

    async def stop_owner(self, entry: MemberEntry, seconds: float):
        owner = self._rig.owner
        if isinstance(owner, MemberEntry) and not owner.stopping:
            await self.stop(owner, seconds)

    async def kill_owner(self, entry: MemberEntry, seconds: float):
        owner = self._rig.owner
        if isinstance(owner, MemberEntry) and not owner.stopping:
            await self.kill(owner, seconds)

    async def lose(self, entry: MemberEntry, seconds: float):
        """End an entry for good."""
        if self._may_go():
            self._rig.kill(entry.name)

    async def lose_most(self, entry: MemberEntry, seconds: float):
        """End all entries but one or two for good, at one moment."""
        rows = self._rig.running_entries
        left = self._rig.rng.sample(rows, min(len(rows), self._rig.rng.choice((1, 2))))
        for lost in rows:
            if lost not in left and self._may_go():
                self._rig.kill(lost.name)

    async def lose_power(self, entry: MemberEntry, seconds: float):
        """End the machine of an entry for good; connections to it are not reset."""
        if self._may_go():
            self._rig.network.silent.add(entry.address)
            self._rig.kill(entry.name)

    async def leave(self, entry: MemberEntry, seconds: float):
        """Stop an entry as planned, for good."""
        if self._may_go():
            await entry.end_as_planned()

    async def replace(self, entry: MemberEntry, seconds: float):
        """End the machine of an entry for good; another one gets its name, or a new name."""
        self._rig.network.silent.add(entry.address)
        self._rig.kill(entry.name)
        await self._rig.timers.sleep(seconds)
        self._added += 1
        if self._rig.rng.random() < 0.5:
            self._rig.addresses[entry.name] = f"{entry.name}-{self._added}:1"
            self._rig.add_entry(entry.name)
        else:
            self._add(f"{self._rig.rng.choice('amz')}{self._added}")

    async def reuse_address(self, entry: MemberEntry, seconds: float):
        """End an entry for good, whose address an entry with another name gets."""
        self._rig.kill(entry.name)
        await self._rig.timers.sleep(seconds)
        self._added += 1
        name = f"{self._rig.rng.choice('amz')}{self._added}"
        self._rig.addresses[name] = entry.address
        self._rig.add_entry(name)

    async def add(self, entry: MemberEntry, seconds: float):
        """Add an entry."""
        self._added += 1
        self._add(f"{self._rig.rng.choice('amz')}{self._added}")

    def _add(self, name: str):
        self._rig.add_entry(name)

    async def freeze(self, entry: MemberEntry, seconds: float):
        """Suspend the calls of an entry, and its messages."""
        until = self._rig.timers.now() + seconds
        for link in entry.links:
            link.paused_until = until
        await self._cut(entry, seconds)

    async def cut(self, entry: MemberEntry, seconds: float):
        """Cut an entry off from the others and from the store."""
        for link in (entry.store_link, entry.entries_link):
            link.cut = True
        await self._cut(entry, seconds)
        for link in (entry.store_link, entry.entries_link):
            link.cut = False

    async def cut_peers(self, entry: MemberEntry, seconds: float):
        """Cut an entry off from the others only."""
        await self._cut(entry, seconds)

    async def _cut(self, entry: MemberEntry, seconds: float):
        self._rig.network.silent.add(entry.address)
        await self._rig.timers.sleep(seconds)
        if not entry.scope.cancel_called:
            self._rig.network.silent.discard(entry.address)

    async def fail_writes(self, entry: MemberEntry, seconds: float):
        """Lose writes of entry records, or carry them out late, at random."""
        self._rig.writes_fail_until = self._rig.timers.now() + seconds
        await self._rig.timers.sleep(seconds)

    async def store_down(self, entry: MemberEntry, seconds: float):
        self._rig.store.down = True
        await self._rig.timers.sleep(seconds)
        self._rig.store.down = False

    async def expire(self, entry: MemberEntry, seconds: float):
        """Let the store forget its history of the entries."""
        self._rig.store.expire(ENTRIES.topic)


async def play(rig: MembersRig, entries: int, rows: Sequence[Change], seed: int) -> list[str]:
    """Play changes, and return which jobs do not start in time in the calm cell after them."""
    rig.rng.seed(seed)
    for number in range(1, entries + 1):
        rig.add_entry(f"e{number}")
    rig.tasks.start_soon(deliver_late, rig)
    await rig.timers.sleep(START_SECONDS)
    changes = Changes(rig)
    async with anyio.create_task_group() as tasks:
        for row in rows:
            tasks.start_soon(changes.cause, row)
    rig.network.silent -= {entry.address for entry in rig.running_entries}
    await rig.timers.sleep(max(rig.calm_since - rig.timers.now(), 0.0))
    calm_since = rig.timers.now()
    await rig.timers.sleep(rig.rng.choice((0.0, 5.0, 12.0)))
    return await _unstarted_jobs(rig, calm_since)


async def _unstarted_jobs(rig: MembersRig, calm_since: float) -> list[str]:
    """Submit a job of each kind, and return those that do not start in time."""
    jobs = {job_id(number): kind for number, kind in enumerate(JOBS, 1)}
    submitted_at = rig.timers.now()
    for job, kind in jobs.items():
        assert kind.queue.advice is not None
        rig.costs[job] = kind.queue.advice
        rig.work_by_job[job], rig.sizes[job] = kind.seconds, TASK_SIZE
        await rig.submit(job, *kind.steps, queue=kind.queue)
    finish = max(submitted_at, calm_since + FINISH_SECONDS) + IDLE_SECONDS
    lasting = max(submitted_at + RESTART_SECONDS, calm_since + CALM_SECONDS) + ROOM_SECONDS
    started: set[str] = set()
    while rig.timers.now() < max(finish, lasting):
        await rig.timers.sleep(CHECK_SECONDS)
        started |= {task for boot in rig.runners.values() for task in boot.running}
        late = [
            kind.name
            for job, kind in jobs.items()
            if rig.timers.now() >= (lasting if kind.lasts else finish)
            and not any(task.startswith(job) for task in started)
        ]
        if late:
            return [f"not started {rig.timers.now() - calm_since:.1f} s on: {late}"]
        if len(started) == sum(kind.tasks for kind in JOBS):
            break
    return rig.monitor.violations
