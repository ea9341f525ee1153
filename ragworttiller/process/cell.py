"""Owner of one cell shard: its workers, its jobs and their placement."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.decisions import DecisionLog
from ragworttiller.messages import ShardRoom
from ragworttiller.process.cell_calls import CellCalls
from ragworttiller.process.cell_state import CellContext, CellState, Items
from ragworttiller.process.declarations import Declarations
from ragworttiller.process.gangs import Gangs
from ragworttiller.process.hold_client import HoldClient
from ragworttiller.process.hold_server import HoldServer
from ragworttiller.process.job_submissions import JobSubmissions
from ragworttiller.process.learning import Learner
from ragworttiller.process.license_proof import begin_serving, end_serving
from ragworttiller.process.lifecycle import Lifecycle
from ragworttiller.process.membership import Membership
from ragworttiller.process.overflow import Overflow
from ragworttiller.process.peers import Peers
from ragworttiller.process.placer import Placer
from ragworttiller.process.policies import WorkspacePolicies
from ragworttiller.process.preemption import Preemption
from ragworttiller.process.quarantine import Quarantine
from ragworttiller.process.quotas import Quotas, ShardRooms
from ragworttiller.process.remote_tasks import RemoteTasks
from ragworttiller.process.retries import Retries
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.scheduler import SCHEDULING_PERIOD_SECONDS, Scheduler
from ragworttiller.process.shards import ShardService
from ragworttiller.process.snapshots import DEFAULT_RETENTION, Retention, SnapshotWriter
from ragworttiller.process.stream import Stream
from ragworttiller.process.task_endings import TaskEndings
from ragworttiller.process.task_sizes import TaskSizes
from ragworttiller.process.task_starter import TaskStarter
from ragworttiller.process.worker_keeper import WorkerKeeper
from ragworttiller.records import OwnerBegan
from ragworttiller.resources import NO_RESOURCES
from ragworttiller.services.directory import Listing
from ragworttiller.services.worker import WorkerFleet
from ragworttiller.timers import TimerService

HOUSEKEEPING_PERIOD_SECONDS = 2.0
CLEANUP_PERIOD_SECONDS = 20.0
IDLE_SCHEDULING_PERIOD_SECONDS = 1.0
BROADCAST_PERIOD_SECONDS = 2.0
FAST_BROADCAST_PERIOD_SECONDS = 0.5
REPEAT_BROADCAST_PERIOD_SECONDS = 20.0
HAND_OVER_TIMEOUT_SECONDS = 3.0
HAND_OVER_POLL_SECONDS = 0.02


class Cell(ShardService):
    """Owner of one cell shard.

    Parameters
    ----------
    shard : int
        Number of the shard.
    stream : Stream
        The shard's stream, whose fold is a `CellFold`.
    fleet : WorkerFleet
        Clients of the workers.
    peers : Peers
        Messages to other instances.
    membership : Membership
        Live instances.
    items : Items
        Current configuration: policies and quotas of workspaces.
    timers : TimerService
        Source of time.
    decisions : DecisionLog
        Log of placement decisions.
    listing : Callable
        Returns the platform's list as last read.
    shards : int
        Number of cell shards.
    rooms : ShardRooms
        Latest broadcasts of all shards, shared by all cells of a process.
    retention : Retention
        Minimum retention of the stream in the log.
    seed : int
        Seed of the random number generator for placements.
    """

    def __init__(
        self,
        shard: int,
        stream: Stream,
        fleet: WorkerFleet,
        peers: Peers,
        membership: Membership,
        items: Items,
        timers: TimerService,
        decisions: DecisionLog,
        listing: Callable[[], Listing],
        *,
        shards: int,
        rooms: ShardRooms | None = None,
        retention: Retention = DEFAULT_RETENTION,
        seed: int = 0,
    ) -> None:
        rng = random.Random(seed)
        context = CellContext(
            shard,
            shards,
            stream,
            fleet,
            peers,
            membership,
            items,
            timers,
            decisions,
            listing,
            rng,
        )
        self._context = context
        self._state = CellState(context)
        self._shard_rooms = rooms or ShardRooms(timers.now)
        self._snapshots = SnapshotWriter(stream, timers, retention)
        self._last_broadcast: ShardRoom | None = None
        self._last_broadcast_at = 0.0
        self._cleaned_up_at = 0.0
        self._build(rng)

    @property
    @override
    def ready(self) -> bool:
        return self._context.stream.ready and not self._state.stopping

    @property
    def holder(self) -> str:
        """Name under which this owner holds licenses."""
        return self._state.holder

    @property
    def started(self) -> int:
        """Number of start commands that workers have answered."""
        return self._starter.started

    def _build(self, rng: random.Random) -> None:
        state = self._state
        retries, quarantine, learner = Retries(), Quarantine(), Learner()
        policies = self._policies = WorkspacePolicies(self._context.items, rng)
        self._rooms = RoomView(state.fold, rng)
        sizes = TaskSizes(state, self._rooms)
        self._endings = TaskEndings(state, retries, quarantine, learner, sizes)
        self._keeper = WorkerKeeper(state, self._rooms, self._endings)
        self._starter = TaskStarter(state, self._rooms, self._endings)
        self._placer = Placer(state, self._rooms, policies, quarantine, retries, learner)
        self._quotas = Quotas(
            self._context.items, self._context.shard, self._context.shards, self._shard_rooms
        )
        gangs = Gangs(state, self._rooms, learner)
        self._scheduler = Scheduler(
            state, self._rooms, self._placer, self._starter, retries, learner, self._quotas, gangs
        )
        self._preemption = Preemption(state, self._rooms, self._placer, self._scheduler)
        self._holds = HoldServer(
            state, self._rooms, self._placer, gangs, self._scheduler, self._preemption
        )
        self._endings.on_remote_end = self._holds.queue_end
        self._remote_tasks = RemoteTasks(state, retries, learner)
        self._lifecycle = Lifecycle(state, self._scheduler, retries, self._remote_tasks.queue_stop)
        self._declarations = Declarations(state, self._rooms, self._placer)
        self._overflow = Overflow(
            state,
            self._scheduler,
            self._placer,
            self._starter,
            self._quotas,
            self._shard_rooms,
            HoldClient(state, learner),
            rng,
        )
        self._calls = CellCalls(
            state,
            self._scheduler,
            self._placer,
            self._rooms,
            JobSubmissions(state, self._quotas),
            self._holds,
            self._remote_tasks,
        )

    async def answer(self, verb: str, arguments: dict[str, Any]) -> Any:
        """Answer a call from an entry or from another shard's owner."""
        return await self._calls.answer(verb, arguments)

    @override
    async def run(self) -> None:
        begin_serving(self.holder)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._context.stream.run)
                tasks.start_soon(self._announce)
                tasks.start_soon(self._keeper.run)
                tasks.start_soon(self._snapshots.run)
                await self._context.stream.wait_ready()
                for loop in (self._endings.run, self._holds.run, self._run_housekeeping):
                    tasks.start_soon(loop)
                await self._schedule(tasks)
        finally:
            end_serving(self.holder)

    @override
    async def hand_over(self) -> None:
        self._state.stopping = True
        with self._context.timers.move_on_after(HAND_OVER_TIMEOUT_SECONDS):
            while self._state.planned:
                await self._context.timers.sleep(HAND_OVER_POLL_SECONDS)
            await self._context.stream.flush()

    async def _announce(self) -> None:
        """Record the begin of this owner."""
        stream = self._context.stream
        await stream.post_and_wait(OwnerBegan(stream.record_id(), self.holder))
        self._state.began = True

    async def _schedule(self, tasks: TaskGroup) -> None:
        """Apply changes of the platform's list and of jobs, and place pending tasks."""
        preempted_at = 0.0
        while True:
            idle = not self._scheduler.queue and not self._scheduler.unplaced_jobs
            await self._state.wait_for_change(
                IDLE_SCHEDULING_PERIOD_SECONDS if idle else SCHEDULING_PERIOD_SECONDS
            )
            if self._context.stream.ready and not self._state.stopping:
                self._declarations.apply_listing()
                self._lifecycle.apply_changes()
                await self._remote_tasks.send_stops()
            if not self._state.active:
                continue
            self._scheduler.plan_round(tasks)
            self._overflow.start_placements(tasks)
            if self._state.now() - preempted_at >= SCHEDULING_PERIOD_SECONDS:
                preempted_at = self._state.now()
                await self._preemption.make_room()
            self._broadcast_room()

    async def _run_housekeeping(self) -> None:
        """Run periodic maintenance until cancelled."""
        async for now in self._context.timers.ticks(HOUSEKEEPING_PERIOD_SECONDS):
            if self.ready:
                if now - self._cleaned_up_at >= CLEANUP_PERIOD_SECONDS:
                    self._cleaned_up_at = now
                    self._state.discard_ended_attempts()
                self._lifecycle.stop_tasks_of_ended_jobs()
                self._declarations.move_tasks()
                self._quotas.retain_workspaces(self._state.fold.open_jobs)
                self._quotas.start_period()
                self._policies.invalidate()
                self._scheduler.request_round()

    def _broadcast_room(self) -> None:
        """Broadcast the shard's free room and use to other instances if they have changed.

        Unchanged values are repeated every `REPEAT_BROADCAST_PERIOD_SECONDS`.
        """
        now = self._state.now()
        workspaces = self._state.fold.open_jobs.keys()
        fast = (
            self._holds.recently_refused
            or self._last_broadcast is None
            or workspaces != self._last_broadcast.use.keys()
        )
        period = FAST_BROADCAST_PERIOD_SECONDS if fast else BROADCAST_PERIOD_SECONDS
        if now - self._last_broadcast_at < period:
            return
        room = self._shard_room()
        if (
            room == self._last_broadcast
            and now - self._last_broadcast_at < REPEAT_BROADCAST_PERIOD_SECONDS
        ):
            return
        self._last_broadcast, self._last_broadcast_at = room, now
        self._shard_rooms.update(room)
        for name in self._context.membership.members:
            if name != self._context.membership.instance:
                self._context.peers.post(name, room)

    def _shard_room(self) -> ShardRoom:
        free = self._rooms.index.total_free()
        use = {}
        for name in self._state.fold.open_jobs:
            cpu, memory, accelerators = self._state.fold.use.get(name, NO_RESOURCES)
            use[name] = (cpu, memory, accelerators)
        return ShardRoom(self._context.shard, *free, use=use)
