"""Decides whether a new job is refused because the cell is full."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.decisions.queue_order import LATE_FACTOR
from ragworttiller.scheduling.records.formats import Pressure, PressureRow
from ragworttiller.scheduling.state.jobs import JobSpec

# The owner publishes a summary each 0.5 s; without the last ones the load may have ended.
MAX_SUMMARY_AGE_SECONDS = 2.0
# Part of its slack that a job which is not owed may wait. The summary is up to 0.5 s old, while the
# queue grows, so with all of the slack owed jobs behind it would be late.
SLACK_SHARE = 0.25
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class RefusalReason(StrEnum):
    """Reason why a job is refused."""

    BEYOND_WEIGHT = "beyond_weight"
    TOO_LATE = "too_late"


class NewJob(NamedTuple):
    """Submission of a job; ``beyond_weight`` is whether its workspace is not owed it."""

    queue: Queue
    spec: JobSpec
    workspace: str
    beyond_weight: bool

    @property
    def objective(self) -> float:
        """Seconds after its acceptance by which the job has to end to be on time."""
        seconds = self.spec.critical_path_seconds()
        return self.queue.slack_factor * seconds + self.queue.target_latency

    @property
    def has_deadline(self) -> bool:
        """Whether the job runs once, now, and ends."""
        if self.spec.occurrences is not None or any(step.daemon for step in self.spec.steps):
            return False
        return self.objective > 0


class Refusal(NamedTuple):
    """Refusal of a job; times are in seconds.

    ``excess`` is how much later than allowed the job would end after the expected ``wait``, and
    ``age`` that of the summary.
    """

    job: NewJob
    reason: RefusalReason
    age: float
    wait: float
    excess: float
    retry_after: float


class AdmissionPolicy(ABC):
    """Refuses new jobs while the cell is full."""

    @abstractmethod
    def refusal(self, job: NewJob, pressure: Pressure | None, age: float) -> Refusal | None:
        """Return why a job is refused, None if it is accepted.

        Parameters
        ----------
        job : NewJob
            The job, which is not stored.
        pressure : Pressure or None
            Last summary of the owner, None without one.
        age : float
            Seconds since the summary was computed.
        """


class AcceptAll(AdmissionPolicy):
    """Accept every job; the baseline."""

    @override
    def refusal(self, job: NewJob, pressure: Pressure | None, age: float) -> Refusal | None:
        return None


class PressureAdmission(AdmissionPolicy):
    """Refuse what is not owed and cannot be on time, and what would be worthless.

    Load pattern: a workspace sends several times its weight to a full cell. All of its jobs would
    wait in one queue, so that also those that it is owed would be late.

    Parameters
    ----------
    random : Callable
        Returns a random number from 0 to 1, which spreads the retries.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random

    @override
    def refusal(self, job: NewJob, pressure: Pressure | None, age: float) -> Refusal | None:
        if pressure is None or age > MAX_SUMMARY_AGE_SECONDS or not job.has_deadline:
            return None
        row = _find(pressure, job.queue)
        if row is None or _has_room(job.spec, row):
            return None
        yields = job.beyond_weight or job.workspace in pressure.beyond_share
        wait = row.wait if yields else row.wait_within
        end = wait + job.spec.critical_path_seconds()
        usable = SLACK_SHARE * max(job.objective - job.spec.critical_path_seconds(), 0.0)
        if job.beyond_weight and wait > usable:
            reason, excess = RefusalReason.BEYOND_WEIGHT, wait - usable
        elif wait and end > LATE_FACTOR * job.objective:
            reason, excess = RefusalReason.TOO_LATE, end - LATE_FACTOR * job.objective
        else:
            return None
        return Refusal(job, reason, age, wait, excess, self._retry_after(excess))

    def _retry_after(self, excess: float) -> float:
        seconds = excess * (1 + self._random())
        return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


def _find(pressure: Pressure, queue: Queue) -> PressureRow | None:
    for row in pressure.rows:
        if row.upstream == queue.upstream and row.priority == queue.priority:
            return row
    return None


def _has_room(spec: JobSpec, row: PressureRow) -> bool:
    """Return whether a first task of a job fits into room that no waiting task can use."""
    return any(step.reservation.fits(row.room) for step in spec.steps if not step.after)
