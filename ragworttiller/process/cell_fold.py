"""Fold of a cell shard: bookings on its workers and progress of its jobs.

A start is valid only for the next attempt of a pending task, on a worker that is up and has room
for it at the record's offset. The room stays booked from the license until a record ends the task,
regardless of what workers report.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from typing_extensions import override

from ragworttiller.process.bookings import Bookings, BookingsDump, trim
from ragworttiller.process.cell_rows import (
    PENDING,
    RUNNING,
    EndedJob,
    JobDump,
    JobRow,
    Running,
    index_of,
    job_of,
    state_after,
)
from ragworttiller.process.stream import VALID, Fold, Verdict
from ragworttiller.records import (
    HoldDecided,
    HoldPlaced,
    HoldReleased,
    JobEnded,
    JobSubmitted,
    OwnerBegan,
    TaskEnded,
    TaskResized,
    TaskStarted,
    WorkerDeclared,
)
from ragworttiller.resources import NO_RESOURCES, Resources

KEPT_ENDED_JOBS = 2000
KEPT_DECISIONS = 2000
KEPT_OWNERS = 8


class _Dump(msgspec.Struct, array_like=True):
    """Serialized state of the fold in a snapshot."""

    bookings: BookingsDump
    jobs: list[JobDump]
    ended: dict[str, EndedJob]
    decided: dict[str, bool]
    owners: list[str] = []


class CellFold(Fold):
    """Bookings and jobs of one cell shard.

    Parameters
    ----------
    shard : int
        Number of the shard.

    Attributes
    ----------
    bookings : Bookings
        Workers of the shard and the bookings on them.
    jobs : dict of str to JobRow
        Jobs that have not ended or still have running tasks.
    ended : dict of str to EndedJob
        Most recently ended jobs, oldest first.
    decided : dict of str to bool
        Most recent decisions on this shard's jobs, oldest first; True for a commit.
    owners : dict of str to None
        Names of the latest owners of the shard, oldest first.
    open_jobs : dict of str to int
        Number of ``jobs`` by workspace.
    use : dict of str to Resources
        Resources booked for the running tasks of each workspace's jobs.
    changed_jobs : set of str
        Jobs that changed since the set was last emptied.
    on_change : Callable
        Called after each valid record that changes bookings or jobs, and after a snapshot was
        loaded.
    """

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._appliers: dict[type, Callable[[int, Any], Verdict]] = {
            WorkerDeclared: lambda offset, record: self.bookings.declare(record),
            JobSubmitted: self._job_submitted,
            TaskStarted: self._task_started,
            TaskEnded: self._task_ended,
            TaskResized: self._task_resized,
            JobEnded: self._job_ended,
            HoldPlaced: lambda offset, record: self.bookings.place_hold(offset, record),
            HoldReleased: lambda offset, record: self.bookings.release(record),
            HoldDecided: self._hold_decided,
            OwnerBegan: self._owner_began,
        }
        self.on_change: Callable[[], None] = lambda: None
        self.reset()

    @property
    def shard(self) -> int:
        """Number of the shard."""
        return self._shard

    @override
    def apply(self, offset: int, record: Any) -> Verdict:
        applier = self._appliers.get(type(record))
        if applier is None:
            return Verdict(False, "record of another stream")
        verdict = applier(offset, record)
        if verdict.valid and not isinstance(record, OwnerBegan):
            self.on_change()
        return verdict

    @override
    def reset(self) -> None:
        self.bookings = Bookings()
        self.jobs: dict[str, JobRow] = {}
        self.ended: dict[str, EndedJob] = {}
        self.decided: dict[str, bool] = {}
        self.owners: dict[str, None] = {}
        self.use: dict[str, Resources] = {}
        self.open_jobs: dict[str, int] = {}
        self.changed_jobs: set[str] = set()

    @override
    def dump(self) -> bytes:
        jobs = [JobDump.from_row(row) for row in self.jobs.values()]
        state = _Dump(self.bookings.to_dump(), jobs, self.ended, self.decided, list(self.owners))
        return msgspec.msgpack.encode(state)

    @override
    def load(self, data: bytes) -> None:
        self.reset()
        dump = msgspec.msgpack.decode(data, type=_Dump)
        self.bookings.load(dump.bookings)
        self.ended, self.decided = dump.ended, dump.decided
        self.owners = dict.fromkeys(dump.owners)
        for job in dump.jobs:
            row = job.to_row()
            name = row.submitted.job
            self._add_job(row)
            for index, running in row.running.items():
                self._book(f"{name}/{index}", running)
                self._add_use(row, running.need)
        self.on_change()

    def running(self, task: str) -> Running | None:
        """Return the running attempt of a task of this shard's jobs."""
        row = self.jobs.get(job_of(task))
        return row.running.get(index_of(task)) if row else None

    def _job_submitted(self, offset: int, record: JobSubmitted) -> Verdict:
        if record.job in self.jobs or record.job in self.ended:
            return Verdict(False, "job exists")
        record = record._replace(need=self.bookings.intern(record.need))
        self._add_job(JobRow(record, offset))
        return VALID

    def _add_job(self, row: JobRow) -> None:
        job = row.submitted
        self.jobs[job.job] = row
        self.open_jobs[job.workspace] = self.open_jobs.get(job.workspace, 0) + 1
        self.changed_jobs.add(job.job)

    def _task_started(self, offset: int, record: TaskStarted) -> Verdict:
        obstacle = self._task_obstacle(record.task, record.attempt)
        obstacle = obstacle or self.bookings.obstacle(record.worker, record.need)
        if obstacle:
            return Verdict(False, obstacle)
        placed = (record.task, record.attempt, self._shard, record.worker)
        self._license(offset, record, placed)
        return VALID

    def _task_obstacle(self, task: str, attempt: int) -> str:
        row = self.jobs.get(job_of(task))
        if row is None or row.state:
            return "job is unknown or has ended"
        index = index_of(task)
        if not 0 <= index < len(row.states):
            return "task is unknown"
        if row.states[index] != PENDING:
            return "task is running or has ended"
        if attempt != row.attempts[index] + 1:
            return "attempt is not the next one"
        return ""

    def _license(
        self, offset: int, record: TaskStarted | HoldDecided, placed: tuple[str, int, int, str]
    ) -> None:
        task, attempt, shard, worker = placed
        intern = self.bookings.intern
        decision = record.decision if isinstance(record, HoldDecided) else ""
        running = Running(
            attempt,
            intern(worker),
            shard,
            intern(record.need),
            intern(record.holder),
            offset,
            decision,
            record.at,
        )
        row = self.jobs[job_of(task)]
        index = index_of(task)
        row.states[index] = RUNNING
        row.attempts[index] = running.attempt
        row.running[index] = running
        row.started_at = row.started_at or running.at
        self.changed_jobs.add(row.submitted.job)
        self._book(task, running)
        self._add_use(row, running.need)

    def _add_use(self, row: JobRow, change: Resources) -> None:
        workspace = row.submitted.workspace
        total = self.use.get(workspace, NO_RESOURCES).plus(change)
        if total == NO_RESOURCES:
            self.use.pop(workspace, None)
        else:
            self.use[workspace] = total

    def _book(self, task: str, running: Running) -> None:
        if running.shard == self._shard:
            self.bookings.book_task(task, running.worker, running.need)

    def _task_ended(self, offset: int, record: TaskEnded) -> Verdict:
        running = self.running(record.task)
        if running is None or running.attempt != record.attempt:
            return Verdict(False, "attempt is not running")
        job, index = job_of(record.task), index_of(record.task)
        row = self.jobs[job]
        del row.running[index]
        row.states[index] = state_after(record.reason, row.submitted.idempotent)
        self.changed_jobs.add(job)
        self._add_use(row, NO_RESOURCES.minus(running.need))
        if running.shard == self._shard:
            self.bookings.free_task(record.task, running.worker, running.need)
        if row.state and not row.running:
            self._archive(job)
        return VALID

    def _task_resized(self, offset: int, record: TaskResized) -> Verdict:
        running = self.running(record.task)
        if running is None or running.attempt != record.attempt or running.shard != self._shard:
            return Verdict(False, "attempt is not running in this shard")
        verdict = self.bookings.resize_task(running.worker, running.need, record.need)
        if verdict.valid:
            row = self.jobs[job_of(record.task)]
            need = self.bookings.intern(record.need)
            self._add_use(row, need.minus(running.need))
            row.running[index_of(record.task)] = running._replace(need=need)
        return verdict

    def _job_ended(self, offset: int, record: JobEnded) -> Verdict:
        row = self.jobs.get(record.job)
        if row is None or row.state:
            return Verdict(False, "job is unknown or has ended")
        row.state, row.reason = record.state, record.reason
        self.changed_jobs.add(record.job)
        if not row.running:
            self._archive(record.job)
        return VALID

    def _hold_decided(self, offset: int, record: HoldDecided) -> Verdict:
        if record.decision in self.decided:
            return Verdict(False, "decision was made", self.decided[record.decision])
        obstacle = self._commit_obstacle(record) if record.commit else ""
        commit = record.commit and not obstacle
        self.decided[record.decision] = commit
        trim(self.decided, KEPT_DECISIONS)
        if not commit:
            return Verdict(not obstacle, obstacle, False)
        for placed in record.placements:
            self._license(offset, record, placed)
        return Verdict(True, "", True)

    def _owner_began(self, offset: int, record: OwnerBegan) -> Verdict:
        self.owners.pop(record.holder, None)
        self.owners[record.holder] = None
        trim(self.owners, KEPT_OWNERS)
        return VALID

    def _commit_obstacle(self, record: HoldDecided) -> str:
        booked: dict[str, Resources] = {}
        tasks: set[str] = set()
        for task, attempt, shard, worker in record.placements:
            if job_of(task) != record.job or task in tasks:
                return "task is placed twice or belongs to another job"
            tasks.add(task)
            obstacle = self._task_obstacle(task, attempt)
            if not obstacle and shard == self._shard:
                booked[worker] = booked.get(worker, NO_RESOURCES).plus(record.need)
                obstacle = self.bookings.obstacle(worker, booked[worker])
            if obstacle:
                return obstacle
        return ""

    def _archive(self, job: str) -> None:
        row = self.jobs.pop(job)
        self.ended[job] = row.to_ended_job()
        workspace = row.submitted.workspace
        self.open_jobs[workspace] -= 1
        if not self.open_jobs[workspace]:
            del self.open_jobs[workspace]
        trim(self.ended, KEPT_ENDED_JOBS)
