"""Takes starts back whose decision failed midway, so that their tasks wait again."""

from __future__ import annotations

from collections.abc import Mapping

from ragworttiller.scheduling.state.orders import Plan
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage


def undo_start(stage: Stage, index: int, runner: RunnerState, now: float) -> None:
    """Take back the start of a task that is in no plan, and what it reserves.

    Parameters
    ----------
    stage : Stage
        Stage of the task.
    index : int
        Index of the task.
    runner : RunnerState
        Runner on which it was to start.
    now : float
        Time in seconds.
    """
    run = stage.active_runs.get(index)
    if run is not None:
        # The task must wait again even if its room cannot be freed.
        stage.requeue(run, now, ran=False)
        runner.remove(run)
    elif index not in stage.waiting:
        stage.waiting.append(index)


def undo_gang_starts(
    plan: Plan, planned: int, stage: Stage, runners: Mapping[str, RunnerState], now: float
) -> None:
    """Take back the starts of a gang of which one has failed: it starts whole or not at all.

    Parameters
    ----------
    plan : Plan
        Plan that is not carried out yet.
    planned : int
        Number of its starts before those of the gang.
    stage : Stage
        Stage of the gang.
    runners : mapping of str to RunnerState
        Runners by identifier.
    now : float
        Time in seconds.
    """
    runs = [order.run for order in plan.starts[planned:]]
    del plan.starts[planned:]
    for run in runs:
        stage.requeue(run, now, ran=False)
    for run in runs:
        runners[run.runner].remove(run)
