"""Jobs with pending tasks in the order in which they are served."""

from __future__ import annotations

import bisect
import heapq
from collections.abc import Iterator
from typing import NamedTuple

from ragworttiller.process.cell_rows import JobRow
from ragworttiller.resources import Resources

ASSUMED_START_DELAY_SECONDS = 3600.0


class OrderKey(NamedTuple):
    """Sort key of a job in the queue: by urgency, then latest start, then age."""

    urgency: int
    latest_start: float
    offset: int
    job: str


class JobClass(NamedTuple):
    """Properties that decide whether a job's tasks find room, equal for all jobs of a class."""

    workspace: str
    template: str
    version: int
    kind: str
    need: Resources
    run_time: float


def order_key(row: JobRow) -> OrderKey:
    """Return the sort key of a job.

    A job without a deadline is ordered as if it had to start `ASSUMED_START_DELAY_SECONDS` after
    its submission.
    """
    job = row.submitted
    if job.deadline is None:
        latest = job.at + ASSUMED_START_DELAY_SECONDS
    else:
        latest = job.deadline - (job.run_time or 0.0)
    return OrderKey(-job.urgency, latest, row.offset, job.job)


def class_of(row: JobRow) -> JobClass:
    """Return the class of a job."""
    job = row.submitted
    return JobClass(
        job.workspace, job.template, job.version, job.kind, job.need, job.run_time or -1.0
    )


class JobQueue:
    """Jobs with pending tasks, sorted within their classes."""

    def __init__(self) -> None:
        self._classes: dict[JobClass, list[OrderKey]] = {}
        self._places: dict[str, tuple[JobClass, OrderKey]] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, job: str) -> bool:
        return job in self._places

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._places))

    def add(self, row: JobRow) -> None:
        """Add a job if it is not in the queue."""
        job = row.submitted.job
        if job not in self._places:
            group, key = class_of(row), order_key(row)
            self._places[job] = (group, key)
            bisect.insort(self._classes.setdefault(group, []), key)

    def discard(self, job: str) -> None:
        """Remove a job if it is in the queue."""
        place = self._places.pop(job, None)
        if place is None:
            return
        group, key = place
        order = self._classes[group]
        del order[bisect.bisect_left(order, key)]
        if not order:
            del self._classes[group]

    def walk(self) -> QueueWalk:
        """Return an iterator over all jobs in order."""
        return QueueWalk({group: list(order) for group, order in self._classes.items()})


class QueueWalk:
    """Iterator over the jobs of several classes in order, which can skip the rest of a class.

    Parameters
    ----------
    classes : dict of JobClass to list of OrderKey
        Jobs of each class in order.
    """

    def __init__(self, classes: dict[JobClass, list[OrderKey]]) -> None:
        self._classes = classes
        self._positions = dict.fromkeys(classes, 0)
        self._heap = [(order[0], group) for group, order in classes.items()]
        self._current: JobClass | None = None
        heapq.heapify(self._heap)

    def __iter__(self) -> Iterator[str]:
        while self._heap:
            key, group = heapq.heappop(self._heap)
            self._current = group
            yield key.job
            self._positions[group] += 1
            if self._current is group and self._positions[group] < len(self._classes[group]):
                heapq.heappush(self._heap, (self._classes[group][self._positions[group]], group))

    def skip_class(self, jobs: int) -> list[str]:
        """Skip the rest of the current job's class; return its next jobs, the current one included.

        Parameters
        ----------
        jobs : int
            Maximum number of jobs to return.
        """
        group = self._current
        assert group is not None
        self._current = None
        position = self._positions[group]
        return [key.job for key in self._classes[group][position : position + jobs]]

    def detach_class(self) -> dict[JobClass, list[OrderKey]]:
        """Skip the rest of the current job's class; return that rest, the current job included."""
        group = self._current
        assert group is not None
        self._current = None
        return {group: self._classes[group][self._positions[group] :]}
