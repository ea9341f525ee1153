"""Stages of one active job, which are built only once their occurrence is the next one due."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, ValuesView

from typing_extensions import override

from ragworttiller.scheduling.state.jobs import JobSpec, StageId, StepSpec
from ragworttiller.scheduling.state.runs import Stage


class JobStages(Mapping[StageId, Stage]):
    """Stages of a job by their identifier.

    A job may run 10,000 times, over years, so its later occurrences take no memory until they are
    due. Iteration yields the stages of the occurrences that are built: those that were due when
    `build_due` was last called, the one after them, and those that were looked up. A stage that is
    looked up is built with its occurrence: a run of it may be found on a runner before its time by
    the clock of this owner. No task of another stage has ever started.

    Parameters
    ----------
    job : str
        Identifier of the job.
    spec : JobSpec
        The job.
    make : Callable
        Returns the stage with an identifier, of a step.

    Attributes
    ----------
    built : dict of int to list of Stage
        Stages of the occurrences that are built, by step.
    reached_all : bool
        Whether `build_due` has built all occurrences, and need not be called any more.
    """

    def __init__(self, job: str, spec: JobSpec, make: Callable[[StageId, StepSpec], Stage]) -> None:
        self._job = job
        self._spec = spec
        self._make = make
        self._stages: dict[StageId, Stage] = {}
        self.built: dict[int, list[Stage]] = {}
        self.reached_all = False
        # Number of occurrences that are built, in the order in which they are due.
        self._reached = 0
        self._closed = False

    @property
    def all_built(self) -> bool:
        """Whether every occurrence is built."""
        return len(self.built) == self._spec.times

    @property
    def unbuilt_tasks(self) -> int:
        """Number of waiting tasks of the occurrences that are not built."""
        if self._closed:
            return 0
        unbuilt = self._spec.times - len(self.built)
        return unbuilt * sum(step.tasks for step in self._spec.steps)

    def build_due(self, wall: float) -> None:
        """Build the occurrences that are due at a time in seconds since the epoch, and the next."""
        times = self._spec.times
        while self._reached < times and self._next_follows(wall):
            self.of(self._in_due_order(self._reached))
            self._reached += 1
        self.reached_all = self._reached == times

    def of(self, occurrence: int) -> list[Stage]:
        """Return the stages of an occurrence, by step."""
        if occurrence not in self.built:
            self._build(occurrence)
        return self.built[occurrence]

    def close(self) -> None:
        """Let no task wait any more, also of the occurrences that are not built."""
        self._closed = True
        for stage in self._stages.values():
            stage.waiting.clear()

    def _next_follows(self, wall: float) -> bool:
        """Return whether all occurrences are due that are due before the next one."""
        if self._reached == 0 or self._spec.occurrences is None:
            return True
        last = self._in_due_order(self._reached - 1)
        return self._spec.occurrences.due(last) <= wall

    def _in_due_order(self, number: int) -> int:
        """Return the occurrence that is due after ``number`` others.

        The first is due last if the interval is negative.
        """
        occurrences = self._spec.occurrences
        if occurrences is None or occurrences.interval >= 0:
            return number
        return occurrences.times - 1 - number

    def _build(self, occurrence: int) -> None:
        names = [StageId(self._job, occurrence, step) for step in range(len(self._spec.steps))]
        rows = [self._make(name, self._spec.steps[name.step]) for name in names]
        if self._closed:
            for stage in rows:
                stage.waiting.clear()
        self.built[occurrence] = rows
        self._stages.update(zip(names, rows, strict=True))

    def _names(self, stage: StageId) -> bool:
        """Return whether the job has a stage."""
        job, occurrence, step = stage
        in_range = 0 <= occurrence < self._spec.times and 0 <= step < len(self._spec.steps)
        return job == self._job and in_range

    @override
    def __getitem__(self, stage: StageId) -> Stage:
        if stage not in self._stages and self._names(stage):
            self._build(stage.occurrence)
        return self._stages[stage]

    @override
    def __iter__(self) -> Iterator[StageId]:
        return iter(self._stages)

    @override
    def __len__(self) -> int:
        return len(self._stages)

    @override
    def values(self) -> ValuesView[Stage]:
        return self._stages.values()
