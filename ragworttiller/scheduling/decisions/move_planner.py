"""Moves stragglers with a checkpoint to other runners, a few at a time."""

from __future__ import annotations

import logging
from collections import deque

from ragworttiller.scheduling.decisions.moves import MovePolicy
from ragworttiller.scheduling.decisions.stragglers import Leftovers, Straggler, StragglerSearch
from ragworttiller.scheduling.decisions.waiting_stages import WaitingStages
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runs import Stage

log = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.5
# Whatever makes stragglers of many runs at once, a forecast gone wrong say, moves only so many.
WINDOW_SECONDS = 5.0
MAX_MOVED_SHARE = 0.02
MAX_MOVES_PER_TASK = 1
MAX_SEARCHES_PER_PASS = 2


class MovePlanner:
    """Plans the stops of stragglers that go on elsewhere, at the end of a planning pass.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    search : StragglerSearch
        Finds stragglers, and runners for their tasks.
    policy : MovePolicy
        Decides which runs are stragglers, and whether a move pays.
    stops : PendingStops
        Receives the runs to stop.
    """

    def __init__(
        self, pool: RunnerPool, search: StragglerSearch, policy: MovePolicy, stops: PendingStops
    ) -> None:
        self._pool = pool
        self._search = search
        self._policy = policy
        self._stops = stops
        self._checked_at = float("-inf")
        self._moved_at: deque[float] = deque()

    def plan(self, left: Leftovers) -> None:
        """Add the runs that move now to those to be stopped."""
        now = left.now
        if now < self._checked_at + CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        while self._moved_at and self._moved_at[0] < now - WINDOW_SECONDS:
            self._moved_at.popleft()
        running = sum(len(runner.runs) for runner in self._pool.runners.values())
        moves = int(MAX_MOVED_SHARE * running) - len(self._moved_at)
        if moves <= 0:
            return
        stragglers = self._search.find(left, _may_move, self._policy.straggles_after)
        waiting, searches = WaitingStages(left.ready if stragglers else ()), 0
        for row in filter(_is_movable, stragglers):
            if not left.allows(row):
                continue
            searches += 1
            if searches > min(MAX_SEARCHES_PER_PASS, moves):
                break
            target = self._search.place(row, left, waiting, self._policy.pays)
            if target is not None:
                self._move(row, target, now)

    def _move(self, row: Straggler, target: str, now: float) -> None:
        run, stage = row.outlook.run, row.stage
        self._moved_at.append(now)
        stage.moves[row.task_index] += 1
        stage.last_failed_runner[row.task_index] = run.runner
        self._stops.add(run, "straggler moves")
        extra = {**run_fields(run), "percent": run.percent, "fits_on": target}
        left = round(row.outlook.expected_end(now) - now, 2)
        log.info("straggler moves", extra={**extra, "left": left})


def _may_move(stage: Stage) -> bool:
    """Return whether tasks of a stage may be moved; those of speculative steps get copies."""
    spec = stage.spec
    return spec.checkpoints and not (
        spec.speculative or spec.gang or spec.daemon or spec.fills or spec.target
    )


def _is_movable(row: Straggler) -> bool:
    """Return whether a straggler can be stopped at a checkpoint, and was not moved before."""
    saved = bool(row.outlook.run.checkpoint) and not row.outlook.silent
    return saved and row.stage.moves[row.task_index] < MAX_MOVES_PER_TASK
