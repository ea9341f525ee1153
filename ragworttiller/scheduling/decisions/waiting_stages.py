"""Stages that wait for room, before which no copy takes it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.decisions.runner_rules import accepts_another, suits
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage


class WaitingStages:
    """Stages of which tasks still wait at the end of a planning pass.

    Parameters
    ----------
    ready : iterable of tuple
        Stages that could start in the pass, with their jobs and inputs of the queue order.
    """

    def __init__(self, ready: Iterable[tuple[JobWork, Stage, OrderInputs]]) -> None:
        rows = [(inputs.priority, work, stage) for work, stage, inputs in ready if stage.waiting]
        self._rows = sorted(rows, key=lambda row: row[0])
        self._running: dict[int, Counter[str]] = {}

    def may_need(self, runner: RunnerState, priority: int) -> bool:
        """Return whether a stage of the same or a higher priority may wait for a runner.

        Lower numbers are higher priorities. Runners that the advisor was not asked about count.
        """
        for position, (row_priority, work, stage) in enumerate(self._rows):
            if row_priority > priority:
                return False
            if not suits(runner, work.queue.upstream, stage.spec):
                continue
            if runner.id in work.denied_runners(stage):
                continue
            if position not in self._running:
                self._running[position] = stage.runs_by_runner()
            if accepts_another(runner, stage, self._running[position][runner.id]):
                return True
        return False
