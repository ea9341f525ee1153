"""Sizes and run times of templates, learnt from what workers report."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from ragworttiller.process.cell_rows import JobRow
from ragworttiller.resources import NOTHING, Resources

HEADROOM = 1.1
LOWERED_SHARE = 0.1
MIN_SHARE = 0.2
MIN_SAMPLES = 5
KEPT_SAMPLES = 20
RUN_TIME_WEIGHT = 0.2
MAX_TEMPLATES = 2000


class Shares(NamedTuple):
    """Processors and memory in relation to what was declared."""

    cpu: float = 1.0
    memory: float = 1.0

    def maximum(self, other: Shares) -> Shares:
        """Return the larger share of each."""
        return Shares(max(self.cpu, other.cpu), max(self.memory, other.memory))


class _Learnt:
    """What is known of one template."""

    def __init__(self) -> None:
        self.booked = Shares()
        self.peaks: deque[Shares] = deque(maxlen=KEPT_SAMPLES)
        self.running: dict[tuple[str, int], Shares] = {}
        self.run_time_share: float | None = None


class Learner:
    """Learns what the tasks of each template use, in relation to their declaration.

    A share above what is booked raises the booking at once; lower shares lower it by a tenth of
    the difference for each task that has ended, never below the peaks of running and recent tasks.
    """

    def __init__(self) -> None:
        self._learnt: dict[tuple[str, str], _Learnt] = {}

    def need(self, row: JobRow, largest: Resources) -> Resources:
        """Return what to book for a task of a job.

        Parameters
        ----------
        row : JobRow
            The job.
        largest : Resources
            Most that an allowed worker holds of each resource.
        """
        declared = row.submitted.need
        learnt = self._learnt.get((row.submitted.workspace, row.submitted.template))
        if learnt is None or learnt.booked == Shares():
            return declared
        cpu = max(1, math.ceil(declared.cpu * learnt.booked.cpu))
        memory = max(1, math.ceil(declared.memory * learnt.booked.memory))
        return Resources(
            min(cpu, max(largest.cpu, declared.cpu)),
            min(memory, max(largest.memory, declared.memory)),
            declared.accelerators,
        )

    def run_time(self, row: JobRow) -> float | None:
        """Return the expected run time of a task in seconds, None for a service."""
        declared = row.submitted.run_time
        if declared is None:
            return None
        learnt = self._learnt.get((row.submitted.workspace, row.submitted.template))
        share = learnt.run_time_share if learnt else None
        return declared * (share if share is not None else 1.0)

    def record_usage(self, row: JobRow, task: str, attempt: int, usage: Resources) -> None:
        """Take note of what a running task uses; reports without any use are too early."""
        declared = row.submitted.need
        if usage == NOTHING or not declared.cpu or not declared.memory:
            return
        seen = Shares(usage.cpu / declared.cpu, usage.memory / declared.memory)
        learnt = self._of(row)
        peak = learnt.running.get((task, attempt), seen)
        learnt.running[task, attempt] = seen.maximum(peak)
        learnt.booked = learnt.booked.maximum(seen)

    def record_end(self, row: JobRow, task: str, attempt: int, ran: float, done: bool) -> None:
        """Take note that a task has ended after ``ran`` seconds."""
        learnt = self._of(row)
        peak = learnt.running.pop((task, attempt), None)
        if not done:
            return
        if row.submitted.run_time:
            share = ran / row.submitted.run_time
            known = learnt.run_time_share
            if known is None or share > known:
                learnt.run_time_share = share
            else:
                learnt.run_time_share = known + RUN_TIME_WEIGHT * (share - known)
        if peak is not None:
            learnt.peaks.append(peak)
            self._lower(learnt)

    def _lower(self, learnt: _Learnt) -> None:
        if len(learnt.peaks) < MIN_SAMPLES:
            return
        seen = [*learnt.peaks, *learnt.running.values()]
        cpu = max(MIN_SHARE, HEADROOM * max(peak.cpu for peak in seen))
        memory = max(MIN_SHARE, HEADROOM * max(peak.memory for peak in seen))
        booked = learnt.booked
        learnt.booked = Shares(
            booked.cpu - LOWERED_SHARE * max(0.0, booked.cpu - cpu),
            booked.memory - LOWERED_SHARE * max(0.0, booked.memory - memory),
        )

    def _of(self, row: JobRow) -> _Learnt:
        key = (row.submitted.workspace, row.submitted.template)
        if key not in self._learnt and len(self._learnt) >= MAX_TEMPLATES:
            del self._learnt[next(iter(self._learnt))]
        return self._learnt.setdefault(key, _Learnt())
