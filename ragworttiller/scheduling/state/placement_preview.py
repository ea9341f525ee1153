"""Where the tasks of a job would start if it were submitted now, and what they would wait for."""

from __future__ import annotations

from collections import Counter
from itertools import accumulate
from typing import TypedDict

from ragworttiller.scheduling.records.formats import Accepted
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.stage_waits import Candidate, StageWait, StageWaits, WaitReason

MAX_RUNNERS = 20
# The owner does nothing else meanwhile, so that a job of many wide steps is shown in part.
MAX_STEPS = 10
ENOUGH_TASKS = 1000
# Reasons of a stage for which a runner is usable, so that tasks may start.
STARTING_REASONS = (WaitReason.PLANNED, WaitReason.GANG)


class RunnerPreview(TypedDict):
    """Runner with room for a task; ``obstacles`` stand against a start there.

    ``free`` is its unreserved processor time in thousandths of a core, ``time_ratio`` the duration
    of tasks there relative to the mean of all runners, and ``tasks`` how many would start there.
    """

    runner: str
    kind: str
    free: int
    time_ratio: float
    obstacles: list[str]
    tasks: int


class StepPreview(TypedDict):
    """Step that has no predecessors; ``starts`` of its ``tasks`` would start now.

    ``why`` is what the others wait for, empty if all would start, and ``wait`` tells more of it.
    ``runners`` are those with room, the chosen ones first, `MAX_RUNNERS` at most.
    """

    step: int
    tasks: int
    starts: int
    why: str
    wait: StageWait
    runners: list[RunnerPreview]


class JobPreview(TypedDict):
    """Job as its owner would first read it; ``objective`` and ``critical_path`` are in seconds.

    ``ahead`` counts the waiting tasks for the same upstream whose queue has at least its priority;
    they may take the room first. ``later_steps`` counts the steps that are not shown: those with
    predecessors, and those after `MAX_STEPS` steps or after `ENOUGH_TASKS` tasks.
    """

    queue: str
    upstream: str
    workspace: str
    priority: int
    objective: float
    critical_path: float
    ahead: int
    steps: list[StepPreview]
    later_steps: int


def preview_job(cell: Cell, accepted: Accepted, now: float, wall: float) -> JobPreview:
    """Return what would happen to a job; the cell is not changed.

    Parameters
    ----------
    cell : Cell
        Cell of the owner.
    accepted : Accepted
        Record that would be stored.
    now, wall : float
        Time of the owner, and time of day in seconds since the epoch.
    """
    work = cell.previews.job(accepted, now, wall)
    waits = StageWaits(cell, now, wall)
    first = work.stages.of(0)
    shown = _shown([stage for stage in first if not stage.spec.after])
    return JobPreview(
        queue=work.queue.key,
        upstream=work.queue.upstream,
        workspace=work.workspace,
        priority=work.queue.priority,
        objective=round(work.order_inputs(first[0], now, wall).objective, 3),
        critical_path=round(work.spec.critical_path_seconds(), 3),
        ahead=_tasks_ahead(cell, work, wall),
        steps=[_step(cell, work, stage, waits, now) for stage in shown],
        later_steps=len(work.spec.steps) - len(shown),
    )


def _shown(ready: list[Stage]) -> list[Stage]:
    """Return the first stages, until there are enough tasks."""
    tasks_before = accumulate((len(stage.waiting) for stage in ready), initial=0)
    rows = zip(ready[:MAX_STEPS], tasks_before, strict=False)
    return [stage for stage, before in rows if before < ENOUGH_TASKS]


def _tasks_ahead(cell: Cell, work: JobWork, wall: float) -> int:
    upstream, priority = work.queue.upstream, work.queue.priority
    return sum(
        len(stage.waiting)
        for other in cell.jobs.values()
        if other.open and other.queue.upstream == upstream and other.queue.priority >= priority
        for stage in other.ready(wall)
    )


def _step(cell: Cell, work: JobWork, stage: Stage, waits: StageWaits, now: float) -> StepPreview:
    candidates = waits.candidates(work, stage)
    why = waits.reason(work, stage)
    allowed = cell.caps.allowed(stage)
    tasks_by_runner: Counter[str] = Counter()
    if why in STARTING_REASONS:
        usable = [row.runner for row in candidates if not row.effective]
        tasks = sorted(stage.waiting)[:allowed]
        tasks_by_runner.update(cell.previews.place(stage, usable, tasks, now).values())
        why = _reason_of_rest(stage, tasks_by_runner.total(), allowed)
    candidates.sort(key=lambda row: (-tasks_by_runner[row.runner.id], len(row.found)))
    starts = tasks_by_runner.total()
    return StepPreview(
        step=stage.id.step,
        tasks=len(stage.waiting),
        starts=starts,
        why=str(why) if starts < len(stage.waiting) else "",
        wait=waits.describe(work, stage),
        runners=[
            _runner(cell, row, tasks_by_runner[row.runner.id], now)
            for row in candidates[:MAX_RUNNERS]
        ],
    )


def _reason_of_rest(stage: Stage, starts: int, allowed: int) -> WaitReason:
    """Return what the tasks wait for that do not start although a runner is usable."""
    if stage.spec.gang:
        return WaitReason.GANG
    return WaitReason.CAP if starts == allowed else WaitReason.NO_ROOM


def _runner(cell: Cell, row: Candidate, tasks: int, now: float) -> RunnerPreview:
    runner = row.runner
    return RunnerPreview(
        runner=runner.id,
        kind=runner.entry.kind,
        free=runner.free.cpu,
        time_ratio=round(cell.previews.time_ratio(runner.id, now), 3),
        obstacles=sorted(map(str, row.found)),
        tasks=tasks,
    )
