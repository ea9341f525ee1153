"""Cost of a placement decision at three sizes of the cell, and of a routing decision."""

from __future__ import annotations

import logging
import random
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.packing_mix import cell
from bench.table import Row, verdict
from ragworttiller.connection.runner_lanes import RunnerLanes
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
ACCELERATED_SHARE = 425 / 1300  # four each: 1,700 accelerators at 1,300 workers
TASKS_PER_WORKER = 31_000 / 1300
DECISIONS = 2500
ENTRIES = 7
TARGET_P99_MS = 5.0
TARGET_RATE = 3000
SEED = 1
BASELINES = ("random", "first_fit", "best_fit")
OURS = ("alignment", "best_fit_all", "packing_first", "waiting_first")
CHOSEN = "best_fit_all"
ROUTING_SIZES = (24, 100, 400)


class Cost(NamedTuple):
    """Times of a decision in microseconds, and decisions a second of one process."""

    mean: float
    p50: float
    p99: float
    rate: float


class _Load:
    """Cell under churn."""

    def __init__(self, policy: Policy, index: RoomIndex, rng: random.Random) -> None:
        self.policy = policy
        self._index = index
        self._rng = rng
        self._running: list[tuple[str, Resources]] = []

    @property
    def running(self) -> int:
        return len(self._running)

    def demand(self) -> Demand:
        """Return the next task, some with rules."""
        rng = self._rng
        need = Resources(rng.randrange(250, 4001, 250), rng.randrange(256, 8193, 256), 0)
        if rng.random() < 0.05:
            need = need._replace(accelerators=1)
        if rng.random() < 0.1:
            return Demand(need, Rules(failure_domain=(f"fd{rng.randrange(7)}",)))
        return Demand(need)

    def place(self, demand: Demand) -> float:
        """Choose and book; return the seconds that this took."""
        started = time.perf_counter()
        choice = self.policy.choose(demand, self._index)
        if choice is not None:
            self._index.book(choice.worker, demand.need)
        taken = time.perf_counter() - started
        if choice is not None:
            self._running.append((choice.worker, demand.need))
        return taken

    def end_one(self) -> None:
        """End a random task."""
        position = self._rng.randrange(len(self._running))
        self._running[position], self._running[-1] = self._running[-1], self._running[position]
        self._index.free(*self._running.pop())


def cost(policy: str, workers: int) -> Cost:
    """Return the cost of a decision in a full cell, one task ending for each that comes."""
    rng = random.Random(SEED)
    index = cell(workers, round(workers * ACCELERATED_SHARE), rng)
    load = _Load(policy_named(CHOSEN, rng), index, rng)
    for _ in range(round(workers * TASKS_PER_WORKER)):
        load.place(load.demand())
    load.policy = policy_named(policy, rng)
    histogram = HdrHistogram(1, 10**9, 3)
    total = 0.0
    for _ in range(DECISIONS):
        load.end_one()
        taken = load.place(load.demand())
        total += taken
        histogram.record_value(int(taken * 1e9))
    return Cost(
        total / DECISIONS * 1e6,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        DECISIONS / total,
    )


def routing_cost(runners: int) -> Cost:
    """Return the cost of choosing a runner and counting the request there and back."""
    timers = SystemTimers()
    context = RoutingContext(timers, DecisionLog(), random.Random(SEED), lambda runner: _no_lanes())
    router = UpstreamRouter("checks", UpstreamSettings(), context)
    listed = [
        ListedRunner("checks", f"checks-{i}", f"10.0.0.{i}:1", "fd0", 8, 64, "live")
        for i in range(runners)
    ]
    router.update(listed, ENTRIES)
    exchange = Exchange("GET", "/", [], b"")
    histogram = HdrHistogram(1, 10**9, 3)
    total = 0.0
    for number in range(DECISIONS):
        request = UpstreamRequest(f"r{number}", "ws", "checks", exchange, 0, 1.0)
        started = time.perf_counter()
        runner = router.try_acquire_runner(request, True, (), "first attempt")
        assert runner is not None
        runner.record_answer(timers.now(), 0.01, False)
        taken = time.perf_counter() - started
        total += taken
        histogram.record_value(int(taken * 1e9))
    return Cost(
        total / DECISIONS * 1e6,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        DECISIONS / total,
    )


def _no_lanes() -> RunnerLanes:
    raise NoRunner(upstream="checks")


def rows() -> list[Row]:
    """Return the rows of this group."""
    logging.getLogger("ragworttiller").setLevel(logging.ERROR)
    costs = {(n, w): cost(n, w) for n in (*BASELINES, *OURS) for w in SIZES}
    result = [_size_row(costs, workers) for workers in SIZES]
    rate = costs[CHOSEN, SIZES[-1]].rate * ENTRIES
    base = costs["best_fit", SIZES[-1]].rate * ENTRIES
    result.append(
        Row(
            "decisions",
            f"placements a second of {ENTRIES} entries, {SIZES[-1]} workers, decision and booking",
            f"best_fit {base:,.0f}",
            f"{CHOSEN} {rate:,.0f}",
            f"{TARGET_RATE:,}",
            verdict(rate >= TARGET_RATE, "a decision costs too much"),
        )
    )
    growth = costs[CHOSEN, SIZES[-1]].mean / costs[CHOSEN, SIZES[0]].mean
    plain = costs["best_fit", SIZES[-1]].mean / costs["best_fit", SIZES[0]].mean
    bound = (SIZES[-1] / SIZES[0]) ** 0.5
    result.append(
        Row(
            "decisions",
            f"growth of the mean cost from {SIZES[0]} to {SIZES[-1]} workers",
            f"best_fit {plain:.1f}",
            f"{CHOSEN} {growth:.1f}",
            f"below {bound:.1f}",
            verdict(growth < bound, "the cost grows with the workers"),
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
    def shown(names: tuple[str, ...]) -> str:
        return ", ".join(
            f"{n} {costs[n, workers].p50:.0f}/{costs[n, workers].p99:.0f}" for n in names
        )

    worst = max(costs[name, workers].p99 for name in OURS) / 1000
    return Row(
        "decisions",
        f"p50/p99 of a decision in us, {workers} workers, {TASKS_PER_WORKER:.0f} tasks each",
        shown(BASELINES),
        shown(OURS),
        f"p99 within {TARGET_P99_MS:g} ms",
        verdict(worst <= TARGET_P99_MS, "the sample is too large"),
    )
