"""Jobs that could not be placed."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class UnplacedJob(NamedTuple):
    """Job unplaced since a monotonic time; ``reason`` is empty if it only lacks room."""

    since: float
    reason: str


class UnplacedJobs:
    """Jobs that could not be placed in the latest round, and since when.

    Parameters
    ----------
    now : Callable
        Returns monotonic seconds.

    Attributes
    ----------
    jobs : dict of str to UnplacedJob
        Unplaced jobs by job id.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._previous: dict[str, UnplacedJob] = {}
        self.jobs: dict[str, UnplacedJob] = {}

    def begin_round(self) -> None:
        """Begin a placement round."""
        self._previous, self.jobs = self.jobs, {}

    def end_round(self, complete: bool) -> None:
        """End a round; jobs that an incomplete one did not reach stay unplaced."""
        if not complete:
            self.jobs = {**self._previous, **self.jobs}

    def add(self, job: str, reason: str) -> None:
        """Add a job that could not be placed."""
        earlier = self.jobs.get(job) or self._previous.get(job)
        self.jobs[job] = UnplacedJob(earlier.since if earlier else self._now(), reason)

    def keep(self, job: str) -> None:
        """Keep a job of the previous round that this round does not try to place."""
        if job in self._previous:
            self.jobs[job] = self._previous[job]

    def discard(self, job: str) -> None:
        """Remove a job."""
        self.jobs.pop(job, None)
