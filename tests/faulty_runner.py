"""Stand-in for a runner with labels and gangs, which refuses starts or fails runs when told to."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ragworttiller.platform.exchange import Answer
from standins.platform.runner import RunnerService
from standins.platform.service import json_answer

GANG_TIMEOUT_SECONDS = 3.0


class Gangs:
    """Gangs at work, or waiting for their members, on all runners of a cell.

    Parameters
    ----------
    width : Callable
        Returns the number of members of the gang of a task, 0 if it has none.
    """

    def __init__(self, width: Callable[[str], int]):
        self.width = width
        self._members: dict[tuple[str, int], dict[str, FaultyRunner]] = {}

    def join(self, task: str, run: int, runner: FaultyRunner):
        """Let a member wait, or let all members work if it is the last one."""
        members = self._members.setdefault((_stage(task), run), {})
        members[task] = runner
        if len(members) == self.width(task):
            for name, other in members.items():
                other.work_on(name)

    def is_complete(self, task: str, run: int) -> bool:
        return len(self._members.get((_stage(task), run), ())) == self.width(task)

    def end(self, task: str, run: int, outcome: str):
        """End the runs of the other members with that of one."""
        members = self._members.pop((_stage(task), run), {})
        for name, runner in members.items():
            if name != task:
                runner.end_member(name, run, "done" if outcome == "done" else "broken")


class FaultyRunner(RunnerService):
    """Boot of a runner.

    Attributes
    ----------
    labels : list of str
        Labels of its machine.
    gangs : Gangs
        Gangs of the cell.
    refuses_starts, stalls : bool
        Whether it is unhealthy and refuses starts, and whether its runs stand still.
    """

    def __init__(
        self,
        *args: Any,
        labels: list[str],
        gangs: Gangs,
        on_end: Callable[[str, str], None],
        **options: Any,
    ):
        super().__init__(*args, **options)
        self.labels = labels
        self.gangs = gangs
        self._on_end = on_end
        self.refuses_starts = False
        self.stalls = False

    def record(self, *args: Any, **options: Any) -> bytes:
        row = json.loads(super().record(*args, **options))
        return json.dumps({**row, "labels": self.labels}).encode()

    def set_stalls(self, stalls: bool):
        """Let all runs stand still, or work on."""
        self.stalls = stalls
        for task in list(self._running):
            self.work_on(task)

    def work_on(self, task: str):
        """Let a run work, unless the runner stalls or other members of its gang are missing."""
        row = self._running[task]
        waits = self.gangs.width(task) and not self.gangs.is_complete(task, row.run)
        row.set_percent(0 if waits or self.stalls else 100, self._timers.now())
        self._wake_holds()

    def end_member(self, task: str, run: int, outcome: str):
        """End the run of a member whose gang has ended."""
        row = self._running.get(task)
        if row is not None and row.run == run:
            super()._end(task, outcome)

    def end_due_runs(self):
        super().end_due_runs()
        now = self._timers.now()
        for task, row in list(self._running.items()):
            alone = self.gangs.width(task) and not self.gangs.is_complete(task, row.run)
            if alone and now > row.started_at + GANG_TIMEOUT_SECONDS:
                self._end(task, "alone")

    def crash(self):
        rows = [(task, row.run) for task, row in self._running.items() if self.gangs.width(task)]
        super().crash()
        for task, run in rows:
            self.gangs.end(task, run, "crashed")

    def _start(self, command: dict[str, Any]) -> Answer:
        if self.refuses_starts:
            return json_answer(429)
        task, known = command["task"], set(self._running)
        answer = super()._start(command)
        if task in self._running and task not in known:
            if self.gangs.width(task):
                self.gangs.join(task, command["run"], self)
            self.work_on(task)
        return answer

    def _end(self, task: str, end_state: str):
        row = self._running.get(task)
        if row is None:
            # It has just ended with another member of its gang.
            return
        super()._end(task, end_state)
        self._on_end(task, end_state)
        if self.gangs.width(task):
            self.gangs.end(task, row.run, end_state)


def _stage(task: str) -> str:
    """Return the stage of a task."""
    return task.rpartition(".")[0]
