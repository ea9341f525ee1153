"""Log line about messages to other instances that were not sent."""

from __future__ import annotations

import logging
import math
from collections import Counter

from ragworttiller.process.outbox_budget import DropReason, OutboxBudget

log = logging.getLogger(__name__)

REPORT_INTERVAL_SECONDS = 1.0


class DropReport:
    """Logs how many messages were dropped because too many waited, at most once a second.

    Parameters
    ----------
    budget : OutboxBudget
        Counts the dropped messages.
    """

    def __init__(self, budget: OutboxBudget) -> None:
        self._budget = budget
        self._reported: Counter[DropReason] = Counter()
        self._reported_at = -math.inf

    def update(self, now: float) -> None:
        """Log what was dropped since the last line, if a line is due."""
        new = self._budget.dropped - self._reported
        if not new[DropReason.FULL] or now < self._reported_at + REPORT_INTERVAL_SECONDS:
            return
        self._reported, self._reported_at = Counter(self._budget.dropped), now
        extra = {"queued": self._budget.queued, "full": new[DropReason.FULL]}
        extra["expired"] = new[DropReason.EXPIRED]
        log.warning("messages to instances dropped", extra=extra)
