"""Workers needed for the same seeded mix by each placement policy, and accelerators left idle."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from bench.packing_mix import (
    ACCELERATED_WORKER,
    LE_GOFF_WORKER,
    build_cell,
    dominant_share,
    le_goff_needs,
    lower_bound,
    worker_room,
)
from bench.table import Row, verdict
from ragworttiller.placement.index import RoomIndex
from ragworttiller.placement.policy import Demand
from ragworttiller.placement.registry import policy_named
from ragworttiller.resources import Resources

SEEDS = (1, 2, 3, 4, 5)
FILLS = ((170, "24 workers"), (2400, "320 workers"))
REPLACEMENTS_PER_TASK = 3
ROUND_TASKS = 64
MAX_RATIO = 1.05
CHOSEN_POLICY = "best_fit_all"
POLICIES = (
    "random",
    "first_fit",
    "best_fit",
    "alignment",
    CHOSEN_POLICY,
    "packing_first",
    "waiting_first",
)


PackingRun = Callable[[str, int, int], "Packing"]


class Packing(NamedTuple):
    """Number of workers used, and a lower bound on it."""

    used: int
    bound: int


class _GrowingCell:
    """Cell that grows by one worker whenever a task fits on none."""

    def __init__(self, policy: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._index = RoomIndex(self._rng)
        self._policy = policy_named(policy, self._rng)
        self._running: list[tuple[str, Resources]] = []

    @property
    def needs(self) -> list[Resources]:
        return [need for _, need in self._running]

    def __len__(self) -> int:
        return len(self._index)

    def place(self, need: Resources) -> None:
        choice = self._policy.choose(Demand(need), self._index)
        name = f"w{len(self._index):04d}" if choice is None else choice.worker
        if choice is None:
            self._index.add(worker_room(len(self._index), LE_GOFF_WORKER))
        self._index.book(name, need)
        self._running.append((name, need))

    def end_random_task(self) -> None:
        position = self._rng.randrange(len(self._running))
        self._running[position], self._running[-1] = self._running[-1], self._running[position]
        self._index.free(*self._running.pop())


def fill(policy: str, count: int, seed: int, round_tasks: int = 1) -> Packing:
    """Place tasks, the largest of each round first, and add a worker whenever none has room."""
    needs = le_goff_needs(count, random.Random(seed))
    cell = _GrowingCell(policy, seed)
    for start in range(0, count, round_tasks):
        waiting = needs[start : start + round_tasks]
        for need in sorted(waiting, key=lambda n: -dominant_share(n, LE_GOFF_WORKER)):
            cell.place(need)
    return Packing(len(cell), math.ceil(lower_bound(needs, LE_GOFF_WORKER)))


def fill_in_rounds(policy: str, count: int, seed: int) -> Packing:
    """Place tasks in rounds by size; the scheduler orders its queue by urgency and deadline."""
    return fill(policy, count, seed, ROUND_TASKS)


def churn(policy: str, count: int, seed: int) -> Packing:
    """Place tasks, then replace one at a time, `REPLACEMENTS_PER_TASK` times their number."""
    needs = le_goff_needs(count * (1 + REPLACEMENTS_PER_TASK), random.Random(seed))
    cell = _GrowingCell(policy, seed)
    bound = 0.0
    for number, need in enumerate(needs):
        if number >= count:
            cell.end_random_task()
        cell.place(need)
        if number >= count - 1 and number % 16 == 0:
            bound = max(bound, lower_bound(cell.needs, LE_GOFF_WORKER))
    return Packing(len(cell), math.ceil(bound))


def idle_accelerators(policy: str, seed: int) -> tuple[int, int]:
    """Return the accelerators left idle while tasks wait for them, and all accelerators.

    Tasks without accelerators fill the cell first; tasks that need one accelerator each follow.
    """
    rng = random.Random(seed)
    index = build_cell(60, 20, rng)
    placement_policy = policy_named(policy, rng)
    accelerated_need = Resources(8000, 16384, 1)
    rejections = 0
    while rejections < 50:
        need = Resources(rng.randrange(500, 8001, 250), rng.randrange(1024, 16385, 256), 0)
        choice = placement_policy.choose(Demand(need), index)
        rejections += choice is None
        if choice is not None:
            index.book(choice.worker, need)
    started = 0
    while (choice := placement_policy.choose(Demand(accelerated_need), index)) is not None:
        index.book(choice.worker, accelerated_need)
        started += 1
    total = 20 * ACCELERATED_WORKER.accelerators
    return total - started, total


def rows() -> list[Row]:
    """Return the rows of this group."""
    result = [
        _packing_row(what, run, count, size) for what, run in RUNS.items() for count, size in FILLS
    ]
    return [*result, _accelerator_row()]


def _packing_row(what: str, run: PackingRun, count: int, size: str) -> Row:
    seeds = SEEDS if count < 1000 else SEEDS[:2]
    ratios = {}
    for name in POLICIES:
        packed = [run(name, count, seed) for seed in seeds]
        ratios[name] = sum(p.used for p in packed) / sum(p.bound for p in packed)
    ours = ratios[CHOSEN_POLICY]
    return Row(
        "packing",
        f"workers used to bound, {size}, {what}",
        ", ".join(f"{n} {ratios[n]:.3f}" for n in POLICIES[:3]),
        ", ".join(f"{n} {ratios[n]:.3f}" for n in POLICIES[3:]),
        f"{CHOSEN_POLICY} up to {MAX_RATIO}",
        verdict(ours <= MAX_RATIO, "placed tasks do not move, so gaps remain where others ended"),
    )


def _accelerator_row() -> Row:
    idle = {name: idle_accelerators(name, 1) for name in POLICIES}
    return Row(
        "packing",
        "accelerators idle while work for them waits, after plain work filled the cell",
        ", ".join(f"{n} {idle[n][0]}" for n in POLICIES[:3]),
        ", ".join(f"{n} {idle[n][0]}" for n in POLICIES[3:]) + f" of {idle[CHOSEN_POLICY][1]}",
        f"{CHOSEN_POLICY} 0",
        verdict(idle[CHOSEN_POLICY][0] == 0, "other tasks took the room beside free accelerators"),
    )


RUNS: dict[str, PackingRun] = {
    "one by one as they come": fill,
    f"trial order in rounds of {ROUND_TASKS}, largest first": fill_in_rounds,
    "then each replaced 3 times": churn,
}
