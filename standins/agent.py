"""Task agent of a stand-in worker, which checks every command that it receives.

State is updated lazily: each call first ends the tasks that are due, with their exact end times.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.services.worker import TaskReport, TaskSpec
from ragworttiller.timers import TimerService

FAILING_RUN_SECONDS = 0.005


class TaskEvent(NamedTuple):
    """Journal entry; ``event`` is ``start``, ``throttle`` or the final state of the task."""

    at: float
    worker: str
    task: str
    attempt: int
    event: str
    limit: Resources


class Violation(NamedTuple):
    """Command that violated a promise of the system."""

    at: float
    worker: str
    task: str
    attempt: int
    problem: str


class RunningTask:
    """Task on a worker, with its completion time and the expiry of its lease."""

    def __init__(self, spec: TaskSpec, now: float, run_time: float | None) -> None:
        self.spec = spec
        self.limit = spec.limit
        self.started = now
        self.done_at = float("inf") if run_time is None else now + run_time
        self.lease_end = now + spec.lease
        self.state = "running"
        self.ended = 0.0


class CellRecord:
    """State shared by all workers of one process: running tasks, journal and violations."""

    def __init__(self) -> None:
        self.running: dict[str, WorkerAgent] = {}
        self.journal: list[TaskEvent] = []
        self.violations: list[Violation] = []


class WorkerAgent:
    """Tasks of one worker.

    Parameters
    ----------
    name : str
        Worker name.
    capacity : Resources
        Resources of the worker.
    timers : TimerService
        Source of time.
    cell : CellRecord
        Record shared with the other workers.
    usage_lag : float
        Seconds after its start until a task's usage appears in reports.

    Attributes
    ----------
    fail_all : bool
        Fail every task within milliseconds.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        timers: TimerService,
        cell: CellRecord,
        usage_lag: float = 1.0,
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._timers = timers
        self._cell = cell
        self._usage_lag = usage_lag
        self._tasks: dict[tuple[str, int], RunningTask] = {}
        self.fail_all = False

    @property
    def used(self) -> Resources:
        """Sum of the limits of running tasks."""
        limits = [task.limit for task in self._tasks.values() if task.state == "running"]
        return Resources(*map(sum, zip(NO_RESOURCES, *limits, strict=True)))

    def end_due_tasks(self) -> None:
        """End the tasks that are done or whose lease has expired."""
        now = self._timers.now()
        for running in self._tasks.values():
            if running.state != "running":
                continue
            due = min(running.done_at, running.lease_end)
            if due > now:
                continue
            if running.lease_end < running.done_at:
                self._end(running, "lapsed", due)
            else:
                failed = self.fail_all or running.spec.parameters.get("fail")
                self._end(running, "failed" if failed else "done", due)

    def start(self, specs: list[TaskSpec]) -> list[str]:
        """Start tasks and return ``ok`` or the reason for refusal of each."""
        self.end_due_tasks()
        return [self._start(spec) for spec in specs]

    def stop(self, tasks: list[tuple[str, int]], checkpoint: bool) -> None:
        """Stop tasks; they end as ``checkpointed`` or ``stopped``."""
        self.end_due_tasks()
        for key in tasks:
            running = self._tasks.get(key)
            if running is not None and running.state == "running":
                state = "checkpointed" if checkpoint else "stopped"
                self._end(running, state, self._timers.now())

    def throttle(self, task: str, attempt: int, cpu: int) -> None:
        """Limit a task's processor time; its remaining run time grows in proportion."""
        self.end_due_tasks()
        running = self._tasks.get((task, attempt))
        if running is None or running.state != "running" or cpu <= 0:
            return
        now = self._timers.now()
        running.done_at = now + (running.done_at - now) * running.limit.cpu / cpu
        running.limit = running.limit._replace(cpu=cpu)
        self._record_event(now, running.spec, "throttle", running.limit)
        self._check_capacity(running.spec)

    def renew(self, lease: float) -> list[TaskReport]:
        """Renew the leases of running tasks and return all tasks."""
        self.end_due_tasks()
        now = self._timers.now()
        reports = []
        for (task, attempt), running in self._tasks.items():
            if running.state == "running":
                running.lease_end = now + lease
            run_seconds = (running.ended or now) - running.started
            usage = self._usage(running) if run_seconds >= self._usage_lag else NO_RESOURCES
            reports.append(TaskReport(task, attempt, running.state, usage, run_seconds))
        return reports

    def forget(self, tasks: list[tuple[str, int]]) -> None:
        """Drop those of the given tasks that have ended."""
        for key in tasks:
            if key in self._tasks and self._tasks[key].state != "running":
                del self._tasks[key]

    def _start(self, spec: TaskSpec) -> str:
        if (spec.task, spec.attempt) in self._tasks:
            return "ok"
        now = self._timers.now()
        other = self._cell.running.get(spec.task)
        if other is not None:
            other.end_due_tasks()
        if spec.task in self._cell.running:
            self._record_violation(spec, f"already runs on {self._cell.running[spec.task]._name}")
            return "already running"
        running = RunningTask(spec, now, self._run_time(spec))
        self._tasks[spec.task, spec.attempt] = running
        self._cell.running[spec.task] = self
        self._record_event(now, spec, "start", spec.limit)
        self._check_capacity(spec)
        return "ok"

    def _check_capacity(self, spec: TaskSpec) -> None:
        used = self.used
        if any(amount > available for amount, available in zip(used, self._capacity, strict=True)):
            self._record_violation(spec, f"{used} allocated, {self._capacity} available")

    def _run_time(self, spec: TaskSpec) -> float | None:
        if self.fail_all:
            return FAILING_RUN_SECONDS
        actual: Any = spec.parameters.get("actual_run_time", spec.run_time)
        return None if actual is None else float(actual)

    def _usage(self, running: RunningTask) -> Resources:
        share = float(running.spec.parameters.get("usage_share", 1.0))
        limit = running.limit
        return Resources(int(limit.cpu * share), int(limit.memory * share), limit.accelerators)

    def _end(self, running: RunningTask, state: str, at: float) -> None:
        running.state = state
        running.ended = at
        self._cell.running.pop(running.spec.task, None)
        self._record_event(at, running.spec, state, running.limit)

    def _record_event(self, at: float, spec: TaskSpec, event: str, limit: Resources) -> None:
        self._cell.journal.append(TaskEvent(at, self._name, spec.task, spec.attempt, event, limit))

    def _record_violation(self, spec: TaskSpec, problem: str) -> None:
        self._cell.violations.append(
            Violation(self._timers.now(), self._name, spec.task, spec.attempt, problem)
        )
