"""Jobs of the cell, from the records in the store."""

from __future__ import annotations

import logging
from collections.abc import Callable

from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.names import is_job_id
from ragworttiller.platform.store import Record
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.records.formats import (
    CANCEL_SUFFIX,
    OWNER_CHANGE_KEY,
    PROGRESS_SUFFIX,
    Accepted,
    JobState,
    Progress,
    decode,
    decode_cancel,
    decode_owner_change,
    has_run,
)
from ragworttiller.scheduling.records.progress_parts import merge_parts
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

log = logging.getLogger(__name__)

PART_PREFIX = PROGRESS_SUFFIX.removeprefix("/") + "/"
MAX_PARTS = 100_000

NO_PROGRESS = Progress("", [])


class JobRow:
    """State of one job, from its records.

    Attributes
    ----------
    accepted : Accepted or None
        Record of acceptance, None while only a cancellation or progress was read.
    offset : int
        Offset of the record of acceptance.
    progress : Progress
        Recorded progress.
    parts : dict of int to Progress
        Records of the progress by number, if it was ever divided among several.
    progress_known : bool
        Whether each record of progress could be read; those after an unreadable one may lack what
        it said.
    canceller : str or None
        Workspace of the last call that cancelled the job, None before any. It may have come before
        the record of acceptance, when nobody knew whose job it would be.
    """

    def __init__(self) -> None:
        self.accepted: Accepted | None = None
        self.offset = -1
        self.progress = NO_PROGRESS
        self.parts: dict[int, Progress] = {}
        self.progress_known = True
        self.canceller: str | None = None

    @property
    def cancelled(self) -> bool:
        """Whether the job was cancelled by its workspace, or has none."""
        if self.canceller is None:
            return False
        return self.accepted is None or self.accepted.workspace in (NO_WORKSPACE, self.canceller)

    @property
    def state(self) -> JobState:
        """State shown to callers."""
        if self.progress.state:
            return JobState(self.progress.state)
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if any(map(has_run, self.progress.stages)) else JobState.QUEUED

    @property
    def open(self) -> bool:
        """Whether tasks of the job may start."""
        return self.accepted is not None and not self.cancelled and not self.progress.state


class JobFold(Fold):
    """All jobs of the cell.

    Attributes
    ----------
    jobs : dict
        Rows by the job's identifier.
    open_jobs : dict
        Rows of the open jobs among them.
    touched : set of str
        Jobs that have changed since the set was last cleared.
    owner_epoch : int
        Epoch of the last owner that has taken over, 0 before the first.
    owner_change_end : int
        Offset after its record.
    on_accepted : Callable
        Called with each accepted job that is read for the first time.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobRow] = {}
        self.open_jobs: dict[str, JobRow] = {}
        self.touched: set[str] = set()
        self.owner_epoch = 0
        self.owner_change_end = 0
        self.on_accepted: Callable[[Accepted], None] = lambda accepted: None

    def get(self, job: str) -> JobRow | None:
        """Return the row of an accepted job, None if there is none."""
        row = self.jobs.get(job)
        return row if row is not None and row.accepted is not None else None

    @override
    def apply(self, record: Record) -> None:
        if record.key == OWNER_CHANGE_KEY:
            self._apply_owner_change(record)
            return
        job, slash, kind = record.key.partition("/")
        if not is_job_id(job):
            log.warning(
                "job record with invalid key skipped",
                extra={"offset": record.offset, "key": record.key[:40]},
            )
            return
        try:
            if kind.startswith(PART_PREFIX):
                self._apply_progress(job, record, _part_number(kind))
            else:
                self._appliers[slash + kind](self, job, record)
        except (Unreadable, KeyError, ValueError) as exc:
            log.warning(
                "unreadable job record skipped", extra={"offset": record.offset, "why": repr(exc)}
            )
            return
        self.touched.add(job)
        self._index(job)

    def _index(self, job: str) -> None:
        row = self.jobs.get(job)
        if row is not None and row.open:
            self.open_jobs[job] = row
        else:
            self.open_jobs.pop(job, None)

    def _apply_owner_change(self, record: Record) -> None:
        try:
            epoch = decode_owner_change(record.value)
        except Unreadable as exc:
            log.error(
                "unreadable owner change skipped",
                extra={"offset": record.offset, "why": str(exc)},
            )
            return
        if epoch >= self.owner_epoch:
            self.owner_epoch, self.owner_change_end = epoch, record.offset + 1

    def _apply_accepted(self, job: str, record: Record) -> None:
        if not record.value:
            self.jobs.pop(job, None)
            return
        row = self.jobs.setdefault(job, JobRow())
        if row.accepted is None:
            row.accepted = decode(record.value, Accepted)
            row.offset = record.offset
            self.on_accepted(row.accepted)

    def _apply_progress(self, job: str, record: Record, part: int = 0) -> None:
        if not record.value:
            return
        row = self.jobs.setdefault(job, JobRow())
        try:
            progress = decode(record.value, Progress)
            # Raises ValueError if the state is unknown.
            JobState(progress.state or JobState.RUNNING)
        except (Unreadable, ValueError):
            row.progress_known = False
            raise
        if part or progress.parts > 1 or row.parts:
            row.parts[part] = progress
            progress = merge_parts(row.parts)
        row.progress = progress

    def _apply_cancelled(self, job: str, record: Record) -> None:
        if record.value:
            self.jobs.setdefault(job, JobRow()).canceller = decode_cancel(record.value)

    _appliers: dict[str, Callable[[JobFold, str, Record], None]] = {
        "": _apply_accepted,
        PROGRESS_SUFFIX: _apply_progress,
        CANCEL_SUFFIX: _apply_cancelled,
    }


def _part_number(kind: str) -> int:
    """Return the number of a part of a progress, from the end of its key.

    Raises
    ------
    ValueError
        It is no number, or out of range.
    """
    number = int(kind.removeprefix(PART_PREFIX))
    if not 0 < number < MAX_PARTS:
        raise ValueError(f"part {number} is out of range")
    return number
