"""Waits of lasting tasks: from the end of a run, or from the first pass, to the next run."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from ragworttiller.metrics import Distribution
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.orders import run_fields
from ragworttiller.scheduling.state.runs import Run, Stage, TaskWait

log = logging.getLogger(__name__)

LONG_WAIT_SECONDS = 3.0


class LastingWaits:
    """Times the waits of lasting tasks, with a line for each run that follows one.

    A start that is refused or expires is no run, so the wait goes on.

    Attributes
    ----------
    durations : Distribution
        Waits that have ended with a run.
    """

    def __init__(self) -> None:
        self.durations = Distribution()

    def record_end(self, stage: Stage, run: Run, how: str, now: float) -> None:
        """Record how a run has ended; its task waits from now on unless a run of it goes on."""
        index = run.task.ordinal
        if stage.spec.daemon and index in stage.waiting:
            stage.waits[index] = TaskWait(now, False, how, run.stopped_for)

    def record_refusal(self, stage: Stage, run: Run) -> None:
        """Record that a start was refused or has expired."""
        wait = _current_wait(stage, run.task.ordinal)
        if wait is not None:
            wait.refused += 1

    def record_sample(self, stage: Stage, reason: str, now: float, seconds: float) -> None:
        """Attribute the last seconds of the waits of a stage to the reason why its tasks wait.

        Parameters
        ----------
        stage : Stage
            Stage of lasting tasks.
        reason : str
            Reason for which its waiting tasks do not start.
        now : float
            Time in seconds.
        seconds : float
            Seconds since the last sample; a wait that is shorter counts in full.
        """
        for index in stage.waiting:
            wait = _current_wait(stage, index)
            if wait is not None:
                wait.seconds_by_reason[reason] += min(seconds, now - wait.since)

    def record_start(self, stage: Stage, run: Run, now: float) -> None:
        """Record that a run is known to have started, and write the line of its wait."""
        wait = _current_wait(stage, run.task.ordinal)
        if wait is None:
            return
        del stage.waits[run.task.ordinal]
        seconds = now - wait.since
        self.durations.record(seconds)
        extra = {
            **run_fields(run),
            "waited": round(seconds, 3),
            "after": "ready" if wait.first else "end",
            "ended": wait.ended,
            "stopped_for": wait.stopped_for,
            "order": round(now - run.started_at, 3),
            "refused": wait.refused,
            "waited_for": {why: round(part, 3) for why, part in wait.seconds_by_reason.items()},
        }
        log.info("lasting task runs", extra=extra)


def waiting_lasting_stages(jobs: Iterable[JobWork]) -> Iterator[tuple[JobWork, Stage]]:
    """Yield the stages of lasting tasks that have waiting tasks, with their jobs."""
    for work in jobs:
        for stage in work.waiting_stages():
            if stage.spec.daemon:
                yield work, stage


def long_waits(jobs: Iterable[JobWork], now: float) -> int:
    """Return the number of lasting tasks that have waited for over `LONG_WAIT_SECONDS`."""
    waits = [
        _current_wait(stage, index)
        for _, stage in waiting_lasting_stages(jobs)
        for index in stage.waiting
    ]
    return sum(wait is not None and now - wait.since > LONG_WAIT_SECONDS for wait in waits)


def _current_wait(stage: Stage, index: int) -> TaskWait | None:
    """Return the wait of a lasting task, None for other tasks and before the first pass.

    Before the first run that this owner knows of, it begins when its stage was ready.
    """
    if not stage.spec.daemon:
        return None
    if index not in stage.waits and stage.ready_since is not None:
        stage.waits[index] = TaskWait(stage.ready_since, first=True)
    return stage.waits.get(index)
