"""Stops runs that are to move to another runner, and reserves room for their successors."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence

from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.evacuation import (
    Departure,
    Evacuation,
    EvacuationInputs,
    EvacuationPlan,
    EvacuationPolicy,
)
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.successor_names import AwaitedSuccessors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.successors import Successors

log = logging.getLogger(__name__)

DRAINS_REASON = "runner drains"


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
    awaiting : dict of StageId to AwaitedSuccessors
        Tasks that are to move, for which the advisor has to be asked, by stage.
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
        self.awaiting: dict[StageId, AwaitedSuccessors] = {}
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
        if self.successors:
            self.successors.keep({runner.id for runner in self._pool.accepting_tasks(now)})
        draining = [r for r in self._pool.runners.values() if r.entry.draining]
        self.ages.begin(draining)
        occupied = [runner for runner in draining if runner.runs]
        if not occupied:
            return
        usable = self._pool.accepting_tasks(now)
        plan = self._policy.choose(self._inputs(occupied, usable, jobs, now))
        self._carry_out(plan, DRAINS_REASON, now)

    def plan_departures(
        self, departures: Sequence[Departure], reason: str, jobs: Mapping[str, JobWork], now: float
    ) -> None:
        """Stop the runs among some departures that are to move now, after those of `plan`.

        They move to runners without serving tasks only.

        Parameters
        ----------
        departures : sequence of Departure
            Runs that are to go on elsewhere.
        reason : str
            Reason of the stops.
        jobs : mapping of str to JobWork
            Active jobs, by identifier.
        now : float
            Time in seconds.
        """
        if not departures:
            return
        usable = [r for r in self._pool.accepting_tasks(now) if not r.serving_runs]
        # Filling tasks may run beside serving ones for long in a cell where each runner serves.
        if usable:
            inputs = self._inputs([], usable, jobs, now)
            self._carry_out(self._policy.choose_departures(inputs, departures), reason, now)

    def _inputs(
        self,
        draining: Sequence[RunnerState],
        usable: Sequence[RunnerState],
        jobs: Mapping[str, JobWork],
        now: float,
    ) -> EvacuationInputs:
        return EvacuationInputs(
            draining,
            usable,
            jobs,
            self.successors.by_runner(),
            self.ages,
            self._caps.allows_successor,
            now,
        )

    def _carry_out(self, plan: EvacuationPlan, reason: str, now: float) -> None:
        for stage, row in plan.awaiting.items():
            self.awaiting[stage] = row.plus(self.awaiting.get(stage))
        for move in plan.moves:
            if move.run not in self._stops:
                self._move(move, reason, now)

    def _move(self, move: Evacuation, reason: str, now: float) -> None:
        self._stops.add(move.run, reason)
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
            "left": round(leaving.leaves_at - now, 3) if leaving.entry.draining else None,
            "reason": reason,
        }
        log.info("task evacuated", extra=extra)
