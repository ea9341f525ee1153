"""Plans the pending tasks of one shard's jobs in queue order."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from anyio.abc import TaskGroup

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.process.backfill import Reservation, WaitingJob
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
from ragworttiller.process.placer import Placer
from ragworttiller.process.quotas import Quotas
from ragworttiller.process.retries import Retries
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_starter import TaskPlan, TaskStarter
from ragworttiller.process.unplaced_jobs import UnplacedJob, UnplacedJobs
from ragworttiller.resources import NO_RESOURCES, Resources

log = logging.getLogger(__name__)

SCHEDULING_PERIOD_SECONDS = 0.25
MAX_TASKS_PER_ROUND = 256
MAX_PLANNED_TASKS = 1024
MAX_UNPLACED_JOBS_PER_CLASS = 8


class Scheduler:
    """Plans the pending tasks of the queued jobs in queue order.

    Room is reserved for the first job that waits, from its earliest expected start on. Later work
    runs on the reserved workers in the meantime where it does not delay that job.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room of the workers.
    placer : Placer
        Chooses workers.
    starter : TaskStarter
        Licenses and starts planned tasks.
    retries : Retries
        Backoff of failed tasks.
    learner : Learner
        Expected run times.
    quotas : Quotas
        Limits of workspaces.
    gangs : Gangs
        Reservations of jobs that start all their tasks at once.
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
        self._round_requests = 0
        self._planned_revision: tuple[int, int, int] | None = None
        self.queue = JobQueue()
        self._unplaced = UnplacedJobs(state.now)

    @property
    def unplaced_jobs(self) -> dict[str, UnplacedJob]:
        """Jobs that could not be placed in the latest round."""
        return self._unplaced.jobs

    def request_round(self) -> None:
        """Make the next `plan_round` visit all pending work, even if no room was added."""
        self._round_requests += 1

    def enqueue(self, row: JobRow) -> None:
        """Add a job with pending tasks to the queue."""
        self._round_requests += 1
        self.queue.add(row)

    def dequeue(self, job: str) -> None:
        """Remove a job that has no pending tasks from the queue."""
        self.queue.discard(job)
        self._unplaced.discard(job)

    def plan_round(self, tasks: TaskGroup) -> None:
        """Plan the tasks that have room now and start them in ``tasks``."""
        self._placer.refresh()
        due = self._retries.expire(self._state.now())
        if due or self._revision() != self._planned_revision:
            complete = self._plan_queue(tasks)
            self._planned_revision = self._revision() if complete else None

    def _revision(self) -> tuple[int, int, int]:
        """Return a value that changes whenever pending work may fit that did not fit before."""
        return (
            self._rooms.index.room_increases,
            self._round_requests,
            self._gangs.remote_job_count,
        )

    def _plan_queue(self, tasks: TaskGroup) -> bool:
        """Plan one round; return whether it reached the end of the queue."""
        reservation, first_key = self.first_reservation()
        self._unplaced.begin_round()
        deferred: dict[JobClass, list[OrderKey]] = {}
        plans: list[TaskPlan] = []
        walk = self.queue.walk()
        complete = True
        for job in walk:
            row = self._state.fold.jobs.get(job)
            if row is None or row.state:
                continue
            if self._limit_reached(plans):
                complete = False
                break
            if reservation and order_key(row) > first_key and self._may_outlast(row, reservation):
                deferred.update(walk.detach_class())
            elif row.submitted.kind != "gang":
                self._plan_tasks(row, walk, plans)
            elif not self._plan_gang(row, tasks) and reservation is None:
                reservation, first_key = self._reservation_for(row), order_key(row)
        if reservation and deferred:
            with self._room_reserved(reservation):
                self._plan_deferred(QueueWalk(deferred), plans)
        if plans:
            tasks.start_soon(self._starter.start, plans)
        self._unplaced.end_round(complete)
        return complete

    def _plan_deferred(self, walk: QueueWalk, plans: list[TaskPlan]) -> None:
        """Plan jobs that may outlast the reservation in the room that it leaves free."""
        for job in walk:
            row = self._state.fold.jobs.get(job)
            if row is None or row.state or row.submitted.kind == "gang":
                continue
            if self._limit_reached(plans):
                return
            self._plan_tasks(row, walk, plans)

    def _limit_reached(self, plans: list[TaskPlan]) -> bool:
        return len(plans) >= MAX_TASKS_PER_ROUND or len(self._state.planned) >= MAX_PLANNED_TASKS

    def plannable_tasks(self, row: JobRow) -> list[str]:
        """Return the pending tasks of a job that are neither planned nor in backoff."""
        now = self._state.now()
        job = row.submitted.job
        tasks: list[str] = []
        index = row.states.find(PENDING)
        while index >= 0 and len(tasks) < MAX_TASKS_PER_ROUND:
            task = f"{job}/{index}"
            if task not in self._state.planned and self._retries.not_before(task) <= now:
                tasks.append(task)
            index = row.states.find(PENDING, index + 1)
        return tasks

    def _plan_tasks(self, row: JobRow, walk: QueueWalk, plans: list[TaskPlan]) -> None:
        """Plan the pending tasks of a job until one finds no room."""
        workspace = row.submitted.workspace
        need = self._placer.need(row)
        pending = self.plannable_tasks(row)
        if not pending:
            self._unplaced.keep(row.submitted.job)
        for task in pending:
            reason = self._quotas.blocking_quota(workspace, need, self._state.use)
            plan = None if reason else self._placer.plan(row, task, need)
            if plan is None:
                unplaced = [row.submitted.job]
                if not self._placer.has_own_constraints(row):
                    unplaced = walk.skip_class(MAX_UNPLACED_JOBS_PER_CLASS)
                for job in unplaced:
                    self._unplaced.add(job, reason)
                return
            self._reserve(row, plan)
            plans.append(plan)

    def _plan_gang(self, row: JobRow, tasks: TaskGroup) -> bool:
        """Start all pending tasks of a gang together; return False if they do not fit now."""
        pending = self.plannable_tasks(row)
        if len(pending) < row.states.count(PENDING) or row.running:
            self._unplaced.keep(row.submitted.job)
            return True
        plans = self._plan_gang_tasks(row, pending)
        if len(plans) < len(pending):
            for plan in plans:
                self._starter.release_plan(plan)
            return False
        tasks.start_soon(self._start_gang, row.submitted.job, plans)
        return True

    def _plan_gang_tasks(self, row: JobRow, pending: list[str]) -> list[TaskPlan]:
        """Reserve room in this shard for the tasks until one does not fit; return the plans."""
        need = self._placer.need(row)
        workspace = row.submitted.workspace
        total = Resources(*(amount * len(pending) for amount in need))
        reason = self._quotas.blocking_quota(workspace, total, self._state.use)
        plans: list[TaskPlan] = []
        for task in pending if not reason else ():
            plan = self._placer.plan(row, task, need)
            if plan is None:
                break
            self._reserve(row, plan)
            plans.append(plan)
        if len(plans) < len(pending):
            self._unplaced.add(row.submitted.job, reason)
        return plans

    async def _start_gang(self, job: str, plans: list[TaskPlan]) -> None:
        decision = self._state.context.stream.record_id()
        try:
            await self._starter.start_together(job, decision, plans)
        except (LogUnavailable, AppendUndecided) as exc:
            log.info("gang %s was not started: %s", job, exc)

    def _reserve(self, row: JobRow, plan: TaskPlan) -> None:
        self._starter.reserve_plan(plan)
        self._quotas.record_start(row.submitted.workspace, plan.need)

    def first_reservation(self) -> tuple[Reservation | None, OrderKey]:
        """Return the reservation of the first waiting job and the order key of that job.

        Jobs that wait are gangs of this shard and jobs of other shards that need room here.
        """
        remote = self._gangs.first_remote_job()
        first_key = remote.key if remote else OrderKey(1, 0.0, 0, "")
        waiting_job = remote.waiting_job if remote else None
        for job in self.unplaced_jobs:
            row = self._state.fold.jobs.get(job)
            if row is None or row.submitted.kind != "gang" or row.state:
                continue
            if order_key(row) < first_key and not self._gangs.reservation_suspended(job):
                first_key, waiting_job = order_key(row), self._waiting_job(row)
        if waiting_job is None:
            return None, first_key
        return self._gangs.reservation(waiting_job), first_key

    def _reservation_for(self, row: JobRow) -> Reservation | None:
        if self._gangs.reservation_suspended(row.submitted.job):
            return None
        return self._gangs.reservation(self._waiting_job(row))

    @contextmanager
    def reservation_enforced(self, key: OrderKey) -> Iterator[None]:
        """Keep work ordered after the first waiting job out of the room reserved for that job."""
        reservation, first_key = self.first_reservation()
        if reservation is None or key <= first_key:
            yield
            return
        with self._room_reserved(reservation):
            yield

    @contextmanager
    def _room_reserved(self, reservation: Reservation) -> Iterator[None]:
        reserved: list[tuple[str, Resources]] = []
        for worker, spare in reservation.spare.items():
            reserved_room = self._rooms.free_room(worker).minus(spare).maximum(NO_RESOURCES)
            if reserved_room != NO_RESOURCES:
                self._rooms.reserve(worker, reserved_room)
                reserved.append((worker, reserved_room))
        try:
            yield
        finally:
            for worker, reserved_room in reserved:
                self._rooms.unreserve(worker, reserved_room)

    def _waiting_job(self, row: JobRow) -> WaitingJob:
        need, tasks = self._placer.need(row), row.states.count(PENDING)
        return WaitingJob(row.submitted.job, need, rules_of(row), tasks)

    def _may_outlast(self, row: JobRow, reservation: Reservation) -> bool:
        """Return whether a task started now may still run when the reservation begins."""
        run_time = self._learner.run_time(row)
        return run_time is None or self._state.now() + run_time > reservation.starts_at
