"""Retry budget as a share of traffic, and backoff between retries."""

from __future__ import annotations

import random

from ragworttiller.timers import TimerService

RETRY_SHARE = 0.1
WINDOW_SECONDS = 10.0
FIRST_RETRY_DELAY_SECONDS = 0.02
MAX_RETRY_DELAY_SECONDS = 0.5


class RetryBudget:
    """Limits retries and hedges to a share of recent requests.

    Both counts are halved once per window, so that old idle periods and bursts lose weight.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    share : float
        Maximum number of retries per request, on average.
    """

    def __init__(self, timers: TimerService, share: float = RETRY_SHARE) -> None:
        self._timers = timers
        self._share = share
        self._requests = 0.0
        self._retries = 0.0
        self._halve_at = timers.now() + WINDOW_SECONDS

    def count_request(self) -> None:
        """Count a request, at its first attempt."""
        now = self._timers.now()
        if now >= self._halve_at:
            self._halve_at = now + WINDOW_SECONDS
            self._requests /= 2
            self._retries /= 2
        self._requests += 1

    def available(self, part: float = 1.0) -> bool:
        """Return whether one more retry is within ``part`` of the budget."""
        return self._retries + 1 <= self._requests * self._share * part

    def consume(self) -> bool:
        """Count a retry if it is within the budget, and return whether it is."""
        if not self.available():
            return False
        self._retries += 1
        return True


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry: exponential backoff with full jitter.

    ``attempt`` is the number of the retry, from 1.
    """
    longest = min(MAX_RETRY_DELAY_SECONDS, FIRST_RETRY_DELAY_SECONDS * 2.0 ** (attempt - 1))
    return rng.uniform(0.0, longest)
