"""Stores the effects of ended runs, and drops jobs that nobody may query any more."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

import anyio

from ragworttiller.exceptions import (
    AppendFenced,
    AppendRefused,
    AppendUndecided,
    LogUnavailable,
)
from ragworttiller.platform.store import KeyedRecord, StoreLimits
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.term import Term
from ragworttiller.scheduling.records.group_commit import MAX_BATCH_BYTES, GroupCommit
from ragworttiller.scheduling.records.job_records import JobRecords, batches
from ragworttiller.scheduling.records.progress_parts import progress_records
from ragworttiller.scheduling.records.retention import Retention
from ragworttiller.scheduling.state.orders import Changes
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState

log = logging.getLogger(__name__)

RECORDING_WAIT_SECONDS = 0.5
APPEND_TIMEOUT_SECONDS = 3.0
RETENTION_INTERVAL_SECONDS = 10.0
MAX_REFUSED = 100


class Refused(NamedTuple):
    """Records that the store has refused for good, which are not sent again unchanged."""

    records: list[KeyedRecord]
    error: AppendRefused


class Recorder:
    """Writes the changes of a cell to the store, for as long as its owner may act.

    Parameters
    ----------
    cell : Cell
        Source of the changes.
    term : Term
        Term of the owner; ended when the store has fenced it.
    writer : GroupCommit
        Writer of the owner to the jobs; run by the owner.
    clock : Clock
        Source of time.
    retention : Retention, optional
        Selects the ended jobs to drop; without it none are dropped.
    limits : StoreLimits
        Lengths that the store accepts.
    """

    def __init__(
        self,
        cell: Cell,
        term: Term,
        writer: GroupCommit,
        clock: Clock,
        retention: Retention | None = None,
        limits: StoreLimits = StoreLimits(),  # noqa: B008
    ) -> None:
        self._cell = cell
        self._term = term
        self._writer = writer
        self._clock = clock
        self._retention = retention
        self._limits = limits
        self._refused: dict[str, Refused] = {}
        self._requested = anyio.Event()
        self._recorded = anyio.Event()
        self._begun = 0
        self._stored = 0

    async def run(self) -> None:
        """Store changes and drop expired jobs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._commit_loop)
            if self._retention is not None:
                tasks.start_soon(self._retention_loop, self._retention)

    def request(self) -> None:
        """Request that the changes of the cell are stored."""
        self._requested.set()

    async def store_now(
        self,
        seconds: float = RECORDING_WAIT_SECONDS,
        suffices: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Store all changes made until now, and return whether that was done within ``seconds``.

        Calls made before the next append share it. The wait ends early once an append is done after
        which ``suffices`` returns true, since the append in flight may store what is waited for.
        """
        target = self._begun + 1
        self.request()
        with self._clock.move_on_after(seconds):
            while self._stored < target and not suffices():
                await self._recorded.wait()
        return self._stored >= target

    async def wait_recorded(self, runner: RunnerState) -> None:
        """Wait until the effects of a runner's ended runs are stored.

        The wait is limited, since the lease of the runner is not renewed meanwhile.
        """
        with self._clock.move_on_after(RECORDING_WAIT_SECONDS):
            while runner.has_unrecorded_ends:
                await self._recorded.wait()

    async def _commit_loop(self) -> None:
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            self._begun += 1
            changes = self._cell.take_changes()
            if not (changes.progress or changes.ends) or await self._record(changes):
                self._stored = self._begun
                self._recorded.set()
                self._recorded = anyio.Event()

    async def _record(self, changes: Changes) -> bool:
        """Store changes and return whether they are stored."""
        try:
            limit = min(MAX_BATCH_BYTES, self._limits.request_bytes)
            for batch in batches(self._encoded(changes), limit):
                await self._append(batch, changes)
        except AppendFenced:
            self._term.end_fenced("store")
            return False
        except (LogUnavailable, AppendUndecided) as exc:
            extra = {"jobs": len(changes.progress), "why": exc.code}
            log.warning("job progress not stored", extra=extra)
            self._cell.restore_changes(changes)
            self._requested.set()
            return False
        if self._cell.withholds_ends:
            changes.ends.clear()
        self._cell.mark_recorded(changes)
        return True

    def _encoded(self, changes: Changes) -> list[JobRecords]:
        """Return the records of changes, from which jobs that cannot be stored are taken out."""
        rows: list[JobRecords] = []
        for job, progress in list(changes.progress.items()):
            try:
                records = progress_records(job, progress, self._limits.record_bytes)
            except Exception as exc:
                self._defer(job, changes, exc)
                continue
            refused = self._refused.get(job)
            if refused is not None and refused.records == records:
                self._defer(job, changes, refused.error)
            else:
                rows.append(JobRecords(job, records))
        return rows

    async def _append(self, batch: list[JobRecords], changes: Changes) -> None:
        """Append the records of some jobs; those of a job that the store refuses are left out."""
        try:
            records = [record for row in batch for record in row.records]
            await self._writer.append(records, APPEND_TIMEOUT_SECONDS)
        except AppendRefused as exc:
            if len(batch) > 1:
                for row in batch:
                    await self._append([row], changes)
                return
            self._refused[batch[0].job] = Refused(batch[0].records, exc)
            if len(self._refused) > MAX_REFUSED:
                del self._refused[next(iter(self._refused))]
            self._defer(batch[0].job, changes, exc)
        else:
            for row in batch:
                self._refused.pop(row.job, None)

    def _defer(self, job: str, changes: Changes, error: Exception) -> None:
        """Take a job that cannot be stored out of the changes; it is tried again later."""
        changes.progress.pop(job, None)
        self._cell.defer_change(job, error)

    async def _retention_loop(self, retention: Retention) -> None:
        async for now in self._clock.ticks(RETENTION_INTERVAL_SECONDS):
            try:
                await self._drop_ended(retention.expired(now))
            except (LogUnavailable, AppendUndecided, AppendFenced) as exc:
                log.info("ended jobs not dropped", extra={"why": exc.code})
            except Exception as exc:
                self._cell.errors.note(exc, now, "retention")

    async def _drop_ended(self, keys: list[str]) -> None:
        if not keys or not self._term.valid:
            return
        await self._writer.append([KeyedRecord(key, b"") for key in keys], APPEND_TIMEOUT_SECONDS)
        log.info("ended jobs dropped", extra={"records": len(keys)})
