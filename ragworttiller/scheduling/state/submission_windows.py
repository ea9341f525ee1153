"""Which of the jobs that a workspace submits are beyond its weight."""

from __future__ import annotations

from collections import deque

from ragworttiller.scheduling.records.formats import Accepted
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

WINDOW_SECONDS = 1.0
# Records that are older than the newest one by more are history, read when an entry starts.
MAX_DISORDER_SECONDS = 1.0


class SubmissionWindows:
    """Jobs owed to each workspace in the last second, counted in the order of the records.

    A job is owed if fewer than ``weight`` owed jobs of its workspace were accepted within the
    second before it, so that in any second at most ``weight`` jobs are.

    Parameters
    ----------
    config : QueueFold
        Current configuration, with the weights.
    """

    def __init__(self, config: QueueFold) -> None:
        self._config = config
        self._owed: dict[str, deque[float]] = {}
        self._newest = float("-inf")

    def record(self, accepted: Accepted) -> None:
        """Record an accepted job; jobs are recorded in the order of their offsets."""
        if accepted.wall < self._newest - MAX_DISORDER_SECONDS:
            return
        self._newest = max(self._newest, accepted.wall)
        if accepted.workspace != NO_WORKSPACE and not self.is_beyond_weight(
            accepted.workspace, accepted.wall
        ):
            self._owed.setdefault(accepted.workspace, deque()).append(accepted.wall)

    def is_beyond_weight(self, workspace: str, wall: float) -> bool:
        """Return whether one more job of a workspace would not be owed.

        Parameters
        ----------
        workspace : str
            Name of the workspace; an anonymous call has no weight to exceed.
        wall : float
            Time of the job, in seconds since the epoch.
        """
        row = self._config.workspaces.get(workspace)
        if row is None:
            return False
        if row.weight <= 0:
            return True
        owed = self._owed.get(workspace, deque())
        # A weight below 1 owes one job in 1/weight seconds, as the order of waiting jobs does.
        while owed and owed[0] <= wall - max(WINDOW_SECONDS, 1 / row.weight):
            owed.popleft()
        return len(owed) + 1 > max(row.weight, 1.0)
