"""Decides when later stages wait, so that room becomes free for a gang."""

from __future__ import annotations

from collections.abc import Iterator

from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_rules import suits
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

GANG_RESERVE_DELAY_SECONDS = 2.0
GANG_RESERVE_SECONDS = 4.0


def reserves_for_gang(work: JobWork, stage: Stage, free: FreeResources, now: float) -> bool:
    """Return whether later stages must not start, to free room for a gang that waits long.

    Lasting tasks start all the same, since each has to run whenever there is room for it.

    Parameters
    ----------
    work, stage : JobWork, Stage
        The stage, which may be a gang, and its job.
    free : FreeResources
        Runners on which tasks may start.
    now : float
        Time in seconds.
    """
    if not stage.spec.gang or stage.active_runs or stage.blocked_since is None:
        return False
    waited = now - stage.blocked_since
    if not 0 < waited - GANG_RESERVE_DELAY_SECONDS < GANG_RESERVE_SECONDS:
        return False
    return _fits_whole(work, stage, free)


def possible_runners(work: JobWork, stage: Stage, free: FreeResources) -> Iterator[RunnerState]:
    """Yield the runners that suit a stage and that the advisor has not denied."""
    denied = work.denied_runners(stage)
    for runner in free.of_upstream(work.queue.upstream):
        if runner.id not in denied and suits(runner, work.queue.upstream, stage.spec):
            yield runner


def _fits_whole(work: JobWork, stage: Stage, free: FreeResources) -> bool:
    """Return whether all tasks of a stage fit at once while only lasting tasks run."""
    spec = stage.spec
    places = sum(
        spec.reservation.copies_in(runner.free_of_lasting_tasks, spec.per_runner or spec.tasks)
        for runner in possible_runners(work, stage, free)
    )
    return places >= spec.tasks
