"""Pace of a run: the percent that is wanted, and what is known of the orders for it."""

from __future__ import annotations

FULL_PERCENT = 100
RETRY_SECONDS = 0.5
# An order without an answer may still be carried out so much later.
LATE_SECONDS = 8.0
REPEAT_SECONDS = 1.0


class Pace:
    """Percent at which a run works, by the orders of this owner; 100 from its start.

    Attributes
    ----------
    wanted : int
        Percent at which the run is to work.
    confirmed : int or None
        Percent that the runner has confirmed last, None while an order has no answer.
    """

    __slots__ = ("_in_flight", "_sent_at", "_unanswered_at", "confirmed", "wanted")

    def __init__(self) -> None:
        self.wanted = FULL_PERCENT
        self.confirmed: int | None = FULL_PERCENT
        self._in_flight = False
        self._sent_at = float("-inf")
        self._unanswered_at = float("-inf")

    @property
    def stopped(self) -> bool:
        """Whether the runner has confirmed that the run does no work."""
        return self.confirmed == 0

    @property
    def share(self) -> float:
        """Share of its full disturbance, 1 unless a lower percent is confirmed."""
        return (FULL_PERCENT if self.confirmed is None else self.confirmed) / FULL_PERCENT

    def assume_unknown(self) -> None:
        """Record that an earlier owner may have ordered any percent."""
        self.confirmed = None

    def due(self, now: float) -> bool:
        """Return whether the wanted percent is to be ordered at ``now``.

        A confirmed percent is ordered again while an earlier order without an answer may still be
        carried out.
        """
        if self._in_flight:
            return False
        if self.confirmed != self.wanted:
            return now - self._sent_at >= RETRY_SECONDS or self.confirmed is not None
        may_change = now - self._unanswered_at < LATE_SECONDS
        return may_change and now - self._sent_at >= REPEAT_SECONDS

    def mark_sent(self, now: float) -> None:
        """Record that the wanted percent is ordered."""
        self._in_flight, self._sent_at = True, now
        self.confirmed = None

    def confirm(self, percent: int) -> None:
        """Record that the runner has carried out an order."""
        self._in_flight = False
        self.confirmed = percent

    def mark_unanswered(self, now: float) -> None:
        """Record that an order got no answer, and may be carried out later."""
        self._in_flight = False
        self._unanswered_at = now

    def mark_refused(self) -> None:
        """Record that an order was surely not carried out; the percent is then unknown."""
        self._in_flight = False
