"""Retention of ended jobs in the store."""

from __future__ import annotations

from ragworttiller.scheduling.records.formats import CANCEL_SUFFIX
from ragworttiller.scheduling.records.job_fold import JobFold, JobRow
from ragworttiller.scheduling.records.progress_parts import part_key

# Ended jobs are kept longer than callers can query them, by this factor: a submission repeated
# after its job was dropped would be accepted as a new job.
RETENTION_FACTOR = 5.0
MAX_JOBS_PER_PASS = 100


class Retention:
    """Selects the ended jobs to drop, by the time since this owner first saw their end.

    Parameters
    ----------
    fold : JobFold
        Jobs recorded in the store.
    status_seconds : float
        Seconds for which callers can query the state of an ended job.
    """

    def __init__(self, fold: JobFold, status_seconds: float) -> None:
        self._fold = fold
        self._retention_seconds = RETENTION_FACTOR * status_seconds
        self._ended: dict[str, float] = {}

    def expired(self, now: float) -> list[str]:
        """Return the keys of jobs to drop now, for at most `MAX_JOBS_PER_PASS` jobs."""
        rows = self._fold.jobs
        self._ended = {job: at for job, at in self._ended.items() if job in rows}
        for job, row in rows.items():
            if not row.open and job not in self._ended:
                self._ended[job] = now
        old = [job for job, at in self._ended.items() if now - at > self._retention_seconds]
        return [key for job in old[:MAX_JOBS_PER_PASS] for key in _keys(job, rows[job])]


def _keys(job: str, row: JobRow) -> list[str]:
    """Return the keys of all records of a job."""
    parts = [part_key(job, number) for number in sorted({0, *row.parts})]
    return [job, *parts, job + CANCEL_SUFFIX]
