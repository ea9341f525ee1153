"""Serves the pending tasks of one shard's jobs in order."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.process.backfill import Reservation, Wanted
from ragworttiller.process.cell_rows import PENDING, JobRow
from ragworttiller.process.cell_state import CellState
from ragworttiller.process.gangs import Gangs
from ragworttiller.process.job_queue import (
    JobClass,
    JobQueue,
    OrderKey,
    QueueWalk,
    order_key,
)
from ragworttiller.process.job_rules import rules_of
from ragworttiller.process.learning import Learner
from ragworttiller.process.misses import UnplacedJob, UnplacedJobs
from ragworttiller.process.placer import Placer
from ragworttiller.process.quotas import Quotas
from ragworttiller.process.retries import Retries
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_starter import Planned, TaskStarter
from ragworttiller.resources import NOTHING, Resources

log = logging.getLogger(__name__)

TICK_SECONDS = 0.25
ROUND_TASKS = 256
MAX_PLANNED = 1024
MISSES_TOGETHER = 8


class Scheduler:
    """Plans the pending tasks of the queue's jobs, first things first.

    A job that needs all its tasks at once and finds no room has room set aside from its earliest
    start on; later work runs meanwhile where that does not delay it.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room.
    placer : Placer
        Chooses workers.
    starter : TaskStarter
        Licenses and starts what is planned.
    retries : Retries
        Tasks that are tried again only later.
    learner : Learner
        Expected run times.
    quotas : Quotas
        Limits of workspaces.
    gangs : Gangs
        Jobs that wait for all their tasks at once.
    """

    def __init__(
        self,
        state: CellState,
        rooms: RoomView,
        placer: Placer,
        starter: TaskStarter,
        retries: Retries,
        learner: Learner,
        quotas: Quotas,
        gangs: Gangs,
    ) -> None:
        self._state = state
        self._rooms = rooms
        self._placer = placer
        self._starter = starter
        self._retries = retries
        self._learner = learner
        self._quotas = quotas
        self._gangs = gangs
        self._additions = 0
        self._served: tuple[int, int, int] | None = None
        self.queue = JobQueue()
        self._misses = UnplacedJobs(state.now)

    @property
    def missed(self) -> dict[str, UnplacedJob]:
        """Jobs that found no room in the latest round."""
        return self._misses.jobs

    def revisit(self) -> None:
        """Look at all pending work again, though no room was added."""
        self._additions += 1

    def enqueue(self, row: JobRow) -> None:
        """Take a job with pending tasks into the queue."""
        self._additions += 1
        self.queue.add(row)

    def dequeue(self, job: str) -> None:
        """Drop a job that has no pending tasks."""
        self.queue.discard(job)
        self._misses.discard(job)

    def serve(self, tasks: TaskGroup) -> None:
        """Plan what has room now and let it start in ``tasks``."""
        self._placer.refresh()
        due = self._retries.expire(self._state.now())
        if due or self._at() != self._served:
            done = self._serve_queue(tasks)
            self._served = self._at() if done else None

    def _at(self) -> tuple[int, int, int]:
        """Return what changes whenever pending work may have found room."""
        return (self._rooms.index.room_increases, self._additions, self._gangs.claims)

    def _serve_queue(self, tasks: TaskGroup) -> bool:
        """Plan one round; return whether it got through the queue."""
        reservation, first = self.first_waiting()
        self._misses.begin_round()
        deferred: dict[JobClass, list[OrderKey]] = {}
        plans: list[Planned] = []
        walk = self.queue.walk()
        done = True
        for job in walk:
            row = self._state.fold.jobs.get(job)
            if row is None or row.state:
                continue
            if self._full(plans):
                done = False
                break
            if reservation and order_key(row) > first and self._outlasts(row, reservation):
                deferred.update(walk.detach_class())
            elif row.submitted.kind != "gang":
                self._plan_tasks(row, walk, plans)
            elif not self._serve_gang(row, tasks) and reservation is None:
                reservation, first = self._reservation(row), order_key(row)
        if reservation and deferred:
            with self._set_aside(reservation):
                self._serve_deferred(QueueWalk(deferred), plans)
        if plans:
            tasks.start_soon(self._starter.start, plans)
        self._misses.end_round(done)
        return done

    def _serve_deferred(self, walk: QueueWalk, plans: list[Planned]) -> None:
        """Plan work that outlasts a reservation in the room that it spares."""
        for job in walk:
            row = self._state.fold.jobs.get(job)
            if row is None or row.state or row.submitted.kind == "gang":
                continue
            if self._full(plans):
                return
            self._plan_tasks(row, walk, plans)

    def _full(self, plans: list[Planned]) -> bool:
        return len(plans) >= ROUND_TASKS or len(self._state.planned) >= MAX_PLANNED

    def pending(self, row: JobRow) -> list[str]:
        """Return the tasks of a job that may be planned now."""
        now = self._state.now()
        job = row.submitted.job
        found: list[str] = []
        index = row.states.find(PENDING)
        while index >= 0 and len(found) < ROUND_TASKS:
            task = f"{job}/{index}"
            if task not in self._state.planned and self._retries.not_before(task) <= now:
                found.append(task)
            index = row.states.find(PENDING, index + 1)
        return found

    def _plan_tasks(self, row: JobRow, walk: QueueWalk, plans: list[Planned]) -> None:
        """Plan the pending tasks of a job while they find room."""
        workspace = row.submitted.workspace
        need = self._placer.need(row)
        pending = self.pending(row)
        if not pending:
            self._misses.keep(row.submitted.job)
        for task in pending:
            reason = self._quotas.obstacle(workspace, need, self._state.use)
            plan = None if reason else self._placer.plan(row, task, need)
            if plan is None:
                alike = [row.submitted.job]
                if not self._placer.particular(row):
                    alike = walk.skip_class(MISSES_TOGETHER)
                for job in alike:
                    self._misses.add(job, reason)
                return
            self._take(row, plan)
            plans.append(plan)

    def _serve_gang(self, row: JobRow, tasks: TaskGroup) -> bool:
        """Start all pending tasks of a job together; return False when it has to wait."""
        pending = self.pending(row)
        if len(pending) < row.states.count(PENDING) or row.running:
            self._misses.keep(row.submitted.job)
            return True
        plans = self._plan_together(row, pending)
        if len(plans) < len(pending):
            for plan in plans:
                self._starter.release_plan(plan)
            return False
        tasks.start_soon(self._start_gang, row.submitted.job, plans)
        return True

    def _plan_together(self, row: JobRow, pending: list[str]) -> list[Planned]:
        """Return reserved plans for as many of a job's tasks as have room here."""
        need = self._placer.need(row)
        workspace = row.submitted.workspace
        total = Resources(*(amount * len(pending) for amount in need))
        reason = self._quotas.obstacle(workspace, total, self._state.use)
        plans: list[Planned] = []
        for task in pending if not reason else ():
            plan = self._placer.plan(row, task, need)
            if plan is None:
                break
            self._take(row, plan)
            plans.append(plan)
        if len(plans) < len(pending):
            self._misses.add(row.submitted.job, reason)
        return plans

    async def _start_gang(self, job: str, plans: list[Planned]) -> None:
        decision = self._state.context.stream.record_id()
        try:
            await self._starter.start_together(job, decision, plans)
        except (LogUnavailable, AppendUndecided) as exc:
            log.info("%s is not started: %s", job, exc)

    def _take(self, row: JobRow, plan: Planned) -> None:
        self._starter.reserve_plan(plan)
        self._quotas.took(row.submitted.workspace, plan.need)

    def first_waiting(self) -> tuple[Reservation | None, OrderKey]:
        """Return the first of the jobs that wait for all their tasks at once, and its room."""
        claim = self._gangs.first_claim()
        first = claim.key if claim else OrderKey(1, 0.0, 0, "")
        wanted = claim.wanted if claim else None
        for job in self.missed:
            row = self._state.fold.jobs.get(job)
            if row is None or row.submitted.kind != "gang" or row.state:
                continue
            if order_key(row) < first and not self._gangs.rests(job):
                first, wanted = order_key(row), self._wanted(row)
        if wanted is None:
            return None, first
        return self._gangs.reservation(wanted), first

    def _reservation(self, row: JobRow) -> Reservation | None:
        if self._gangs.rests(row.submitted.job):
            return None
        return self._gangs.reservation(self._wanted(row))

    @contextmanager
    def behind_waiting(self, key: OrderKey) -> Iterator[None]:
        """Set aside the room of the first waiting job while work that comes after it is placed."""
        reservation, first = self.first_waiting()
        if reservation is None or key <= first:
            yield
            return
        with self._set_aside(reservation):
            yield

    @contextmanager
    def _set_aside(self, reservation: Reservation) -> Iterator[None]:
        aside: list[tuple[str, Resources]] = []
        for worker, spare in reservation.spare.items():
            kept = self._rooms.room(worker).minus(spare).maximum(NOTHING)
            if kept != NOTHING:
                self._rooms.reserve(worker, kept)
                aside.append((worker, kept))
        try:
            yield
        finally:
            for worker, kept in aside:
                self._rooms.unreserve(worker, kept)

    def _wanted(self, row: JobRow) -> Wanted:
        need, tasks = self._placer.need(row), row.states.count(PENDING)
        return Wanted(row.submitted.job, need, rules_of(row), tasks)

    def _outlasts(self, row: JobRow, reservation: Reservation) -> bool:
        """Return whether a task started now may still run when the reservation begins."""
        run_time = self._learner.run_time(row)
        return run_time is None or self._state.now() + run_time > reservation.starts_at
