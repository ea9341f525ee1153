"""Places tasks on workers of other shards when the home shard has no room for them.

Owners of other shards hold room by a record in their stream. One decision in the home stream then
licenses all tasks held for it, or none. Shards are asked one after another, for a gang in ascending
order, so that of two gangs that need the same room one always makes progress.
"""

from __future__ import annotations

import logging
import random

from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, RagworttillerError
from ragworttiller.placement.policy import Choice
from ragworttiller.process.backfill import count_fitting
from ragworttiller.process.cell_rows import PENDING, JobRow
from ragworttiller.process.cell_state import CellState, PlannedTask
from ragworttiller.process.hold_client import HoldClient, Placement
from ragworttiller.process.placer import Placer
from ragworttiller.process.preemption import MIN_PREEMPTING_URGENCY
from ragworttiller.process.quotas import Quotas, ShardRooms
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_starter import TaskPlan, TaskStarter
from ragworttiller.resources import NO_RESOURCES, Resources

log = logging.getLogger(__name__)

MIN_RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 8.0
MAX_TASKS_PER_PLACEMENT = 64
MAX_SHARDS_ASKED = 4
MAX_CONCURRENT_PLACEMENTS = 8
REMOTE_PREEMPTION_DELAY_SECONDS = 1.0


class Overflow:
    """Places jobs that found no room in their own shard in other shards.

    Parameters
    ----------
    state : CellState
        State of the owner.
    scheduler : Scheduler
        Jobs that could not be placed.
    placer : Placer
        Plans tasks in this shard and gives the resources to book.
    starter : TaskStarter
        Licenses and starts held tasks.
    quotas : Quotas
        Limits of workspaces.
    rooms : ShardRooms
        Latest broadcasts of the other shards' free room.
    client : HoldClient
        Holds room in other shards.
    rng : random.Random
        Source of jitter for retries.
    """

    def __init__(
        self,
        state: CellState,
        scheduler: Scheduler,
        placer: Placer,
        starter: TaskStarter,
        quotas: Quotas,
        rooms: ShardRooms,
        client: HoldClient,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._placer = placer
        self._starter = starter
        self._quotas = quotas
        self._rooms = rooms
        self._client = client
        self._rng = rng
        self._in_flight: set[str] = set()
        self._hold_requested: set[str] = set()
        self._failed_tries: dict[str, int] = {}
        self._not_before: dict[str, float] = {}
        self._starts_in: dict[str, float] = {}

    def start_placements(self, tasks: TaskGroup) -> None:
        """Start placements in ``tasks`` for jobs without room whose retry is due."""
        now = self._state.now()
        unplaced_jobs = self._scheduler.unplaced_jobs
        for job in [job for job in self._not_before if job not in unplaced_jobs]:
            del self._not_before[job]
            self._failed_tries.pop(job, None)
        for job, unplaced in unplaced_jobs.items():
            if len(self._in_flight) >= MAX_CONCURRENT_PLACEMENTS:
                return
            if unplaced.reason or job in self._in_flight:
                continue
            row = self._state.fold.jobs.get(job)
            if row is not None and self._not_before.get(job, 0.0) <= now:
                self._in_flight.add(job)
                tasks.start_soon(self._try_placement, job, row)

    async def _try_placement(self, job: str, row: JobRow) -> None:
        try:
            placed = await self._place_in_other_shards(row)
        except RagworttillerError as exc:
            log.info("job %s was not placed in other shards: %s", job, exc)
            placed = False
        finally:
            self._in_flight.discard(job)
        hold_requested = job in self._hold_requested
        self._hold_requested.discard(job)
        tries = self._failed_tries[job] = (
            0 if placed else self._failed_tries.get(job, 0) + hold_requested
        )
        delay = 0.0 if placed else min(MAX_RETRY_DELAY_SECONDS, MIN_RETRY_DELAY_SECONDS * 2**tries)
        starts_in = self._starts_in.pop(job, None)
        if starts_in is not None:
            delay = min(MAX_RETRY_DELAY_SECONDS, starts_in + MIN_RETRY_DELAY_SECONDS)
        if row.submitted.urgency >= MIN_PREEMPTING_URGENCY:
            delay = min(delay, MIN_RETRY_DELAY_SECONDS)
        self._not_before[job] = self._state.now() + delay * self._rng.uniform(0.5, 1.0)
        self._scheduler.request_round()
        self._state.wake()

    async def _place_in_other_shards(self, row: JobRow) -> bool:
        """Hold and start tasks; return whether any were licensed on workers of other shards."""
        gang = row.submitted.kind == "gang"
        pending = self._within_quota(row, self._tasks_to_place(row, gang), gang)
        if not pending:
            return False
        need = self._placer.need(row)
        decision = self._state.context.stream.record_id()
        self._mark_planned(row, pending)
        own_plans: list[TaskPlan] = []
        held: list[Placement] = []
        try:
            for shard in self._shards_to_ask(need, gang, self._may_preempt(row)):
                remaining = pending[len(own_plans) + len(held) :]
                if not remaining:
                    break
                if shard == self._state.context.shard:
                    own_plans = self._plan_in_own_shard(row, remaining)
                else:
                    held += await self._hold(shard, decision, row, need, remaining)
            incomplete = gang and len(own_plans) + len(held) < len(pending)
            if not held or incomplete or not self._is_open(row):
                return False
            plans = [*own_plans, *self._plan_held(row, held, need)]
            own_plans = []
            return await self._starter.start_together(row.submitted.job, decision, plans)
        except AppendUndecided:
            held = []
            raise
        finally:
            for plan in own_plans:
                self._starter.release_plan(plan)
            for task in pending:
                self._state.planned.pop(task, None)
            if held and not self._state.fold.decided.get(decision):
                shards = {item.shard for item in held}
                await self._client.abort(decision, row.submitted.job, shards)

    def _is_open(self, row: JobRow) -> bool:
        """Return whether a job has not ended in the meantime."""
        return self._state.fold.jobs.get(row.submitted.job) is row and not row.state

    def _tasks_to_place(self, row: JobRow, gang: bool) -> list[str]:
        """Return the tasks to place: all tasks of a gang or none, some pending tasks otherwise."""
        pending = self._scheduler.plannable_tasks(row)
        if not gang:
            return pending[:MAX_TASKS_PER_PLACEMENT]
        startable = not row.running and len(pending) == row.states.count(PENDING)
        return pending if startable else []

    def _within_quota(self, row: JobRow, tasks: list[str], gang: bool) -> list[str]:
        """Return the first of the tasks that the quota admits now, all or none for a gang.

        For other jobs, the number of tasks is halved until the quota admits them.
        """
        workspace, need = row.submitted.workspace, self._placer.need(row)
        while tasks:
            total = Resources(*(amount * len(tasks) for amount in need))
            if not self._quotas.blocking_quota(workspace, total, self._state.use):
                return tasks
            tasks = [] if gang else tasks[: len(tasks) // 2]
        return []

    def _mark_planned(self, row: JobRow, tasks: list[str]) -> None:
        """Mark tasks as planned, so that the scheduler skips them during the placement."""
        for task in tasks:
            self._state.planned[task] = PlannedTask(row.submitted.workspace, "", NO_RESOURCES)

    def _plan_in_own_shard(self, row: JobRow, tasks: list[str]) -> list[TaskPlan]:
        """Reserve room in this shard for the tasks until one does not fit; return the plans."""
        plans: list[TaskPlan] = []
        need = self._placer.need(row)
        for task in tasks:
            plan = self._placer.plan(row, task, need)
            if plan is None:
                break
            self._starter.reserve_plan(plan)
            plans.append(plan)
        return plans

    def _shards_to_ask(self, need: Resources, gang: bool, preempt: bool) -> list[int]:
        """Return the shards to ask: all in ascending order for gangs, else those with most room."""
        own = self._state.context.shard
        others = [shard for shard in self._rooms.known_shards() if shard != own]
        if gang:
            return sorted([own, *others])
        fitting = [(count_fitting(need, self._rooms.free_room(shard)), shard) for shard in others]
        fitting.sort(key=lambda pair: (-pair[0], pair[1]))
        if not preempt:
            fitting = [pair for pair in fitting if pair[0]]
        return [shard for _, shard in fitting][:MAX_SHARDS_ASKED]

    async def _hold(
        self, shard: int, decision: str, row: JobRow, need: Resources, tasks: list[str]
    ) -> list[Placement]:
        """Hold room in one shard, and record when the shard expects to have more."""
        job = row.submitted.job
        self._hold_requested.add(job)
        held = await self._client.hold(shard, decision, row, need, tasks, self._may_preempt(row))
        if held["starts_in"] is not None:
            self._starts_in[job] = max(self._starts_in.get(job, 0.0), held["starts_in"])
        return held["placements"]

    def _may_preempt(self, row: JobRow) -> bool:
        """Return whether other shards may preempt less urgent work for a job."""
        unplaced = self._scheduler.unplaced_jobs.get(row.submitted.job)
        waited = self._state.now() - unplaced.since if unplaced else 0.0
        return (
            row.submitted.urgency >= MIN_PREEMPTING_URGENCY
            and waited >= REMOTE_PREEMPTION_DELAY_SECONDS
        )

    def _plan_held(self, row: JobRow, held: list[Placement], need: Resources) -> list[TaskPlan]:
        """Reserve plans for the held tasks and return them."""
        plans: list[TaskPlan] = []
        for item in held:
            choice = Choice(item.worker, [(item.worker, 0.0)], f"held in shard {item.shard}")
            since = self._state.waiting_since(row, item.task)
            plan = TaskPlan(
                item.task,
                item.attempt,
                item.shard,
                item.worker,
                item.address,
                need,
                choice,
                since,
            )
            self._starter.reserve_plan(plan)
            self._quotas.record_start(row.submitted.workspace, need)
            plans.append(plan)
        return plans
