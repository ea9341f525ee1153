"""Detects failure of the owner of the cell, from reads of the store and from heartbeats."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

# Duration of a long poll of the claims. It is empty if a renewal is late: owners renew more often.
POLL_SECONDS = 0.6
# Consecutive empty polls after which any entry claims.
EMPTY_POLLS_BEFORE_CLAIM = 3
# The same for a standby whose owner reports failing renewals; one renewal may just be late.
EMPTY_POLLS_WITHOUT_RENEWAL = 2
# Time without a heartbeat after which a standby claims, if a poll was empty too.
HEARTBEAT_TIMEOUT_SECONDS = 0.6


class OwnerHeartbeat(NamedTuple):
    """Heartbeat of the owner to its standbys; ``renewed`` is whether its renewals succeed."""

    epoch: int
    renewed: bool


class OwnerWatch:
    """Detects failure of the owner from empty polls of its claims and missing heartbeats.

    An empty poll is an answer of the store, so an outage of the store is never taken for a failure
    of the owner. Safety does not depend on the detection, since claims are conditional appends.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._empty_polls = 0
        self._last_heartbeat = OwnerHeartbeat(0, False)
        self._heartbeat_at = 0.0

    @property
    def empty_polls(self) -> int:
        """Consecutive empty polls up to now."""
        return self._empty_polls

    def record_claim(self) -> None:
        """Record that a new claim or renewal was read."""
        self._empty_polls = 0

    def record_empty_poll(self) -> None:
        """Record that a long poll of the claims has returned no record."""
        self._empty_polls += 1

    def record_heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat."""
        if heartbeat.epoch >= self._last_heartbeat.epoch:
            self._last_heartbeat, self._heartbeat_at = heartbeat, self._clock.now()

    def owner_timed_out(self, epoch: int) -> bool:
        """Return whether the owner of an epoch is presumed dead or disconnected."""
        if self._empty_polls >= EMPTY_POLLS_BEFORE_CLAIM:
            return True
        remaining = self.seconds_until_timeout(epoch)
        return remaining is not None and remaining <= 0

    def seconds_until_timeout(self, epoch: int) -> float | None:
        """Return the seconds until the heartbeat timeout of the owner of an epoch.

        None while no poll was empty, or if the last heartbeat is not from that owner.
        """
        if self._empty_polls == 0 or self._last_heartbeat.epoch != epoch:
            return None
        if not self._last_heartbeat.renewed and self._empty_polls >= EMPTY_POLLS_WITHOUT_RENEWAL:
            return 0.0
        return self._heartbeat_at + HEARTBEAT_TIMEOUT_SECONDS - self._clock.now()
