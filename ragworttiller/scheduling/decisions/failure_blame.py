"""Decides whether a run that failed or stands still speaks against its runner or its stage.

Load pattern: some runners fail all that they start, and some jobs fail wherever they run. Both look
the same on one runner. A stage that fails on one runner after the other, and of which nothing was
done, is the cause itself; otherwise a single such job would close all runners of a quiet cell. A
task of it that works on elsewhere, for longer than it took the others to fail, shows that it is
not.
"""

from __future__ import annotations

from ragworttiller.scheduling.state.runs import Run, RunState, Stage

# Runners on which a stage has failed, while none of its tasks was done, before it is the cause.
RUNNERS_TO_BLAME_STAGE = 2
# How much longer than failed runs another one has to work to outlive them.
OUTLIVING_FACTOR = 1.5
MIN_OUTLIVING_SECONDS = 0.5
MIN_STALL_SECONDS = 1.5
STALL_ESTIMATE_SHARE = 0.05
# Progress is reported in whole percents: how much longer than before the next one may take.
STALL_PACE_FACTOR = 3.0
# A task that stood still on one runner may be slow itself, and gets as much longer on the next.
STALL_GROWTH = 2.0
MAX_STALLS_COUNTED = 8


def speaks_against_runner(stage: Stage, runner: str, now: float) -> bool:
    """Return whether a run of a stage that has failed on a runner speaks against the runner.

    Parameters
    ----------
    stage : Stage
        Stage of the run.
    runner : str
        Identifier of the runner.
    now : float
        Time in seconds.
    """
    failures = stage.failures
    if len(failures.runners(now) - {runner}) < RUNNERS_TO_BLAME_STAGE:
        return True
    return failures.succeeded(now) or _outlived(stage, now)


def _outlived(stage: Stage, now: float) -> bool:
    """Return whether a run of a stage works on for longer than it took others to fail."""
    needed = OUTLIVING_FACTOR * stage.failures.longest_seconds(now)
    needed = max(needed, MIN_OUTLIVING_SECONDS)
    return any(run.worked_seconds(now) >= needed for run in stage.active_runs.values())


def stands_still(stage: Stage, run: Run, now: float) -> bool:
    """Return whether a run makes no progress, as far as its runner reports any.

    Lasting and filling tasks need not make progress, and members of a gang wait for each other.
    """
    spec = stage.spec
    if run.state is not RunState.RUNNING or spec.daemon or spec.fills or spec.gang:
        return False
    return now - run.progressed_at > _stall_seconds(stage, run)


def _stall_seconds(stage: Stage, run: Run) -> float:
    """Return after how many seconds without progress a run stands still."""
    seconds = max(
        MIN_STALL_SECONDS,
        STALL_ESTIMATE_SHARE * stage.spec.estimate,
        STALL_PACE_FACTOR * run.seconds_per_percent,
    )
    stalls = stage.failures.stalls(run.task.ordinal)
    return seconds * STALL_GROWTH ** min(stalls, MAX_STALLS_COUNTED)
