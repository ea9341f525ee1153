"""What the owner of a cell decides to do, and what it has to record."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.scheduling.advice import AdviceCall
from ragworttiller.scheduling.jobs import TaskId
from ragworttiller.scheduling.records import Progress
from ragworttiller.scheduling.runs import Run, RunState

STOP_RETRY_SECONDS = 0.5


class StartOrder(NamedTuple):
    """Start of a run; ``deadline`` is on the runner's clock, in seconds."""

    run: Run
    spec: str
    deadline: float
    ticket: str


class StopOrder(NamedTuple):
    """Stop of a run."""

    run: Run
    reason: str


class Plan(NamedTuple):
    """What is to be done now."""

    starts: list[StartOrder]
    stops: list[StopOrder]
    calls: list[AdviceCall]


class Changes(NamedTuple):
    """What is to be recorded: progress by job, and by runner the ends that it may then forget.

    Jobs go on while their progress is being stored, so it is a copy.
    """

    progress: dict[str, Progress]
    ends: dict[str, int]


class PendingStops:
    """Runs that are to be stopped; an order is repeated until the end of the run is told."""

    def __init__(self) -> None:
        self._orders: dict[tuple[TaskId, int], StopOrder] = {}

    def add(self, run: Run, reason: str) -> None:
        """Let a run be stopped."""
        if run.key not in self._orders:
            run.ordered_at = float("-inf")
            self._orders[run.key] = StopOrder(run, reason)

    def drop(self, run: Run) -> None:
        """Forget a run that has ended."""
        self._orders.pop(run.key, None)

    def due(self, now: float) -> list[StopOrder]:
        """Return the orders to give now; a start without answer is waited for first."""
        orders = [
            order
            for order in self._orders.values()
            if order.run.state is not RunState.STARTING
            and now - order.run.ordered_at >= STOP_RETRY_SECONDS
        ]
        for order in orders:
            order.run.state = RunState.STOPPING
            order.run.ordered_at = now
        return orders


def run_fields(run: Run) -> dict[str, object]:
    """Return what names a run in a log line."""
    return {"task": str(run.task), "run": run.number, "runner": run.runner}
