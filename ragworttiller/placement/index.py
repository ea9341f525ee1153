"""Index of workers by their free room.

Workers are grouped in buckets by the powers of two of their free accelerators, processors and
memory. The number of buckets does not grow with the number of workers, so neither does the cost
of finding a few that fit.
"""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import NamedTuple

from ragworttiller.exceptions import NotFound
from ragworttiller.placement.buckets import (
    Bucket,
    Levels,
    Order,
    levels_of,
    sort_key,
)
from ragworttiller.placement.rules import Rules, Site, site_allowed
from ragworttiller.resources import NO_RESOURCES, Resources

MAX_EXAMINED_WORKERS = 64
MIN_FREE_SHARE = 0.01

SCHEDULABLE_STATES = frozenset({"live", "up"})

Accept = Callable[["WorkerRoom"], bool]


class WorkerRoom(NamedTuple):
    """Worker with its free room.

    ``room`` may be negative: licensed tasks and reported use count even beyond the capacity. Only
    workers in state ``live`` (``up`` in records) are schedulable.
    """

    name: str
    capacity: Resources
    room: Resources
    failure_domain: str
    rack: str
    labels: frozenset[str] = frozenset()
    state: str = "live"


def site_of(worker: WorkerRoom) -> Site:
    """Return the site of a worker."""
    return Site(worker.failure_domain, worker.rack, frozenset(worker.labels))


class RoomIndex:
    """Workers indexed by their free room.

    Parameters
    ----------
    rng : random.Random
        Random numbers for the start of sampling.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, WorkerRoom] = {}
        self._sites: dict[str, Site] = {}
        self._buckets: dict[Levels, Bucket] = {}
        self._ordered: dict[Order, list[Bucket]] = {order: [] for order in Order}
        self._capacity = NO_RESOURCES
        self._room = NO_RESOURCES
        self._site_counts: dict[Site, int] = {}
        self._allowed_sites_by_rules: dict[Rules, frozenset[Site]] = {}
        self._shapes: dict[tuple[Site, Resources], int] = {}
        self._room_increases = 0

    @property
    def rng(self) -> random.Random:
        """Random numbers for sampling."""
        return self._rng

    @property
    def room_increases(self) -> int:
        """Counter of the changes that may add room, after which failed placements may succeed."""
        return self._room_increases

    @property
    def shapes(self) -> Iterable[tuple[Site, Resources]]:
        """Distinct sites and capacities of schedulable workers."""
        return self._shapes.keys()

    def __len__(self) -> int:
        return len(self._workers)

    def __contains__(self, name: str) -> bool:
        return name in self._workers

    def workers(self) -> Iterable[WorkerRoom]:
        """Return all workers in the order in which they were added."""
        return self._workers.values()

    def worker(self, name: str) -> WorkerRoom:
        """Return a worker.

        Raises
        ------
        NotFound
            The worker is not in the index.
        """
        try:
            return self._workers[name]
        except KeyError:
            raise NotFound(kind="worker", name=name) from None

    def total_free(self) -> Resources:
        """Return the free room of all schedulable workers together."""
        return self._room

    def free_shares(self) -> tuple[float, float]:
        """Return the free shares of all processors and of all memory, at least 1 %."""
        return (
            max(MIN_FREE_SHARE, self._room.cpu / (self._capacity.cpu or 1)),
            max(MIN_FREE_SHARE, self._room.memory / (self._capacity.memory or 1)),
        )

    def add(self, worker: WorkerRoom) -> None:
        """Add a worker, or replace the one of the same name."""
        if worker.name in self._workers:
            self.remove(worker.name)
        self._workers[worker.name] = worker
        site = self._sites[worker.name] = site_of(worker)
        self._room_increases += 1
        if worker.state in SCHEDULABLE_STATES:
            self._add_schedulable(worker, site)

    def update(self, worker: WorkerRoom) -> None:
        """Replace a worker of the same name, its room included."""
        self.add(worker)

    def remove(self, name: str) -> None:
        """Remove a worker.

        Raises
        ------
        NotFound
            The worker is not in the index.
        """
        worker = self.worker(name)
        del self._workers[name]
        site = self._sites.pop(name)
        if worker.state in SCHEDULABLE_STATES:
            self._remove_schedulable(worker, site)

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a worker and keep its room."""
        worker = self.worker(name)
        if worker.state != state:
            self.add(worker._replace(state=state))

    def book(self, name: str, need: Resources) -> None:
        """Subtract ``need`` from a worker's room.

        The room may become negative: licensed tasks are booked even if they exceed the room.
        """
        worker = self.worker(name)
        self._set_room(worker, worker.room.minus(need))

    def free(self, name: str, need: Resources) -> None:
        """Add ``need`` back to a worker's room."""
        worker = self.worker(name)
        self._room_increases += 1
        self._set_room(worker, worker.room.plus(need))

    def allowed_sites(self, rules: Rules) -> frozenset[Site] | None:
        """Return the sites that the rules allow, or None for all."""
        if not rules.failure_domain and not rules.labels:
            return None
        sites = self._allowed_sites_by_rules.get(rules)
        if sites is None:
            sites = frozenset(s for s in self._site_counts if site_allowed(s, rules))
            self._allowed_sites_by_rules[rules] = sites
        return sites

    def all_sites(self) -> frozenset[Site]:
        """Return the sites of all schedulable workers."""
        return frozenset(self._site_counts)

    def sample(
        self,
        need: Resources,
        sites: frozenset[Site] | None,
        count: int,
        order: Order = Order.TIGHTEST,
        accept: Accept | None = None,
    ) -> list[WorkerRoom]:
        """Return up to ``count`` workers that have room for ``need``.

        Buckets with more free accelerators are searched only if none with fewer has such a worker.

        Once one is found, the search ends after `MAX_EXAMINED_WORKERS` workers in all; an empty
        result means that no worker at ``sites`` has the room and meets ``accept``.

        Parameters
        ----------
        need : Resources
            Free room that each worker must have.
        sites : frozenset of Site, optional
            Sites to search, None for all.
        count : int
            Maximum number of workers.
        order : Order
            Order in which buckets are searched.
        accept : callable, optional
            Additional condition on a worker.
        """
        found: list[WorkerRoom] = []
        examined = accelerators = 0
        for bucket in self._fitting(levels_of(need), order):
            if found and bucket.levels[0] != accelerators:
                return found
            accelerators = bucket.levels[0]
            for name in bucket.names(sites, self._rng):
                worker = self._workers[name]
                examined += 1
                if need.fits(worker.room) and (accept is None or accept(worker)):
                    found.append(worker)
                    if len(found) >= count:
                        return found
                if found and examined >= MAX_EXAMINED_WORKERS:
                    return found
        return found

    def _fitting(self, min_levels: Levels, order: Order) -> Iterator[Bucket]:
        accelerators, cpu, memory = min_levels
        for bucket in self._ordered[order]:
            levels = bucket.levels
            fits = levels[0] >= accelerators and levels[1] >= cpu and levels[2] >= memory
            if fits and bucket.members:
                yield bucket

    def _set_room(self, worker: WorkerRoom, room: Resources) -> None:
        updated = WorkerRoom(
            worker.name,
            worker.capacity,
            room,
            worker.failure_domain,
            worker.rack,
            worker.labels,
            worker.state,
        )
        self._workers[worker.name] = updated
        if worker.state not in SCHEDULABLE_STATES:
            return
        self._room = self._room.plus(room.minus(worker.room))
        before, after = levels_of(worker.room), levels_of(room)
        if before != after:
            site = self._sites[worker.name]
            self._buckets[before].remove(worker.name, site)
            self._bucket(after).add(worker.name, site)

    def _add_schedulable(self, worker: WorkerRoom, site: Site) -> None:
        self._bucket(levels_of(worker.room)).add(worker.name, site)
        self._capacity = self._capacity.plus(worker.capacity)
        self._room = self._room.plus(worker.room)
        if site not in self._site_counts:
            self._allowed_sites_by_rules.clear()
        self._site_counts[site] = self._site_counts.get(site, 0) + 1
        shape = (site, worker.capacity)
        self._shapes[shape] = self._shapes.get(shape, 0) + 1

    def _remove_schedulable(self, worker: WorkerRoom, site: Site) -> None:
        self._buckets[levels_of(worker.room)].remove(worker.name, site)
        self._capacity = self._capacity.minus(worker.capacity)
        self._room = self._room.minus(worker.room)
        self._site_counts[site] -= 1
        if not self._site_counts[site]:
            del self._site_counts[site]
            self._allowed_sites_by_rules.clear()
        shape = (site, worker.capacity)
        self._shapes[shape] -= 1
        if not self._shapes[shape]:
            del self._shapes[shape]

    def _bucket(self, levels: Levels) -> Bucket:
        bucket = self._buckets.get(levels)
        if bucket is None:
            bucket = self._buckets[levels] = Bucket(levels)
            for order, buckets in self._ordered.items():
                bisect.insort(buckets, bucket, key=partial(sort_key, order))
        return bucket
