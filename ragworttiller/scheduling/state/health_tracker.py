"""Suspends runners on which runs fail, stand still or are refused, and ends their probation."""

from __future__ import annotations

import logging

from ragworttiller.scheduling.decisions.failure_blame import speaks_against_runner, stands_still
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage

log = logging.getLogger(__name__)

# Reasons of a refused start that say that the runner would refuse the next one too.
UNHEALTHY_REASONS = frozenset(("unhealthy", "room"))


class HealthTracker:
    """What runs tell of the health of their runners.

    Parameters
    ----------
    stops : PendingStops
        Receives runs that stand still.
    """

    def __init__(self, stops: PendingStops) -> None:
        self._stops = stops

    def record_refusal(self, runner: RunnerState, reason: str, now: float) -> None:
        """Record a refused start, which suspends a runner that is unhealthy or has no room."""
        if reason in UNHEALTHY_REASONS:
            self._suspend(runner, f"start refused: {reason}", now, refused=True)

    def record_report(self, runner: RunnerState, stage: Stage | None, run: Run, now: float) -> None:
        """Record that a runner reports a run, which may end its probation or stand still."""
        if runner.record_probe(run, now):
            log.info("probation ended", extra=run_fields(run))
        if stage is None:
            return
        if run in self._stops or not stands_still(stage, run, now):
            return
        self._stops.add(run, "stalled")
        seconds = now - run.started_at
        stage.failures.record_stall(run.task.ordinal, runner.id, seconds, now)
        if speaks_against_runner(stage, runner.id, now):
            self._suspend(runner, "run without progress", now)
        else:
            self._log_stage_blamed(stage, run)

    def record_failure(
        self, runner: RunnerState, stage: Stage, run: Run | None, now: float
    ) -> None:
        """Record a failed run; ``run`` is None if this owner does not know it."""
        seconds = now - run.started_at if run is not None else 0.0
        stage.failures.record(runner.id, seconds, now)
        if not speaks_against_runner(stage, runner.id, now):
            if run is not None:
                self._log_stage_blamed(stage, run)
        elif runner.record_failure(run, now):
            self._suspend(runner, "repeated failures", now)

    def record_done(self, runner: RunnerState, stage: Stage, now: float) -> None:
        """Record that a run has done its task."""
        runner.record_success(now)
        stage.failures.record_success(now)

    def _suspend(self, runner: RunnerState, reason: str, now: float, refused: bool = False) -> None:
        """Suspend a runner, with one line for each suspension."""
        if runner.suspend(now, refused):
            seconds = round(runner.suspended_until - now, 1)
            extra = {"runner": runner.id, "why": reason, "seconds": seconds}
            log.warning("runner suspended", extra=extra)

    def _log_stage_blamed(self, stage: Stage, run: Run) -> None:
        """Write one line for each stage that is found to fail on any runner."""
        if not stage.failures.blamed:
            stage.failures.blamed = True
            extra = {**run_fields(run), "stage": str(stage.id)}
            log.info("failures blamed on a stage", extra=extra)
