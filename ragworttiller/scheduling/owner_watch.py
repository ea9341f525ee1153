"""Decides from the store and from heartbeats whether the owner of the cell has gone silent."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

# A read that waits so long without a claim is a silent one; owners renew more often.
POLL_SECONDS = 0.6
# Silent reads in a row after which any entry claims.
SILENT_POLLS = 3
# The same for a standby whose owner tells that renewals fail: some only come late.
SILENT_POLLS_WITHOUT_RENEWAL = 2
# Time without a heartbeat after which a standby claims, if a read was silent too.
HEARTBEAT_SILENCE_SECONDS = 0.6


class OwnerHeartbeat(NamedTuple):
    """Sent by the owner to its standbys; ``renewed`` tells whether its renewals get through."""

    epoch: int
    renewed: bool


class OwnerWatch:
    """What is heard of the owner, through the store and from itself.

    A read that is silent comes from a store that answers, so an outage never looks like silence
    of the owner. Safety does not depend on any of this; a claim is conditional.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._silent_polls = 0
        self._last = OwnerHeartbeat(0, False)
        self._heard_at = 0.0

    @property
    def silent_polls(self) -> int:
        """Silent reads in a row, the last one ending now."""
        return self._silent_polls

    def news(self) -> None:
        """Record that the store holds a new claim or renewal."""
        self._silent_polls = 0

    def silent_poll(self) -> None:
        """Record that a read of the claims has waited in vain."""
        self._silent_polls += 1

    def heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat."""
        if heartbeat.epoch >= self._last.epoch:
            self._last, self._heard_at = heartbeat, self._clock.now()

    def silent(self, epoch: int) -> bool:
        """Return whether the owner of an epoch has to be taken for dead or cut off."""
        if self._silent_polls >= SILENT_POLLS:
            return True
        left = self.recheck_in(epoch)
        return left is not None and left <= 0

    def recheck_in(self, epoch: int) -> float | None:
        """Return the seconds until the lack of heartbeats counts, None if it does not."""
        if self._silent_polls == 0 or self._last.epoch != epoch:
            return None
        if not self._last.renewed and self._silent_polls >= SILENT_POLLS_WITHOUT_RENEWAL:
            return 0.0
        return self._heard_at + HEARTBEAT_SILENCE_SECONDS - self._clock.now()
