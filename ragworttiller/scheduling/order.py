"""Order in which stages get room."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

LATE_FACTOR = 3.0


class Standing(NamedTuple):
    """What the order of a job depends on; times are in seconds.

    ``objective`` is the time from ``since`` within which the job counts as in time, and
    ``remaining`` the least time that its open steps still take.
    """

    priority: int
    since: float
    objective: float
    remaining: float


class QueueOrder(ABC):
    """Order of the jobs that wait."""

    @abstractmethod
    def key(self, standing: Standing, now: float) -> tuple[float, ...]:
        """Return a key; jobs with smaller ones get room first."""


class ArrivalOrder(QueueOrder):
    """By priority, then by arrival; the baseline."""

    @override
    def key(self, standing: Standing, now: float) -> tuple[float, ...]:
        return (standing.priority, standing.since)


class SlackOrder(QueueOrder):
    """By priority, then by slack; jobs that cannot be in time yield to those that can."""

    @override
    def key(self, standing: Standing, now: float) -> tuple[float, ...]:
        end = now + standing.remaining
        if end > standing.since + LATE_FACTOR * standing.objective:
            return (1, standing.priority, 2, standing.since)
        slack = standing.since + standing.objective - end
        if slack < 0:
            return (0, standing.priority, 1, standing.since)
        return (0, standing.priority, 0, slack)
