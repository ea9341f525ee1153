"""A cell on simulated runners whose tasks slow each other down, and take pace orders."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from typing_extensions import override

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.platform.runner_answers import EndedRun, HoldAnswer, RunningTask
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.decisions.cell_policies import CellPolicies, choose_policies
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.orders import PaceOrder, Plan
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.takeover import Takeover
from tests.scheduling_rig import LEASE_SECONDS, QUEUE, TERM_SECONDS, CellRig, job_id, step

TICK_SECONDS = 0.1
REPORT_TICKS = 5
BOUND_MS = 4500.0
Key = tuple[TaskId, int]


def policies(interference: str = "learned") -> CellPolicies:
    """Return the policies of an owner with a choice of interference."""
    names, bounds = EntryPolicies(interference=interference), EntryBounds(interference_ms=BOUND_MS)
    return choose_policies(names, bounds)


def answered(order: PaceOrder) -> str:
    """Answer each pace order."""
    return "ok"


class InterferenceRig(CellRig):
    """Runs the tasks of a cell at the pace, and with the slowdowns, that it is told.

    Attributes
    ----------
    slowdowns : dict
        Factor by which a full share of one image slows down another, by (sufferer, disturber).
    speeds : dict
        Factor by which each runner is slower than the others.
    load : float
        Tail latency of serving tasks without neighbours, as a share of their target.
    fate : Callable
        Returns what becomes of a pace order: ``ok``, ``lost``, or ``late``, 3 s without an answer.
    percents : dict
        Percent at which each run works.
    longest_over : float
        Longest time in seconds for which a serving task was over its target beside filling ones.
    """

    def __init__(self, runners: int = 2, interference: str = "learned") -> None:
        self.slowdowns: dict[tuple[str, str], float] = {}
        self.speeds: dict[str, float] = {}
        self.load = 0.4
        self.fate: Callable[[PaceOrder], str] = answered
        self.percents: dict[Key, int] = {}
        self.longest_over = 0.0
        self.paces: list[tuple[float, PaceOrder]] = []
        self.stops: list[tuple[float, Run]] = []
        self.ends: Counter[str] = Counter()
        self.silent: set[str] = set()
        self._interference = interference
        self._late: list[tuple[float, Key, int]] = []
        self._work: dict[Key, float] = {}
        self._over: dict[Key, float] = {}
        self._ending: dict[str, list[tuple[Run, str]]] = {}
        self._jobs = 0
        self._ticks = 0
        super().__init__(runners, policies=policies(interference))

    def add(self, image: str, count: int = 1, **fields: Any) -> str:
        """Submit a job of one step and return its identifier."""
        self._jobs += 1
        job = job_id(self._jobs)
        row = step(count, fields.pop("cpu", 500), image=image, **fields)
        self.submit(row, job=job, queue=self.queue_of(image))
        return job

    def queue_of(self, image: str) -> Queue:
        """Return the queue to which jobs of an image are submitted."""
        return QUEUE

    def serve(self, image: str = "web", count: int = 1, **fields: Any) -> str:
        """Submit serving tasks with a target of 100 ms."""
        return self.add(image, count, daemon=True, target_ms=100, **fields)

    def fill(self, image: str = "batch", count: int = 1, **fields: Any) -> str:
        """Submit filling tasks."""
        return self.add(image, count, fills=True, estimate_ms=600_000, **fields)

    def runs(self, image: str) -> list[Run]:
        """Return the runs of an image that the owner knows."""
        states = self.cell.runners.values()
        return [run for state in states for run in state.runs.values() if run.image == image]

    def run_for(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Let time pass, until a condition holds, and return the seconds that have passed."""
        began = self.now
        while self.now - began < seconds - 1e-6 and not until():
            self.tick()
        return self.now - began

    def tick(self) -> None:
        """Let a moment pass: runs work, runners report, and the owner's plan is carried out."""
        self.now = round(self.now + TICK_SECONDS, 3)
        self._ticks += 1
        self._carry_out_late()
        for number, state in enumerate(list(self.cell.runners.values())):
            self._work_on(state)
            due = (self._ticks + number) % REPORT_TICKS == 0 or self._ending.get(state.id)
            if due and state.id not in self.silent:
                self.report(state)
        self._carry_out_plan()

    def report(self, state: RunnerState) -> None:
        """Let a runner answer a hold."""
        rows = []
        for run, how in self._ending.pop(state.id, []):
            number = self.last_end_numbers[state.id] = self.last_end_numbers.get(state.id, 0) + 1
            rows.append(EndedRun(number, run.task, run.number, how, ""))
            self.ends[run.image] += 1
        ended = {(row.task, row.run) for row in rows}
        running = [
            RunningTask(run.task, run.number, "", self.now % 100, self.figure(run))
            for key, run in state.runs.items()
            if key not in ended
        ]
        state.grant_lease(self.now, LEASE_SECONDS)
        self.cell.apply_hold_answer(state, HoldAnswer(self.now, running, rows, 0), self.now)

    def figure(self, run: Run) -> float:
        """Return the tail latency of a serving task in milliseconds, 0 for any other."""
        return run.spec.target * 1000 * self.load * self.slowness(run) if run.spec.target else 0.0

    def slowness(self, run: Run) -> float:
        """Return the factor by which a run is slower than alone on a good runner."""
        shares: dict[str, float] = {}
        for key, other in self.cell.runners[run.runner].runs.items():
            if other is not run:
                share = shares.get(other.image, 0.0) + self.percents.get(key, 100) / 100
                shares[other.image] = min(share, 1.0)
        factor = self.speeds.get(run.runner, 1.0)
        for image, share in shares.items():
            factor *= self.slowdowns.get((run.image, image), 1.0) ** share
        return factor

    def replace_owner(self) -> None:
        """Let another entry take over; it learns of running tasks from the runners."""
        claim = self.cell.claim("e1", 1, self.offset, self.now)
        takeover = Takeover(claim, self.offset + 1, self.now, TERM_SECONDS, LEASE_SECONDS)
        chosen = policies(self._interference)
        known = {name: state.runs for name, state in self.cell.runners.items()}
        self.cell = Cell(
            claim.epoch + 1,
            self.jobs,
            self.config,
            self.listed,
            takeover,
            LEASE_SECONDS,
            chosen,
        )
        self.cell.refresh(self.now, self.now)
        for name, runs in known.items():
            rows = [
                RunningTask(run.task, run.number, "", 1.0, self.figure(run))
                for run in runs.values()
            ]
            answer = HoldAnswer(self.now, rows, [], 0)
            self.cell.apply_hold_answer(self.cell.runners[name], answer, self.now)
        self.enroll(*known)

    def _work_on(self, state: RunnerState) -> None:
        filled = any(run.spec.fills for run in state.runs.values())
        for key, run in state.runs.items():
            if run.spec.target:
                over = filled and self.figure(run) > run.spec.target * 1000
                self._over[key] = self._over.get(key, 0.0) + TICK_SECONDS if over else 0.0
                self.longest_over = max(self.longest_over, self._over[key])
            elif not run.spec.fills and run.state != "starting":
                done = self._work.get(key, 0.0) + TICK_SECONDS / self.slowness(run)
                self._work[key] = done
                if done >= run.spec.estimate - 1e-9:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        ending = self._ending.setdefault(run.runner, [])
        if all(run is not other for other, _ in ending):
            ending.append((run, how))

    def _carry_out_plan(self) -> None:
        plan = self.plan()
        for start in plan.starts:
            self.cell.mark_started(start.run, self.now)
        for stop in plan.stops:
            self.stops.append((self.now, stop.run))
            self._end(stop.run, "stopped")
        for pace in plan.paces:
            self.paces.append((self.now, pace))
            self._carry_out_pace(pace)

    def _carry_out_pace(self, order: PaceOrder) -> None:
        fate, run = self.fate(order), order.run
        if fate == "ok":
            self.percents[run.key] = order.percent
            run.pace.confirm(order.percent)
            return
        run.pace.mark_unanswered(self.now)
        if fate == "late":
            self._late.append((self.now + 3.0, run.key, order.percent))

    def _carry_out_late(self) -> None:
        for at, key, percent in self._late:
            if at <= self.now:
                self.percents[key] = percent
        self._late = [row for row in self._late if row[0] > self.now]


class AdvisedRig(InterferenceRig):
    """The same with an advisor that is asked for filling tasks, and takes seconds.

    Attributes
    ----------
    denied : set of str
        Runners on which the advisor allows none of them.
    asked : list of AdviceCall
        Calls that were made.
    """

    COST = AdviceCost(2.0, 0.0, 3.0)

    def __init__(self, runners: int = 1) -> None:
        self.denied: set[str] = set()
        self.asked: list[AdviceCall] = []
        self._answers: list[tuple[float, AdviceCall]] = []
        super().__init__(runners, "none")
        self.cell.set_entries(["e1", "e2", "e3"])

    @override
    def queue_of(self, image: str) -> Queue:
        return QUEUE._replace(name="filling", advice=self.COST) if image == "batch" else QUEUE

    @override
    def plan(self) -> Plan:
        due = [row for row in self._answers if row[0] <= self.now]
        self._answers = [row for row in self._answers if row[0] > self.now]
        for _, call in due:
            granted = dict.fromkeys(set(call.runners) - self.denied, "t")
            self.cell.apply_advice(call, granted, self.now)
        plan = super().plan()
        self.asked += plan.calls
        self._answers += [(self.now + call.wait + call.duration, call) for call in plan.calls]
        return plan
