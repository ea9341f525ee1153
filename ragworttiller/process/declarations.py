"""Declares a shard's workers as the platform lists them, and moves tasks off leaving workers."""

from __future__ import annotations

from ragworttiller.process.bookings import WorkerRow
from ragworttiller.process.cell_rows import job_of
from ragworttiller.process.cell_state import CellState
from ragworttiller.process.job_rules import movable
from ragworttiller.process.placer import Placer
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_endings import PREEMPTED
from ragworttiller.records import WorkerDeclared
from ragworttiller.services.directory import ListedWorker

LISTING_PERIOD_SECONDS = 0.5
ABSENT_SECONDS = 15.0
REPOST_PERIOD_SECONDS = 5.0
MAX_MOVES_PER_WORKER = 16
LEAVING = "leaving"
NOT_LISTED = "not listed"


class Declarations:
    """Records changes in the platform's list of workers.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room; leaving workers are excluded from it before their record is committed.
    placer : Placer
        Checks whether tasks have room on other workers.
    """

    def __init__(self, state: CellState, rooms: RoomView, placer: Placer) -> None:
        self._state = state
        self._rooms = rooms
        self._placer = placer
        self._applied_at = 0.0
        self._posted: dict[str, tuple[WorkerDeclared, float]] = {}
        self._absent_since: dict[str, float] = {}

    def apply_listing(self) -> None:
        """Declare workers that changed in the latest listing, and block those it omits.

        A worker that is omitted for `ABSENT_SECONDS` is declared gone.
        """
        now = self._state.now()
        if now - self._applied_at < LISTING_PERIOD_SECONDS:
            return
        self._applied_at = now
        listed = self._state.listed_workers()
        for worker in listed.values():
            self._declare_listed(worker)
        if self._state.context.listing().workers:
            for name, row in self._state.fold.bookings.workers.items():
                if name not in listed:
                    self._handle_unlisted(name, row)

    def move_tasks(self) -> None:
        """Stop tasks on leaving workers if they may move and have room on another worker."""
        for name, row in self._state.fold.bookings.workers.items():
            if row.declared.state == LEAVING:
                self._move_tasks_from(name, row)

    def _declare_listed(self, worker: ListedWorker) -> None:
        self._absent_since.pop(worker.worker, None)
        self._rooms.unblock(worker.worker, NOT_LISTED)
        state = "up" if worker.state == "live" else LEAVING
        if state == "up":
            self._rooms.unblock(worker.worker, LEAVING)
        else:
            self._rooms.block(worker.worker, LEAVING)
        self._declare(
            WorkerDeclared(
                "",
                worker.worker,
                worker.address,
                worker.capacity,
                worker.failure_domain,
                worker.rack,
                worker.labels,
                state,
            )
        )

    def _handle_unlisted(self, name: str, row: WorkerRow) -> None:
        self._rooms.block(name, NOT_LISTED)
        now = self._state.now()
        since = self._absent_since.setdefault(name, now)
        if now - since >= ABSENT_SECONDS:
            self._declare(row.declared._replace(id="", state="gone"))

    def _declare(self, record: WorkerDeclared) -> None:
        name = record.worker
        row = self._state.fold.bookings.workers.get(name)
        if row is not None and row.declared._replace(id="") == record:
            return
        posted = self._posted.get(name)
        now = self._state.now()
        if posted is not None and posted[0] == record and now - posted[1] < REPOST_PERIOD_SECONDS:
            return
        self._posted[name] = (record, now)
        stream = self._state.context.stream
        stream.post(record._replace(id=stream.record_id()))

    def _move_tasks_from(self, name: str, row: WorkerRow) -> None:
        moved = len(self._state.stops.get(name, {}))
        for task in sorted(row.tasks):
            job = self._state.fold.jobs.get(job_of(task))
            running = self._state.fold.running(task)
            if job is None or running is None or job.state or not movable(job):
                continue
            if moved >= MAX_MOVES_PER_WORKER:
                return
            key = (task, running.attempt)
            if self._state.stop_reason(name, key) or not self._placer.has_room(job):
                continue
            checkpoint = bool(job.submitted.rules.get("checkpoint"))
            self._state.request_stop(name, key, PREEMPTED, checkpoint)
            moved += 1
