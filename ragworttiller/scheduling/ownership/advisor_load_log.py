"""Logs how far calls to the advisor take the entries' time, and which entries fail them."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.state.owned_cell import Cell

log = logging.getLogger(__name__)

# Two lines are at least this far apart.
INTERVAL_SECONDS = 1.0
# Long calls alone reach 0.7 at the most, since the other entries are reserved for short ones.
LOAD_LEVELS = (0.4, 0.6, 0.8)
# A load around a level counts as above it until it is lower by this much.
LEVEL_MARGIN = 0.1
MAX_NAMES_LOGGED = 5


class AdvisorLoad(NamedTuple):
    """Load of the entries with calls to the advisor, over some time.

    ``load`` is the share of the time of all entries in which they had a call in flight or queued.
    ``avoided`` is the number of entries that get no calls since one has failed. ``calls`` is the
    number of calls without an answer, ``oldest`` the age of the oldest in seconds. ``waiting`` is
    the number of stages for which a call was due and not made.
    """

    load: float
    entries: int
    avoided: int
    calls: int
    oldest: float
    waiting: int


NO_LOAD = AdvisorLoad(0.0, 0, 0, 0, 0.0, 0)


class AdvisorLoadLog:
    """Measures the load at intervals, and writes a line if it has changed.

    Parameters
    ----------
    cell : Cell
        The cell.
    clock : Clock
        Source of time.

    Attributes
    ----------
    load : AdvisorLoad
        Load of the last interval.
    """

    def __init__(self, cell: Cell, clock: Clock) -> None:
        self._cell = cell
        self._clock = clock
        self._level = 0
        self._avoided: list[str] = []
        self.load = NO_LOAD

    async def run(self) -> None:
        """Measure and write until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL_SECONDS)
            now = self._clock.now()
            self._cell.errors.attempt("advisor load log", now, self.measure, now)

    def measure(self, now: float) -> None:
        """Measure the load since the last time, and write a line if a level or entry changed."""
        avoided = self._cell.entry_loads.avoided(now)
        self.load = self._measured(len(avoided), now)
        level = _level(self.load.load, self._level)
        if level == self._level and avoided == self._avoided:
            return
        self._level, self._avoided = level, avoided
        extra = {**self.load._asdict(), "names": avoided[:MAX_NAMES_LOGGED]}
        log.info("advisor load changed", extra=extra)

    def _measured(self, avoided: int, now: float) -> AdvisorLoad:
        meter, entries = self._cell.advice_meter, self._cell.entry_loads.entries
        return AdvisorLoad(
            round(meter.take_load(entries, now), 3),
            entries,
            avoided,
            meter.calls,
            round(meter.oldest_seconds(now), 3),
            self._waiting(now),
        )

    def _waiting(self, now: float) -> int:
        return sum(
            stage.tickets.lacks_call(now)
            for work in self._cell.jobs.values()
            for stage in work.stages.values()
            if stage.waiting
        )


def _level(load: float, last: int) -> int:
    """Return how many levels a load has reached, given how many it had at the last time."""
    reached = sum(load >= level for level in LOAD_LEVELS)
    kept = sum(load + LEVEL_MARGIN >= level for level in LOAD_LEVELS)
    return max(reached, min(last, kept))
