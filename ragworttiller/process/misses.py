"""Jobs that found no room."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class UnplacedJob(NamedTuple):
    """Job that found no room since a monotonic time; ``reason`` is set if it is not for room."""

    since: float
    reason: str


class UnplacedJobs:
    """Jobs that found no room in the latest round, and since when.

    Parameters
    ----------
    now : Callable
        Returns monotonic seconds.

    Attributes
    ----------
    jobs : dict of str to Miss
        Misses by job.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._previous: dict[str, UnplacedJob] = {}
        self.jobs: dict[str, UnplacedJob] = {}

    def begin_round(self) -> None:
        """Begin a round."""
        self._previous, self.jobs = self.jobs, {}

    def end_round(self, complete: bool) -> None:
        """End a round; what an incomplete one did not reach stays missed."""
        if not complete:
            self.jobs = {**self._previous, **self.jobs}

    def add(self, job: str, reason: str) -> None:
        """Take note that a job found no room."""
        known = self.jobs.get(job) or self._previous.get(job)
        self.jobs[job] = UnplacedJob(known.since if known else self._now(), reason)

    def keep(self, job: str) -> None:
        """Keep the miss of a job for which room is being looked for elsewhere."""
        if job in self._previous:
            self.jobs[job] = self._previous[job]

    def discard(self, job: str) -> None:
        """Forget a job."""
        self.jobs.pop(job, None)
