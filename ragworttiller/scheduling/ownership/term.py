"""Term during which an owner may act, and the last claim in the store."""

from __future__ import annotations

import logging

import anyio
from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.store import Record
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.records.formats import OWNER_KEY, Claim, decode_claim

log = logging.getLogger(__name__)

# Time for which an owner may act after it sent its last successful renewal.
TERM_SECONDS = 6.0
# Time after the same renewal by which its leases end: those that it grants late in its term are
# shorter. A successor waits until then, and a lasting task whose runner and owner are gone at one
# moment has to run again within 9 s, with a part of a second for slow clocks and for its start.
LEASES_END_SECONDS = 8.0
# More than the interval of renewals plus an append to a slow store.
RECENT_RENEWAL_SECONDS = 1.2
# Steps of the event loop on the way of one renewal: its call, its answer and the next interval.
LAGS_A_RENEWAL = 3


class ClaimFold(Fold):
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
            claim = decode_claim(record.value)
        except Unreadable as exc:
            log.error("unreadable claim skipped", extra={"offset": record.offset, "why": str(exc)})
            return
        last_epoch = self.claim.epoch if self.claim else -1
        if claim.epoch < last_epoch:
            return
        if claim.epoch > last_epoch:
            log.info("owner changed", extra={"owner": claim.owner, "epoch": claim.epoch})
        self.claim = claim


class Term:
    """Time during which one owner may act, extended by renewals.

    Parameters
    ----------
    epoch : int
        Epoch of the claim.
    clock : Clock
        Clock that advances while the machine is suspended.
    renewed_at : float
        Time at which the claim was sent, in seconds.
    """

    def __init__(self, epoch: int, clock: Clock, renewed_at: float) -> None:
        self._epoch = epoch
        self._clock = clock
        self._renewed_at = renewed_at
        self._end = anyio.Event()

    @property
    def epoch(self) -> int:
        """Epoch of the claim, also the fencing token."""
        return self._epoch

    @property
    def valid(self) -> bool:
        """Whether the owner may give orders now."""
        return not self.ended and self._clock.now() - self._renewed_at < TERM_SECONDS

    @property
    def renewed_at(self) -> float:
        """Time at which the last stored renewal was sent: no later owner had claimed by then."""
        return self._renewed_at

    @property
    def recently_renewed(self) -> bool:
        """Whether the last renewal is recent enough to assume that the store is reachable."""
        return self.renewed_within(RECENT_RENEWAL_SECONDS)

    @property
    def ended(self) -> bool:
        """Whether another owner has claimed, or the ownership was released."""
        return self._end.is_set()

    def longest_lease(self, lease: float) -> float:
        """Return for how long a lease may be granted now, at most ``lease``, in seconds."""
        return min(lease, self._renewed_at + LEASES_END_SECONDS - self._clock.now())

    def renewed_within(self, seconds: float) -> bool:
        """Return whether the owner may act and its last stored renewal is at most so old."""
        return self.valid and self._clock.now() - self._renewed_at < seconds

    async def wait_ended(self) -> None:
        """Wait until another owner has claimed, or the ownership was released."""
        await self._end.wait()

    def seems_alive(self, lag: float) -> bool:
        """Return whether the term is renewed as fast as its owner can.

        A busy owner handles the answer to a renewal, and sends the next one, as late as its event
        loop runs.

        Parameters
        ----------
        lag : float
            How late the event loop runs, in seconds.
        """
        return self.renewed_within(RECENT_RENEWAL_SECONDS + LAGS_A_RENEWAL * lag)

    def end_if_superseded(self, epoch: int, source: str) -> None:
        """End the term if an owner of a later epoch was read of.

        Parameters
        ----------
        epoch : int
            Epoch of the owner.
        source : str
            Where it was read: ``claims``, ``jobs`` or ``peer``.
        """
        if epoch > self._epoch and not self.ended:
            extra = {"epoch": self._epoch, "by": epoch, "read": source}
            log.info("term superseded by a later claim", extra=extra)
            self.end()

    def record_renewal(self, sent_at: float) -> None:
        """Record that a renewal sent at the given time was stored."""
        self._renewed_at = max(self._renewed_at, sent_at)

    def end(self) -> None:
        """Record that another owner has claimed, or that the ownership was released."""
        self._end.set()

    def end_fenced(self, by: str) -> None:
        """End the term because an order or append was fenced.

        Parameters
        ----------
        by : str
            The runner, or ``store``, that has heard of a later owner.
        """
        extra = {"epoch": self._epoch, "runner": by}
        log.warning("order or append fenced by a later owner", extra=extra)
        self.end()
