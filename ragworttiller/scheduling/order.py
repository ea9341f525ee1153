"""Order in which waiting stages are placed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

LATE_FACTOR = 3.0


class OrderInputs(NamedTuple):
    """Inputs of the queue order for one job; times are in seconds.

    ``objective`` is the time after ``accepted_at`` within which the job is on time, and
    ``remaining`` the minimum time that its unfinished steps still take.
    """

    priority: int
    accepted_at: float
    objective: float
    remaining: float


class QueueOrder(ABC):
    """Order of the waiting jobs."""

    @abstractmethod
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        """Return a sort key; jobs with smaller keys are placed first."""


class ArrivalOrder(QueueOrder):
    """Order by priority, then by time of acceptance; the baseline."""

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        return (inputs.priority, inputs.accepted_at)


class SlackOrder(QueueOrder):
    """Order by priority, then by slack; late jobs come after those that can be on time.

    Jobs expected to end after `LATE_FACTOR` times their objective come last, whatever their
    priority.
    """

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        end = now + inputs.remaining
        if end > inputs.accepted_at + LATE_FACTOR * inputs.objective:
            return (1, inputs.priority, 2, inputs.accepted_at)
        slack = inputs.accepted_at + inputs.objective - end
        if slack < 0:
            return (0, inputs.priority, 1, inputs.accepted_at)
        return (0, inputs.priority, 0, slack)
