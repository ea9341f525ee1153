"""Stops runs on draining runners, and reserves room for their successors."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.evacuation import (
    Evacuation,
    EvacuationInputs,
    EvacuationPolicy,
)
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.successor_names import AwaitedSuccessors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.successors import Successors

log = logging.getLogger(__name__)


class Evacuator:
    """Applies the moves that the evacuation policy chooses.

    Parameters
    ----------
    policy : EvacuationPolicy
        Chooses the runs to move.
    pool : RunnerPool
        Runners of the cell.
    caps : Caps
        Limits what each workspace starts.
    stops : PendingStops
        Receives the runs to stop.

    Attributes
    ----------
    successors : Successors
        Room reserved for the tasks of runs that are being stopped.
    awaiting : Mapping of StageId to AwaitedSuccessors
        Tasks on draining runners for which the advisor has to be asked, by stage.
    ages : RunnerAges
        Tells which runners should stay while others drain.
    """

    def __init__(
        self, policy: EvacuationPolicy, pool: RunnerPool, caps: Caps, stops: PendingStops
    ) -> None:
        self._policy = policy
        self._pool = pool
        self._caps = caps
        self._stops = stops
        self.successors = Successors()
        self.awaiting: Mapping[StageId, AwaitedSuccessors] = {}
        self.ages = RunnerAges()

    def plan(self, jobs: Mapping[str, JobWork], now: float) -> None:
        """Stop the runs that are to move off draining runners now.

        Parameters
        ----------
        jobs : mapping of str to JobWork
            Active jobs, by identifier.
        now : float
            Time in seconds.
        """
        self.awaiting = {}
        self.successors.expire(now)
        draining = [r for r in self._pool.runners.values() if r.entry.draining]
        self.ages.begin(draining)
        occupied = [runner for runner in draining if runner.runs]
        if not occupied:
            return
        inputs = EvacuationInputs(
            occupied,
            self._pool.accepting_tasks(now),
            jobs,
            self.successors.by_runner(),
            self.ages,
            self._caps.allows_successor,
            now,
        )
        plan = self._policy.choose(inputs)
        self.awaiting = plan.awaiting
        for move in plan.moves:
            if move.run not in self._stops:
                self._move(move, now)

    def _move(self, move: Evacuation, now: float) -> None:
        self._stops.add(move.run, "runner drains")
        if move.reserved_until is not None:
            index = move.run.task.ordinal
            self.successors.reserve(move.stage, index, move.target, move.reserved_until)
        seconds, leaving = move.ticket_seconds, self._pool.runners[move.run.runner]
        extra = {
            **run_fields(move.run),
            "target": move.target,
            "certain": move.reserved_until is not None,
            "ticket_seconds": None if seconds is None else round(seconds, 3),
            "younger": self.ages.is_younger(self._pool.runners[move.target]),
            "last_moment": move.last_moment,
            "left": round(leaving.leaves_at - now, 3),
        }
        log.info("task evacuated", extra=extra)
