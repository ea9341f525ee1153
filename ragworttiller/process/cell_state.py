"""State shared by the components of a cell shard's owner."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

import anyio

from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import AppendUndecided, LogUnavailable, RagworttillerError
from ragworttiller.hashing import shard_of
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.cell_rows import JobRow
from ragworttiller.process.fold import Committed
from ragworttiller.process.lease_book import LeaseBook
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.process.stream import Stream
from ragworttiller.records import TaskEnded
from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.services.directory import ListedWorker, Listing
from ragworttiller.services.worker import Worker, WorkerFleet
from ragworttiller.timers import TimerService

COMMIT_TIMEOUT_SECONDS = 2.0
CANCELLED = "cancelled"

Attempt = tuple[str, int]


class Item(Protocol):
    """Configuration item: its version and its JSON body."""

    @property
    def version(self) -> int:
        """Log offset of the record that made the item."""

    @property
    def body(self) -> dict[str, Any]:
        """Content of the item."""


class Items(Protocol):
    """Source of configuration items."""

    def get(self, workspace: str, kind: str, name: str) -> Any:
        """Return an item.

        Raises
        ------
        NotFound
            The item does not exist.
        """


class CellContext(NamedTuple):
    """Dependencies of the owner of one of ``shards`` cell shards."""

    shard: int
    shards: int
    stream: Stream
    fleet: WorkerFleet
    peers: Peers
    membership: Membership
    items: Items
    timers: TimerService
    decisions: DecisionLog
    listing: Callable[[], Listing]
    rng: random.Random


class SentStart(NamedTuple):
    """Start command that this owner has sent.

    ``at`` is the monotonic time at which the call ended, or began while it is in progress; a report
    of the worker that is requested later shows whether the start arrived. ``answered`` is whether
    the worker answered. ``leased_until`` is when the lease that the command granted has ended,
    infinite while the call is in progress.
    """

    worker: str
    at: float
    answered: bool
    leased_until: float


class PlannedTask(NamedTuple):
    """Task that is being placed, licensed or started; ``worker`` is empty until one is chosen."""

    workspace: str
    worker: str
    need: Resources


class StopRequest(NamedTuple):
    """Request to stop a running attempt; ``reason`` is recorded once the worker confirms it."""

    reason: str
    checkpoint: bool


class CellState:
    """In-memory state of one owner of a cell shard, which a later owner does not inherit.

    Parameters
    ----------
    context : CellContext
        Dependencies of the owner.

    Attributes
    ----------
    planned : dict of str to PlannedTask
        Tasks that are being placed, until their start command is answered.
    sent_starts : dict of (str, int) to SentStart
        Start commands by task and attempt.
    stops : dict of str to dict of (str, int) to StopRequest
        Stops that workers have not confirmed, by worker, task and attempt.
    pending_since : dict of str to float
        Wall-clock time at which a task became pending again.
    lease : float
        Duration of the leases that are granted, in seconds.
    leases : LeaseBook
        Ends of the leases on this shard's workers.
    on_stop : Callable
        Called with the worker of a new stop request.
    on_start : Callable
        Called with the worker of a new start.
    began : bool
        Whether the log has the record of this owner's begin.
    stopping : bool
        Whether the shard is being handed over.
    """

    def __init__(self, context: CellContext) -> None:
        assert isinstance(context.stream.fold, CellFold)
        self.context = context
        self.fold: CellFold = context.stream.fold
        self.planned: dict[str, PlannedTask] = {}
        self.sent_starts: dict[Attempt, SentStart] = {}
        self.stops: dict[str, dict[Attempt, StopRequest]] = {}
        self.pending_since: dict[str, float] = {}
        self.lease = 0.0
        self.leases = LeaseBook()
        self._listing: Listing | None = None
        self._listed: dict[str, ListedWorker] = {}
        self._ends: dict[str, anyio.Event] = {}
        self.on_stop: Callable[[str], None] = lambda worker: None
        self.on_start: Callable[[str], None] = lambda worker: None
        self.began = False
        self.stopping = False
        self._ending: set[Attempt] = set()
        self._changed = anyio.Event()
        self.fold.on_change = self.wake

    @property
    def holder(self) -> str:
        """Name under which this owner holds licenses; no other owner, past or future, has it."""
        return self.context.stream.writer

    @property
    def active(self) -> bool:
        """Whether the owner may place tasks: caught up, log available and not handing over."""
        stream = self.context.stream
        return stream.ready and stream.log_up and not self.stopping

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.context.timers.now()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self.context.timers.wall()

    def wake(self) -> None:
        """Wake the scheduling loop."""
        self._changed.set()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until `wake` is called, at most for ``seconds``."""
        with self.context.timers.move_on_after(seconds):
            await self._changed.wait()
        self._changed = anyio.Event()

    async def wait_for_job_end(self, job: str, seconds: float) -> None:
        """Wait until a job and its tasks have ended, at most for ``seconds``."""
        event = self._ends.setdefault(job, anyio.Event())
        with self.context.timers.move_on_after(seconds):
            await event.wait()

    def signal_job_end(self, job: str) -> None:
        """Wake the callers of `wait_for_job_end` for a job."""
        event = self._ends.pop(job, None)
        if event is not None:
            event.set()

    def listed_workers(self) -> dict[str, ListedWorker]:
        """Return the workers of the shard that the platform lists, by name."""
        listing = self.context.listing()
        if listing is not self._listing:
            self._listing = listing
            self._listed = {
                worker.worker: worker
                for worker in listing.workers
                if shard_of(worker.worker, self.context.shards) == self.context.shard
            }
        return self._listed

    def client(self, worker: str) -> Worker | None:
        """Return the client of a declared worker of this shard."""
        row = self.fold.bookings.workers.get(worker)
        if row is None:
            return None
        return self.context.fleet.worker(worker, row.declared.address)

    def waiting_since(self, row: JobRow, task: str) -> float:
        """Return the wall-clock time at which a task became pending."""
        return self.pending_since.get(task, row.submitted.at)

    def use(self, workspace: str) -> Resources:
        """Return the resources booked or planned for a workspace's jobs of this shard."""
        total = self.fold.use.get(workspace, NO_RESOURCES)
        for planned in self.planned.values():
            if planned.workspace == workspace:
                total = total.plus(planned.need)
        return total

    def request_stop(self, worker: str, key: Attempt, reason: str, checkpoint: bool) -> None:
        """Request the stop of an attempt; a cancellation keeps precedence over other reasons."""
        requests = self.stops.setdefault(worker, {})
        existing = requests.get(key)
        if existing is None or existing.reason != CANCELLED:
            requests[key] = StopRequest(reason, checkpoint)
        self.on_stop(worker)

    def stop_reason(self, worker: str, key: Attempt) -> str | None:
        """Return the reason of an attempt's stop request, or None if there is none."""
        request = self.stops.get(worker, {}).get(key)
        return request.reason if request else None

    def record_task_end(self, task: str, attempt: int, reason: str) -> bool:
        """Post the end of an attempt; return False if it has ended or its end is already posted."""
        key = (task, attempt)
        running = self.fold.running(task)
        if key in self._ending or running is None or running.attempt != attempt:
            return False
        self._ending.add(key)
        self.stops.get(running.worker, {}).pop(key, None)
        self.pending_since[task] = self.wall()
        stream = self.context.stream
        stream.post(TaskEnded(stream.record_id(), task, attempt, reason, self.wall()))
        return True

    def is_ending(self, task: str, attempt: int) -> bool:
        """Return whether the end of an attempt is being recorded."""
        return (task, attempt) in self._ending

    def discard_ended_attempts(self) -> None:
        """Discard entries of attempts and jobs that have ended."""
        self._ending = {key for key in self._ending if self._is_running(key)}
        self.sent_starts = {
            key: sent for key, sent in self.sent_starts.items() if self._is_running(key)
        }
        self.pending_since = {
            task: since for task, since in self.pending_since.items() if self._job_is_open(task)
        }
        for worker in [worker for worker, requests in self.stops.items() if not requests]:
            del self.stops[worker]

    def _is_running(self, key: Attempt) -> bool:
        running = self.fold.running(key[0])
        return running is not None and running.attempt == key[1]

    def _job_is_open(self, task: str) -> bool:
        row = self.fold.jobs.get(task.rpartition("/")[0])
        return row is not None and not row.state

    async def commit_all(
        self, records: Sequence[Any]
    ) -> list[Committed | LogUnavailable | AppendUndecided]:
        """Commit records concurrently and return the result of each."""
        results: list[Any] = [None] * len(records)

        async def commit(position: int) -> None:
            try:
                results[position] = await self.context.stream.commit(
                    records[position], COMMIT_TIMEOUT_SECONDS
                )
            except (LogUnavailable, AppendUndecided) as exc:
                results[position] = exc

        async with anyio.create_task_group() as tasks:
            for position in range(len(records)):
                tasks.start_soon(commit, position)
        return results


def commit_failed(result: Committed | RagworttillerError) -> bool:
    """Return whether a commit failed or its record is void."""
    return not isinstance(result, Committed) or not result.verdict.valid
