"""Calls the advisor first for lasting tasks that wait."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ragworttiller.scheduling.decisions.advice_planner import AdvicePlanner
from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.fair_order import ReadyStage
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.takeover import Takeover

# Leaves time for calls to several stages, and for those before them, within the same 3 s.
LASTING_ADVICE_PATIENCE_SECONDS = 0.5


class LastingStages:
    """Plans calls to the advisor for lasting tasks before those for all others.

    Load pattern: while bursts of short tasks fill the runners and the advisor, a lasting task that
    has ended would wait for as long as they go on. Lasting tasks have no limit of attempts, and
    each has to run whenever there is room for it.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    caps : Caps
        Limits what each workspace starts.
    advice : AdvicePlanner
        Plans calls to the advisor.
    """

    def __init__(self, pool: RunnerPool, caps: Caps, advice: AdvicePlanner) -> None:
        self._pool = pool
        self._caps = caps
        self._advice = advice

    def plan_calls(self, ready: Sequence[ReadyStage], capped: bool, now: float) -> None:
        """Plan calls to the advisor for stages that have waited, the longest wait first.

        Stages for which the last search found no runner to name come after the others. None is made
        for a stage that is held by the cap of its workspace, whose tickets would expire unused.

        Parameters
        ----------
        ready : sequence of ReadyStage
            Stages of which tasks may start, of lasting tasks and of others.
        capped : bool
            Whether workspaces have caps.
        now : float
            Time in seconds.
        """
        rows = [
            (stage.longest_wait(now), work, stage)
            for work, stage, _ in ready
            if stage.spec.daemon and self._is_urgent(stage, now)
        ]
        overdue = any(stage.overdue for _, _, stage in rows)
        suspended = FreeResources(self._pool.accepting_lasting_tasks_only(now) if overdue else ())
        rows.sort(key=lambda row: (row[2].tickets.urgent_recheck_at, -row[0]))
        for wait, work, stage in rows:
            if wait <= LASTING_ADVICE_PATIENCE_SECONDS:
                continue
            if not capped or self._caps.allowed(stage, wait):
                self._advice.plan_for_lasting(work, stage, suspended)

    @staticmethod
    def _is_urgent(stage: Stage, now: float) -> bool:
        tickets = stage.tickets
        return tickets.awaits_call or stage.overdue or tickets.calls_are_late(now)

    def plan_calls_ahead(
        self, jobs: Iterable[JobWork], takeover: Takeover, capped: bool, now: float, wall: float
    ) -> None:
        """Plan calls for stages of which no task may start until a takeover is settled.

        Otherwise the calls, of up to 3 s, would follow a wait of up to 12 s for a runner.

        Parameters
        ----------
        jobs : iterable of JobWork
            Active jobs.
        takeover : Takeover
            Runners on which tasks of an earlier owner may still run.
        capped : bool
            Whether workspaces have caps.
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        if takeover.all_settled:
            return
        for work in jobs:
            if not work.open or work.queue.advice is None:
                continue
            for stage in work.ready(wall):
                if not stage.spec.daemon or not takeover.blocks(work.row, stage):
                    continue
                if not capped or self._caps.allowed(stage, 0.0):
                    seconds = takeover.seconds_held(takeover.holding(work.row, stage), now)
                    self._advice.plan_for_held(work, stage, seconds)
