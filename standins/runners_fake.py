"""In-process runners with slots, a queue, connections and faults, for tests and benchmarks."""

from __future__ import annotations

import random
from collections import deque

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.exceptions import RunnerBroken, RunnerRefused
from ragworttiller.services.directory import ListedRunner
from ragworttiller.services.runner import Answer, Exchange, RunnerConnection, RunnerDialer
from ragworttiller.timers import TimerService

SLOTS = 8
MAX_CONNECTIONS = 64
FAILING_SERVICE_SECONDS = 0.002


class FakeRunner:
    """Runner that processes up to `SLOTS` requests at once and queues the others.

    ``mean`` is the mean service time in seconds, ``slow`` multiplies it. ``fail_share`` is the
    share of requests that get status 500 after `FAILING_SERVICE_SECONDS`. A runner that is ``down``
    refuses connections and requests and breaks the requests in flight.
    """

    def __init__(
        self,
        name: str,
        upstream: str,
        mean: float,
        timers: TimerService,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.state = "live"
        self.slow = 1.0
        self.fail_share = 0.0
        self.down = False
        self.received = 0
        self.started = 0
        self.connections = 0
        self.violations: list[str] = []
        self._mean_seconds = mean
        self._timers = timers
        self._tasks = tasks
        self._rng = rng
        self._running = 0
        self._waiting: deque[anyio.Event] = deque()
        self._resumed = anyio.Event()
        self._resumed.set()

    @property
    def listed(self) -> ListedRunner:
        """Row of the platform's directory."""
        return ListedRunner(
            self.upstream, self.name, f"fake:{self.name}", "", SLOTS, MAX_CONNECTIONS, self.state
        )

    def pause(self) -> None:
        """Stop starting and finishing requests until `resume`."""
        self._resumed = anyio.Event()

    def resume(self) -> None:
        """Continue after `pause`."""
        self._resumed.set()

    def accept(self, exchange: Exchange) -> _AcceptedRequest:
        """Accept a request; it is processed even if nobody waits for its answer."""
        self.received += 1
        accepted = _AcceptedRequest(exchange)
        self._tasks.start_soon(self._serve, accepted)
        return accepted

    async def _serve(self, accepted: _AcceptedRequest) -> None:
        await self._resumed.wait()
        if self._running >= SLOTS:
            slot_free = anyio.Event()
            self._waiting.append(slot_free)
            await slot_free.wait()
        else:
            self._running += 1
        self.started += 1
        failing = self._rng.random() < self.fail_share
        seconds = (
            FAILING_SERVICE_SECONDS
            if failing
            else self._rng.expovariate(1 / self._mean_seconds) * self.slow
        )
        await self._timers.sleep(seconds)
        await self._resumed.wait()
        accepted.finish(Answer(500 if failing else 200, [], accepted.exchange.body))
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._running -= 1


class _AcceptedRequest:
    """Request that a runner has accepted."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.answer: Answer | None = None
        self.done = anyio.Event()

    def finish(self, answer: Answer) -> None:
        self.answer = answer
        self.done.set()


class _FakeConnection(RunnerConnection):
    def __init__(self, runner: FakeRunner) -> None:
        self._runner = runner
        self._open = False
        self._outstanding = False

    @override
    async def open(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self._runner.down or self._runner.connections >= MAX_CONNECTIONS:
            raise RunnerRefused(runner=self._runner.name)
        self._open = True
        self._runner.connections += 1

    @override
    async def exchange(self, exchange: Exchange) -> Answer:
        if self._outstanding or not self._open:
            self._runner.violations.append(f"connection reused: {exchange.path}")
        if self._runner.down:
            raise RunnerRefused(runner=self._runner.name)
        self._outstanding = True
        accepted = self._runner.accept(exchange)
        await accepted.done.wait()
        if self._runner.down:
            raise RunnerBroken(runner=self._runner.name)
        self._outstanding = False
        assert accepted.answer is not None
        return accepted.answer

    @override
    async def close(self) -> None:
        if self._open:
            self._open = False
            self._runner.connections -= 1


class FakeDialer(RunnerDialer):
    """Connections to fake runners."""

    def __init__(self, runners: list[FakeRunner]) -> None:
        self._runners = {runner.name: runner for runner in runners}

    @override
    def connection(self, runner: str, address: str) -> RunnerConnection:
        return _FakeConnection(self._runners[runner])
