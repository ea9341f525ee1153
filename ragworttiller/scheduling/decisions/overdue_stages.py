"""Decides which stages are overdue, so that rules which protect the cell hold them no longer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.fair_order import ReadyStage
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

# With a call to the advisor, less than the 3 s for which a lasting task may wait while it has room.
PATIENCE_SECONDS = 1.5
# In a cell of which more is in use, a job waits for others rather than for such a rule.
MAX_SHARE_IN_USE = 0.5


class OverdueStages:
    """Marks the stages that have waited for so long that only hard limits may hold them.

    Load pattern: after failures or crashes the last job of a cell waits for runners that others
    would have to prove sound, and there are no others. A lasting task is overdue in any cell, since
    it has to run whenever there is room for it. Any other stage is only while nothing of its job
    runs and less than half of what its tasks need is in use: in a busy cell, overdue stages would
    fill runners that fail all that they start, and take room that is kept for others.

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
        self._shares: dict[str, Shares] = {}
        # Whether something of a job ran when the pass began; a job may have 500 ready stages.
        self._runs: dict[str, bool] = {}

    def begin(self) -> None:
        """Start a new planning pass, of which no start is decided before `mark`."""
        self._shares.clear()
        self._runs.clear()

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
        return self._is_quiet(work.queue.upstream, stage) and not self._runs_anything(work)

    def _runs_anything(self, work: JobWork) -> bool:
        """Return whether a task of a job runs, or is about to."""
        if work.id not in self._runs:
            self._runs[work.id] = work.runs_anything
        return self._runs[work.id]

    def _is_quiet(self, upstream: str, stage: Stage) -> bool:
        """Return whether little enough is in use of each resource that a stage needs."""
        if upstream not in self._shares:
            self._shares[upstream] = shares_in_use(self._pool.runners.values(), upstream)
        rows = zip(stage.spec.reservation, self._shares[upstream], strict=True)
        return all(share < MAX_SHARE_IN_USE for needed, share in rows if needed)


class Shares(NamedTuple):
    """Shares of the resources of an upstream that runs reserve."""

    cpu: float
    memory: float
    accelerators: float


def shares_in_use(runners: Iterable[RunnerState], upstream: str) -> Shares:
    """Return the shares of the resources of an upstream's listed runners that runs reserve."""
    cpu = memory = accelerators = 0
    free_cpu = free_memory = free_accelerators = 0
    # No calls for each runner, since a pass asks this of all of them.
    for runner in runners:
        entry, free = runner.entry, runner.free
        if not runner.listed or runner.lost or entry.draining or entry.upstream != upstream:
            continue
        cpu += entry.capacity.cpu
        memory += entry.capacity.memory
        accelerators += entry.capacity.accelerators
        free_cpu += free.cpu
        free_memory += free.memory
        free_accelerators += free.accelerators
    return Shares(
        1 - free_cpu / max(cpu, 1),
        1 - free_memory / max(memory, 1),
        1 - free_accelerators / max(accelerators, 1),
    )


def waits_for_long(stage: Stage, now: float) -> bool:
    """Return whether a task of a stage has waited for longer than it should."""
    return stage.longest_wait(now) > PATIENCE_SECONDS
