"""Placement policies that weigh all resources of a few sampled workers."""

from __future__ import annotations

import random
from typing import ClassVar

from typing_extensions import override

from ragworttiller.placement.buckets import Order
from ragworttiller.placement.index import Accept, RoomIndex, WorkerRoom
from ragworttiller.placement.policy import Demand, Policy, site_load, within_limit
from ragworttiller.placement.rules import SPREAD_NONE, Site
from ragworttiller.resources import NOTHING, Resources

DECISIVE_PRICE = 0.6
RESERVED_SHARE = 0.5


class SampledPolicy(Policy):
    """Policy that scores a sample of the workers that fit.

    Work that needs no accelerator leaves room beside every free accelerator, for work that needs
    one: as much as such work was seen to need, or half of the accelerator's share of the worker
    while none was seen.
    """

    sample_size: ClassVar[int] = 16

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._beside = NOTHING

    @override
    def _candidates(self, demand: Demand, index: RoomIndex) -> list[WorkerRoom]:
        need = demand.need
        if need.accelerators:
            self._learn(need)
        sites, order = index.allowed_sites(demand.rules), self._order(index)
        for level in self._levels(demand, sites, index):
            found = index.sample(need, level, self.sample_size, order, self._accept(demand))
            if found:
                return found
        return []

    def _order(self, index: RoomIndex) -> Order:
        return Order.TIGHTEST

    def _levels(
        self, demand: Demand, sites: frozenset[Site] | None, index: RoomIndex
    ) -> list[frozenset[Site] | None]:
        """Return the sites to try, those with the fewest tasks of the job first."""
        if demand.rules.spread == SPREAD_NONE or demand.running_tasks is None:
            return [sites]
        by_load: dict[int, list[Site]] = {}
        for site in index.all_sites() if sites is None else sites:
            by_load.setdefault(site_load(demand, site), []).append(site)
        return [frozenset(by_load[load]) for load in sorted(by_load)]

    def _learn(self, need: Resources) -> None:
        each = Resources(need.cpu // need.accelerators, need.memory // need.accelerators, 1)
        self._beside = self._beside.maximum(each)

    def _accept(self, demand: Demand) -> Accept | None:
        need, limited = demand.need, demand.rules.max_per_worker > 0
        if need.accelerators:
            return (lambda worker: within_limit(demand, worker)) if limited else None
        return lambda worker: self._keeps_reserve(need, worker) and within_limit(demand, worker)

    def _keeps_reserve(self, need: Resources, worker: WorkerRoom) -> bool:
        """Return whether the room beside free accelerators stays free."""
        idle = worker.room.accelerators
        if idle <= 0:
            return True
        held = worker.capacity.accelerators
        cpu_share, memory_share = worker.capacity.cpu / held, worker.capacity.memory / held
        if self._beside is NOTHING:
            cpu, memory = cpu_share * RESERVED_SHARE, memory_share * RESERVED_SHARE
        else:
            cpu = min(cpu_share, self._beside.cpu)
            memory = min(memory_share, self._beside.memory)
        cpu_left, memory_left = worker.room.cpu - need.cpu, worker.room.memory - need.memory
        return cpu_left >= cpu * idle and memory_left >= memory * idle

    @override
    def _obstacle(self, demand: Demand) -> str:
        if demand.rules.max_per_worker:
            return super()._obstacle(demand)
        return "accelerators: the free room is kept for work that needs accelerators"


class AlignmentPolicy(SampledPolicy):
    """The worker whose free room points most in the direction of the need (dot product)."""

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
    """The worker with the least room left over all resources, each at its price.

    The price of a resource is the inverse of its free share of the cell, so that the resource that
    runs out first decides.
    """

    name = "best_fit_all"

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._cpu_price = self._memory_price = 0.5

    @override
    def _order(self, index: RoomIndex) -> Order:
        cpu, memory = index.free_shares()
        self._cpu_price, self._memory_price = memory / (cpu + memory), cpu / (cpu + memory)
        if self._cpu_price > DECISIVE_PRICE:
            return Order.TIGHTEST_CPU
        if self._memory_price > DECISIVE_PRICE:
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
    """Best fit over all resources with a larger sample, for few workers well filled."""

    name = "packing_first"
    sample_size = 48


class WaitingFirstPolicy(SampledPolicy):
    """The worker with the most room left on its scarcest resource, so that tasks run at ease."""

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
