"""Which of the jobs that a workspace submits are beyond its weight."""

from __future__ import annotations

from ragworttiller.scheduling.records.formats import Accepted
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.owed_times import OwedTimes
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

# Records that are older than the newest one by more are history, read when an entry starts.
MAX_DISORDER_SECONDS = 1.0


class SubmissionWindows:
    """Jobs owed to each workspace in the last second, counted in the order of the records.

    Jobs are owed as `OwedTimes` says, as in the order of waiting jobs.

    Parameters
    ----------
    config : QueueFold
        Current configuration, with the weights.
    """

    def __init__(self, config: QueueFold) -> None:
        self._config = config
        self._owed = OwedTimes()
        self._newest = float("-inf")

    def record(self, accepted: Accepted) -> None:
        """Record an accepted job; jobs are recorded in the order of their offsets."""
        if accepted.wall < self._newest - MAX_DISORDER_SECONDS:
            return
        self._newest = max(self._newest, accepted.wall)
        weight = self._weight(accepted.workspace)
        if accepted.workspace != NO_WORKSPACE and weight is not None:
            self._owed.add(accepted.workspace, weight, accepted.wall)

    def is_beyond_weight(self, workspace: str, wall: float) -> bool:
        """Return whether one more job of a workspace would not be owed.

        Parameters
        ----------
        workspace : str
            Name of the workspace; an anonymous call has no weight to exceed.
        wall : float
            Time of the job, in seconds since the epoch.
        """
        weight = self._weight(workspace)
        return weight is not None and not self._owed.is_owed(workspace, weight, wall)

    def _weight(self, workspace: str) -> float | None:
        row = self._config.workspaces.get(workspace)
        return row.weight if row is not None else None
