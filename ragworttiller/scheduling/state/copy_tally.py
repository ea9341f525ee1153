"""Counts copies of tasks: how many run, what they reserve, and what became of them."""

from __future__ import annotations

import logging
from collections.abc import Collection

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.orders import run_fields
from ragworttiller.scheduling.state.runs import Run

log = logging.getLogger(__name__)


class CopyTally:
    """Copies of tasks under one owner.

    Copies that an earlier owner started take room like others, but are not counted.

    Attributes
    ----------
    started : int
        Number of copies started.
    won : int
        Number of copies that completed their task before the other run.
    wasted : int
        Number of copies that ended otherwise.
    wasted_core_seconds : float
        Processor time that the wasted copies had reserved.
    """

    def __init__(self) -> None:
        self._live: dict[tuple[TaskId, int], Run] = {}
        self._counted: set[tuple[TaskId, int]] = set()
        self.started = 0
        self.won = 0
        self.wasted = 0
        self.wasted_core_seconds = 0.0

    @property
    def live(self) -> Collection[Run]:
        """Copies that hold room, also those that are stopping."""
        return self._live.values()

    @property
    def reserved(self) -> Resources:
        """Resources that the live copies reserve."""
        total = NO_RESOURCES
        for run in self._live.values():
            total = total.plus(run.reservation)
        return total

    def start(self, run: Run, beside: Run) -> None:
        """Count a copy that is started ``beside`` another run."""
        self.started += 1
        self._live[run.key] = run
        self._counted.add(run.key)
        extra = {**run_fields(run), "beside": beside.number, "on": beside.runner}
        log.info("copy started", extra={**extra, "percent": beside.percent})

    def adopt(self, run: Run) -> None:
        """Add a copy that this owner has found."""
        self._live[run.key] = run

    def promote(self, run: Run) -> None:
        """Record that a copy has become the only run of its task."""
        self._live.pop(run.key, None)
        log.info("copy is the only run left of its task", extra=run_fields(run))

    def end(self, run: Run, outcome: str, completes: bool, now: float) -> None:
        """Record the end of a run, which may be a copy.

        Parameters
        ----------
        run : Run
            Ended run.
        outcome : str
            How it ended.
        completes : bool
            Whether it is the first run to complete its task.
        now : float
            Time in seconds.
        """
        self._live.pop(run.key, None)
        if run.key not in self._counted:
            return
        self._counted.discard(run.key)
        core_seconds = run.reservation.cpu / 1000 * max(now - run.started_at, 0.0)
        extra = {**run_fields(run), "how": outcome, "core_seconds": round(core_seconds, 2)}
        if completes:
            self.won += 1
            log.info("copy won", extra=extra)
            return
        self.wasted += 1
        self.wasted_core_seconds += core_seconds
        log.info("copy wasted", extra=extra)
