"""Choice of the runs to move off draining runners."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.task_placement import accepts_another, suits
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState

EVACUATE_BEFORE_LEAVING_SECONDS = 1.0


def runs_to_evacuate(
    draining: Iterable[RunnerState],
    usable: Sequence[RunnerState],
    jobs: Mapping[str, JobWork],
    now: float,
) -> list[Run]:
    """Return the runs to move off draining runners because another runner can take their task.

    Lasting tasks move at once, others just before their runner leaves if they have checkpoints.
    A run stays while no other runner can take its task: it is at work there until the end.

    Parameters
    ----------
    draining : iterable of RunnerState
        Runners that are about to leave.
    usable : sequence of RunnerState
        Runners on which tasks may start.
    jobs : mapping of str to JobWork
        Active jobs, by identifier.
    now : float
        Time in seconds.
    """
    free = {runner.id: runner.free for runner in usable}
    moved: list[Run] = []
    for runner in draining:
        for run in runner.runs.values():
            work = jobs.get(run.task.stage.job)
            if work is None or not _is_due(run, runner, now):
                continue
            target = _find_target(run, work, usable, free)
            if target is not None:
                free[target] = free[target].minus(run.reservation)
                moved.append(run)
    return moved


def _is_due(run: Run, runner: RunnerState, now: float) -> bool:
    if run.state is not RunState.RUNNING:
        return False
    if run.spec.daemon:
        return True
    return run.spec.checkpoints and now > runner.leaves_at - EVACUATE_BEFORE_LEAVING_SECONDS


def _find_target(
    run: Run, work: JobWork, usable: Sequence[RunnerState], free: Mapping[str, Resources]
) -> str | None:
    """Return a runner that can take the task of a run, as far as is known."""
    stage = work.stages.get(run.task.stage)
    if stage is None:
        return None
    denied, running = work.denied_runners(stage), stage.runs_by_runner()
    for other in usable:
        if (
            other.id not in denied
            and suits(other, work.queue.upstream, run.spec)
            and accepts_another(other, stage, running[other.id])
            and run.reservation.fits(free[other.id])
        ):
            return other.id
    return None
