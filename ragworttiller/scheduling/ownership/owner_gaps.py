"""Logs when an entry begins to believe that nobody acts as the owner of the cell, and when it ends.

Load pattern: a change of owner in a slow store, in which each step takes seconds. The lines of all
entries together show which step took long, and for whom.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.owner_watch import POLL_SECONDS
from ragworttiller.scheduling.ownership.renewals import RENEWAL_INTERVAL_SECONDS
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import Claim

log = logging.getLogger(__name__)

# A renewal that is read later than this was late, or the read was.
MAX_RENEWAL_AGE_SECONDS = RENEWAL_INTERVAL_SECONDS + POLL_SECONDS
CHECK_INTERVAL_SECONDS = 0.5


class GapReason(StrEnum):
    """Why an entry believes that nobody acts as the owner."""

    NO_CLAIM = "no claim"
    RELEASED = "released"
    TAKEOVER = "takeover"
    RENEWALS_LATE = "renewals late"
    CLAIMS_NOT_READ = "claims not read"


class _Gap(NamedTuple):
    """Time without an acting owner; ``changes`` counts the claims of new owners read in it.

    ``claimed_at`` is the time at which the last of them was first read, None before the first.
    """

    reason: GapReason
    began_at: float
    epoch: int
    changes: int = 0
    claimed_at: float | None = None


class OwnerGaps:
    """Follows whether an entry believes that an owner acts, with one line for each change.

    An owner acts once it has written a claim with which it may give orders.

    Parameters
    ----------
    claims : ClaimFold
        Last claim.
    feed : Feed
        Feed of the claims.
    clock : Clock
        Source of time.
    """

    def __init__(self, claims: ClaimFold, feed: Feed, clock: Clock) -> None:
        self._claims = claims
        self._feed = feed
        self._clock = clock
        self._gap: _Gap | None = None
        self._last_epoch: int | None = None
        self._read_at = clock.now()
        self._acted_at = clock.now()
        self._changes = 0

    @property
    def seconds(self) -> float:
        """Seconds for which nobody has acted as the owner, 0 if an owner acts."""
        return 0.0 if self._gap is None else self._clock.now() - self._gap.began_at

    @property
    def changes(self) -> int:
        """Number of changes of owner read since the start of this entry."""
        return self._changes

    async def run(self) -> None:
        """Notice late renewals until cancelled."""
        async for _ in self._clock.ticks(CHECK_INTERVAL_SECONDS):
            self._update()

    def record_claims_read(self) -> None:
        """Record that claims or renewals were read."""
        self._read_at = self._clock.now()
        claim = self._claims.claim
        if claim is not None and claim.epoch != self._last_epoch:
            self._count_changes(claim.epoch)
        self._update()
        if self._gap is None:
            self._acted_at = self._read_at

    def _count_changes(self, epoch: int) -> None:
        changes = 0 if self._last_epoch is None else epoch - self._last_epoch
        self._last_epoch = epoch
        self._changes += changes
        if self._gap is not None:
            total = self._gap.changes + changes
            self._gap = self._gap._replace(changes=total, claimed_at=self._read_at)

    def _update(self) -> None:
        if not self._feed.ready:
            return
        claim = self._claims.claim
        reason = self._reason(claim)
        if reason is not None and self._gap is None:
            self._begin(reason, claim)
        elif reason is None and claim is not None and self._gap is not None:
            self._end(self._gap, claim)
        elif self._gap is not None and reason is GapReason.CLAIMS_NOT_READ:
            self._note_outage(self._gap)

    def _note_outage(self, gap: _Gap) -> None:
        """Correct the reason of a gap: when an outage begins, the last read is still recent."""
        if gap.reason is GapReason.RENEWALS_LATE:
            self._gap = gap._replace(reason=GapReason.CLAIMS_NOT_READ)

    def _reason(self, claim: Claim | None) -> GapReason | None:
        """Return why nobody acts as the owner, None if one does."""
        if claim is None:
            return GapReason.NO_CLAIM
        if claim.released:
            return GapReason.RELEASED
        if not claim.may_order:
            return GapReason.TAKEOVER
        if self._clock.now() - self._read_at <= MAX_RENEWAL_AGE_SECONDS:
            return None
        if self._feed.newest_age > MAX_RENEWAL_AGE_SECONDS:
            return GapReason.CLAIMS_NOT_READ
        return GapReason.RENEWALS_LATE

    def _begin(self, reason: GapReason, claim: Claim | None) -> None:
        now = self._clock.now()
        began_at = now if reason is GapReason.RELEASED else self._acted_at
        epoch = claim.epoch if claim else 0
        self._gap = _Gap(reason, began_at, epoch)
        if reason is GapReason.TAKEOVER:
            self._gap = self._gap._replace(changes=1, claimed_at=now)
        extra = {
            "epoch": epoch,
            "owner": claim.owner if claim else "",
            "successor": claim.successor if claim else "",
            "why": str(reason),
            "seconds": round(now - self._acted_at, 3),
            "read_age": round(self._feed.newest_age, 3),
        }
        log.info("no owner acts", extra=extra)

    def _end(self, gap: _Gap, claim: Claim) -> None:
        """Log the end of a gap; ``claimed`` is when the new owner's claim was read, -1 for none."""
        self._gap = None
        claimed = -1.0 if gap.claimed_at is None else gap.claimed_at - gap.began_at
        extra = {
            "epoch": claim.epoch,
            "owner": claim.owner,
            "changes": gap.changes,
            "why": str(gap.reason),
            "seconds": round(self._clock.now() - gap.began_at, 3),
            "claimed": round(claimed, 3),
        }
        log.info("an owner acts again", extra=extra)
