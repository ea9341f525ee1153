"""Places tasks that the home shard has no room for on workers of other shards.

Owners of other shards hold room by a record in their stream. One decision in the home stream then
licenses all that is held for it, or none. The shards of one job are asked one after another in
ascending order, so that of two jobs that want the same room one gets on.
"""

from __future__ import annotations

import logging
import random

from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, RagworttillerError
from ragworttiller.placement.policy import Choice
from ragworttiller.process.backfill import copies
from ragworttiller.process.cell_rows import PENDING, JobRow
from ragworttiller.process.cell_state import CellState, PlannedTask
from ragworttiller.process.hold_client import HoldClient, Placement
from ragworttiller.process.placer import Placer
from ragworttiller.process.preemption import URGENT
from ragworttiller.process.quotas import Quotas, ShardRooms
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_starter import Planned, TaskStarter
from ragworttiller.resources import NOTHING, Resources

log = logging.getLogger(__name__)

RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0
MAX_TOGETHER = 64
MAX_SHARDS_ASKED = 4
MAX_OFFERS = 8
PREEMPT_AFTER_SECONDS = 1.0


class Overflow:
    """Looks for room in other shards for jobs that the scheduler has missed.

    Parameters
    ----------
    state : CellState
        State of the owner.
    scheduler : Scheduler
        Knows the jobs without room.
    placer : Placer
        Says what a task needs.
    starter : TaskStarter
        Licenses and starts what is held.
    quotas : Quotas
        Limits of workspaces.
    rooms : ShardRooms
        Free room of other shards as last heard.
    client : HoldClient
        Asks the owners of other shards.
    rng : random.Random
        Jitter of retries.
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
        self._busy: set[str] = set()
        self._asked: set[str] = set()
        self._tries: dict[str, int] = {}
        self._not_before: dict[str, float] = {}
        self._starts_in: dict[str, float] = {}

    def offer(self, tasks: TaskGroup) -> None:
        """Look for room elsewhere in ``tasks`` for jobs that were missed."""
        now = self._state.now()
        missed = self._scheduler.missed
        for job in [job for job in self._not_before if job not in missed]:
            del self._not_before[job]
            self._tries.pop(job, None)
        for job, miss in missed.items():
            if len(self._busy) >= MAX_OFFERS:
                return
            if miss.reason or job in self._busy:
                continue
            row = self._state.fold.jobs.get(job)
            if row is not None and self._not_before.get(job, 0.0) <= now:
                self._busy.add(job)
                tasks.start_soon(self._place, job, row)

    async def _place(self, job: str, row: JobRow) -> None:
        try:
            placed = await self._place_elsewhere(row)
        except RagworttillerError as exc:
            log.info("%s found no room elsewhere: %s", job, exc)
            placed = False
        finally:
            self._busy.discard(job)
        asked = job in self._asked
        self._asked.discard(job)
        tries = self._tries[job] = 0 if placed else self._tries.get(job, 0) + asked
        pause = 0.0 if placed else min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**tries)
        starts_in = self._starts_in.pop(job, None)
        if starts_in is not None:
            pause = min(MAX_RETRY_SECONDS, starts_in + RETRY_SECONDS)
        if row.submitted.urgency >= URGENT:
            pause = min(pause, RETRY_SECONDS)
        self._not_before[job] = self._state.now() + pause * self._rng.uniform(0.5, 1.0)
        self._scheduler.revisit()
        self._state.wake()

    async def _place_elsewhere(self, row: JobRow) -> bool:
        """Return whether tasks of the job were started on workers of other shards."""
        gang = row.submitted.kind == "gang"
        pending = self._within_quota(row, self._wanted(row, gang), gang)
        if not pending:
            return False
        need = self._placer.need(row)
        decision = self._state.context.stream.record_id()
        self._mark(row, pending)
        here: list[Planned] = []
        held: list[Placement] = []
        try:
            for shard in self._shards(need, gang, self._preempts(row)):
                left = pending[len(here) + len(held) :]
                if not left:
                    break
                if shard == self._state.context.shard:
                    here = self._plan_here(row, left)
                else:
                    held += await self._hold(shard, decision, row, need, left)
            incomplete = gang and len(here) + len(held) < len(pending)
            if not held or incomplete or not self._open(row):
                return False
            plans = [*here, *self._planned(row, held, need)]
            here = []
            return await self._starter.start_together(row.submitted.job, decision, plans)
        except AppendUndecided:
            held = []
            raise
        finally:
            for plan in here:
                self._starter.release_plan(plan)
            for task in pending:
                self._state.planned.pop(task, None)
            if held and not self._state.fold.decided.get(decision):
                shards = {item.shard for item in held}
                await self._client.abort(decision, row.submitted.job, shards)

    def _open(self, row: JobRow) -> bool:
        """Return whether a job has not ended meanwhile."""
        return self._state.fold.jobs.get(row.submitted.job) is row and not row.state

    def _wanted(self, row: JobRow, gang: bool) -> list[str]:
        """Return the tasks to place: all that are pending of a gang, else some."""
        pending = self._scheduler.pending(row)
        if not gang:
            return pending[:MAX_TOGETHER]
        whole = not row.running and len(pending) == row.states.count(PENDING)
        return pending if whole else []

    def _within_quota(self, row: JobRow, tasks: list[str], gang: bool) -> list[str]:
        """Return as many of the tasks as the quota of the workspace admits now."""
        workspace, need = row.submitted.workspace, self._placer.need(row)
        while tasks:
            total = Resources(*(amount * len(tasks) for amount in need))
            if not self._quotas.obstacle(workspace, total, self._state.use):
                return tasks
            tasks = [] if gang else tasks[: len(tasks) // 2]
        return []

    def _mark(self, row: JobRow, tasks: list[str]) -> None:
        """Keep the scheduler off tasks while room is looked for."""
        for task in tasks:
            self._state.planned[task] = PlannedTask(row.submitted.workspace, "", NOTHING)

    def _plan_here(self, row: JobRow, tasks: list[str]) -> list[Planned]:
        """Return reserved plans for those of the tasks that have room in this shard."""
        plans: list[Planned] = []
        need = self._placer.need(row)
        for task in tasks:
            plan = self._placer.plan(row, task, need)
            if plan is None:
                break
            self._starter.reserve_plan(plan)
            plans.append(plan)
        return plans

    def _shards(self, need: Resources, gang: bool, preempt: bool) -> list[int]:
        """Return the shards to ask: those with room, in ascending order for gangs."""
        own = self._state.context.shard
        others = [shard for shard in self._rooms.shards() if shard != own]
        if gang:
            return sorted([own, *others])
        fitting = [(copies(need, self._rooms.free(shard)), shard) for shard in others]
        fitting.sort(key=lambda pair: (-pair[0], pair[1]))
        if not preempt:
            fitting = [pair for pair in fitting if pair[0]]
        return [shard for _, shard in fitting][:MAX_SHARDS_ASKED]

    async def _hold(
        self, shard: int, decision: str, row: JobRow, need: Resources, tasks: list[str]
    ) -> list[Placement]:
        """Have room held in one shard, and take note of when it has more."""
        job = row.submitted.job
        self._asked.add(job)
        held = await self._client.hold(shard, decision, row, need, tasks, self._preempts(row))
        if held["starts_in"] is not None:
            self._starts_in[job] = max(self._starts_in.get(job, 0.0), held["starts_in"])
        return held["placements"]

    def _preempts(self, row: JobRow) -> bool:
        """Return whether other shards may stop less urgent work for a job."""
        miss = self._scheduler.missed.get(row.submitted.job)
        waited = self._state.now() - miss.since if miss else 0.0
        return row.submitted.urgency >= URGENT and waited >= PREEMPT_AFTER_SECONDS

    def _planned(self, row: JobRow, held: list[Placement], need: Resources) -> list[Planned]:
        """Return reserved plans for what is held and still pending."""
        plans: list[Planned] = []
        for item in held:
            choice = Choice(item.worker, [(item.worker, 0.0)], f"held in shard {item.shard}")
            since = self._state.waiting_since(row, item.task)
            plan = Planned(
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
            self._quotas.took(row.submitted.workspace, need)
            plans.append(plan)
        return plans
