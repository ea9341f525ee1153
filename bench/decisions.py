"""Cost of a placement decision at three sizes of the cell, and of a routing decision."""

from __future__ import annotations

import logging
import random
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.packing_mix import build_cell
from bench.table import Row, verdict
from ragworttiller.connection.connection_pool import RunnerConnectionPool
from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import NoRunner
from ragworttiller.placement.index import RoomIndex
from ragworttiller.placement.policy import Demand, Policy
from ragworttiller.placement.registry import policy_named
from ragworttiller.placement.rules import Rules
from ragworttiller.request.sender import UpstreamRequest
from ragworttiller.resources import Resources
from ragworttiller.routing.attempt import RoutingContext
from ragworttiller.routing.settings import UpstreamSettings
from ragworttiller.routing.upstream import UpstreamRouter
from ragworttiller.services.directory import ListedRunner
from ragworttiller.services.runner import Exchange
from ragworttiller.timers import SystemTimers

SIZES = (48, 300, 1300)
ACCELERATED_SHARE = 425 / 1300  # with four accelerators each: 1,700 at 1,300 workers
TASKS_PER_WORKER = 31_000 / 1300
DECISIONS = 2500
ENTRIES = 7
TARGET_P99_MS = 5.0
TARGET_PLACEMENTS_PER_SECOND = 3000
SEED = 1
BASELINES = ("random", "first_fit", "best_fit")
CANDIDATES = ("alignment", "best_fit_all", "packing_first", "waiting_first")
CHOSEN_POLICY = "best_fit_all"
ROUTING_SIZES = (24, 100, 400)


class Cost(NamedTuple):
    """Times of a decision in microseconds, and decisions a second of one process."""

    mean: float
    p50: float
    p99: float
    rate: float


class _Durations:
    """Durations of decisions."""

    def __init__(self) -> None:
        self._count = 0
        self._total = 0.0
        self._histogram = HdrHistogram(1, 10**9, 3)

    def add(self, seconds: float) -> None:
        self._count += 1
        self._total += seconds
        self._histogram.record_value(int(seconds * 1e9))

    def cost(self) -> Cost:
        return Cost(
            self._total / self._count * 1e6,
            self._histogram.get_value_at_percentile(50) / 1000,
            self._histogram.get_value_at_percentile(99) / 1000,
            self._count / self._total,
        )


class _ChurningCell:
    """Cell whose tasks end in random order while others are placed."""

    def __init__(self, policy: Policy, index: RoomIndex, rng: random.Random) -> None:
        self.policy = policy
        self._index = index
        self._rng = rng
        self._running: list[tuple[str, Resources]] = []

    @property
    def running(self) -> int:
        return len(self._running)

    def next_demand(self) -> Demand:
        """Return the demand of a random task, for some with an accelerator or placement rules."""
        rng = self._rng
        need = Resources(rng.randrange(250, 4001, 250), rng.randrange(256, 8193, 256), 0)
        if rng.random() < 0.05:
            need = need._replace(accelerators=1)
        if rng.random() < 0.1:
            return Demand(need, Rules(failure_domain=(f"fd{rng.randrange(7)}",)))
        return Demand(need)

    def place(self, demand: Demand) -> float:
        """Choose a worker and book the task on it; return the seconds taken."""
        started = time.perf_counter()
        choice = self.policy.choose(demand, self._index)
        if choice is not None:
            self._index.book(choice.worker, demand.need)
        taken = time.perf_counter() - started
        if choice is not None:
            self._running.append((choice.worker, demand.need))
        return taken

    def end_random_task(self) -> None:
        position = self._rng.randrange(len(self._running))
        self._running[position], self._running[-1] = self._running[-1], self._running[position]
        self._index.free(*self._running.pop())


def placement_cost(policy: str, workers: int) -> Cost:
    """Return the cost of a decision in a full cell, in which a task ends before each placement."""
    rng = random.Random(SEED)
    index = build_cell(workers, round(workers * ACCELERATED_SHARE), rng)
    churning = _ChurningCell(policy_named(CHOSEN_POLICY, rng), index, rng)
    for _ in range(round(workers * TASKS_PER_WORKER)):
        churning.place(churning.next_demand())
    churning.policy = policy_named(policy, rng)
    durations = _Durations()
    for _ in range(DECISIONS):
        churning.end_random_task()
        durations.add(churning.place(churning.next_demand()))
    return durations.cost()


def routing_cost(runners: int) -> Cost:
    """Return the cost of choosing a runner and of counting the request and its answer."""
    timers = SystemTimers()
    context = RoutingContext(
        timers, DecisionLog(), random.Random(SEED), lambda runner: _no_connection_pool()
    )
    router = UpstreamRouter("checks", UpstreamSettings(), context)
    listed = [
        ListedRunner("checks", f"checks-{i}", f"10.0.0.{i}:1", "fd0", 8, 64, "live")
        for i in range(runners)
    ]
    router.update(listed, ENTRIES)
    exchange = Exchange("GET", "/", [], b"")
    durations = _Durations()
    for number in range(DECISIONS):
        request = UpstreamRequest(f"r{number}", "ws", "checks", exchange, 0, 1.0)
        started = time.perf_counter()
        runner = router.try_acquire_runner(request, True, (), "first attempt")
        assert runner is not None
        runner.record_answer(timers.now(), 0.01, False)
        durations.add(time.perf_counter() - started)
    return durations.cost()


def _no_connection_pool() -> RunnerConnectionPool:
    raise NoRunner(upstream="checks")


def rows() -> list[Row]:
    """Return the rows of this group."""
    logging.getLogger("ragworttiller").setLevel(logging.ERROR)
    costs = {(n, w): placement_cost(n, w) for n in (*BASELINES, *CANDIDATES) for w in SIZES}
    result = [_size_row(costs, workers) for workers in SIZES]
    chosen_rate = costs[CHOSEN_POLICY, SIZES[-1]].rate * ENTRIES
    baseline_rate = costs["best_fit", SIZES[-1]].rate * ENTRIES
    result.append(
        Row(
            "decisions",
            f"placements a second of {ENTRIES} entries, {SIZES[-1]} workers, decision and booking",
            f"best_fit {baseline_rate:,.0f}",
            f"{CHOSEN_POLICY} {chosen_rate:,.0f}",
            f"{TARGET_PLACEMENTS_PER_SECOND:,}",
            verdict(chosen_rate >= TARGET_PLACEMENTS_PER_SECOND, "a decision costs too much"),
        )
    )
    chosen_growth = costs[CHOSEN_POLICY, SIZES[-1]].mean / costs[CHOSEN_POLICY, SIZES[0]].mean
    baseline_growth = costs["best_fit", SIZES[-1]].mean / costs["best_fit", SIZES[0]].mean
    bound = (SIZES[-1] / SIZES[0]) ** 0.5
    result.append(
        Row(
            "decisions",
            f"growth of the mean cost from {SIZES[0]} to {SIZES[-1]} workers",
            f"best_fit {baseline_growth:.1f}",
            f"{CHOSEN_POLICY} {chosen_growth:.1f}",
            f"below {bound:.1f}",
            verdict(chosen_growth < bound, "the cost grows with the workers"),
        )
    )
    routing = {n: routing_cost(n) for n in ROUTING_SIZES}
    result.append(
        Row(
            "decisions",
            "p50/p99 of a routing decision in us, its line left out",
            "",
            ", ".join(f"{n} runners {c.p50:.0f}/{c.p99:.0f}" for n, c in routing.items()),
            f"p99 within {TARGET_P99_MS:g} ms",
            verdict(
                max(c.p99 for c in routing.values()) <= TARGET_P99_MS * 1000,
                "all runners are weighed",
            ),
        )
    )
    return result


def _size_row(costs: dict[tuple[str, int], Cost], workers: int) -> Row:
    def format_costs(names: tuple[str, ...]) -> str:
        return ", ".join(
            f"{n} {costs[n, workers].p50:.0f}/{costs[n, workers].p99:.0f}" for n in names
        )

    worst = max(costs[name, workers].p99 for name in CANDIDATES) / 1000
    return Row(
        "decisions",
        f"p50/p99 of a decision in us, {workers} workers, {TASKS_PER_WORKER:.0f} tasks each",
        format_costs(BASELINES),
        format_costs(CANDIDATES),
        f"p99 within {TARGET_P99_MS:g} ms",
        verdict(worst <= TARGET_P99_MS, "the sample is too large"),
    )
