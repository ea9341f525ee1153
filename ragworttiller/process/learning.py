"""Estimates of the sizes and run times of templates from the reports of workers."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from ragworttiller.process.cell_rows import JobRow
from ragworttiller.resources import NO_RESOURCES, Resources

HEADROOM_FACTOR = 1.1
LOWERING_FACTOR = 0.1
MIN_BOOKED_SHARE = 0.2
MIN_SAMPLES = 5
KEPT_SAMPLES = 20
RUN_TIME_WEIGHT = 0.2
MAX_TEMPLATES = 2000


class Shares(NamedTuple):
    """Processors and memory as shares of what the job declares."""

    cpu: float = 1.0
    memory: float = 1.0

    def maximum(self, other: Shares) -> Shares:
        """Return the larger share of processors and of memory."""
        return Shares(max(self.cpu, other.cpu), max(self.memory, other.memory))


class _TemplateStats:
    """Booking, samples and run time of one template."""

    def __init__(self) -> None:
        self.booked = Shares()
        self.recent_peaks: deque[Shares] = deque(maxlen=KEPT_SAMPLES)
        self.running_peaks: dict[tuple[str, int], Shares] = {}
        self.run_time_share: float | None = None


class Learner:
    """Estimates what the tasks of each template use, as shares of what they declare.

    Use above the booking raises the booking at once. Lower use reduces it by a tenth of the
    difference for each task that is done, never below the peaks of running and recent tasks.
    """

    def __init__(self) -> None:
        self._templates: dict[tuple[str, str], _TemplateStats] = {}

    def need(self, row: JobRow, largest: Resources) -> Resources:
        """Return the resources to book for a task of a job.

        Parameters
        ----------
        row : JobRow
            The job.
        largest : Resources
            Largest capacity of a worker, by resource; it bounds raised bookings.
        """
        declared = row.submitted.need
        stats = self._templates.get((row.submitted.workspace, row.submitted.template))
        if stats is None or stats.booked == Shares():
            return declared
        cpu = max(1, math.ceil(declared.cpu * stats.booked.cpu))
        memory = max(1, math.ceil(declared.memory * stats.booked.memory))
        return Resources(
            min(cpu, max(largest.cpu, declared.cpu)),
            min(memory, max(largest.memory, declared.memory)),
            declared.accelerators,
        )

    def run_time(self, row: JobRow) -> float | None:
        """Return the expected run time of a task in seconds, None if the job declares none."""
        declared = row.submitted.run_time
        if declared is None:
            return None
        stats = self._templates.get((row.submitted.workspace, row.submitted.template))
        share = stats.run_time_share if stats else None
        return declared * (share if share is not None else 1.0)

    def record_usage(self, row: JobRow, task: str, attempt: int, usage: Resources) -> None:
        """Record the use of a running task; reports without use come too early and are ignored."""
        declared = row.submitted.need
        if usage == NO_RESOURCES or not declared.cpu or not declared.memory:
            return
        shares = Shares(usage.cpu / declared.cpu, usage.memory / declared.memory)
        stats = self._stats_of(row)
        peak = stats.running_peaks.get((task, attempt), shares)
        stats.running_peaks[task, attempt] = shares.maximum(peak)
        stats.booked = stats.booked.maximum(shares)

    def record_end(self, row: JobRow, task: str, attempt: int, ran: float, done: bool) -> None:
        """Record the end of a task after ``ran`` seconds; only tasks that are done are samples."""
        stats = self._stats_of(row)
        peak = stats.running_peaks.pop((task, attempt), None)
        if not done:
            return
        if row.submitted.run_time:
            share = ran / row.submitted.run_time
            expected_share = stats.run_time_share
            if expected_share is None or share > expected_share:
                stats.run_time_share = share
            else:
                stats.run_time_share = expected_share + RUN_TIME_WEIGHT * (share - expected_share)
        if peak is not None:
            stats.recent_peaks.append(peak)
            self._lower_booking(stats)

    def _lower_booking(self, stats: _TemplateStats) -> None:
        if len(stats.recent_peaks) < MIN_SAMPLES:
            return
        observed = [*stats.recent_peaks, *stats.running_peaks.values()]
        cpu = max(MIN_BOOKED_SHARE, HEADROOM_FACTOR * max(peak.cpu for peak in observed))
        memory = max(MIN_BOOKED_SHARE, HEADROOM_FACTOR * max(peak.memory for peak in observed))
        booked = stats.booked
        stats.booked = Shares(
            booked.cpu - LOWERING_FACTOR * max(0.0, booked.cpu - cpu),
            booked.memory - LOWERING_FACTOR * max(0.0, booked.memory - memory),
        )

    def _stats_of(self, row: JobRow) -> _TemplateStats:
        key = (row.submitted.workspace, row.submitted.template)
        if key not in self._templates and len(self._templates) >= MAX_TEMPLATES:
            del self._templates[next(iter(self._templates))]
        return self._templates.setdefault(key, _TemplateStats())
