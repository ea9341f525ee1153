"""Right of an owner to act, and the last claim that the store holds."""

from __future__ import annotations

import logging

from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.store import Record
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.feed import Fold
from ragworttiller.scheduling.records import OWNER_KEY, Claim, decode

log = logging.getLogger(__name__)

# Time for which an owner may act without hearing from the store.
TERM_SECONDS = 7.0
# Above the time between renewals and the append of a slow store.
RENEWED_SECONDS = 1.2


class OwnerFold(Fold):
    """Last claim of the ownership.

    Attributes
    ----------
    claim : Claim or None
        Last claim, None before the first.
    """

    def __init__(self) -> None:
        self.claim: Claim | None = None

    @override
    def apply(self, record: Record) -> None:
        if record.key != OWNER_KEY or not record.value:
            return
        try:
            claim = decode(record.value, Claim)
        except Unreadable as exc:
            log.error("claim skipped", extra={"offset": record.offset, "why": str(exc)})
            return
        known = self.claim.epoch if self.claim else -1
        if claim.epoch < known:
            return
        if claim.epoch > known:
            log.info("owner changed", extra={"owner": claim.owner, "epoch": claim.epoch})
        self.claim = claim


class Term:
    """Right of one owner to act.

    Parameters
    ----------
    epoch : int
        Epoch of the claim.
    clock : Clock
        Clock that counts suspension.
    proven_at : float
        Time at which the claim was sent, in seconds.
    """

    def __init__(self, epoch: int, clock: Clock, proven_at: float) -> None:
        self._epoch = epoch
        self._clock = clock
        self._proven_at = proven_at
        self._superseded = False

    @property
    def epoch(self) -> int:
        """Epoch of the claim, also the fencing token."""
        return self._epoch

    @property
    def valid(self) -> bool:
        """Whether the owner may give orders now."""
        return not self._superseded and self._clock.now() - self._proven_at < TERM_SECONDS

    @property
    def renewed(self) -> bool:
        """Whether the last renewal is so recent that the store can be taken to be in reach."""
        return self.valid and self._clock.now() - self._proven_at < RENEWED_SECONDS

    @property
    def superseded(self) -> bool:
        """Whether another owner is known to have claimed."""
        return self._superseded

    def prove(self, sent_at: float) -> None:
        """Record that a renewal which was sent at a time has reached the store."""
        self._proven_at = max(self._proven_at, sent_at)

    def end(self) -> None:
        """Record that another owner has claimed, or that the ownership was given up."""
        self._superseded = True
