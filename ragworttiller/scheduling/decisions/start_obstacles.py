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


# The room on such a runner is none that could be used soon.
LEAVING = frozenset({Obstacle.LOST, Obstacle.UNLISTED, Obstacle.DRAINING})
# No task starts on such a runner, whatever its stage.
CLOSED = LEAVING | {
    Obstacle.SILENT,
    Obstacle.NOT_ENROLLED,
    Obstacle.SUSPENDED,
    Obstacle.TRIAL,
}
# These do not keep an overdue lasting task from a runner.
OVERRIDDEN_WHEN_OVERDUE = frozenset({Obstacle.PROBATION, Obstacle.RESERVED})


def obstacles(
    runner: RunnerState,
    stage: Stage,
    running: int,
    needs_ticket: bool,
    reserved: Resources,
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
    reserved : Resources
        Resources of the runner that are reserved for other stages.
    now : float
        Time in seconds.
    """
    silent = runner.misses > 0 or now - runner.last_answer_at >= MAX_ANSWER_AGE_SECONDS
    denied = needs_ticket and runner.id in stage.tickets.denied
    ticket = not needs_ticket or bool(stage.tickets.valid_ticket(runner.id, now))
    rows = {
        Obstacle.LOST: runner.lost or runner.ended_at is not None,
        Obstacle.UNLISTED: not runner.listed,
        Obstacle.DRAINING: runner.entry.draining,
        Obstacle.SILENT: silent,
        Obstacle.NOT_ENROLLED: not runner.enrolled,
        Obstacle.SUSPENDED: now < runner.suspended_until,
        Obstacle.TRIAL: runner.on_trial(now),
        Obstacle.LIMIT: at_limit(stage, running),
        Obstacle.PROBATION: awaits_probe(runner, running),
        Obstacle.DENIED: denied and not ticket,
        Obstacle.NO_TICKET: not denied and not ticket,
        Obstacle.RESERVED: not stage.spec.reservation.fits(runner.free.minus(reserved)),
    }
    return {obstacle for obstacle, holds in rows.items() if holds}


def effective(found: set[Obstacle], runner: RunnerState, stage: Stage, now: float) -> set[Obstacle]:
    """Return the obstacles that keep a task of a stage from a runner now.

    An overdue stage of lasting tasks overrides some of those that were ``found``.
    """
    if not stage.overdue:
        return found
    left = found - OVERRIDDEN_WHEN_OVERDUE
    if runner.accepts_lasting_tasks_only(now):
        left -= {Obstacle.SUSPENDED}
    return left
