"""Rate limit on the appends of one process to the log."""

from __future__ import annotations

from ragworttiller.timers import TimerService

LOG_APPENDS_PER_SECOND = 400.0
LOG_WRITERS = 14
INSTANCE_APPENDS_PER_SECOND = LOG_APPENDS_PER_SECOND / LOG_WRITERS


class AppendBudget:
    """Token bucket that all streams of a process share.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    rate : float
        Appends per second.
    burst : int
        Appends that may be made at once after an idle period.
    """

    def __init__(
        self, timers: TimerService, rate: float = INSTANCE_APPENDS_PER_SECOND, burst: int = 5
    ) -> None:
        self._timers = timers
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = timers.now()
        self._used = 0

    @property
    def used(self) -> int:
        """Appends made so far."""
        return self._used

    async def acquire(self) -> None:
        """Consume the token of one append, waiting until one is available."""
        now = self._timers.now()
        self._tokens = (
            min(float(self._burst), self._tokens + (now - self._refilled_at) * self._rate) - 1.0
        )
        self._refilled_at = now
        if self._tokens < 0:
            await self._timers.sleep(-self._tokens / self._rate)
        self._used += 1
