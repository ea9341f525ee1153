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
        # Time of the last failure on each runner, and for how long its run had worked.
        self._failures: dict[str, tuple[float, float]] = {}
        self._stalls: Counter[int] = Counter()
        self._succeeded_at = float("-inf")

    def runners(self, now: float) -> Set[str]:
        """Return the runners on which tasks have failed or stood still lately."""
        return {name for name, (at, _) in self._failures.items() if now - at < RECENT_SECONDS}

    def longest_seconds(self, now: float) -> float:
        """Return for how long the runs that have failed lately had worked, at most."""
        recent = (seconds for at, seconds in self._failures.values() if now - at < RECENT_SECONDS)
        return max(recent, default=0.0)

    def succeeded(self, now: float) -> bool:
        """Return whether a task was done lately."""
        return now - self._succeeded_at < RECENT_SECONDS

    def stalls(self, index: int) -> int:
        """Return how many runs of a task were stopped since they stood still."""
        return self._stalls[index] if self._stalls else 0

    def record(self, runner: str, seconds: float, now: float) -> None:
        """Record that a run has failed on a runner, which had worked for some seconds."""
        rows = self._failures.items()
        self._failures = {name: row for name, row in rows if now - row[0] < RECENT_SECONDS}
        self._failures[runner] = (now, seconds)

    def record_stall(self, index: int, runner: str, seconds: float, now: float) -> None:
        """Record that a run of a task stands still on a runner, for all of some seconds."""
        self._stalls[index] += 1
        self.record(runner, seconds, now)

    def record_success(self, now: float) -> None:
        """Record that a task was done."""
        self._succeeded_at = now
