"""Logs which tasks of a cell wait for long, and why."""

from __future__ import annotations

import logging

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.owned_cell import Cell

log = logging.getLogger(__name__)

INTERVAL_SECONDS = 2.0
MIN_WAIT_SECONDS = 2.0
MAX_LINES_PER_INTERVAL = 5


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
        self._view = CellView(cell)
        self._clock = clock

    async def run(self) -> None:
        """Write lines until cancelled."""
        async for now in self._clock.ticks(INTERVAL_SECONDS):
            self.write(now, self._clock.wall())

    def write(self, now: float, wall: float) -> None:
        """Write a line for each stage that waits for long, lasting tasks first.

        Parameters
        ----------
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        for row in self._view.long_waits(now, wall, MIN_WAIT_SECONDS, MAX_LINES_PER_INTERVAL):
            log.info("tasks wait", extra=dict(row))
