"""Logs how long each step of a takeover took, and what the new owner found."""

from __future__ import annotations

import logging
from enum import StrEnum

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.ownership import Claimed
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.takeover import Takeover

log = logging.getLogger(__name__)

# Tasks that wait for longer do not wait for the takeover only; the line is written without a start.
MAX_START_WAIT_SECONDS = 10.0


class Step(StrEnum):
    """Steps from the end of the earlier owner to the first start order, in order."""

    CLAIM_SENT = "claim_sent"
    CLAIM_STORED = "claim_stored"
    FENCED = "fenced"
    JOBS_READ = "jobs_read"
    ACTING_CLAIM_STORED = "acting_claim_stored"
    FIRST_START = "first_start"


class TakeoverLog:
    """Writes one line for one takeover, with the seconds at which each step was done.

    Seconds count from when this entry read the last renewal of the earlier owner, or its release.
    Create it as soon as the claim is stored.

    Parameters
    ----------
    claimed : Claimed
        The claim.
    clock : Clock
        Source of time.
    """

    def __init__(self, claimed: Claimed, clock: Clock) -> None:
        self._claimed = claimed
        self._clock = clock
        self._steps: dict[Step, float] = {}
        self._takeover: Takeover | None = None
        self._written = False
        self._record_at(Step.CLAIM_SENT, claimed.term.renewed_at)
        self.record(Step.CLAIM_STORED)

    def record(self, step: Step) -> None:
        """Record that a step was done now, unless it was done before."""
        self._record_at(step, self._clock.now())

    def record_stored_claim(self, cell: Cell) -> None:
        """Record that a claim of the acting owner was stored."""
        if self._written:
            return
        self._takeover = cell.takeover
        self.record(Step.ACTING_CLAIM_STORED)
        if not any(work.has_waiting_tasks for work in cell.jobs.values()):
            self._write("takeover completed", "no task waits")
        elif self._since(Step.ACTING_CLAIM_STORED) > MAX_START_WAIT_SECONDS:
            self._write("takeover completed", "no task was started")

    def record_start(self) -> None:
        """Record that a start is ordered."""
        if not self._written:
            self.record(Step.FIRST_START)
            self._write("takeover completed", "first start")

    def record_end(self) -> None:
        """Record that the term has ended, maybe before the takeover was completed."""
        if not self._written:
            self._write("takeover not completed", "ownership ended")

    def _record_at(self, step: Step, now: float) -> None:
        self._steps.setdefault(step, round(now - self._claimed.previous_read_at, 3))

    def _since(self, step: Step) -> float:
        return self._clock.now() - self._claimed.previous_read_at - self._steps[step]

    def _write(self, message: str, why: str) -> None:
        self._written = True
        previous, takeover = self._claimed.previous, self._takeover
        extra: dict[str, object] = {
            "epoch": self._claimed.term.epoch,
            "from": previous.owner if previous else "",
            "released": previous is not None and previous.released,
            "why": why,
            "seconds": round(self._clock.now() - self._claimed.previous_read_at, 3),
            **{str(step): seconds for step, seconds in self._steps.items()},
        }
        if takeover is not None:
            extra |= {
                "adopted": takeover.adopted,
                "lapsed": takeover.lapsed,
                "settled": takeover.settled,
                "unsettled": len(takeover.unresolved),
            }
        log.info(message, extra=extra)
