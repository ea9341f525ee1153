"""Placement policies that score a sample of workers by all resources."""

from __future__ import annotations

import random
from typing import ClassVar

from typing_extensions import override

from ragworttiller.placement.buckets import Order
from ragworttiller.placement.index import Accept, RoomIndex, WorkerRoom
from ragworttiller.placement.policy import Demand, Policy, tasks_at_site, within_limit
from ragworttiller.placement.rules import SPREAD_NONE, Site
from ragworttiller.resources import NOTHING, Resources

MIN_DECISIVE_PRICE = 0.6
DEFAULT_RESERVE_SHARE = 0.5


class SampledPolicy(Policy):
    """Base of policies that score a sample of the workers that fit.

    Tasks without accelerators leave a reserve of processors and memory for every free accelerator
    of a worker, so that tasks with accelerators can use it: the largest need per accelerator seen
    so far, or half of the accelerator's share of the worker until one is seen.
    """

    sample_size: ClassVar[int] = 16

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._reserve_per_accelerator = NOTHING

    @override
    def _candidates(self, demand: Demand, index: RoomIndex) -> list[WorkerRoom]:
        need = demand.need
        if need.accelerators:
            self._raise_reserve(need)
        sites, order = index.allowed_sites(demand.rules), self._order(index)
        for group in self._site_groups(demand, sites, index):
            found = index.sample(need, group, self.sample_size, order, self._accept(demand))
            if found:
                return found
        return []

    def _order(self, index: RoomIndex) -> Order:
        return Order.TIGHTEST

    def _site_groups(
        self, demand: Demand, sites: frozenset[Site] | None, index: RoomIndex
    ) -> list[frozenset[Site] | None]:
        """Return groups of sites to try, those with the fewest tasks of the job first."""
        if demand.rules.spread == SPREAD_NONE or demand.running_tasks is None:
            return [sites]
        by_count: dict[int, list[Site]] = {}
        for site in index.all_sites() if sites is None else sites:
            by_count.setdefault(tasks_at_site(demand, site), []).append(site)
        return [frozenset(by_count[count]) for count in sorted(by_count)]

    def _raise_reserve(self, need: Resources) -> None:
        each = Resources(need.cpu // need.accelerators, need.memory // need.accelerators, 1)
        self._reserve_per_accelerator = self._reserve_per_accelerator.maximum(each)

    def _accept(self, demand: Demand) -> Accept | None:
        need, limited = demand.need, demand.rules.max_per_worker > 0
        if need.accelerators:
            return (lambda worker: within_limit(demand, worker)) if limited else None
        return lambda worker: self._leaves_reserve(need, worker) and within_limit(demand, worker)

    def _leaves_reserve(self, need: Resources, worker: WorkerRoom) -> bool:
        """Return whether the reserve for free accelerators stays free."""
        idle = worker.room.accelerators
        if idle <= 0:
            return True
        total = worker.capacity.accelerators
        cpu_share, memory_share = worker.capacity.cpu / total, worker.capacity.memory / total
        if self._reserve_per_accelerator is NOTHING:
            cpu, memory = cpu_share * DEFAULT_RESERVE_SHARE, memory_share * DEFAULT_RESERVE_SHARE
        else:
            cpu = min(cpu_share, self._reserve_per_accelerator.cpu)
            memory = min(memory_share, self._reserve_per_accelerator.memory)
        cpu_left, memory_left = worker.room.cpu - need.cpu, worker.room.memory - need.memory
        return cpu_left >= cpu * idle and memory_left >= memory * idle

    @override
    def _obstacle(self, demand: Demand) -> str:
        if demand.rules.max_per_worker:
            return super()._obstacle(demand)
        return "accelerators: the free room is kept for work that needs accelerators"


class AlignmentPolicy(SampledPolicy):
    """Chooses the worker whose free room aligns best with the need, by dot product."""

    name = "alignment"

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        capacity, room = worker.capacity, worker.room
        score = need.cpu * room.cpu / (capacity.cpu * capacity.cpu or 1)
        score += need.memory * room.memory / (capacity.memory * capacity.memory or 1)
        if need.accelerators:
            score += need.accelerators * room.accelerators / capacity.accelerators**2
        return score


class BestFitAllPolicy(SampledPolicy):
    """Chooses the worker with the least room left, as a sum over resources weighted by price.

    The price of a resource is inversely proportional to its free share of the cell, so that the
    scarcest resource weighs most.
    """

    name = "best_fit_all"

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._cpu_price = self._memory_price = 0.5

    @override
    def _order(self, index: RoomIndex) -> Order:
        cpu, memory = index.free_shares()
        self._cpu_price, self._memory_price = memory / (cpu + memory), cpu / (cpu + memory)
        if self._cpu_price > MIN_DECISIVE_PRICE:
            return Order.TIGHTEST_CPU
        if self._memory_price > MIN_DECISIVE_PRICE:
            return Order.TIGHTEST_MEMORY
        return Order.TIGHTEST

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        capacity, room = worker.capacity, worker.room
        score = -self._cpu_price * (room.cpu - need.cpu) / (capacity.cpu or 1)
        score -= self._memory_price * (room.memory - need.memory) / (capacity.memory or 1)
        if capacity.accelerators:
            score -= (room.accelerators - need.accelerators) / capacity.accelerators
        return score


class PackingFirstPolicy(BestFitAllPolicy):
    """Best fit over all resources with a larger sample, to fill fewer workers."""

    name = "packing_first"
    sample_size = 48


class WaitingFirstPolicy(SampledPolicy):
    """Chooses the worker with the most room left of its scarcest resource, to limit contention."""

    name = "waiting_first"

    @override
    def _order(self, index: RoomIndex) -> Order:
        return Order.LARGEST

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        capacity, room = worker.capacity, worker.room
        cpu = (room.cpu - need.cpu) / (capacity.cpu or 1)
        memory = (room.memory - need.memory) / (capacity.memory or 1)
        return min(cpu, memory)
