"""Starts tasks on the runners that are reserved for them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.placer import Placer
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.successors import Successor, Successors
from ragworttiller.scheduling.state.takeover import Takeover


class SuccessorStart(NamedTuple):
    """Start of a task of a stage on the runner that was reserved for it."""

    work: JobWork
    stage: Stage
    ordinal: int
    runner: str


class SuccessorStarts:
    """Places the tasks of evacuated runs first in a pass, and keeps their room until then.

    A task whose reserved runner cannot take it any more waits like any other.

    Parameters
    ----------
    successors : Successors
        The reservations.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    placer : Placer
        Checks that a runner can take a task.
    caps : Caps
        Limits what each workspace starts.
    """

    def __init__(
        self, successors: Successors, takeover: Takeover, placer: Placer, caps: Caps
    ) -> None:
        self._successors = successors
        self._takeover = takeover
        self._placer = placer
        self._caps = caps

    def due(
        self, jobs: Mapping[str, JobWork], free: FreeResources, now: float
    ) -> Iterator[SuccessorStart]:
        """Yield the starts of tasks whose earlier run has ended, once all room is reserved.

        Parameters
        ----------
        jobs : mapping of str to JobWork
            Active jobs, by identifier.
        free : FreeResources
            What is free at the start of a pass, from which reserved room is subtracted.
        now : float
            Time in seconds.
        """
        rows = list(self._successors)
        for row in rows:
            if free.runner(row.runner) is not None:
                free.subtract(row.runner, row.size)
        for row in rows:
            work = jobs.get(row.task.stage.job)
            stage = work.stages.get(row.task.stage) if work is not None else None
            if work is None or stage is None:
                self._release(row, free)
            elif row.task.ordinal in stage.waiting:
                self._release(row, free)
                start = self._place(row, work, stage, free, now)
                if start is not None:
                    yield start

    def _release(self, row: Successor, free: FreeResources) -> None:
        self._successors.release(row.task)
        if free.runner(row.runner) is not None:
            free.subtract(row.runner, NO_RESOURCES.minus(row.size))

    def _place(
        self, row: Successor, work: JobWork, stage: Stage, free: FreeResources, now: float
    ) -> SuccessorStart | None:
        """Return the start of a task on its reserved runner, None if it cannot take it any more."""
        runner, index = free.runner(row.runner), row.task.ordinal
        if runner is None or not self._may_start(work, stage, index, runner, now):
            return None
        chosen = self._placer.place(stage, [runner], free, [index], {})
        return SuccessorStart(work, stage, index, runner.id) if chosen else None

    def _may_start(
        self, work: JobWork, stage: Stage, index: int, runner: RunnerState, now: float
    ) -> bool:
        """Return whether nothing but the rules of the runner may stand against a start."""
        if not work.open or stage.spec.gang or self._takeover.blocks(work.row, stage):
            return False
        if index in stage.trials or stage.is_suspect(index) or stage.awaits_proof(index, now):
            return False
        if work.queue.advice is not None and not stage.tickets.valid_ticket(runner.id, now):
            return False
        if index not in self._takeover.startable(work.row, stage):
            return False
        return self._caps.allowed(stage) > 0
