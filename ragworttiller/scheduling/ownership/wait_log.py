"""Logs which tasks of a cell wait for long, and why, and samples what lasting tasks wait for."""

from __future__ import annotations

import logging
from heapq import nlargest

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.lasting_waits import waiting_lasting_stages
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.stage_waits import StageWaits

log = logging.getLogger(__name__)

SAMPLE_SECONDS = 1.0
SAMPLES_PER_INTERVAL = 2
MIN_WAIT_SECONDS = 2.0
MAX_LINES_PER_INTERVAL = 5
# Shorter waits of lasting tasks are not sampled.
MIN_SAMPLED_WAIT_SECONDS = 0.5
# Each sample looks at all runners of the cell.
MAX_STAGES_PER_SAMPLE = 3


class WaitLog:
    """Writes a few lines at intervals for the stages of a cell that wait for long.

    Parameters
    ----------
    cell : Cell
        The cell.
    clock : Clock
        Source of time.
    """

    def __init__(self, cell: Cell, clock: Clock) -> None:
        self._cell = cell
        self._view = CellView(cell)
        self._clock = clock

    async def run(self) -> None:
        """Write lines until cancelled."""
        samples, attempt = 0, self._cell.errors.attempt
        async for now in self._clock.ticks(SAMPLE_SECONDS):
            attempt("wait samples", now, self.sample, now, self._clock.wall())
            samples += 1
            if samples % SAMPLES_PER_INTERVAL == 0:
                attempt("wait log", now, self.write, now, self._clock.wall())

    def sample(self, now: float, wall: float) -> None:
        """Record what the stages of lasting tasks that wait for the longest wait for.

        Parameters
        ----------
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        waits = StageWaits(self._cell, now, wall)
        rows = [
            (stage.longest_wait(now), stage.id, work, stage)
            for work, stage in waiting_lasting_stages(self._cell.jobs.values())
        ]
        for seconds, _, work, stage in nlargest(MAX_STAGES_PER_SAMPLE, rows):
            if seconds >= MIN_SAMPLED_WAIT_SECONDS:
                reason = str(waits.reason(work, stage))
                self._cell.lasting_waits.record_sample(stage, reason, now, SAMPLE_SECONDS)

    def write(self, now: float, wall: float) -> None:
        """Write a line for each stage that waits for long, lasting tasks first.

        Parameters
        ----------
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        for row in self._view.long_waits(now, wall, MIN_WAIT_SECONDS, MAX_LINES_PER_INTERVAL):
            log.info("tasks wait", extra=dict(row))
