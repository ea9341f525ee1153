"""Order in which stages get room."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

LATE_FACTOR = 3.0


class OrderInputs(NamedTuple):
    """What the order of a job depends on; times are in seconds.

    ``objective`` is the time from ``accepted_at`` within which the job counts as in time, and
    ``remaining`` the least time that its open steps still take.
    """

    priority: int
    accepted_at: float
    objective: float
    remaining: float


class QueueOrder(ABC):
    """Order of the jobs that wait."""

    @abstractmethod
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        """Return a key; jobs with smaller ones get room first."""


class ArrivalOrder(QueueOrder):
    """By priority, then by arrival; the baseline."""

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        return (inputs.priority, inputs.accepted_at)


class SlackOrder(QueueOrder):
    """By priority, then by slack; jobs that cannot be in time yield to those that can."""

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        end = now + inputs.remaining
        if end > inputs.accepted_at + LATE_FACTOR * inputs.objective:
            return (1, inputs.priority, 2, inputs.accepted_at)
        slack = inputs.accepted_at + inputs.objective - end
        if slack < 0:
            return (0, inputs.priority, 1, inputs.accepted_at)
        return (0, inputs.priority, 0, slack)
