"""Handlers of the calls to the owner of a cell shard."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, cast

from ragworttiller.exceptions import InvalidField, NotReady, RagworttillerError
from ragworttiller.process.cell_rows import JobRow
from ragworttiller.process.cell_state import CANCELLED, CellState, commit_failed
from ragworttiller.process.hold_client import HoldReply, HoldRequest
from ragworttiller.process.hold_server import HoldServer
from ragworttiller.process.job_status import JobStatus, WorkerStatus, status_of
from ragworttiller.process.job_submissions import JobSubmissions
from ragworttiller.process.placer import Placer
from ragworttiller.process.remote_tasks import RemoteTasks
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.records import JobEnded
from ragworttiller.resources import Resources

READY_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 2.0
MAX_WAIT_SECONDS = 30.0
CANCELLATION_BATCH_SIZE = 256

Verb = Callable[[dict[str, Any]], Awaitable[Any]]


class CellCalls:
    """Answers calls from entries and from other shards' owners.

    Parameters
    ----------
    state : CellState
        State of the owner.
    scheduler : Scheduler
        Jobs that could not be placed, and the reservation of the first waiting job.
    placer : Placer
        Explains why a job has no room.
    rooms : RoomView
        Reasons for which workers get no new tasks.
    submissions : JobSubmissions
        Accepts submitted jobs.
    holds : HoldServer
        Handles hold and release requests of other shards.
    remote_tasks : RemoteTasks
        Handles calls about this shard's tasks on other shards' workers.
    """

    def __init__(
        self,
        state: CellState,
        scheduler: Scheduler,
        placer: Placer,
        rooms: RoomView,
        submissions: JobSubmissions,
        holds: HoldServer,
        remote_tasks: RemoteTasks,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._placer = placer
        self._rooms = rooms
        self._submissions = submissions
        self._holds = holds
        self._remote_tasks = remote_tasks
        self._verbs: dict[str, Verb] = {
            "submit": self._submissions.submit,
            "status": self._status,
            "wait": self._wait,
            "cancel": self._cancel,
            "cancel_matching": self._cancel_matching,
            "explain": self._explain,
            "workers": self._workers,
            "use": self._use,
            "hold": self._hold,
            "release": self._release,
            "settle": self._settle,
            "ended": self._ended,
            "stop": self._stop,
        }

    async def answer(self, verb: str, arguments: dict[str, Any]) -> Any:
        """Run the handler of a verb and return its result.

        Raises
        ------
        NotReady
            The owner has not caught up with the shard's stream.
        RagworttillerError
            The call failed.
        """
        handler = self._verbs.get(verb)
        if handler is None:
            raise InvalidField(field="verb", problem=verb, allowed=", ".join(self._verbs))
        stream = self._state.context.stream
        if not stream.ready:
            with self._state.context.timers.move_on_after(READY_TIMEOUT_SECONDS):
                await stream.wait_ready()
        if not stream.ready or self._state.stopping:
            raise NotReady(
                instance=self._state.context.membership.instance,
                reason=f"the owner of {stream.name} is catching up or stopping",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return await handler(arguments)

    async def _status(self, arguments: dict[str, Any]) -> JobStatus:
        return status_of(self._state, arguments["job"])

    async def _wait(self, arguments: dict[str, Any]) -> JobStatus:
        """Return the status of a job once it and its tasks have ended, or after the timeout."""
        job = arguments["job"]
        status_of(self._state, job)
        if job in self._state.fold.jobs:
            await self._state.wait_for_job_end(job, min(arguments["timeout"], MAX_WAIT_SECONDS))
        return status_of(self._state, job)

    async def _cancel(self, arguments: dict[str, Any]) -> JobStatus:
        job = arguments["job"]
        status_of(self._state, job)
        row = self._state.fold.jobs.get(job)
        if row is not None and not row.state:
            await self._commit_cancellations([job])
        return status_of(self._state, job)

    async def _cancel_matching(self, arguments: dict[str, Any]) -> int:
        """Cancel the matching open jobs of a workspace; return the number cancelled."""
        selector = arguments["selector"]
        jobs = [
            job
            for job, row in self._state.fold.jobs.items()
            if not row.state
            and row.submitted.workspace == arguments["workspace"]
            and _matches(row, selector)
        ]
        count = 0
        for first in range(0, len(jobs), CANCELLATION_BATCH_SIZE):
            count += await self._commit_cancellations(jobs[first : first + CANCELLATION_BATCH_SIZE])
        return count

    async def _commit_cancellations(self, jobs: list[str]) -> int:
        """Record cancellations concurrently; return how many of them ended a job."""
        state = self._state
        stream = state.context.stream
        reason = "cancelled by an operator"
        records = [
            JobEnded(stream.record_id(), job, CANCELLED, reason, state.wall()) for job in jobs
        ]
        results = await state.commit_all(records)
        for result in results:
            if isinstance(result, RagworttillerError):
                raise result
        return sum(not commit_failed(result) for result in results)

    async def _explain(self, arguments: dict[str, Any]) -> str:
        """Return what keeps a job's tasks pending, else why the job ended, or an empty string."""
        job = arguments["job"]
        status = status_of(self._state, job)
        row = self._state.fold.jobs.get(job)
        if row is None or row.state or not status["tasks"]["pending"]:
            return status["reason"]
        unplaced = self._scheduler.unplaced_jobs.get(job)
        if unplaced is not None and unplaced.reason:
            return unplaced.reason
        reservation, _ = self._scheduler.first_reservation()
        if reservation is not None and reservation.job != job:
            return f"room is set aside for {reservation.job}"
        self._placer.refresh()
        return self._placer.explain(row)

    async def _workers(self, arguments: dict[str, Any]) -> list[WorkerStatus]:
        return [
            WorkerStatus(
                worker=name,
                state=row.declared.state,
                failure_domain=row.declared.failure_domain,
                rack=row.declared.rack,
                capacity=row.declared.capacity,
                booked=row.booked,
                tasks=len(row.tasks) + len(row.holds),
                blocks=self._rooms.block_reasons(name),
            )
            for name, row in self._state.fold.bookings.workers.items()
        ]

    async def _use(self, arguments: dict[str, Any]) -> Resources:
        return self._state.use(arguments["workspace"])

    async def _hold(self, arguments: dict[str, Any]) -> HoldReply:
        return await self._holds.hold(cast(HoldRequest, arguments))

    async def _release(self, arguments: dict[str, Any]) -> None:
        self._holds.release(arguments["decision"], None)

    async def _settle(self, arguments: dict[str, Any]) -> list[str]:
        tasks = [(task, attempt) for task, attempt in arguments["tasks"]]
        return await self._remote_tasks.resolve_decision(arguments["decision"], tasks)

    async def _ended(self, arguments: dict[str, Any]) -> list[str]:
        ends = [(task, attempt, reason) for task, attempt, reason in arguments["ends"]]
        return await self._remote_tasks.record_ends(ends)

    async def _stop(self, arguments: dict[str, Any]) -> None:
        for worker, task, attempt, reason, checkpoint in arguments["stops"]:
            self._state.request_stop(worker, (task, attempt), reason, checkpoint)


def _matches(row: JobRow, selector: dict[str, Any]) -> bool:
    """Return whether a job's fields equal all those of a selector."""
    job = row.submitted
    fields = {
        "template": job.template,
        "kind": job.kind,
        "urgency": job.urgency,
        "version": job.version,
        "state": "running" if row.running else "pending",
    }
    return all(fields.get(field) == value for field, value in selector.items())
