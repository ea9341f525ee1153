"""Rules of a step that a runner has to meet, regardless of its free resources."""

from __future__ import annotations

from collections.abc import Iterable

from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage


def suits(runner: RunnerState, upstream: str, spec: StepSpec) -> bool:
    """Return whether a runner meets the rules of a step, regardless of its free resources."""
    return bool(suitable([runner], upstream, spec))


def suitable(
    runners: Iterable[RunnerState], upstream: str, spec: StepSpec, overdue: bool = False
) -> list[RunnerState]:
    """Return the runners that meet the rules of a step, regardless of their free resources.

    Filling tasks of an ``overdue`` stage may join serving ones.
    """
    label = spec.label
    cpu, memory, accelerators = spec.reservation
    # Compared here rather than by `Resources.fits`, since a pass makes this test most often.
    rows = [
        runner
        for runner in runners
        if runner.entry.upstream == upstream
        and (not label or label in runner.entry.labels)
        and (room := runner.entry.capacity).cpu >= cpu
        and room.memory >= memory
        and room.accelerators >= accelerators
    ]
    if not spec.fills:
        return rows
    return [runner for runner in rows if not runner.keeps_filling_away(spec.image, overdue)]


def accepts_another(runner: RunnerState, stage: Stage, running: int) -> bool:
    """Return whether a runner may take one more task of a stage, regardless of its free resources.

    Parameters
    ----------
    runner : RunnerState
        Runner that suits the stage.
    stage : Stage
        Stage of the task.
    running : int
        Number of the stage's tasks that run there.
    """
    # A pass makes this test for each runner, and most stages have no limit.
    if stage.spec.per_runner and at_limit(stage, running):
        return False
    if not runner.on_probation or stage.overdue or stage.joins_probes:
        return True
    return not awaits_probe(runner, running)


def awaits_probe(runner: RunnerState, running: int) -> bool:
    """Return whether a runner takes no more tasks of a stage until the one on probe was done.

    ``running`` is the number of the stage's tasks that run there.
    """
    return runner.on_probation and (runner.probe_running or bool(running))


def at_limit(stage: Stage, running: int) -> bool:
    """Return whether a runner with ``running`` tasks of a stage may run no more of them."""
    limit = stage.spec.per_runner
    return bool(limit) and running >= limit
