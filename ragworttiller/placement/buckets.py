"""Buckets that group workers by their free room."""

from __future__ import annotations

import random
from collections.abc import Iterator
from enum import Enum
from itertools import chain

from ragworttiller.placement.members import NameSet
from ragworttiller.placement.rules import Site
from ragworttiller.resources import Resources

CPU_STEP_MILLICORES = 250
MEMORY_STEP_MIB = 256

Levels = tuple[int, int, int]


class Order(Enum):
    """Order in which buckets are searched, always those with the fewest free accelerators first."""

    TIGHTEST = "tightest"
    TIGHTEST_CPU = "tightest_cpu"
    TIGHTEST_MEMORY = "tightest_memory"
    LARGEST = "largest"


class Bucket:
    """Schedulable workers whose free room lies between the same powers of two."""

    __slots__ = ("levels", "members", "by_site")

    def __init__(self, levels: Levels) -> None:
        self.levels = levels
        self.members = NameSet()
        self.by_site: dict[Site, NameSet] = {}

    def add(self, name: str, site: Site) -> None:
        """Add a worker that is not in the bucket."""
        self.members.add(name)
        self.by_site.setdefault(site, NameSet()).add(name)

    def remove(self, name: str, site: Site) -> None:
        """Remove a worker that is in the bucket."""
        self.members.remove(name)
        site_members = self.by_site[site]
        site_members.remove(name)
        if not site_members:
            del self.by_site[site]

    def names(self, sites: frozenset[Site] | None, rng: random.Random) -> Iterator[str]:
        """Yield the members at ``sites``, or at any site if None, starting at a random one."""
        if sites is None:
            return self.members.iterate_from_random(rng)
        present = [site for site in self.by_site if site in sites]
        rng.shuffle(present)
        return chain.from_iterable(self.by_site[site].iterate_from_random(rng) for site in present)


def levels_of(room: Resources) -> Levels:
    """Return the bucket levels of a free room: a power of two for each resource."""
    return (
        max(room.accelerators, 0).bit_length(),
        (max(room.cpu, 0) // CPU_STEP_MILLICORES).bit_length(),
        (max(room.memory, 0) // MEMORY_STEP_MIB).bit_length(),
    )


def sort_key(order: Order, bucket: Bucket) -> tuple[int, int, int]:
    """Return the key that sorts buckets in an order."""
    accelerators, cpu, memory = bucket.levels
    if order is Order.TIGHTEST_CPU:
        return accelerators, cpu, memory
    if order is Order.TIGHTEST_MEMORY:
        return accelerators, memory, cpu
    total = cpu + memory
    return accelerators, -total if order is Order.LARGEST else total, cpu
