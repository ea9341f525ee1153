"""Free room of a shard's workers as its owner's placements see it."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterator
from contextlib import contextmanager

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.process.bookings import Bookings, WorkerRow
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.resources import NOTHING, Resources

BLOCKED = "blocked"
SILENT = "does not report"


class RoomView:
    """Index of free room that follows the fold.

    Room counts as taken from the moment that a task is planned, and for whatever a worker reports
    that has no license. A worker gets new tasks while it reports and nothing blocks it.

    Parameters
    ----------
    fold : CellFold
        State of the shard.
    rng : random.Random
        Random numbers for sampling.
    """

    def __init__(self, fold: CellFold, rng: random.Random) -> None:
        self._fold = fold
        self._rng = rng
        self._bookings: Bookings | None = None
        self._reserved: dict[str, Resources] = {}
        self._unlicensed: dict[str, Resources] = {}
        self._blocks: dict[str, dict[str, float]] = {}
        self._reporting: set[str] = set()
        self.index = RoomIndex(rng)

    def sync(self) -> None:
        """Take over what changed in the fold."""
        bookings = self._fold.bookings
        if bookings is not self._bookings:
            self._bookings = bookings
            self.index = RoomIndex(self._rng)
            bookings.changed_workers = set(bookings.workers)
        for name in bookings.changed_workers:
            self._refresh(name)
        bookings.changed_workers = set()

    def reserve(self, worker: str, need: Resources) -> None:
        """Take room for a task that is planned."""
        self._reserved[worker] = self._reserved.get(worker, NOTHING).plus(need)
        self._refresh(worker)

    def unreserve(self, worker: str, need: Resources) -> None:
        """Give back the room of a task that is no longer only planned."""
        left = self._reserved[worker].minus(need)
        if left == NOTHING:
            del self._reserved[worker]
        else:
            self._reserved[worker] = left
        self._refresh(worker)

    def set_unlicensed(self, worker: str, use: Resources) -> None:
        """Set what runs on a worker without a license of this shard's stream."""
        if use != self._unlicensed.get(worker, NOTHING):
            self._unlicensed[worker] = use
            self._refresh(worker)

    def set_reporting(self, worker: str, reporting: bool) -> None:
        """Set whether a worker answers its owner, which it has to before it gets new tasks."""
        if (worker in self._reporting) == reporting:
            return
        if reporting:
            self._reporting.add(worker)
        else:
            self._reporting.discard(worker)
        self._refresh(worker)

    def block(self, worker: str, reason: str, until: float = math.inf) -> None:
        """Keep new tasks off a worker for one more reason, until a monotonic time."""
        known = self._blocks.setdefault(worker, {})
        added = reason not in known
        known[reason] = until
        if added:
            self._refresh(worker)

    def unblock(self, worker: str, reason: str) -> None:
        """Drop one reason for keeping new tasks off a worker."""
        known = self._blocks.get(worker, {})
        if reason in known:
            del known[reason]
            self._refresh(worker)

    @contextmanager
    def kept_out(self, workers: Collection[str], reason: str) -> Iterator[None]:
        """Keep new tasks off some workers for a while."""
        for worker in workers:
            self.block(worker, reason)
        try:
            yield
        finally:
            for worker in workers:
                self.unblock(worker, reason)

    def expire(self, now: float) -> None:
        """Drop the reasons whose time is over."""
        for worker, known in list(self._blocks.items()):
            for reason in [reason for reason, until in known.items() if until <= now]:
                self.unblock(worker, reason)
            if not known:
                del self._blocks[worker]

    def blocks(self, worker: str) -> list[str]:
        """Return the reasons for which a worker gets no new tasks."""
        silent = [] if worker in self._reporting else [SILENT]
        return [*silent, *self._blocks.get(worker, {})]

    def room(self, worker: str) -> Resources:
        """Return the free room of a worker, nothing if it is unknown."""
        return self.index.worker(worker).room if worker in self.index else NOTHING

    def _refresh(self, name: str) -> None:
        row = self._fold.bookings.workers.get(name)
        if row is None or row.declared.state == "gone":
            if name in self.index:
                self.index.remove(name)
            return
        state = "up" if row.up and not self.blocks(name) else BLOCKED
        wanted = self._worker_room(row, state)
        if name not in self.index:
            self.index.add(wanted)
            return
        known = self.index.worker(name)
        if known._replace(room=wanted.room) != wanted:
            self.index.update(wanted)
            return
        change = known.room.minus(wanted.room)
        if change == NOTHING:
            return
        if wanted.room.fits(known.room):
            self.index.book(name, change)
        else:
            self.index.free(name, NOTHING.minus(change))

    def _worker_room(self, row: WorkerRow, state: str) -> WorkerRoom:
        declared = row.declared
        taken = self._reserved.get(declared.worker, NOTHING)
        taken = taken.plus(self._unlicensed.get(declared.worker, NOTHING))
        return WorkerRoom(
            declared.worker,
            declared.capacity,
            row.available.minus(taken),
            declared.failure_domain,
            declared.rack,
            frozenset(declared.labels),
            state,
        )
