"""Bound on what each workspace runs on runners that have not answered a new owner yet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.records.formats import decode_bitmap, stage_id
from ragworttiller.scheduling.records.job_fold import JobFold, JobRow
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.takeover import Takeover

# More than any cell has; the capacity of a runner that is not listed is unknown.
UNKNOWN_CAPACITY = Resources(1 << 50, 1 << 50, 1 << 50)


class _Unseen(NamedTuple):
    """Unfinished task that may run unseen."""

    workspace: str
    spec: StepSpec


class UnseenRuns:
    """Tasks of an earlier owner that may run on unsettled runners, by workspace.

    On a withdrawn runner, only the tasks that the last claim names may run. On the others, any
    unfinished task of a job accepted before the takeover may, but together no more than these
    runners have room for. That room does not bound filling tasks, whose processor time no runner
    reserves.

    Parameters
    ----------
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    jobs : JobFold
        Jobs recorded in the store.
    listed : RunnerFold
        Runners listed by the platform, for their capacities.
    """

    def __init__(self, takeover: Takeover, jobs: JobFold, listed: RunnerFold) -> None:
        self._takeover = takeover
        self._jobs = jobs
        self._listed = listed
        self._tasks: dict[str, _Unseen] = {}
        self._included: set[str] = set()
        self._bounded: dict[str, Resources] = {}
        self._filling: dict[str, Resources] = {}
        self._counts: dict[str, int] = {}
        self._totals: dict[str, Resources] = {}
        self._computed_for: tuple[int, int] | None = None

    @property
    def possible(self) -> bool:
        """Whether some runner is unsettled."""
        return bool(self._takeover.unresolved)

    def include(self, jobs: Iterable[str]) -> None:
        """Count the unfinished tasks of jobs that the earlier owner may have started.

        Those of cancelled and failed jobs count too, since their stops may not be carried out yet.
        """
        if not self.possible:
            return
        for job in jobs:
            row = self._jobs.get(job)
            if row is None or job in self._included or not self._takeover.is_inherited(row):
                continue
            self._included.add(job)
            for task, spec in _unfinished(job, row):
                assert row.accepted is not None
                self._count(str(task), _Unseen(row.accepted.workspace, spec), 1)

    def mark_seen(self, run: Run) -> None:
        """Record that a run is known, so that its task does not run unseen as well.

        A speculative task may have another run.
        """
        if not self._tasks or run.spec.speculative:
            return
        row = self._tasks.get(str(run.task))
        if row is not None:
            self._count(str(run.task), row, -1)

    def total(self, workspace: str) -> Resources:
        """Return the most that a workspace may run unseen."""
        if not self._tasks or not self.possible:
            return NO_RESOURCES
        state = (len(self._takeover.unresolved), self._listed.version)
        if state != self._computed_for:
            self._computed_for = state
            self._totals = {}
        if workspace not in self._totals:
            self._totals[workspace] = self._compute(workspace)
        return self._totals[workspace]

    def may_run(self, workspace: str) -> bool:
        """Return whether a task of a workspace may run unseen."""
        if not self.possible or not self._counts.get(workspace):
            return False
        if self._has_open_runners():
            return True
        return any(row.workspace == workspace for row in self._named())

    def _count(self, name: str, row: _Unseen, change: int) -> None:
        totals = self._filling if row.spec.fills else self._bounded
        total = totals.get(row.workspace, NO_RESOURCES)
        if change > 0:
            self._tasks[name] = row
            totals[row.workspace] = total.plus(row.spec.size)
        else:
            del self._tasks[name]
            totals[row.workspace] = total.minus(row.spec.size)
        self._counts[row.workspace] = self._counts.get(row.workspace, 0) + change
        self._totals.pop(row.workspace, None)

    def _compute(self, workspace: str) -> Resources:
        named = NO_RESOURCES
        for row in self._named():
            if row.workspace == workspace:
                named = named.plus(row.spec.size)
        room = self._open_capacity()
        if room == NO_RESOURCES:
            return named
        bounded = self._bounded.get(workspace, NO_RESOURCES)
        filling = self._filling.get(workspace, NO_RESOURCES)
        everything = bounded.plus(filling)
        return _minimum(everything, named.plus(filling).plus(_minimum(bounded, room)))

    def _named(self) -> list[_Unseen]:
        """Return the unseen tasks that may run on withdrawn runners."""
        names = {name for row in self._takeover.withdrawn for name in row.tasks}
        return [self._tasks[name] for name in names if name in self._tasks]

    def _has_open_runners(self) -> bool:
        return len(self._takeover.unresolved) > len(self._takeover.withdrawn)

    def _open_capacity(self) -> Resources:
        """Return the capacity of the unsettled runners on which any task may run."""
        named = {row.runner for row in self._takeover.withdrawn}
        room = NO_RESOURCES
        for name in self._takeover.unresolved:
            if name not in named:
                entry = self._listed.entries.get(name)
                room = room.plus(entry.capacity if entry is not None else UNKNOWN_CAPACITY)
        return room


def _unfinished(job: str, row: JobRow) -> Iterable[tuple[TaskId, StepSpec]]:
    """Yield the tasks of a job whose end is not recorded, and their steps."""
    if row.accepted is None:
        return
    done = {stage_id(job, p): decode_bitmap(p.done) for p in row.progress.stages}
    for occurrence in range(row.accepted.job.times):
        for step, spec in enumerate(row.accepted.job.steps):
            stage = StageId(job, occurrence, step)
            ended = done.get(stage, set())
            for index in range(spec.tasks):
                if index not in ended:
                    yield TaskId(stage, index), spec


def _minimum(one: Resources, other: Resources) -> Resources:
    return Resources(*map(min, one, other))
