"""Logs the pace of an owner: its planning passes, its lag and its queue."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runs import Stage

log = logging.getLogger(__name__)

INTERVAL_SECONDS = 2.0
TICKS_PER_INTERVAL = 10
# A longer delay is that of a process that was paused, not of one that is busy.
MAX_LAG_SECONDS = 1.0


class OwnerPace(NamedTuple):
    """Pace of an owner over some time; durations are in seconds.

    ``planning`` is the share of the time that passes took, ``longest`` the longest pass. ``lag`` is
    how late the event loop ran a timer, at most: that old may a message be before it is handled.
    ``waiting`` is the number of open jobs with a stage that waits, by queue. ``cores`` is the
    processor time that the runs of each queue reserve, and ``ready`` what its tasks that could
    start would reserve, both as shares of the runners on which tasks may start.
    """

    passes: int
    planning: float
    longest: float
    lag: float
    waiting: dict[str, int]
    cores: dict[str, float]
    ready: dict[str, float]


NO_PACE = OwnerPace(0, 0.0, 0.0, 0.0, {}, {}, {})


class PaceLog:
    """Writes a line at intervals that shows an owner that falls behind.

    Parameters
    ----------
    cell : Cell
        The cell.
    clock : Clock
        Source of time.

    Attributes
    ----------
    pace : OwnerPace
        Pace of the last interval.
    """

    def __init__(self, cell: Cell, clock: Clock) -> None:
        self._cell = cell
        self._clock = clock
        self._passes: list[float] = []
        self._lag = 0.0
        self.pace = NO_PACE

    @property
    def lag(self) -> float:
        """Longest delay of a timer in this interval and the last one, in seconds."""
        return max(self._lag, self.pace.lag)

    def record_pass(self, seconds: float) -> None:
        """Record the duration of a planning pass, in seconds."""
        self._passes.append(seconds)

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            began = self._clock.now()
            for _ in range(TICKS_PER_INTERVAL):
                due = self._clock.now() + INTERVAL_SECONDS / TICKS_PER_INTERVAL
                await self._clock.sleep(INTERVAL_SECONDS / TICKS_PER_INTERVAL)
                self.record_delay(self._clock.now() - due)
            now = self._clock.now()
            self._cell.errors.attempt("pace log", now, self.write, now - began)

    def record_delay(self, seconds: float) -> None:
        """Record how late a timer ran, in seconds; a pause of the process counts in part."""
        self._lag = max(self._lag, min(seconds, MAX_LAG_SECONDS))

    def write(self, seconds: float) -> None:
        """Write the line of an interval that lasted some seconds."""
        lag, self._lag = self._lag, 0.0
        passes, self._passes = self._passes, []
        # Calls to runners wait for as long as the owner is late, also if the rest fails.
        self.pace = self.pace._replace(lag=round(lag, 3))
        self.pace = OwnerPace(
            len(passes),
            round(sum(passes) / seconds, 3),
            round(max(passes, default=0.0), 4),
            round(lag, 3),
            self._waiting(),
            self._capacity_shares(_running_cpu),
            self._capacity_shares(_ready_cpu),
        )
        extra = {**self.pace._asdict(), "epoch": self._cell.epoch, "jobs": len(self._cell.jobs)}
        log.info("owner pace", extra=extra)

    def _waiting(self) -> dict[str, int]:
        return dict(
            Counter(work.queue.key for work in self._cell.jobs.values() if work.has_waiting_tasks)
        )

    def _capacity_shares(self, cpu: Callable[[Stage], int]) -> dict[str, float]:
        """Return the sum of ``cpu`` over the stages of each queue, as a share of the capacity."""
        runners = self._cell.pool.accepting_tasks(self._clock.now())
        capacity = sum(runner.entry.capacity.cpu for runner in runners)
        sums: Counter[str] = Counter()
        for work in self._cell.jobs.values():
            sums[work.queue.key] += sum(map(cpu, work.stages.values()))
        return {queue: round(total / max(capacity, 1), 3) for queue, total in sums.items()}


def _running_cpu(stage: Stage) -> int:
    """Return the processor time that the runs of a stage reserve, in thousandths of a core."""
    return len(stage.active_runs) * stage.spec.reservation.cpu


def _ready_cpu(stage: Stage) -> int:
    """Return the processor time that the waiting tasks of a ready stage would reserve."""
    if stage.ready_since is None:
        return 0
    return len(stage.waiting) * stage.spec.reservation.cpu
