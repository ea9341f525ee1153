"""Reasons why a runner that suits a stage and has room does not take one of its tasks."""

from __future__ import annotations

from enum import StrEnum

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.runner_rules import at_limit, awaits_probe
from ragworttiller.scheduling.state.runner_state import MAX_ANSWER_AGE_SECONDS, RunnerState
from ragworttiller.scheduling.state.runs import Stage


class Obstacle(StrEnum):
    """Reason why a runner does not take a task.

    A runner is ``lost`` if its runs have certainly ended, ``silent`` if it has not answered lately,
    and ``not_enrolled`` until the stored claim names it. Its room is ``reserved`` if other stages
    are about to take it.
    """

    LOST = "lost"
    UNLISTED = "unlisted"
    DRAINING = "draining"
    SILENT = "silent"
    NOT_ENROLLED = "not_enrolled"
    SUSPENDED = "suspended"
    TRIAL = "trial"
    LIMIT = "limit"
    PROBATION = "probation"
    DENIED = "denied"
    NO_TICKET = "no_ticket"
    RESERVED = "reserved"


# The room on such a runner cannot be used soon; see `stays`.
LEAVING = frozenset({Obstacle.LOST, Obstacle.UNLISTED, Obstacle.DRAINING})
# No task starts on such a runner, whatever its stage.
CLOSED = LEAVING | {
    Obstacle.SILENT,
    Obstacle.NOT_ENROLLED,
    Obstacle.SUSPENDED,
    Obstacle.TRIAL,
}
# These do not keep a task of an overdue stage from a runner.
OVERRIDDEN_WHEN_OVERDUE = frozenset({Obstacle.PROBATION, Obstacle.RESERVED})


def obstacles(
    runner: RunnerState,
    stage: Stage,
    running: int,
    needs_ticket: bool,
    reserved: Resources | None,
    now: float,
) -> set[Obstacle]:
    """Return all that stands against a start, also what an overdue stage may override.

    Parameters
    ----------
    runner : RunnerState
        Runner that suits the stage and has room for one of its tasks.
    stage : Stage
        Stage of the task.
    running : int
        Number of the stage's tasks that run there.
    needs_ticket : bool
        Whether a start needs a ticket of the advisor.
    reserved : Resources or None
        Resources of the runner that are reserved for other stages, None for none.
    now : float
        Time in seconds.
    """
    found: set[Obstacle] = set()
    if not runner.accepts_tasks(now):
        found |= _closed_by(runner, now)
    if at_limit(stage, running):
        found.add(Obstacle.LIMIT)
    if awaits_probe(runner, running):
        found.add(Obstacle.PROBATION)
    if needs_ticket and not stage.tickets.valid_ticket(runner.id, now):
        denied = runner.id in stage.tickets.denied
        found.add(Obstacle.DENIED if denied else Obstacle.NO_TICKET)
    if reserved is not None and not stage.spec.reservation.fits(runner.free.minus(reserved)):
        found.add(Obstacle.RESERVED)
    return found


def stays(runner: RunnerState) -> bool:
    """Return whether no obstacle in `LEAVING` holds of a runner, with room or without."""
    return (
        runner.listed and not runner.lost and runner.ended_at is None and not runner.entry.draining
    )


def _closed_by(runner: RunnerState, now: float) -> set[Obstacle]:
    """Return why no task starts on a runner, whatever its stage."""
    answer_is_old = now - runner.last_answer_at >= MAX_ANSWER_AGE_SECONDS
    rows = (
        (Obstacle.LOST, runner.lost or runner.ended_at is not None),
        (Obstacle.UNLISTED, not runner.listed),
        (Obstacle.DRAINING, runner.entry.draining),
        (Obstacle.SILENT, runner.misses > 0 or answer_is_old),
        (Obstacle.NOT_ENROLLED, not runner.enrolled),
        (Obstacle.SUSPENDED, runner.suspended(now)),
        (Obstacle.TRIAL, runner.on_trial(now)),
    )
    return {obstacle for obstacle, holds in rows if holds}


def effective(found: set[Obstacle], runner: RunnerState, stage: Stage, now: float) -> set[Obstacle]:
    """Return the obstacles that keep a task of a stage from a runner now.

    An overdue stage overrides some of those that were ``found``.
    """
    if not found or not stage.overdue:
        return found
    left = found - OVERRIDDEN_WHEN_OVERDUE
    if stage.spec.daemon and runner.accepts_lasting_tasks_only(now):
        left -= {Obstacle.SUSPENDED}
    return left
