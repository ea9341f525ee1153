"""Makes room for urgent work by stopping or throttling the cheapest less urgent work."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.exceptions import WorkerRefused, WorkerUnreachable
from ragworttiller.placement.index import WorkerRoom, site_allowed, site_of
from ragworttiller.placement.rules import Rules
from ragworttiller.process.cell_rows import JobRow, Running, job_of
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.job_rules import movable, rules_of
from ragworttiller.process.placer import Placer
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_endings import PREEMPTED
from ragworttiller.records import TaskResized
from ragworttiller.resources import NO_RESOURCES, Resources

log = logging.getLogger(__name__)

MIN_PREEMPTING_URGENCY = 7
PREEMPTION_DELAY_SECONDS = 0.3
REQUEST_TTL_SECONDS = 3.0
MAX_TASKS_PER_DEMAND = 32
CHECKPOINT_COST_SECONDS = 1.0
THROTTLED_SHARE = 0.5


class UrgentDemand(NamedTuple):
    """Urgent job without room for ``tasks`` tasks; it expires at monotonic time ``until``."""

    job: str
    need: Resources
    rules: Rules
    urgency: int
    tasks: int
    until: float


class Victim(NamedTuple):
    """Less urgent task to stop; ``cost`` is the work lost in core seconds."""

    urgency: int
    cost: float
    key: Attempt
    need: Resources
    checkpoint: bool


class Preemption:
    """Makes room for urgent work.

    Tasks of less urgent jobs may be stopped if they are idempotent or resume from a checkpoint, and
    are not part of a gang.
    Where stops don't make enough room, less urgent tasks are throttled to half their processors.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room of the workers.
    placer : Placer
        Resources to book for tasks.
    scheduler : Scheduler
        Jobs that could not be placed.
    """

    def __init__(
        self, state: CellState, rooms: RoomView, placer: Placer, scheduler: Scheduler
    ) -> None:
        self._state = state
        self._rooms = rooms
        self._placer = placer
        self._scheduler = scheduler
        self._requests: dict[str, UrgentDemand] = {}
        self._throttled: dict[Attempt, tuple[str, Resources]] = {}
        self._restoring: set[Attempt] = set()

    def request_room(
        self, job: str, need: Resources, rules: Rules, urgency: int, tasks: int
    ) -> None:
        """Request room for a job of another shard; the request expires if it is not repeated."""
        until = self._state.now() + REQUEST_TTL_SECONDS
        self._requests[job] = UrgentDemand(job, need, rules, urgency, tasks, until)

    async def make_room(self) -> None:
        """Stop or throttle tasks for urgent work; without any, restore throttled tasks.

        Room that earlier stops will free counts as free.
        """
        demands = self._urgent_demands()
        if not demands:
            await self._restore_throttled()
            return
        rooms = {w.name: w for w in self._rooms.index.workers() if w.state == "up"}
        free = {name: w.room.plus(self._room_being_freed(name)) for name, w in rooms.items()}
        for urgent in demands:
            for _ in range(min(urgent.tasks, MAX_TASKS_PER_DEMAND)):
                if not await self._make_room_for_task(urgent, rooms, free):
                    break

    def _urgent_demands(self) -> list[UrgentDemand]:
        now = self._state.now()
        self._requests = {
            job: request for job, request in self._requests.items() if request.until > now
        }
        demands = list(self._requests.values())
        for job, unplaced in self._scheduler.unplaced_jobs.items():
            row = self._state.fold.jobs.get(job)
            if row is None or row.submitted.urgency < MIN_PREEMPTING_URGENCY or unplaced.reason:
                continue
            if now - unplaced.since >= PREEMPTION_DELAY_SECONDS:
                need, tasks = self._placer.need(row), len(self._scheduler.plannable_tasks(row))
                urgency = row.submitted.urgency
                demands.append(UrgentDemand(job, need, rules_of(row), urgency, tasks, now))
        return sorted(demands, key=lambda urgent: (-urgent.urgency, urgent.job))

    def _room_being_freed(self, worker: str) -> Resources:
        """Return the resources booked by tasks on a worker that are being stopped."""
        total = NO_RESOURCES
        for task, attempt in self._state.stops.get(worker, {}):
            running = self._state.fold.running(task)
            if running is not None and running.attempt == attempt:
                total = total.plus(running.need)
        return total

    async def _make_room_for_task(
        self, urgent: UrgentDemand, rooms: dict[str, WorkerRoom], free: dict[str, Resources]
    ) -> bool:
        """Find or make room for one task; return whether there is room."""
        allowed = [w for w in rooms.values() if site_allowed(site_of(w), urgent.rules)]
        for worker in allowed:
            if urgent.need.fits(free[worker.name]):
                free[worker.name] = free[worker.name].minus(urgent.need)
                return True
        best: tuple[tuple[int, float], str, list[Victim]] | None = None
        for worker in allowed:
            if not urgent.need.fits(worker.capacity):
                continue
            victims = self._victims(worker.name, urgent, free[worker.name])
            if not victims:
                continue
            cost = (max(v.urgency for v in victims), sum(v.cost for v in victims))
            if best is None or cost < best[0]:
                best = (cost, worker.name, victims)
        if best is None:
            return await self._throttle(urgent, [w.name for w in allowed], free)
        _, name, victims = best
        for victim in victims:
            self._state.request_stop(name, victim.key, PREEMPTED, victim.checkpoint)
            free[name] = free[name].plus(victim.need)
        free[name] = free[name].minus(urgent.need)
        log.info("job %s preempts %d tasks on worker %s", urgent.job, len(victims), name)
        return True

    def _victims(self, worker: str, urgent: UrgentDemand, free: Resources) -> list[Victim]:
        """Return the cheapest tasks to stop for room on a worker, none if that is not enough."""
        chosen: list[Victim] = []
        for victim in sorted(self._candidates(worker, urgent)):
            if urgent.need.fits(free):
                break
            chosen.append(victim)
            free = free.plus(victim.need)
        if not urgent.need.fits(free):
            return []
        for victim in list(chosen):
            if urgent.need.fits(free.minus(victim.need)):
                free = free.minus(victim.need)
                chosen.remove(victim)
        return chosen

    def _candidates(self, worker: str, urgent: UrgentDemand) -> list[Victim]:
        victims: list[Victim] = []
        for task, running, job in self._less_urgent_tasks(worker, urgent):
            if not movable(job) or job.submitted.kind == "gang":
                continue
            checkpoint = bool(job.submitted.rules.get("checkpoint"))
            run_seconds = max(0.0, self._state.wall() - running.at)
            lost = CHECKPOINT_COST_SECONDS if checkpoint else run_seconds
            cost = lost * running.need.cpu / 1000
            key = (task, running.attempt)
            victims.append(Victim(job.submitted.urgency, cost, key, running.need, checkpoint))
        return victims

    def _less_urgent_tasks(
        self, worker: str, urgent: UrgentDemand
    ) -> list[tuple[str, Running, JobRow]]:
        """Return the running tasks of less urgent jobs on a worker that are not being stopped."""
        row = self._state.fold.bookings.workers.get(worker)
        stop_requests = self._state.stops.get(worker, {})
        less_urgent: list[tuple[str, Running, JobRow]] = []
        for task in sorted(row.tasks) if row else ():
            running = self._state.fold.running(task)
            job = self._state.fold.jobs.get(job_of(task))
            if running is None or job is None or job.submitted.urgency >= urgent.urgency:
                continue
            busy = task in self._state.planned or self._state.is_ending(task, running.attempt)
            if not busy and (task, running.attempt) not in stop_requests:
                less_urgent.append((task, running, job))
        return less_urgent

    async def _throttle(
        self, urgent: UrgentDemand, workers: list[str], free: dict[str, Resources]
    ) -> bool:
        """Throttle tasks on the first worker where that makes room; return whether there is one."""
        for name in workers:
            room = free[name]
            if not urgent.need._replace(cpu=0).fits(room.maximum(NO_RESOURCES)):
                continue
            tasks = [
                (task, running)
                for task, running, _ in self._less_urgent_tasks(name, urgent)
                if (task, running.attempt) not in self._throttled
            ]
            gained = sum(int(running.need.cpu * (1 - THROTTLED_SHARE)) for _, running in tasks)
            if room.cpu + gained < urgent.need.cpu:
                continue
            for task, running in tasks:
                if free[name].cpu >= urgent.need.cpu:
                    break
                free[name] = free[name].plus(await self._throttle_task(name, task, running))
            if urgent.need.fits(free[name]):
                free[name] = free[name].minus(urgent.need)
                return True
        return False

    async def _throttle_task(self, worker: str, task: str, running: Running) -> Resources:
        """Throttle a task and return the resources that this frees."""
        client = self._state.client(worker)
        cpu = max(1, int(running.need.cpu * THROTTLED_SHARE))
        if client is None:
            return NO_RESOURCES
        try:
            await client.throttle(task, running.attempt, cpu)
        except (WorkerRefused, WorkerUnreachable) as exc:
            log.info("task %s was not throttled: %s", task, exc)
            return NO_RESOURCES
        self._throttled[task, running.attempt] = (worker, running.need)
        self._restoring.discard((task, running.attempt))
        self._post_resize(task, running.attempt, running.need._replace(cpu=cpu))
        return Resources(running.need.cpu - cpu, 0, 0)

    async def _restore_throttled(self) -> None:
        """Restore the processors of throttled tasks where there is room again."""
        for key, (worker, need) in list(self._throttled.items()):
            running = self._state.fold.running(key[0])
            if running is None or running.attempt != key[1]:
                del self._throttled[key]
                self._restoring.discard(key)
            elif running.need.cpu >= need.cpu:
                client = self._state.client(worker)
                if client is None:
                    continue
                try:
                    await client.throttle(*key, need.cpu)
                except (WorkerRefused, WorkerUnreachable):
                    continue
                del self._throttled[key]
            elif key in self._restoring:
                continue
            elif need.cpu - running.need.cpu <= self._rooms.free_room(worker).cpu:
                self._restoring.add(key)
                self._post_resize(*key, need)

    def _post_resize(self, task: str, attempt: int, need: Resources) -> None:
        stream = self._state.context.stream
        stream.post(TaskResized(stream.record_id(), task, attempt, need))
