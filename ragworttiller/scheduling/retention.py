"""Which jobs have ended long enough ago to be dropped from the store."""

from __future__ import annotations

from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.records import CANCEL_SUFFIX, PROGRESS_SUFFIX

# A repeated submission that comes later than this would count as a new job.
RETENTION_FACTOR = 5.0
MAX_JOBS_PER_PASS = 100


class Retention:
    """Ages of ended jobs, counted from when this owner first saw them ended.

    Parameters
    ----------
    fold : JobFold
        Jobs that the store holds.
    status : float
        Seconds for which callers may ask for the state of an ended job.
    """

    def __init__(self, fold: JobFold, status: float) -> None:
        self._fold = fold
        self._retention_seconds = RETENTION_FACTOR * status
        self._ended: dict[str, float] = {}

    def expired(self, now: float) -> list[str]:
        """Return the keys of jobs to drop now, at most a bounded number."""
        rows = self._fold.jobs
        self._ended = {job: at for job, at in self._ended.items() if job in rows}
        for job, row in rows.items():
            if not row.open and job not in self._ended:
                self._ended[job] = now
        old = [job for job, at in self._ended.items() if now - at > self._retention_seconds]
        suffixes = ("", PROGRESS_SUFFIX, CANCEL_SUFFIX)
        return [job + suffix for job in old[:MAX_JOBS_PER_PASS] for suffix in suffixes]
