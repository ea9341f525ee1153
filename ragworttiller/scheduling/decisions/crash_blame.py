"""Decides which tasks a lost runner may have crashed of.

Load pattern: a task that crashes its runner, often within milliseconds, on runners that each start
several tasks a second and run a dozen. So the tasks that started last are suspected at once, and
the others only if another runner is lost under them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ragworttiller.scheduling.decisions.crash_rules import PROMPT_CRASH_SECONDS
from ragworttiller.scheduling.records.formats import Blame, Crash
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState

# Orders of one planning pass reach a runner within this time.
SAME_START_SECONDS = 0.05
# A runner that crashes later after the start of a task is not attributed to it.
MAX_CRASH_SECONDS = 10.0


def blame_runs(
    runner: RunnerState, alone: bool, proved: bool, now: float
) -> list[tuple[Run, Crash]]:
    """Return the runs that a lost runner may have crashed of, each with what speaks for it.

    A draining runner leaves as planned. One that has crashed lately may crash of itself, several at
    once or within a short time have another cause: in a trial, only a crash right after the start
    speaks for itself then.
    One whose leases may have expired before its end may have crashed after the runs: then only a
    run that was tried, or that had the runner for itself, is told from those beside it.

    Parameters
    ----------
    runner : RunnerState
        Lost runner, with its runs.
    alone : bool
        Whether no other runner without a trial was lost at the same moment, and none lately that
        the tried tasks do not explain.
    proved : bool
        Whether it had ended before its leases had expired, provided that it has ended at all.
    now : float
        Time in seconds.
    """
    runs = list(runner.runs.values())
    if not runs or runner.entry.draining:
        return []
    silent_since = _silent_since(runner, now)
    together = started_last(runs)
    if _is_one_trial(together):
        # Nothing has started beside it: that explains the crash.
        prompt = silent_since - together[0].started_at <= PROMPT_CRASH_SECONDS
        sound = alone and silent_since >= runner.unsound_until
        if proved:
            blame = Blame.TRIAL if prompt or sound else Blame.LATEST
        else:
            blame = Blame.TRIAL if prompt else Blame.BESIDE
        return _with_crashes(runner, together, silent_since, blame, alone=True)
    if not proved:
        alone = len(together) == len(runs) == 1
        return _with_crashes(runner, runs, silent_since, Blame.BESIDE, alone)
    beside = [run for run in runs if run not in together]
    rows = _with_crashes(runner, together, silent_since, Blame.LATEST)
    return rows + _with_crashes(runner, beside, silent_since, Blame.BESIDE)


def _is_one_trial(runs: Sequence[Run]) -> bool:
    """Return whether some runs are the trial of one task, or of one gang."""
    if not runs or not all(run.trial for run in runs):
        return False
    return len(runs) == 1 or (runs[0].spec.gang and len({run.task.stage for run in runs}) == 1)


def started_last(runs: Sequence[Run]) -> list[Run]:
    """Return the runs that started last, together, none of which was adopted.

    An adopted run has outlived its start, whenever that was.
    """
    latest = max((run.started_at for run in runs if not run.adopted), default=float("inf"))
    return [
        run for run in runs if run.started_at >= latest - SAME_START_SECONDS and not run.adopted
    ]


def has_just_started(runner: RunnerState, now: float) -> bool:
    """Return whether a task that started now could not be told from another one on a runner.

    A start without an answer counts too: its task may start at any moment.
    """
    return any(
        run.state is RunState.STARTING or run.started_at >= now - SAME_START_SECONDS
        for run in runner.runs.values()
        if not run.adopted
    )


class LatestTasks(NamedTuple):
    """Tasks on a runner, those that started last first.

    ``together`` is how many of them started last, together. ``seconds`` has for how long each had
    run when the runner fell silent, or until now.
    """

    names: list[str]
    together: int
    seconds: list[float]


def latest_tasks(runner: RunnerState, now: float) -> LatestTasks:
    """Return the tasks on a runner, those that started last first."""
    runs = sorted(runner.runs.values(), key=lambda run: (run.adopted, -run.started_at, run.task))
    # Of two runs of a task the one that started first comes last, and is kept.
    by_name = {str(run.task): run for run in runs}
    silent_since = _silent_since(runner, now)
    seconds = [_seconds_run(run, silent_since) for run in by_name.values()]
    together = {run.task for run in started_last(runs)}
    return LatestTasks(list(by_name), max(len(together), 1), seconds)


def _silent_since(runner: RunnerState, now: float) -> float:
    """Return when a runner fell silent, ``now`` if it has not."""
    return now if runner.silent_since is None else runner.silent_since


def _seconds_run(run: Run, silent_since: float) -> float:
    """Return for how many seconds a run had run when its runner fell silent."""
    return round(max(silent_since - run.started_at, 0.0), 3)


def _with_crashes(
    runner: RunnerState,
    runs: Sequence[Run],
    silent_since: float,
    blame: Blame,
    alone: bool = False,
) -> list[tuple[Run, Crash]]:
    rows = []
    for run in runs:
        seconds = _seconds_run(run, silent_since)
        if seconds <= MAX_CRASH_SECONDS:
            crash = Crash(runner.id, seconds, str(blame), alone, runner.entry.address)
            rows.append((run, crash))
    return rows
