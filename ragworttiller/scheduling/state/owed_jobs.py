"""Which accepted jobs were submitted beyond the weight of their workspace."""

from __future__ import annotations

from collections.abc import Iterable

from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.owed_times import OwedTimes
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE


class OwedJobs:
    """Splits the jobs of each workspace into those owed and those beyond its weight.

    Jobs are owed as `OwedTimes` says. The times are those in the records, in order of their
    offsets, so each owner finds the same.

    Parameters
    ----------
    jobs : JobFold
        Jobs recorded in the store.
    config : QueueFold
        Current configuration, and the last records of removed workspaces.
    """

    def __init__(self, jobs: JobFold, config: QueueFold) -> None:
        self._jobs = jobs
        self._config = config
        self._last_offset = -1
        self._owed = OwedTimes()
        self._beyond: set[str] = set()

    def is_beyond(self, job: str) -> bool:
        """Return whether a job was submitted beyond the weight of its workspace."""
        return job in self._beyond

    def include(self, jobs: Iterable[str]) -> None:
        """Judge the jobs that were accepted since the last call."""
        if not self._config.known_workspaces:
            return
        rows: list[tuple[int, str, str, float]] = []
        for job in jobs:
            row = self._jobs.get(job)
            if row is None:
                self._beyond.discard(job)
            elif row.offset > self._last_offset and row.accepted is not None:
                rows.append((row.offset, job, row.accepted.workspace, row.accepted.wall))
        for offset, job, workspace, wall in sorted(rows):
            self._last_offset = offset
            if workspace != NO_WORKSPACE and not self._add(workspace, wall):
                self._beyond.add(job)

    def _add(self, workspace: str, wall: float) -> bool:
        """Return whether one more job of a workspace is owed, and count it if so."""
        row = self._config.known_workspaces.get(workspace)
        return self._owed.add(workspace, row.weight if row is not None else 1.0, wall)
