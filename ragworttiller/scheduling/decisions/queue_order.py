"""Order in which waiting stages are placed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import ClassVar, NamedTuple

from typing_extensions import override

LATE_FACTOR = 3.0


class OrderInputs(NamedTuple):
    """Inputs of the queue order for one stage; times are in seconds.

    ``objective`` is the time after ``since`` by which the occurrence of the stage has to end to be
    on time, and ``remaining`` the estimated duration of the longest chain of its unfinished steps.
    A stage that ``lasts`` has no end: its objective is the time after ``since`` by which its tasks
    have to run again. ``held`` is for how long the cap of its workspace has held the stage.
    """

    priority: int
    since: float
    objective: float
    remaining: float
    lasts: bool = False
    held: float = 0.0

    def late(self, now: float) -> bool:
        """Return whether the occurrence cannot be on time any more."""
        return not self.lasts and now + self.remaining > self.since + self.objective


class QueueOrder(ABC):
    """Order of the waiting stages.

    Attributes
    ----------
    leading : int
        Number of the key's first elements that come before the shares of workspaces.
    """

    leading: ClassVar[int]

    @abstractmethod
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        """Return a sort key; stages with smaller keys are placed first."""


class ArrivalOrder(QueueOrder):
    """Order by priority, then by time of acceptance; the baseline."""

    leading = 1

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        return (inputs.priority, inputs.since)


class SlackOrder(QueueOrder):
    """Order by priority, then by slack; late jobs come after those that can be on time.

    Jobs expected to end after `LATE_FACTOR` times their objective come last, whatever their
    priority. A lasting task is worth as much after any wait, so it never does: it would otherwise
    stand behind every other job for as long as the load lasts. Time for which a cap holds a stage
    does not count: it would be behind all others once the cap allows its tasks.
    """

    leading = 2

    @override
    def key(self, inputs: OrderInputs, now: float) -> tuple[float, ...]:
        end = now + inputs.remaining
        if not inputs.lasts and end > inputs.since + inputs.held + LATE_FACTOR * inputs.objective:
            return (1, inputs.priority, 2, inputs.since)
        slack = inputs.since + inputs.objective - end
        if slack < 0:
            return (0, inputs.priority, 1, inputs.since)
        return (0, inputs.priority, 0, slack)
