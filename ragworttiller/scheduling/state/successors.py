"""Room reserved for the next runs of tasks whose present run is being stopped."""

from __future__ import annotations

from collections.abc import Iterator, Set
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.runs import Stage


class Successor(NamedTuple):
    """Reservation of ``size`` on a runner for a task, until a time in seconds."""

    task: TaskId
    runner: str
    size: Resources
    until: float


class Successors:
    """Reservations for the successors of runs that are being stopped, one a task.

    A reserved place counts as a run of its stage on the runner, so that no other task of the stage
    takes the place if the step limits them.
    """

    def __init__(self) -> None:
        self._rows: dict[TaskId, tuple[Stage, Successor]] = {}

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._rows)

    def __iter__(self) -> Iterator[Successor]:
        """Iterate over the reservations; they may be released meanwhile."""
        return iter([row for _, row in self._rows.values()])

    def __contains__(self, task: TaskId) -> bool:
        """Return whether room is reserved for the next run of a task."""
        return task in self._rows

    def reserve(self, stage: Stage, index: int, runner: str, until: float) -> None:
        """Reserve room on a runner for a task, by index, until a time in seconds."""
        task = TaskId(stage.id, index)
        self._rows[task] = stage, Successor(task, runner, stage.spec.reservation, until)
        stage.successors[index] = runner

    def release(self, task: TaskId) -> None:
        """End the reservation of a task, if there is one."""
        stage, _ = self._rows.pop(task, (None, None))
        if stage is not None:
            stage.successors.pop(task.ordinal, None)

    def expire(self, now: float) -> None:
        """End the reservations whose time has passed."""
        for row in self:
            if row.until <= now:
                self.release(row.task)

    def keep(self, runners: Set[str]) -> None:
        """End the reservations on all but some runners."""
        for row in self:
            if row.runner not in runners:
                self.release(row.task)

    def by_runner(self) -> dict[str, Resources]:
        """Return what is reserved on each runner."""
        total: dict[str, Resources] = {}
        for row in self:
            total[row.runner] = total.get(row.runner, NO_RESOURCES).plus(row.size)
        return total
