"""What is booked on the workers of one cell shard, for its own tasks and for holds."""

from __future__ import annotations

from typing import Any, NamedTuple

from ragworttiller.process.stream import VALID, Verdict
from ragworttiller.records import HoldPlaced, HoldReleased, WorkerDeclared
from ragworttiller.resources import NOTHING, Resources

KEPT_RELEASES = 4000
KEPT_DECLARATIONS = 8
MAX_SHARED = 10_000

HoldKey = tuple[str, str]


class Hold(NamedTuple):
    """Room held on a worker of this shard for a task of another shard's job.

    ``home`` is the shard of the job. ``at`` is wall-clock seconds and informs people.
    """

    home: int
    attempt: int
    worker: str
    need: Resources
    holder: str
    offset: int
    at: float


class WorkerRow:
    """Worker with all that is booked on it.

    Attributes
    ----------
    declared : WorkerDeclared
        Latest declaration.
    booked : Resources
        Sum over ``tasks`` and ``holds``.
    tasks : set of str
        Tasks of this shard's jobs that are licensed here.
    holds : set of (str, str)
        Decision and task of the holds here.
    ids : list of str
        Ids of the latest declarations, against a second landing.
    """

    __slots__ = ("booked", "declared", "holds", "ids", "tasks")

    def __init__(self, declared: WorkerDeclared, ids: list[str] | None = None) -> None:
        self.declared = declared
        self.booked = NOTHING
        self.tasks: set[str] = set()
        self.holds: set[HoldKey] = set()
        self.ids = ids if ids is not None else [declared.id]

    @property
    def up(self) -> bool:
        """Whether the worker takes new tasks."""
        return self.declared.state == "up"

    @property
    def free(self) -> Resources:
        """Capacity less all that is booked; negative after the worker shrank."""
        return self.declared.capacity.minus(self.booked)

    @property
    def idle(self) -> bool:
        """Whether nothing is booked here."""
        return not self.tasks and not self.holds


class BookingsDump(NamedTuple):
    """Bookings as they stand in a snapshot, without those of the shard's own tasks."""

    workers: list[tuple[WorkerDeclared, list[str]]]
    holds: list[tuple[str, str, Hold]]
    released: list[str]


class Bookings:
    """Workers of one cell shard and what is booked on them.

    Attributes
    ----------
    workers : dict of str to WorkerRow
        Declared workers by name.
    holds : dict of (str, str) to Hold
        Holds by decision and task.
    changed_workers : set of str
        Workers that changed since a reader last emptied the set.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRow] = {}
        self.holds: dict[HoldKey, Hold] = {}
        self.changed_workers: set[str] = set()
        self._released: dict[str, None] = {}
        self._shared: dict[Any, Any] = {}

    def share(self, value: Any) -> Any:
        """Return one object for equal values, which spares memory."""
        if len(self._shared) > MAX_SHARED:
            self._shared.clear()
        return self._shared.setdefault(value, value)

    def declare(self, record: WorkerDeclared) -> Verdict:
        """Add a worker or replace what is declared of it."""
        row = self.workers.get(record.worker)
        if row is None:
            self.workers[record.worker] = WorkerRow(record)
        elif record.id in row.ids:
            return Verdict(False, "declaration has landed before")
        else:
            row.declared = record
            row.ids = [*row.ids, record.id][-KEPT_DECLARATIONS:]
        self._touch(record.worker)
        return VALID

    def obstacle(self, worker: str, need: Resources) -> str:
        """Return why a worker cannot take ``need``, or an empty string."""
        row = self.workers.get(worker)
        if row is None or not row.up:
            return "worker is unknown or not up"
        if not need.fits(row.free):
            return "worker has no room"
        return ""

    def book_task(self, task: str, worker: str, need: Resources) -> None:
        """Book a task of this shard's jobs."""
        row = self.workers[worker]
        row.tasks.add(task)
        row.booked = row.booked.plus(need)
        self.changed_workers.add(worker)

    def free_task(self, task: str, worker: str, need: Resources) -> None:
        """Free what a task has booked."""
        row = self.workers[worker]
        row.tasks.discard(task)
        row.booked = row.booked.minus(need)
        self._touch(worker)

    def resize_task(self, worker: str, before: Resources, after: Resources) -> Verdict:
        """Change what a task has booked, if the growth fits."""
        row = self.workers[worker]
        growth = after.minus(before)
        if not growth.fits(row.free.maximum(NOTHING)):
            return Verdict(False, "worker has no room")
        row.booked = row.booked.plus(growth)
        self.changed_workers.add(worker)
        return VALID

    def place_hold(self, offset: int, record: HoldPlaced) -> Verdict:
        """Hold room for a task of another shard's job."""
        key = (record.decision, record.task)
        if key in self.holds:
            return Verdict(False, "task is held")
        if record.decision in self._released or _joined(key) in self._released:
            return Verdict(False, "hold was released")
        obstacle = self.obstacle(record.worker, record.need)
        if obstacle:
            return Verdict(False, obstacle)
        hold = Hold(
            record.home,
            record.attempt,
            self.share(record.worker),
            self.share(record.need),
            self.share(record.holder),
            offset,
            record.at,
        )
        self._book_hold(key, hold)
        return VALID

    def release(self, record: HoldReleased) -> Verdict:
        """Free one hold or all holds of a decision, and void those that land later."""
        if record.task is None:
            keys = [key for key in self.holds if key[0] == record.decision]
            self._released[record.decision] = None
        else:
            keys = [(record.decision, record.task)]
            self._released[_joined(keys[0])] = None
        trim(self._released, KEPT_RELEASES)
        for key in keys:
            self._free_hold(key)
        return VALID

    def holds_of(self, decision: str) -> list[HoldKey]:
        """Return the keys of a decision's holds."""
        return [key for key in self.holds if key[0] == decision]

    def to_dump(self) -> BookingsDump:
        """Return the state for a snapshot."""
        return BookingsDump(
            [(row.declared, row.ids) for row in self.workers.values()],
            [(*key, hold) for key, hold in self.holds.items()],
            list(self._released),
        )

    def load(self, dump: BookingsDump) -> None:
        """Replace the state by that of a snapshot."""
        self.workers = {item.worker: WorkerRow(item, ids) for item, ids in dump.workers}
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
        self._touch(hold.worker)

    def _touch(self, worker: str) -> None:
        self.changed_workers.add(worker)
        row = self.workers[worker]
        if row.declared.state == "gone" and row.idle:
            del self.workers[worker]


def _joined(key: HoldKey) -> str:
    return "\0".join(key)


def trim(items: dict[Any, Any], kept: int) -> None:
    """Drop the oldest items beyond ``kept``."""
    while len(items) > kept:
        del items[next(iter(items))]
