"""Times of the jobs that each workspace is owed by its weight."""

from __future__ import annotations

import bisect
import math

WINDOW_SECONDS = 1.0


class OwedTimes:
    """Last times at which jobs were owed to each workspace.

    Of the jobs that a workspace submits in any window of 1 s, as many as its weight are owed,
    rounded down; with a weight below 1, one job in 1/weight s is. Jobs beyond it use up nothing.
    """

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = {}

    def is_owed(self, workspace: str, weight: float, wall: float) -> bool:
        """Return whether one more job of a workspace is owed.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        weight : float
            Its weight now.
        wall : float
            Time of the job, in seconds since the epoch.
        """
        if weight <= 0:
            return False
        most = _most(weight)
        times = self._times.get(workspace, ())
        return len(times) < most or times[-most] <= wall - max(WINDOW_SECONDS, 1 / weight)

    def add(self, workspace: str, weight: float, wall: float) -> bool:
        """Return whether one more job of a workspace is owed, and count it if so."""
        if not self.is_owed(workspace, weight, wall):
            return False
        times = self._times.setdefault(workspace, [])
        bisect.insort(times, wall)
        del times[: -_most(weight)]
        return True


def _most(weight: float) -> int:
    """Return how many jobs are owed in a window."""
    return max(math.floor(weight), 1)
