"""Decides which stages are overdue, so that rules which protect the cell hold them no longer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.fair_order import ReadyStage
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

# With a call to the advisor, less than the 3 s for which a lasting task may wait while it has room.
PATIENCE_SECONDS = 1.5
# In a cell with more processors in use, a job waits for others rather than for such a rule.
MAX_SHARE_IN_USE = 0.5


class OverdueStages:
    """Marks the stages that have waited for so long that only hard limits may hold them.

    Load pattern: after failures or crashes the last job of a cell waits for runners that others
    would have to prove sound, and there are no others. A lasting task is overdue in any cell, since
    it has to run whenever there is room for it. Any other stage is only while nothing of its job
    runs and the cell is quiet: in a busy one, overdue stages would fill runners that fail all that
    they start.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    caps : Caps
        Limits what each workspace starts.
    """

    def __init__(self, pool: RunnerPool, caps: Caps) -> None:
        self._pool = pool
        self._caps = caps
        self._quiet: dict[str, bool] = {}

    def begin(self) -> None:
        """Start a new planning pass."""
        self._quiet.clear()

    def mark(self, ready: Sequence[ReadyStage], capped: bool, now: float) -> None:
        """Mark the stages that are overdue, as far as their cap allows them to start.

        Parameters
        ----------
        ready : sequence of ReadyStage
            Stages of which tasks may start.
        capped : bool
            Whether workspaces have caps.
        now : float
            Time in seconds.
        """
        for work, stage, _ in ready:
            if stage.spec.daemon:
                stage.overdue = stage.blocked_since is not None and waits_for_long(stage, now)
            else:
                stage.overdue = self._keeps_job_idle(work, stage, now)
            if stage.overdue and capped:
                stage.overdue = self._caps.allowed(stage, stage.longest_wait(now)) > 0

    def _keeps_job_idle(self, work: JobWork, stage: Stage, now: float) -> bool:
        """Return whether a stage waits for long in a quiet cell while nothing of its job runs."""
        if stage.active_runs:
            stage.idle_since = None
            return False
        if stage.idle_since is None:
            stage.idle_since = now
        if now - stage.idle_since <= PATIENCE_SECONDS:
            return False
        return self._is_quiet(work.queue.upstream) and not work.runs_anything

    def _is_quiet(self, upstream: str) -> bool:
        """Return whether few enough of the processors of an upstream are in use."""
        if upstream not in self._quiet:
            share = share_in_use(self._pool.runners.values(), upstream)
            self._quiet[upstream] = share < MAX_SHARE_IN_USE
        return self._quiet[upstream]


def share_in_use(runners: Iterable[RunnerState], upstream: str) -> float:
    """Return the share of the processors of an upstream's listed runners that runs reserve."""
    capacity = free = 0
    # No calls for each runner, since a pass asks this of all of them.
    for runner in runners:
        entry = runner.entry
        if runner.listed and not runner.lost and not entry.draining and entry.upstream == upstream:
            capacity += entry.capacity.cpu
            free += runner.free.cpu
    return 1 - free / max(capacity, 1)


def waits_for_long(stage: Stage, now: float) -> bool:
    """Return whether a task of a stage has waited for longer than it should."""
    return stage.longest_wait(now) > PATIENCE_SECONDS
