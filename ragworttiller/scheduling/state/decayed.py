"""Sums with exponential recency."""

from __future__ import annotations


class DecayedSum:
    """Weighted sum of values whose weights halve at intervals.

    Parameters
    ----------
    half_life : float
        Time in seconds after which a value counts half.
    """

    __slots__ = ("_at", "_half_life", "_total", "_weight")

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._weight = 0.0
        self._total = 0.0
        self._at = float("-inf")

    def add(self, total: float, weight: float, now: float) -> None:
        """Add a weighted value, given as its product with its weight, and its weight."""
        factor = self._factor(now)
        self._weight = self._weight * factor + weight
        self._total = self._total * factor + total
        self._at = max(self._at, now)

    def age(self, now: float) -> float:
        """Return the seconds since the last value, infinity if there was none."""
        return now - self._at

    def weight(self, now: float) -> float:
        """Return the sum of the weights, which is the number of samples that still count."""
        return self._weight * self._factor(now)

    def mean(self, now: float, prior: float = 0.0) -> float:
        """Return the mean, with ``prior`` samples of 0 in advance; 0 without any sample."""
        factor = self._factor(now)
        weight = self._weight * factor + prior
        return self._total * factor / weight if weight > 0 else 0.0

    def weight_and_mean(self, now: float) -> tuple[float, float]:
        """Return `weight` and `mean`, both without samples in advance."""
        weight = self._weight * self._factor(now)
        return weight, self._total / self._weight if self._weight > 0 else 0.0

    def _factor(self, now: float) -> float:
        if self._weight == 0.0 or now <= self._at:
            return 1.0
        return float(0.5 ** ((now - self._at) / self._half_life))
