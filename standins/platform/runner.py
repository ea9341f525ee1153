"""Stand-in for a runner, and a monitor of the runs on all runners of a test."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
from typing_extensions import override

from ragworttiller.platform.exchange import Answer
from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.timers import TimerService
from standins.platform.service import Service, json_answer

DEFAULT_WORK_SECONDS = 0.5
DEFAULT_CAPACITY = Resources(16000, 65536, 0)


class RunMonitor:
    """Records the starts and ends of runs on all runners, and violations among them.

    Attributes
    ----------
    violations : list of str
        Descriptions of the violations.
    starts : list of tuple
        Task, run and runner of each start.
    runners : list of RunnerService
        Monitored runners.
    crashes : Counter of str
        Number of crashes of a runner under each task.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.starts: list[tuple[str, int, str]] = []
        self.runners: list[RunnerService] = []
        self.crashes: Counter[str] = Counter()
        self._running: dict[str, set[tuple[str, int]]] = {}
        self._done: set[str] = set()

    def running_tasks(self) -> list[str]:
        """Return the task of each run at work, once for each of its runs."""
        return [task for task, runs in self._running.items() for _ in runs]

    def record_start(self, task: str, run: int, runner: str) -> None:
        """Record the start of a run."""
        for other in self.runners:
            other.end_due_runs()
        self.starts.append((task, run, runner))
        if self._running.get(task):
            self.violations.append(
                f"{task} run {run} starts on {runner} beside {self._running[task]}"
            )
        if task in self._done:
            self.violations.append(
                f"{task} run {run} starts on {runner} after its end was acknowledged"
            )
        self._running.setdefault(task, set()).add((runner, run))

    def record_end(self, task: str, run: int, runner: str) -> None:
        """Record the end of a run."""
        self._running.get(task, set()).discard((runner, run))

    def record_acknowledged_end(self, task: str, end_state: str) -> None:
        """Record that an end was acknowledged, upon which its runner drops it."""
        if end_state == "done":
            self._done.add(task)


class _Run:
    def __init__(
        self, run: int, started_at: float, ends_at: float, size: Resources, checkpoint: str
    ) -> None:
        self.run = run
        self.started_at = started_at
        self.ends_at = ends_at
        self._work = self._left = ends_at - started_at
        self._paced_at = started_at
        self.size = size
        self.checkpoint = checkpoint
        self.stopped = False
        self.percent = 100

    def set_percent(self, percent: int, now: float) -> None:
        """Let the run work at a percent from ``now`` on."""
        if not self.stopped:
            self._left = self._work_left(now)
            self._paced_at = now
            self.ends_at = now + self._left * 100 / percent if percent else float("inf")
        self.percent = percent

    def percent_done(self, now: float) -> int:
        """Return the share of the work that is done at ``now``, in percent."""
        if self._work == float("inf"):
            return 0
        return int(100 * (1 - self._work_left(now) / max(self._work, 0.001)))

    def _work_left(self, now: float) -> float:
        """Return the seconds of work at full pace that are left."""
        return self._left - (now - self._paced_at) * self.percent / 100


class RunnerService(Service):
    """One boot of a runner.

    Parameters
    ----------
    name : str
        Identifier of the boot.
    timers : TimerService
        Source of time.
    monitor : RunMonitor
        Monitor of all runners.
    capacity : Resources
        Capacity, which the runner itself does not enforce.
    work : Callable
        Returns the run time of a task in seconds, given its name.
    fails : Callable
        Returns whether a run fails, given the task's name and the run's number.
    rate : float
        Speed of the runner's clock, as a multiple of real time.
    size : Callable
        Returns the size of a task, given its name.
    stop_seconds : float
        Seconds that a stop takes.
    on_start : Callable
        Called with the name of each task that starts.
    figure : Callable
        Returns what is reported of a running task: its tail latency in milliseconds if it serves,
        else the processor time in use, given its name.
    saves : Callable
        Returns the checkpoint of a run that does not resume from one, given the task's name.
    born : int
        Time of its start in milliseconds, by which boots of one identifier differ; its clock starts
        then. If it is 0, the runner does not tell it, and its clock is that of the timers.
    """

    def __init__(
        self,
        name: str,
        timers: TimerService,
        monitor: RunMonitor,
        capacity: Resources = DEFAULT_CAPACITY,
        work: Callable[[str], float] = lambda task: DEFAULT_WORK_SECONDS,
        fails: Callable[[str, int], bool] = lambda task, run: False,
        rate: float = 1.0,
        size: Callable[[str], Resources] = lambda task: NO_RESOURCES,
        stop_seconds: float = 0.0,
        on_start: Callable[[str], None] = lambda task: None,
        born: int = 0,
        figure: Callable[[str], float] = lambda task: 0.0,
        saves: Callable[[str], str] = lambda task: "",
    ) -> None:
        self._saves = saves
        self.name = name
        self.capacity = capacity
        self._timers = timers
        self._monitor = monitor
        self._work = work
        self._fails = fails
        self._rate = rate
        self._size = size
        self._stop_seconds = stop_seconds
        self._on_start = on_start
        self._born = born
        self._figure = figure
        self._born_at = timers.now() if born else 0.0
        self._fence_token = 0
        self._lease_end = 0.0
        self._last_end_number = 0
        self._running: dict[str, _Run] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._highest_run: dict[str, int] = {}
        self._run_ended = anyio.Event()
        monitor.runners.append(self)

    @property
    def clock(self) -> float:
        """The runner's own clock, in seconds."""
        return (self._timers.now() - self._born_at) * self._rate

    @property
    def running(self) -> list[str]:
        """Tasks that run now."""
        self.end_due_runs()
        return sorted(self._running)

    def record(
        self, upstream: str, address: str, state: str = "ready", remaining: float | None = None
    ) -> bytes:
        """Return the record that the runner writes into the store.

        Parameters
        ----------
        upstream, address : str
            Service and ``host:port``.
        state : str
            ``ready`` or ``draining``.
        remaining : float, optional
            Minimum seconds until a draining runner leaves; left out by default.
        """
        capacity = {
            "cpu": self.capacity.cpu,
            "mem_mb": self.capacity.memory,
            "gpu": self.capacity.accelerators,
        }
        row: dict[str, Any] = {"service": upstream, "address": address, "state": state}
        row["capacity"] = capacity
        if remaining is not None:
            row["remaining_ms"] = int(remaining * 1000)
        if self._born:
            row["born"] = self._born
        return json.dumps({**row, "labels": ["a", "r1-1"], "zone": "a", "seq": 1}).encode()

    @property
    def free_cpu(self) -> int:
        """Processor time that no run uses, in thousandths of a core."""
        self.end_due_runs()
        return self.capacity.cpu - sum(row.size.cpu for row in self._running.values())

    def percents(self) -> dict[str, int]:
        """Return the percent at which each running task works."""
        self.end_due_runs()
        return {task: row.percent for task, row in self._running.items()}

    @override
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        if headers.get("ragworttiller-target-instance", self.name) != self.name:
            return json_answer(421)
        command = json.loads(body)
        self.end_due_runs()
        if command.get("fence_token", 0) < self._fence_token:
            return self._reply(409, {"reason": "fence"})
        self._fence_token = command.get("fence_token", 0)
        if target == "/-/run-start":
            return self._start(command)
        if target == "/-/run-stop":
            return self._stop(command)
        if target == "/-/pace":
            return self._pace(command)
        return await self._hold(command)

    def end_due_runs(self) -> None:
        """End the runs that are complete or whose lease has expired."""
        now, lease_expiry = self._timers.now(), self._born_at + self._lease_end / self._rate
        for task, row in list(self._running.items()):
            if row.ends_at <= min(now, lease_expiry):
                self._end(task, self._outcome(task, row))
            elif now > lease_expiry:
                self._end(task, "lapsed")

    def crash(self) -> None:
        """Drop all runs without reporting their ends to the owner."""
        for task, row in self._running.items():
            self._monitor.record_end(task, row.run, self.name)
            self._monitor.crashes[task] += 1
        self._running.clear()

    def _outcome(self, task: str, row: _Run) -> str:
        if row.stopped:
            return "stopped"
        return "failed" if self._fails(task, row.run) else "done"

    def _start(self, command: dict[str, Any]) -> Answer:
        task, run = command["task"], command["run"]
        # The deadline counts for all runs here, also if this start is a repeat or is refused.
        self._lease_end = max(self._lease_end, command["deadline_ms"] / 1000)
        row = self._running.get(task)
        if row is not None and row.run == run:
            return self._reply(200)
        if run <= self._highest_run.get(task, 0):
            return self._reply(409, {"reason": "old"})
        if command["deadline_ms"] / 1000 <= self.clock:
            return self._reply(409, {"reason": "late"})
        self._monitor.record_start(task, run, self.name)
        now = self._timers.now()
        checkpoint = command.get("last_checkpoint") or self._saves(task)
        self._running[task] = _Run(run, now, now + self._work(task), self._size(task), checkpoint)
        self._highest_run[task] = run
        used = sum(row.size.cpu for row in self._running.values())
        if used > self.capacity.cpu:
            self._monitor.violations.append(
                f"{task} overbooks {self.name}: {used} thousandths of a core in use"
            )
        self._on_start(task)
        return self._reply(200)

    def _stop(self, command: dict[str, Any]) -> Answer:
        task, run = command["task"], command["run"]
        self._highest_run[task] = max(self._highest_run.get(task, 0), run)
        row = self._running.get(task)
        ends_at = self._timers.now() + self._stop_seconds
        if row is not None and row.run == run and ends_at < row.ends_at:
            row.ends_at, row.stopped = ends_at, True
            self.end_due_runs()
            self._wake_holds()
        return self._reply(200)

    def _pace(self, command: dict[str, Any]) -> Answer:
        """Set the percent at which a run works; the rest of its work takes as much longer."""
        row = self._running.get(command["task"])
        if row is None or row.run != command["run"]:
            return self._reply(409, {"reason": "run"})
        if not 0 <= command["percent"] <= 100:
            return self._reply(409, {"reason": "percent"})
        row.set_percent(command["percent"], self._timers.now())
        self._wake_holds()
        return self._reply(200)

    async def _hold(self, command: dict[str, Any]) -> Answer:
        if "deadline_ms" in command:
            self._lease_end = max(self._lease_end, command["deadline_ms"] / 1000)
        for end_number, task, _, end_state, _ in self._ended:
            if end_number <= command["last_seen"]:
                self._monitor.record_acknowledged_end(task, end_state)
        self._ended = [row for row in self._ended if row[0] > command["last_seen"]]
        wait = command.get("wait_ms", 0) / 1000
        deadline = self._timers.now() + wait
        while wait and not self._ended and self._timers.now() < deadline:
            ends = [row.ends_at for row in self._running.values()]
            remaining = min([deadline, *ends]) - self._timers.now()
            with self._timers.move_on_after(max(remaining, 0.001)):
                await self._run_ended.wait()
            self.end_due_runs()
        now = self._timers.now()
        running = [
            [task, row.run, row.checkpoint, row.percent_done(now), self._figure(task)]
            for task, row in self._running.items()
        ]
        lists = {"running": running, "ended_runs": [list(r) for r in self._ended]}
        return self._reply(200, {**lists, "born": self._born} if self._born else lists)

    def _end(self, task: str, end_state: str) -> None:
        row = self._running.pop(task)
        self._last_end_number += 1
        self._ended.append((self._last_end_number, task, row.run, end_state, row.checkpoint))
        self._monitor.record_end(task, row.run, self.name)
        self._wake_holds()

    def _wake_holds(self) -> None:
        self._run_ended.set()
        self._run_ended = anyio.Event()

    def _reply(self, status: int, body: dict[str, Any] | None = None) -> Answer:
        return json_answer(status, {"clock_ms": int(self.clock * 1000), **(body or {})})
