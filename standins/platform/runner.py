"""Stand-in of a runner, and a monitor of what all runners of a test have seen."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import anyio
from typing_extensions import override

from ragworttiller.platform.channel import Answer
from ragworttiller.resources import NOTHING, Resources
from ragworttiller.timers import TimerService
from standins.platform.service import Service, json_answer

DEFAULT_WORK_SECONDS = 0.5
DEFAULT_CAPACITY = Resources(16000, 65536, 0)


class RunMonitor:
    """Records the starts and ends of all runners and what must not happen among them.

    Attributes
    ----------
    violations : list of str
        Violations, in words.
    starts : list of tuple
        Task, run and runner of each start.
    runners : list of RunnerService
        Runners that are judged.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.starts: list[tuple[str, int, str]] = []
        self.runners: list[RunnerService] = []
        self._running: dict[str, set[tuple[str, int]]] = {}
        self._done: set[str] = set()

    def started(self, task: str, run: int, runner: str) -> None:
        """Record a start."""
        for other in self.runners:
            other.advance()
        self.starts.append((task, run, runner))
        if self._running.get(task):
            self.violations.append(
                f"{task} run {run} starts on {runner} beside {self._running[task]}"
            )
        if task in self._done:
            self.violations.append(f"{task} run {run} starts on {runner} after its end was noted")
        self._running.setdefault(task, set()).add((runner, run))

    def ended(self, task: str, run: int, runner: str) -> None:
        """Record an end."""
        self._running.get(task, set()).discard((runner, run))

    def noted(self, task: str, how: str) -> None:
        """Record that a runner was told to forget an end."""
        if how == "done":
            self._done.add(task)


class _Running:
    def __init__(
        self, run: int, started_at: float, ends_at: float, size: Resources, checkpoint: str
    ) -> None:
        self.run = run
        self.started_at = started_at
        self.ends_at = ends_at
        self.size = size
        self.checkpoint = checkpoint

    def percent(self, now: float) -> int:
        """Return how much of the work is done at a time, in percent."""
        return int(100 * (now - self.started_at) / max(self.ends_at - self.started_at, 0.001))


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
        Room, which the runner itself does not guard.
    work : Callable
        Returns the seconds that a task works, given its name.
    fails : Callable
        Returns whether a run fails, given the task's name and the run's number.
    rate : float
        Speed of the runner's clock.
    size : Callable
        Returns the size of a task, given its name.
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
        size: Callable[[str], Resources] = lambda task: NOTHING,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self._timers = timers
        self._monitor = monitor
        self._work = work
        self._fails = fails
        self._rate = rate
        self._size = size
        self._fence = 0
        self._lease = 0.0
        self._number = 0
        self._running: dict[str, _Running] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._highest: dict[str, int] = {}
        self._news = anyio.Event()
        monitor.runners.append(self)

    @property
    def clock(self) -> float:
        """The runner's own clock, in seconds."""
        return self._timers.now() * self._rate

    @property
    def running(self) -> list[str]:
        """Tasks that run now."""
        self.advance()
        return sorted(self._running)

    def record(self, upstream: str, address: str, state: str = "ready") -> bytes:
        """Return what the runner writes into the store."""
        capacity = {
            "cpu": self.capacity.cpu,
            "mem_mb": self.capacity.memory,
            "gpu": self.capacity.accelerators,
        }
        row = {"service": upstream, "address": address, "state": state, "capacity": capacity}
        return json.dumps({**row, "labels": ["a", "r1-1"], "zone": "a", "seq": 1}).encode()

    @override
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        if headers.get("ragworttiller-target-instance", self.name) != self.name:
            return json_answer(421)
        order = json.loads(body)
        self.advance()
        if order.get("fence_token", 0) < self._fence:
            return self._reply(409, {"reason": "fence"})
        self._fence = order.get("fence_token", 0)
        if target == "/-/run-start":
            return self._start(order)
        if target == "/-/run-stop":
            return self._stop(order)
        return await self._hold(order)

    def advance(self) -> None:
        """End what has ended by now, by its work or with the lease."""
        now, lapse = self._timers.now(), self._lease / self._rate
        for task, row in list(self._running.items()):
            if row.ends_at <= min(now, lapse):
                self._end(task, "failed" if self._fails(task, row.run) else "done")
            elif now > lapse:
                self._end(task, "lapsed")

    def crash(self) -> None:
        """End everything without a trace."""
        for task, row in self._running.items():
            self._monitor.ended(task, row.run, self.name)
        self._running.clear()

    def _start(self, order: dict[str, Any]) -> Answer:
        task, run = order["task"], order["run"]
        row = self._running.get(task)
        if row is not None and row.run == run:
            return self._reply(200)
        if run <= self._highest.get(task, 0):
            return self._reply(409, {"reason": "old"})
        if order["deadline_ms"] / 1000 <= self.clock:
            return self._reply(409, {"reason": "late"})
        self._lease = max(self._lease, order["deadline_ms"] / 1000)
        self._monitor.started(task, run, self.name)
        now = self._timers.now()
        checkpoint = order.get("last_checkpoint", "")
        self._running[task] = _Running(
            run, now, now + self._work(task), self._size(task), checkpoint
        )
        self._highest[task] = run
        used = sum(row.size.cpu for row in self._running.values())
        if used > self.capacity.cpu:
            self._monitor.violations.append(f"{task} takes {self.name} to {used} of its processors")
        return self._reply(200)

    def _stop(self, order: dict[str, Any]) -> Answer:
        task, run = order["task"], order["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        row = self._running.get(task)
        if row is not None and row.run == run:
            self._end(task, "stopped")
        return self._reply(200)

    async def _hold(self, order: dict[str, Any]) -> Answer:
        if "deadline_ms" in order:
            self._lease = max(self._lease, order["deadline_ms"] / 1000)
        for number, task, _, how, _ in self._ended:
            if number <= order["last_seen"]:
                self._monitor.noted(task, how)
        self._ended = [row for row in self._ended if row[0] > order["last_seen"]]
        wait = order.get("wait_ms", 0) / 1000
        until = self._timers.now() + wait
        while wait and not self._ended and self._timers.now() < until:
            ends = [row.ends_at for row in self._running.values()]
            left = min([until, *ends]) - self._timers.now()
            with self._timers.move_on_after(max(left, 0.001)):
                await self._news.wait()
            self.advance()
        now = self._timers.now()
        running = [[t, r.run, r.checkpoint, r.percent(now), 0] for t, r in self._running.items()]
        return self._reply(200, {"running": running, "ended_runs": [list(r) for r in self._ended]})

    def _end(self, task: str, how: str) -> None:
        row = self._running.pop(task)
        self._number += 1
        self._ended.append((self._number, task, row.run, how, row.checkpoint))
        self._monitor.ended(task, row.run, self.name)
        self._news.set()
        self._news = anyio.Event()

    def _reply(self, status: int, body: dict[str, Any] | None = None) -> Answer:
        return json_answer(status, {"clock_ms": int(self.clock * 1000), **(body or {})})
