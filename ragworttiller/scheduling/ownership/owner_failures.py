"""Pauses before the next claim after owners that ended by unexpected errors.

Load pattern: an error that each owner meets as soon as it acts. Claimed at once, again and again,
the cell would do no work, and its claims and fences would load the store.
"""

from __future__ import annotations

import logging

from ragworttiller.scheduling.records.formats import Claim
from ragworttiller.scheduling.state.work_items import item_fields, items_at_work

log = logging.getLogger(__name__)

FIRST_CLAIM_PAUSE_SECONDS = 0.5
MAX_CLAIM_PAUSE_SECONDS = 16.0
PAUSE_GROWTH = 2.0
MAX_FAILURES_COUNTED = 100
# The error of an owner that has acted for so long is not that of the owner before it.
SOUND_TERM_SECONDS = 60.0


def claim_pause_seconds(failures: int) -> float:
    """Return for how long nobody claims after some owners in a row ended by unexpected errors."""
    if failures <= 0:
        return 0.0
    doublings = min(failures, MAX_FAILURES_COUNTED) - 1
    return min(FIRST_CLAIM_PAUSE_SECONDS * PAUSE_GROWTH**doublings, MAX_CLAIM_PAUSE_SECONDS)


def failures_in_a_row(previous: Claim | None, acted: float) -> int:
    """Return how many owners in a row have ended by unexpected errors, with the one that just did.

    Parameters
    ----------
    previous : Claim or None
        Last claim of the owner before it.
    acted : float
        Seconds for which it held the cell.
    """
    if previous is None or acted >= SOUND_TERM_SECONDS:
        return 1
    return min(previous.failures, MAX_FAILURES_COUNTED) + 1


def record_owner_failure(error: Exception, epoch: int, failures: int) -> None:
    """Log that an owner ended by an unexpected error, with what it was at work on.

    Parameters
    ----------
    error : Exception
        The error.
    epoch : int
        Epoch of the owner.
    failures : int
        Number of owners in a row that have ended so.
    """
    extra: dict[str, object] = {"epoch": epoch, "failures": failures}
    extra |= {"claim_pause": claim_pause_seconds(failures), **item_fields(items_at_work(error))}
    log.error("owner ended by an unexpected error", extra=extra, exc_info=error)
