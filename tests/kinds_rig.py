"""Cell whose runners differ in speed by kind, with tasks that take their true durations."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from typing_extensions import override

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.records.formats import Claim
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runs import Run
from tests.scheduling_rig import LEASE_SECONDS, QUEUE, CellRig, job_id

QUICK = QUEUE._replace(name="quick", prefix="/k/", slack_factor=1.5, target_latency=0.0)
PATIENT = QUEUE._replace(
    name="patient", prefix="/p/", priority=2, slack_factor=4.0, target_latency=3.0
)
STEP_SECONDS = 0.05


class KindsRig(CellRig):
    """A cell in which time passes and runs end.

    Parameters
    ----------
    runners : mapping of str to int
        Number of runners of each kind, with four processors each.
    factors : mapping of str to float
        Duration of tasks on runners of a kind, relative to the work of the task.
    claim : Claim, optional
        Last claim of an earlier owner.
    **policies : str
        Names of policies; by default those of the settings, without headroom and preemption.

    Attributes
    ----------
    factors : dict of str to float
        As given; may be changed.
    work : Callable
        Returns the work of a run in seconds; its estimate by default.
    ended : list
        Runs that have ended, with their durations in seconds.
    """

    def __init__(
        self,
        runners: Mapping[str, int],
        factors: Mapping[str, float],
        claim: Claim | None = None,
        **policies: str,
    ) -> None:
        super().__init__(0, claim)
        names = EntryPolicies(headroom="none", preemption="none")._replace(**policies)
        self.cell = Cell(
            self.cell.epoch,
            self.jobs,
            self.config,
            self.listed,
            self.cell.takeover,
            LEASE_SECONDS,
            choose_policies(names, EntryBounds()),
        )
        self.factors = dict(factors)
        self.work: Callable[[Run], float] = lambda run: run.spec.estimate
        self.ended: list[tuple[Run, float]] = []
        self._ends: list[tuple[float, Run, float]] = []
        self._jobs = 0
        # Runners of a kind are not listed one after another, as in no real list.
        rows = [(number, kind) for kind, count in runners.items() for number in range(count)]
        for number, kind in sorted(rows):
            self.add_runner(f"{kind}{number}", labels=(kind, "rack"))

    def add_job(self, *steps: dict[str, Any], queue: Queue = QUICK) -> str:
        """Submit a job under the next identifier, and return it."""
        self._jobs += 1
        self.submit(*steps, job=job_id(self._jobs), queue=queue)
        return job_id(self._jobs)

    def kind_of(self, run: Run) -> str:
        """Return the kind of the runner of a run."""
        return self.cell.runners[run.runner].entry.kind

    @override
    def percent(self, name: TaskId, run: int) -> float:
        for end, other, duration in self._ends:
            if other.key == (name, run):
                return max(100 * (1 - (end - self.now) / duration), 0.0)
        return 0.0

    def advance(self, seconds: float) -> list[Run]:
        """Let time pass and return the runs that were started."""
        started: list[Run] = []
        end = self.now + seconds
        while self.now < end:
            for order in self.start_all():
                duration = self.work(order.run) * self.factors[self.kind_of(order.run)]
                self._ends.append((self.now + duration, order.run, duration))
                started.append(order.run)
            self.now += STEP_SECONDS
            for row in sorted((row for row in self._ends if row[0] <= self.now), key=_end):
                self._ends.remove(row)
                self.ended.append((row[1], row[2]))
                self.hold(row[1].runner, (row[1].task, row[1].number, "done"))
            for name in self.cell.runners:
                self.hold(name)
            self._record_ended_jobs()
        return started

    def _record_ended_jobs(self) -> None:
        """Store the progress of jobs, so that those that have ended are removed."""
        self.cell.mark_recorded(self.cell.take_changes())


def _end(row: tuple[float, Run, float]) -> float:
    return row[0]
