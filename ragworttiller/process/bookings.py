"""Bookings on the workers of one cell shard, for its own tasks and for holds."""

from __future__ import annotations

from typing import Any, NamedTuple

from ragworttiller.process.stream import VALID, Verdict
from ragworttiller.records import HoldPlaced, HoldReleased, WorkerDeclared
from ragworttiller.resources import NO_RESOURCES, Resources

KEPT_RELEASES = 4000
KEPT_DECLARATIONS = 8
MAX_INTERNED_VALUES = 10_000

HoldKey = tuple[str, str]


class Hold(NamedTuple):
    """Room held on a worker of this shard for a task of another shard's job.

    ``home`` is the shard of the job. ``at`` is in wall-clock seconds; no verdict of the
    fold depends on it.
    """

    home: int
    attempt: int
    worker: str
    need: Resources
    holder: str
    offset: int
    at: float


class WorkerRow:
    """Worker with its bookings.

    Attributes
    ----------
    declared : WorkerDeclared
        Latest declaration.
    booked : Resources
        Sum over ``tasks`` and ``holds``.
    tasks : set of str
        Tasks of this shard's jobs that are licensed on the worker.
    holds : set of (str, str)
        Decision and task of each hold on the worker.
    recent_ids : list of str
        Ids of the latest declaration records; a repeated one is void.
    """

    __slots__ = ("booked", "declared", "holds", "recent_ids", "tasks")

    def __init__(self, declared: WorkerDeclared, recent_ids: list[str] | None = None) -> None:
        self.declared = declared
        self.booked = NO_RESOURCES
        self.tasks: set[str] = set()
        self.holds: set[HoldKey] = set()
        self.recent_ids = recent_ids if recent_ids is not None else [declared.id]

    @property
    def up(self) -> bool:
        """Whether the worker accepts new tasks."""
        return self.declared.state == "up"

    @property
    def available(self) -> Resources:
        """Capacity minus all bookings; negative if the capacity was lowered below them."""
        return self.declared.capacity.minus(self.booked)

    @property
    def idle(self) -> bool:
        """Whether nothing is booked on the worker."""
        return not self.tasks and not self.holds


class BookingsDump(NamedTuple):
    """Serialized bookings of a snapshot.

    Bookings of the shard's own tasks are left out; they are rebuilt from the running tasks.
    """

    workers: list[tuple[WorkerDeclared, list[str]]]
    holds: list[tuple[str, str, Hold]]
    released: list[str]


class Bookings:
    """Workers of one cell shard and the bookings on them.

    Attributes
    ----------
    workers : dict of str to WorkerRow
        Declared workers by name.
    holds : dict of (str, str) to Hold
        Holds by decision and task.
    changed_workers : set of str
        Workers that changed since the set was last emptied.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRow] = {}
        self.holds: dict[HoldKey, Hold] = {}
        self.changed_workers: set[str] = set()
        self._released: dict[str, None] = {}
        self._interned: dict[Any, Any] = {}

    def intern(self, value: Any) -> Any:
        """Return the same object for equal values to save memory."""
        if len(self._interned) > MAX_INTERNED_VALUES:
            self._interned.clear()
        return self._interned.setdefault(value, value)

    def declare(self, record: WorkerDeclared) -> Verdict:
        """Add a worker or replace its declaration."""
        row = self.workers.get(record.worker)
        if row is None:
            self.workers[record.worker] = WorkerRow(record)
        elif record.id in row.recent_ids:
            return Verdict(False, "declaration has landed before")
        else:
            row.declared = record
            row.recent_ids = [*row.recent_ids, record.id][-KEPT_DECLARATIONS:]
        self._mark_changed(record.worker)
        return VALID

    def obstacle(self, worker: str, need: Resources) -> str:
        """Return why a worker cannot take ``need``, or an empty string."""
        row = self.workers.get(worker)
        if row is None or not row.up:
            return "worker is unknown or not up"
        if not need.fits(row.available):
            return "worker has no room"
        return ""

    def book_task(self, task: str, worker: str, need: Resources) -> None:
        """Book a task of this shard's jobs."""
        row = self.workers[worker]
        row.tasks.add(task)
        row.booked = row.booked.plus(need)
        self.changed_workers.add(worker)

    def free_task(self, task: str, worker: str, need: Resources) -> None:
        """Free the booking of a task."""
        row = self.workers[worker]
        row.tasks.discard(task)
        row.booked = row.booked.minus(need)
        self._mark_changed(worker)

    def resize_task(self, worker: str, before: Resources, after: Resources) -> Verdict:
        """Change the booking of a task if the growth fits on the worker."""
        row = self.workers[worker]
        growth = after.minus(before)
        if not growth.fits(row.available.maximum(NO_RESOURCES)):
            return Verdict(False, "worker has no room")
        row.booked = row.booked.plus(growth)
        self.changed_workers.add(worker)
        return VALID

    def place_hold(self, offset: int, record: HoldPlaced) -> Verdict:
        """Book a hold for a task of another shard's job."""
        key = (record.decision, record.task)
        if key in self.holds:
            return Verdict(False, "task is held")
        if record.decision in self._released or _release_key(key) in self._released:
            return Verdict(False, "hold was released")
        obstacle = self.obstacle(record.worker, record.need)
        if obstacle:
            return Verdict(False, obstacle)
        hold = Hold(
            record.home,
            record.attempt,
            self.intern(record.worker),
            self.intern(record.need),
            self.intern(record.holder),
            offset,
            record.at,
        )
        self._book_hold(key, hold)
        return VALID

    def release(self, record: HoldReleased) -> Verdict:
        """Free one hold or all holds of a decision; those recorded later are void."""
        if record.task is None:
            keys = [key for key in self.holds if key[0] == record.decision]
            self._released[record.decision] = None
        else:
            keys = [(record.decision, record.task)]
            self._released[_release_key(keys[0])] = None
        trim(self._released, KEPT_RELEASES)
        for key in keys:
            self._free_hold(key)
        return VALID

    def to_dump(self) -> BookingsDump:
        """Return the state for a snapshot."""
        return BookingsDump(
            [(row.declared, row.recent_ids) for row in self.workers.values()],
            [(*key, hold) for key, hold in self.holds.items()],
            list(self._released),
        )

    def load(self, dump: BookingsDump) -> None:
        """Replace the state with that of a snapshot."""
        self.workers = {
            item.worker: WorkerRow(item, recent_ids) for item, recent_ids in dump.workers
        }
        self._released = dict.fromkeys(dump.released)
        self.changed_workers = set(self.workers)
        self.holds = {}
        for decision, task, hold in dump.holds:
            self._book_hold((decision, task), hold)

    def _book_hold(self, key: HoldKey, hold: Hold) -> None:
        self.holds[key] = hold
        row = self.workers[hold.worker]
        row.holds.add(key)
        row.booked = row.booked.plus(hold.need)
        self.changed_workers.add(hold.worker)

    def _free_hold(self, key: HoldKey) -> None:
        hold = self.holds.pop(key, None)
        if hold is None:
            return
        row = self.workers[hold.worker]
        row.holds.discard(key)
        row.booked = row.booked.minus(hold.need)
        self._mark_changed(hold.worker)

    def _mark_changed(self, worker: str) -> None:
        """Mark a worker as changed, and remove it if it is gone and nothing is booked on it."""
        self.changed_workers.add(worker)
        row = self.workers[worker]
        if row.declared.state == "gone" and row.idle:
            del self.workers[worker]


def _release_key(key: HoldKey) -> str:
    """Return the entry for the release of one hold; that of a whole decision is its id."""
    return "\0".join(key)


def trim(items: dict[Any, Any], kept: int) -> None:
    """Drop the oldest items until at most ``kept`` remain."""
    while len(items) > kept:
        del items[next(iter(items))]
