"""What each workspace uses on all runners, and what it may use unseen after a takeover."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.unseen_runs import UnseenRuns


class Use(NamedTuple):
    """What the known runs of a workspace use; ``lasting`` is the part of lasting tasks."""

    total: Resources = NO_RESOURCES
    lasting: Resources = NO_RESOURCES
    runs: int = 0


NO_USE = Use()


class WorkspaceUsage:
    """Use of each workspace, from the runs that are added to and removed from runners.

    Starting, running and stopping runs count until their end is known. A run counts with the full
    size of its task: a filling task reserves no processor time on its runner but still uses it.

    Parameters
    ----------
    unseen : UnseenRuns, optional
        Runs of an earlier owner that no runner has reported yet; none by default.

    Attributes
    ----------
    changes : int
        Number of runs added and removed, which tells whether the use may have changed.
    """

    def __init__(self, unseen: UnseenRuns | None = None) -> None:
        self._unseen = unseen
        self._by_workspace: dict[str, Use] = {}
        self.changes = 0

    @property
    def workspaces(self) -> Iterable[str]:
        """Workspaces with known runs."""
        return self._by_workspace.keys()

    def add(self, run: Run) -> None:
        """Count a run that was ordered or found."""
        self.changes += 1
        size = run.spec.size
        total, lasting, runs = self._by_workspace.get(run.workspace, NO_USE)
        if run.spec.daemon:
            lasting = lasting.plus(size)
        self._by_workspace[run.workspace] = Use(total.plus(size), lasting, runs + 1)
        if self._unseen is not None:
            self._unseen.mark_seen(run)

    def remove(self, run: Run) -> None:
        """Stop counting a run that has ended."""
        self.changes += 1
        size = run.spec.size
        total, lasting, runs = self._by_workspace[run.workspace]
        if runs == 1:
            del self._by_workspace[run.workspace]
            return
        if run.spec.daemon:
            lasting = lasting.minus(size)
        self._by_workspace[run.workspace] = Use(total.minus(size), lasting, runs - 1)

    def known(self, workspace: str) -> Use:
        """Return what the known runs of a workspace use."""
        return self._by_workspace.get(workspace, NO_USE)

    def total(self, workspace: str) -> Resources:
        """Return the most that a workspace may use, including runs that are not known yet."""
        total = self._by_workspace.get(workspace, NO_USE).total
        if self._unseen is None or not self._unseen.possible:
            return total
        return total.plus(self._unseen.total(workspace))

    def idle(self, workspace: str) -> bool:
        """Return whether certainly nothing of a workspace runs."""
        if workspace in self._by_workspace:
            return False
        return self._unseen is None or not self._unseen.may_run(workspace)
