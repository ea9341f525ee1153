"""Jobs, their steps, and the identifiers of stages and tasks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ragworttiller.resources import Resources


class StageId(NamedTuple):
    """Identifier of a stage, which is one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


class TaskId(NamedTuple):
    """Identifier of one task of a stage."""

    stage: StageId
    ordinal: int

    def __str__(self) -> str:
        return f"{self.stage}.{self.ordinal}"


class StepSpec(NamedTuple):
    """Step of a job; times are in seconds.

    ``per_runner`` limits the tasks of a stage on one runner, 0 for no limit. ``target`` is the tail
    latency bound of a serving task, 0 for none. A step that ``fills`` uses spare processor time: it
    is not counted against a runner's capacity.
    """

    tasks: int
    size: Resources
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_runner: int = 0
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    target: float = 0.0
    fills: bool = False
    disruption_budget: int = 0

    @property
    def reservation(self) -> Resources:
        """Resources that one task reserves on a runner."""
        return self.size._replace(cpu=0) if self.fills else self.size


class Occurrences(NamedTuple):
    """Times at which a job runs, in seconds since the epoch."""

    times: int
    first: float
    interval: float

    def due(self, occurrence: int) -> float:
        """Return the time at which an occurrence, counted from 0, is due."""
        return self.first + occurrence * self.interval


class JobSpec(NamedTuple):
    """Job as submitted; without ``occurrences`` it runs once, immediately."""

    spec: str
    steps: tuple[StepSpec, ...]
    occurrences: Occurrences | None = None

    @property
    def times(self) -> int:
        """Number of occurrences."""
        return self.occurrences.times if self.occurrences else 1

    def critical_path_seconds(self, widths: Sequence[int] | None = None) -> float:
        """Return the estimated duration of the longest chain of dependent steps, in seconds.

        Parameters
        ----------
        widths : sequence of int, optional
            Number of tasks of each step that may run at once; by default all may.
        """
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            rounds = 1 if widths is None else waves(step.tasks, widths[number])
            start = max((ends[i] for i in step.after), default=0.0)
            ends.append(start + rounds * step.estimate)
        return max(ends)


def waves(tasks: int, width: int) -> int:
    """Return in how many rounds of ``width`` tasks a step runs, at least 1."""
    return max(-(-tasks // width), 1)
