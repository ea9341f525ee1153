"""Where the tasks of a stage have failed lately, and when they last succeeded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

# An earlier failure or success says nothing of a stage any more.
RECENT_SECONDS = 30.0


class FailureRecord:
    """Failures and successes of the tasks of one stage; times are in seconds.

    Attributes
    ----------
    blamed : bool
        Whether the stage was found to be the cause of its failures.
    """

    def __init__(self) -> None:
        self.blamed = False
        self._failed_at: dict[str, float] = {}
        self._stalls: Counter[int] = Counter()
        self._succeeded_at = float("-inf")

    def runners(self, now: float) -> Set[str]:
        """Return the runners on which tasks have failed or stood still lately."""
        return {name for name, at in self._failed_at.items() if now - at < RECENT_SECONDS}

    def succeeded(self, now: float) -> bool:
        """Return whether a task was done lately, or outlives the time in which others failed."""
        return now - self._succeeded_at < RECENT_SECONDS

    def stalls(self, index: int) -> int:
        """Return how many runs of a task were stopped since they stood still."""
        return self._stalls[index] if self._stalls else 0

    def record(self, runner: str, now: float) -> None:
        """Record that a task has failed on a runner."""
        rows = self._failed_at.items()
        self._failed_at = {name: at for name, at in rows if now - at < RECENT_SECONDS}
        self._failed_at[runner] = now

    def record_stall(self, index: int, runner: str, now: float) -> None:
        """Record that a run of a task stands still on a runner."""
        self._stalls[index] += 1
        self.record(runner, now)

    def record_success(self, now: float) -> None:
        """Record that a task was done, or that a lasting one works on."""
        self._succeeded_at = now
