"""Read-only views of a cell for operators: runners, jobs, stages, and why a stage waits."""

from __future__ import annotations

from typing import TypedDict

from ragworttiller.scheduling.state.interference import PairView
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.stage_waits import StageWait, StageWaits, WaitReason


class RunnerView(TypedDict):
    """A runner; ``free`` is its unreserved processor time in thousandths of a core.

    ``heard`` is the age of its last answer in seconds, -1 if it has not answered this owner.
    """

    runner: str
    upstream: str
    address: str
    state: str
    tasks: int
    free: int
    heard: float


class StageView(TypedDict):
    """A stage; ``wait`` is the reason why its waiting tasks do not start, empty if none waits.

    ``details`` tells more of this wait, None if none waits.
    """

    stage: str
    waiting: int
    live: int
    done: int
    failed: int
    wait: str
    details: StageWait | None


class JobView(TypedDict):
    """An active job; ``age`` and the ``slack`` of its first unfinished stage are in seconds.

    ``wait`` is the reason of its first stage that waits for something other than its predecessors,
    empty if there is none.
    """

    job: str
    queue: str
    priority: int
    age: float
    slack: float
    waiting: int
    live: int
    done: int
    wait: str


class CellView:
    """Read-only views of a cell.

    Parameters
    ----------
    cell : Cell
        Cell of the owner.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def runners(self, now: float) -> list[RunnerView]:
        """Return the runners of the cell, by identifier."""
        return [
            RunnerView(
                runner=name,
                upstream=runner.entry.upstream,
                address=runner.entry.address,
                state=_state(runner, now),
                tasks=len(runner.runs),
                free=runner.free.cpu,
                heard=round(now - runner.last_answer_at, 3) if runner.has_answered else -1.0,
            )
            for name, runner in sorted(self._cell.runners.items())
        ]

    def interference(self, now: float) -> list[PairView]:
        """Return what is known of pairs of images, the largest slowdown first.

        There are none unless the policy learns them.
        """
        return self._cell.separation.pairs(now)

    def jobs(self, now: float, wall: float) -> list[JobView]:
        """Return the active jobs, oldest first."""
        jobs = sorted(self._cell.jobs.values(), key=lambda work: work.accepted_at)
        waits = StageWaits(self._cell, now, wall)
        return [self._job(work, waits, now, wall) for work in jobs]

    def stages(self, job: str, now: float, wall: float) -> list[StageView]:
        """Return the stages of a job, none if it is not active."""
        work = self._cell.jobs.get(job)
        waits = StageWaits(self._cell, now, wall)
        return [_stage(work, stage, waits) for stage in work.stages.values()] if work else []

    def long_waits(self, now: float, wall: float, min_seconds: float, most: int) -> list[StageWait]:
        """Return the stages that wait for at least ``min_seconds``, ``most`` of them at most.

        Stages of lasting tasks come first, since each has to run whenever there is room for it.
        """
        rows = [
            (not stage.spec.daemon, -stage.longest_wait(now), work, stage)
            for work in self._cell.jobs.values()
            if work.open
            for stage in work.ready(wall)
            if stage.longest_wait(now) >= min_seconds
        ]
        rows.sort(key=lambda row: row[:2])
        waits = StageWaits(self._cell, now, wall)
        return [waits.describe(work, stage) for _, _, work, stage in rows[:most]]

    def _job(self, work: JobWork, waits: StageWaits, now: float, wall: float) -> JobView:
        stages = work.stages.values()
        unfinished = [stage for stage in stages if not stage.complete] or list(stages)
        inputs = work.order_inputs(unfinished[0], now, wall)
        reasons = [waits.reason(work, stage) for stage in stages if stage.waiting]
        first = next((r for r in reasons if r is not WaitReason.PREDECESSORS), "")
        return JobView(
            job=work.id,
            queue=work.queue.key,
            priority=inputs.priority,
            age=round(now - work.accepted_at, 3),
            slack=round(inputs.since + inputs.objective - inputs.remaining - now, 3),
            waiting=sum(len(stage.waiting) for stage in stages) + work.stages.unbuilt_tasks,
            live=sum(len(stage.active_runs) + len(stage.copies) for stage in stages),
            done=sum(len(stage.done) for stage in stages),
            wait=str(first),
        )


def _stage(work: JobWork, stage: Stage, waits: StageWaits) -> StageView:
    details = waits.describe(work, stage) if stage.waiting else None
    return StageView(
        stage=str(stage.id),
        waiting=len(stage.waiting),
        live=len(stage.active_runs) + len(stage.copies),
        done=len(stage.done),
        failed=sum(len(runs) for runs in stage.failed_runs.values()),
        wait=details["why"] if details is not None else "",
        details=details,
    )


def _state(runner: RunnerState, now: float) -> str:
    if runner.accepts_tasks(now):
        return "open"
    if runner.lost:
        return "lost"
    if runner.entry.draining:
        return "draining"
    if runner.misses:
        return "unreached"
    if runner.on_trial(now):
        return "trial"
    return "resting" if runner.suspended(now) else "not_enrolled"
