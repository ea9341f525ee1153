"""Orders that the owner of a cell issues, and changes that it records."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.records.formats import Progress
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState

STOP_RETRY_SECONDS = 0.5


class StartOrder(NamedTuple):
    """Order to start a run; ``deadline`` is on the runner's clock, in seconds.

    The start of a ``trial`` is recorded first.
    """

    run: Run
    spec: str
    deadline: float
    ticket: str
    trial: bool = False


class StopOrder(NamedTuple):
    """Order to stop a run."""

    run: Run
    reason: str


class PaceOrder(NamedTuple):
    """Order to let a run work at a percent; ``over`` is for how many seconds a tail is too long."""

    run: Run
    percent: int
    over: float


class Plan(NamedTuple):
    """Starts, stops, advisor calls, looks at runners and pace orders that are due now."""

    starts: list[StartOrder]
    stops: list[StopOrder]
    calls: list[AdviceCall]
    looks: list[RunnerState]
    paces: list[PaceOrder]


class Changes(NamedTuple):
    """Changes to store: progress by job, and the last processed end by runner.

    Jobs continue while their progress is being stored, so it is a copy. A runner may discard its
    ends up to the given number once the changes are stored.
    """

    progress: dict[str, Progress]
    ends: dict[str, int]


class PendingStops:
    """Runs to stop; a stop order is repeated until the end of the run is reported."""

    def __init__(self) -> None:
        self._orders: dict[tuple[TaskId, int], StopOrder] = {}

    def __contains__(self, run: Run) -> bool:
        """Return whether a run is to be stopped or is stopping."""
        return run.key in self._orders

    def add(self, run: Run, reason: str) -> None:
        """Add a run to stop; the first reason is kept."""
        if run.key not in self._orders:
            run.ordered_at, run.stopped_for = float("-inf"), reason
            self._orders[run.key] = StopOrder(run, reason)

    def drop(self, run: Run) -> None:
        """Remove a run that has ended."""
        self._orders.pop(run.key, None)

    def due(self, now: float) -> list[StopOrder]:
        """Return the stop orders due now and mark their runs as stopping.

        A run is not stopped while its start is unconfirmed.
        """
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
    """Return the fields that identify a run in a log line."""
    return {"task": str(run.task), "run": run.number, "runner": run.runner}
