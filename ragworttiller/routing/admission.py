"""Admission control by expected waiting time."""

from __future__ import annotations

import random

from ragworttiller.exceptions import Overloaded

MIN_SAMPLE_WEIGHT = 0.05
INITIAL_MEAN_SECONDS = 0.005
MIN_RETRY_AFTER_SECONDS = 0.1
RETRY_AFTER_JITTER = 0.5
MARGIN_DEVIATIONS = 4.0
MIN_SAMPLES = 20


class Admission:
    """Estimates waiting times and refuses requests that would miss their deadlines.

    Parameters
    ----------
    upstream : str
        Name of the upstream, for errors.
    queue_limit : int
        Maximum number of waiting requests.
    rng : random.Random
        Random numbers for the jitter of retry delays.
    """

    def __init__(self, upstream: str, queue_limit: int, rng: random.Random) -> None:
        self.queue_limit = queue_limit
        self._upstream = upstream
        self._rng = rng
        self._mean_seconds = INITIAL_MEAN_SECONDS
        self._deviation = 0.0
        self._samples = 0

    @property
    def mean_seconds(self) -> float:
        """Mean seconds from the start of an exchange to its answer."""
        return self._mean_seconds

    @property
    def has_enough_samples(self) -> bool:
        """Whether `mean_seconds` is based on enough answers to be reliable."""
        return self._samples >= MIN_SAMPLES

    @property
    def upper_estimate_seconds(self) -> float:
        """Upper estimate of the seconds of an exchange, which few exceed."""
        return self._mean_seconds + MARGIN_DEVIATIONS * self._deviation

    def observe(self, seconds: float) -> None:
        """Update the estimates with an answer that took ``seconds``."""
        self._samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        error = seconds - self._mean_seconds
        self._mean_seconds += weight * error
        self._deviation += weight * (abs(error) - self._deviation)

    def expected_wait(self, waiting: int, in_progress: int) -> float:
        """Return the expected seconds until a request queued behind ``waiting`` others starts."""
        return (waiting + 1) * self._mean_seconds / max(1, in_progress)

    def check(self, waiting: int, in_progress: int, budget: float) -> None:
        """Check that a request that joins the queue can be answered within ``budget`` seconds.

        Raises
        ------
        Overloaded
            It cannot, or the queue is full; ``retry_after`` is when to retry.
        """
        needed = self.expected_wait(waiting, in_progress) + self.upper_estimate_seconds
        if waiting < self.queue_limit and needed <= budget:
            return
        raise self.refusal(needed - budget)

    def can_answer_within(self, budget: float) -> bool:
        """Return whether a request that starts now should be answered within ``budget`` seconds."""
        return self._mean_seconds <= budget

    def refusal(self, late: float) -> Overloaded:
        """Return the error for a request expected to miss its deadline by ``late`` seconds."""
        jitter = 1 + self._rng.random() * RETRY_AFTER_JITTER
        return Overloaded(
            upstream=self._upstream,
            retry_after=round(max(MIN_RETRY_AFTER_SECONDS, late) * jitter, 3),
        )
