"""Workspaces that were removed from the configuration while their jobs go on."""

from __future__ import annotations

import math

from ragworttiller.resources import Resources
from ragworttiller.scheduling.records.formats import RemovedWorkspace
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.workspaces import Workspace

# Bounds the size of a claim.
MAX_STATED = 100


class RemovedWorkspaces:
    """Passes the cap and weight of removed workspaces from an owner to its successor.

    Load pattern: a workspace is removed while its jobs run for hours. The configuration no longer
    holds its cap, so that an entry which has started since knows none.

    Parameters
    ----------
    config : QueueFold
        Configuration.
    jobs : ActiveJobs
        Active jobs.
    """

    def __init__(self, config: QueueFold, jobs: ActiveJobs) -> None:
        self._config = config
        self._jobs = jobs

    def stated(self) -> list[RemovedWorkspace]:
        """Return the removed workspaces that have active jobs."""
        known, current = self._config.known_workspaces, self._config.workspaces
        if len(known) == len(current):
            return []
        with_jobs = {work.workspace for work in self._jobs.by_id.values()}
        removed = sorted(with_jobs & (known.keys() - current.keys()))
        return [_statement(known[name]) for name in removed[:MAX_STATED]]

    def restore(self, rows: list[RemovedWorkspace]) -> None:
        """Take over what an earlier owner states; what this entry knows itself is newer."""
        for row in filter(_is_plausible, rows[:MAX_STATED]):
            cap = Resources(row.cpu, row.memory, row.accelerators)
            self._config.add_removed(Workspace(row.name, frozenset(), row.weight, cap))


def _statement(workspace: Workspace) -> RemovedWorkspace:
    return RemovedWorkspace(workspace.name, workspace.weight, *workspace.cap)


def _is_plausible(row: RemovedWorkspace) -> bool:
    amounts = (row.cpu, row.memory, row.accelerators)
    return bool(row.name) and 0 <= row.weight < math.inf and min(amounts) >= 0
