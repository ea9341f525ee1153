"""Refuses submissions at an entry by the summary that the owner publishes."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.admission import (
    AdmissionPolicy,
    NewJob,
    Refusal,
    RefusalReason,
)
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.state.jobs import JobSpec
from ragworttiller.scheduling.state.submission_windows import SubmissionWindows

log = logging.getLogger(__name__)


class AdmissionGate:
    """Applies the admission policy to new jobs.

    Parameters
    ----------
    policy : AdmissionPolicy
        Decides on each job.
    claims : ClaimFold
        Last claim, with the owner's summary.
    claim_age : Callable
        Returns the seconds since the last claim was read, below 0 before the first.
    windows : SubmissionWindows
        Jobs owed to each workspace in the last second.
    clock : Clock
        Source of time.

    Attributes
    ----------
    refused : Counter
        Refused jobs by reason.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        claims: ClaimFold,
        claim_age: Callable[[], float],
        windows: SubmissionWindows,
        clock: Clock,
    ) -> None:
        self._policy = policy
        self._claims = claims
        self._claim_age = claim_age
        self._windows = windows
        self._clock = clock
        self.refused: Counter[RefusalReason] = Counter()

    def refusal(self, queue: Queue, spec: JobSpec, workspace: str) -> Refusal | None:
        """Return why a job that is not known to be stored is refused, None if it is accepted."""
        claim = self._claims.claim
        pressure = claim.pressure if claim is not None else None
        if pressure is None:
            return None
        wall = self._clock.wall()
        # The clocks of the owner and of this entry may differ; the larger age leads to acceptance.
        age = max(self._claim_age(), wall - pressure.computed_at)
        beyond_weight = self._windows.is_beyond_weight(workspace, wall)
        job = NewJob(queue, spec, workspace, beyond_weight)
        return self._policy.refusal(job, pressure, age)

    def record_refusal(self, name: str, refusal: Refusal) -> None:
        """Count and log the refusal of the job with an identifier."""
        job = refusal.job
        self.refused[refusal.reason] += 1
        log.info(
            "job refused because the cell is full",
            extra={
                "job": name,
                "why": str(refusal.reason),
                "workspace": job.workspace,
                "beyond_weight": job.beyond_weight,
                "upstream": job.queue.upstream,
                "priority": job.queue.priority,
                "wait": round(refusal.wait, 3),
                "objective": round(job.objective, 3),
                "estimate": round(job.spec.critical_path_seconds(), 3),
                "age": round(refusal.age, 3),
                "excess": round(refusal.excess, 3),
                "retry_after": round(refusal.retry_after, 3),
            },
        )
