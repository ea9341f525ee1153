"""Free room of a shard's workers, as the owner of the shard counts it for placements."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterator
from contextlib import contextmanager

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.process.bookings import Bookings, WorkerRow
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.resources import NO_RESOURCES, Resources

BLOCKED_STATE = "blocked"
NO_REPORTS_REASON = "does not report"


class RoomView:
    """Index of free room, kept up to date with the fold.

    Room is subtracted as soon as a task is planned, and for tasks that a worker reports without a
    license of this shard's stream. A worker gets new tasks while it reports and is not blocked.

    Parameters
    ----------
    fold : CellFold
        State of the shard.
    rng : random.Random
        Random numbers for sampling.

    Attributes
    ----------
    index : RoomIndex
        Free room by worker.
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
        """Apply the changes of the fold."""
        bookings = self._fold.bookings
        if bookings is not self._bookings:
            self._bookings = bookings
            self.index = RoomIndex(self._rng)
            bookings.changed_workers = set(bookings.workers)
        for name in bookings.changed_workers:
            self._refresh(name)
        bookings.changed_workers = set()

    def reserve(self, worker: str, need: Resources) -> None:
        """Subtract room on a worker for a planned task or a reservation."""
        self._reserved[worker] = self._reserved.get(worker, NO_RESOURCES).plus(need)
        self._refresh(worker)

    def unreserve(self, worker: str, need: Resources) -> None:
        """Add back room that `reserve` subtracted."""
        remaining = self._reserved[worker].minus(need)
        if remaining == NO_RESOURCES:
            del self._reserved[worker]
        else:
            self._reserved[worker] = remaining
        self._refresh(worker)

    def set_unlicensed(self, worker: str, use: Resources) -> None:
        """Set the use of a worker by tasks without a license of this shard's stream."""
        if use != self._unlicensed.get(worker, NO_RESOURCES):
            self._unlicensed[worker] = use
            self._refresh(worker)

    def set_reporting(self, worker: str, reporting: bool) -> None:
        """Set whether a worker answers its owner; it gets no new tasks until it does."""
        if (worker in self._reporting) == reporting:
            return
        if reporting:
            self._reporting.add(worker)
        else:
            self._reporting.discard(worker)
        self._refresh(worker)

    def block(self, worker: str, reason: str, until: float = math.inf) -> None:
        """Block a worker for new tasks until a monotonic time, in addition to other blocks."""
        blocks = self._blocks.setdefault(worker, {})
        added = reason not in blocks
        blocks[reason] = until
        if added:
            self._refresh(worker)

    def unblock(self, worker: str, reason: str) -> None:
        """Remove one of the reasons for which a worker is blocked."""
        blocks = self._blocks.get(worker, {})
        if reason in blocks:
            del blocks[reason]
            self._refresh(worker)

    @contextmanager
    def temporarily_blocked(self, workers: Collection[str], reason: str) -> Iterator[None]:
        """Block some workers for new tasks inside the ``with`` statement."""
        for worker in workers:
            self.block(worker, reason)
        try:
            yield
        finally:
            for worker in workers:
                self.unblock(worker, reason)

    def expire(self, now: float) -> None:
        """Remove the blocks that have expired."""
        for worker, blocks in list(self._blocks.items()):
            for reason in [reason for reason, until in blocks.items() if until <= now]:
                self.unblock(worker, reason)
            if not blocks:
                del self._blocks[worker]

    def block_reasons(self, worker: str) -> list[str]:
        """Return the reasons for which a worker gets no new tasks."""
        no_reports = [] if worker in self._reporting else [NO_REPORTS_REASON]
        return [*no_reports, *self._blocks.get(worker, {})]

    def free_room(self, worker: str) -> Resources:
        """Return the free room of a worker, `NO_RESOURCES` if the worker is unknown."""
        return self.index.worker(worker).room if worker in self.index else NO_RESOURCES

    def _refresh(self, name: str) -> None:
        row = self._fold.bookings.workers.get(name)
        if row is None or row.declared.state == "gone":
            if name in self.index:
                self.index.remove(name)
            return
        state = "up" if row.up and not self.block_reasons(name) else BLOCKED_STATE
        updated = self._worker_room(row, state)
        if name not in self.index:
            self.index.add(updated)
            return
        known = self.index.worker(name)
        if known._replace(room=updated.room) != updated:
            self.index.update(updated)
            return
        change = known.room.minus(updated.room)
        if change == NO_RESOURCES:
            return
        if updated.room.fits(known.room):
            self.index.book(name, change)
        else:
            self.index.free(name, NO_RESOURCES.minus(change))

    def _worker_room(self, row: WorkerRow, state: str) -> WorkerRoom:
        declared = row.declared
        unavailable = self._reserved.get(declared.worker, NO_RESOURCES)
        unavailable = unavailable.plus(self._unlicensed.get(declared.worker, NO_RESOURCES))
        return WorkerRoom(
            declared.worker,
            declared.capacity,
            row.available.minus(unavailable),
            declared.failure_domain,
            declared.rack,
            frozenset(declared.labels),
            state,
        )
