"""Queueing model: entries with the real dispatcher and fake runners, on virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import NoRunner, Overloaded, RagworttillerError
from ragworttiller.process.membership import FixedMembership
from ragworttiller.request.sender import UpstreamRequest
from ragworttiller.routing.dispatcher import Dispatcher
from ragworttiller.routing.settings import FixedUpstreams, UpstreamSettings
from ragworttiller.services.directory import Listing
from ragworttiller.services.runner import Exchange
from standins.peers import MemoryNetwork
from standins.runners_fake import FakeDialer, FakeRunner
from standins.virtual_time import LoopTimers, run_virtual

UPSTREAM = "checks"
ENTRIES = 7
RUNNERS = 24
SLOTS = 8
MEAN_SECONDS = 0.05
BUDGET_SECONDS = 1.0
WARM_UP_SECONDS = 1.0
MEASURED_SECONDS = 2.5
LIST_LAG_SECONDS = 1.0
CAPACITY = RUNNERS * SLOTS / MEAN_SECONDS
MICROSECONDS_PER_SECOND = 1_000_000


class Scenario(NamedTuple):
    """One run; ``load`` is a share of capacity, ``fault`` is one of `FAULTS`.

    ``once_share`` is the share of requests that are not idempotent.
    """

    policy: str
    load: float
    fault: str = ""
    hedging: bool = False
    once_share: float = 0.0
    seconds: float = MEASURED_SECONDS
    seed: int = 5


class Result(NamedTuple):
    """Measurements of one run; times in milliseconds, ``goodput`` in answers a second.

    ``unstarted`` counts requests that a runner received and had not started at the end.
    ``crossed`` counts answers to another request and connections used while closed or busy.
    """

    p50: float
    p99: float
    offered: int
    answered: int
    refused: int
    failed: int
    refused_p99: float
    goodput: float
    requests: int
    retries: int
    hedges: int
    attempts: int
    unstarted: int
    crossed: int
    decisions: int


class Model:
    """Entries, runners and the platform's list of runners; `start` must be called first."""

    def __init__(self, scenario: Scenario, tasks: TaskGroup) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.tasks = tasks
        self.timers = LoopTimers()
        self.network = MemoryNetwork(self.timers)
        self.runners = [self._runner(i) for i in range(RUNNERS)]
        self.listing = self._current_listing()
        self.names = [f"entry-{i}" for i in range(ENTRIES)]
        self.groups: dict[str, TaskGroup] = {}
        self.memberships = {name: FixedMembership(name, self.names) for name in self.names}
        self.decisions = {name: DecisionLog() for name in self.names}
        settings = UpstreamSettings(policy=scenario.policy, hedging=scenario.hedging)
        self.entries = {
            name: Dispatcher(
                FakeDialer(self.runners),
                lambda: self.listing,
                self.network.peers(name),
                self.memberships[name],
                FixedUpstreams(settings),
                self.timers,
                self.decisions[name],
                random.Random(f"{scenario.seed}/{name}"),
            )
            for name in self.names
        }
        self.latencies = HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
        self.refusal_latencies = HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
        self.failures: dict[str, int] = {}
        self.offered = self.crossed = self.answered_in_window = 0
        self.measuring = False

    async def start(self) -> None:
        """Start the entries."""
        self.tasks.start_soon(self.network.run)
        for name, entry in self.entries.items():
            self.tasks.start_soon(self._run_entry, name, entry)
        await self.timers.sleep(0.001)

    async def kill_entry(self) -> None:
        """Kill one entry; the others notice two seconds later."""
        name = self.names.pop()
        self.groups[name].cancel_scope.cancel()
        self.network.remove(name)
        await self.timers.sleep(2.0)
        for membership in self.memberships.values():
            membership.set_members(list(self.names))

    async def mark_runner_leaving(self) -> None:
        """Mark one runner as leaving; the list shows it after `LIST_LAG_SECONDS`."""
        self.runners[0].state = "leaving"
        await self.timers.sleep(LIST_LAG_SECONDS)
        self.listing = self._current_listing()

    async def request(self, name: str, number: int) -> None:
        """Send one request through an entry and record its outcome."""
        measured = self.measuring
        self.offered += measured
        once = self.rng.random() < self.scenario.once_share
        body = str(number).encode()
        exchange = Exchange("POST" if once else "GET", "/", [], body)
        request = UpstreamRequest(f"r{number}", "ws", UPSTREAM, exchange, int(once), BUDGET_SECONDS)
        entry = self.entries[name]
        started = self.timers.now()
        try:
            answer = await (entry.send_once(request) if once else entry.send(request))
        except RagworttillerError as exc:
            self._record_error(exc, started, measured)
            return
        self.crossed += answer.body != body
        if answer.status >= 500:
            self.failures["status"] = self.failures.get("status", 0) + measured
            return
        self.answered_in_window += self.measuring
        if measured:
            self.latencies.record_value(
                int((self.timers.now() - started) * MICROSECONDS_PER_SECOND)
            )

    def result(self) -> Result:
        """Return the measurements so far."""
        refused = self.refusal_latencies.get_total_count()
        answered = self.latencies.get_total_count()
        counters = [entry.upstream_counters[UPSTREAM] for entry in self.entries.values()]
        return Result(
            self.latencies.get_value_at_percentile(50) / 1000,
            self.latencies.get_value_at_percentile(99) / 1000,
            self.offered,
            answered,
            refused,
            sum(self.failures.values()),
            self.refusal_latencies.get_value_at_percentile(99) / 1000,
            self.answered_in_window / self.scenario.seconds,
            sum(c.requests for c in counters),
            sum(c.retries for c in counters),
            sum(c.hedges for c in counters),
            sum(c.attempts for c in counters),
            sum(r.received for r in self.runners) - sum(r.started for r in self.runners),
            self.crossed + sum(len(r.violations) for r in self.runners),
            sum(d.count for d in self.decisions.values()),
        )

    def _record_error(self, exc: RagworttillerError, started: float, measured: bool) -> None:
        if not measured:
            return
        if isinstance(exc, Overloaded | NoRunner):
            self.refusal_latencies.record_value(
                int((self.timers.now() - started) * MICROSECONDS_PER_SECOND) + 1
            )
        else:
            self.failures[exc.code] = self.failures.get(exc.code, 0) + 1

    async def _run_entry(self, name: str, entry: Dispatcher) -> None:
        async with anyio.create_task_group() as tasks:
            self.groups[name] = tasks
            await entry.run()

    def _runner(self, number: int) -> FakeRunner:
        rng = random.Random(f"{self.scenario.seed}/{number}")
        name = f"checks-{number:02d}"
        return FakeRunner(name, UPSTREAM, MEAN_SECONDS, self.timers, self.tasks, rng)

    def _current_listing(self) -> Listing:
        return Listing([], [runner.listed for runner in self.runners], [])


def _slow(model: Model) -> None:
    model.runners[0].slow = 10.0


def _failing(model: Model) -> None:
    model.runners[0].fail_share = 1.0


def _third_failing(model: Model) -> None:
    for runner in model.runners:
        runner.fail_share = 0.3


def _paused(model: Model) -> None:
    model.runners[0].pause()


def _down(model: Model) -> None:
    model.runners[0].down = True


def _leaving(model: Model) -> None:
    model.tasks.start_soon(model.mark_runner_leaving)


def _entry_lost(model: Model) -> None:
    model.tasks.start_soon(model.kill_entry)


FAULTS: dict[str, Callable[[Model], None]] = {
    "": lambda model: None,
    "slow": _slow,
    "failing": _failing,
    "third failing": _third_failing,
    "paused": _paused,
    "down": _down,
    "leaving": _leaving,
    "entry lost": _entry_lost,
}


async def _send_arrivals(model: Model, seconds: float, first: int) -> int:
    rate = model.scenario.load * CAPACITY
    number, at = first, model.timers.now()
    end = at + seconds
    while (at := at + model.rng.expovariate(rate)) < end:
        await model.timers.sleep(at - model.timers.now())
        name = model.rng.choice(model.names)
        model.groups[name].start_soon(model.request, name, number)
        number += 1
    return number


async def _run(scenario: Scenario) -> Result:
    async with anyio.create_task_group() as tasks:
        model = Model(scenario, tasks)
        await model.start()
        number = await _send_arrivals(model, WARM_UP_SECONDS, 0)
        FAULTS[scenario.fault](model)
        model.measuring = True
        await _send_arrivals(model, scenario.seconds, number)
        model.measuring = False
        await model.timers.sleep(BUDGET_SECONDS * 2)
        result = model.result()
        tasks.cancel_scope.cancel()
    return result


def simulate(scenario: Scenario) -> Result:
    """Run one scenario on virtual time."""
    return run_virtual(_run, scenario)
