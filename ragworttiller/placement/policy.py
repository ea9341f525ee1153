"""Interface of placement policies, and what all of them share."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from typing import ClassVar, NamedTuple

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.placement.obstacles import obstacle
from ragworttiller.placement.rules import NO_RULES, SPREAD_RACK, Rules, Site
from ragworttiller.resources import Resources

LISTED_CANDIDATES = 4
MAX_REMEMBERED_MISSES = 256


class RunningTaskCounts(NamedTuple):
    """Number of a job's running tasks by worker, rack and failure domain."""

    workers: dict[str, int]
    racks: dict[str, int]
    failure_domains: dict[str, int]


class Demand(NamedTuple):
    """Task that asks for a worker.

    ``urgency`` is 0 (lowest) to 9. ``running_tasks`` matters only for rules on the whole job.
    """

    need: Resources
    rules: Rules = NO_RULES
    urgency: int = 0
    running_tasks: RunningTaskCounts | None = None


class Choice(NamedTuple):
    """Chosen worker; ``candidates`` pairs the best ones with their scores, best first."""

    worker: str
    candidates: list[tuple[str, float]]
    reason: str


class Policy(ABC):
    """Chooses the worker of a task.

    A policy books nothing: the caller books what it licenses.

    Parameters
    ----------
    rng : random.Random
        Random numbers for choices among equals.
    """

    name: ClassVar[str]

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._misses: set[tuple[Resources, Rules]] = set()
        self._misses_at: tuple[int, int] = (0, 0)

    def choose(self, demand: Demand, index: RoomIndex) -> Choice | None:
        """Return a worker whose free room holds the task and that its rules allow.

        Returns
        -------
        Choice or None
            None when no worker fits now.
        """
        per_job = demand.running_tasks is not None and demand.rules.max_per_worker > 0
        miss = (demand.need, demand.rules)
        if not per_job and miss in self._known_misses(index):
            return None
        found = self._candidates(demand, index)
        if not found:
            if not per_job and len(self._misses) < MAX_REMEMBERED_MISSES:
                self._misses.add(miss)
            return None
        return self._best(demand, found)

    def explain(self, demand: Demand, index: RoomIndex) -> str:
        """Return the rule or resource that stands in the way, or an empty string."""
        text = obstacle(demand.need, demand.rules, index)
        if text or self.choose(demand, index) is not None:
            return text
        return self._obstacle(demand)

    @abstractmethod
    def _candidates(self, demand: Demand, index: RoomIndex) -> list[WorkerRoom]:
        """Return workers that fit, none only when no worker does."""

    @abstractmethod
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        """Return the score of a worker; the highest is chosen."""

    def _obstacle(self, demand: Demand) -> str:
        """Return why none of the workers that have the room was chosen."""
        limit = demand.rules.max_per_worker
        return f"rule max_per_worker: {limit} tasks of the job on each worker with room"

    def _best(self, demand: Demand, found: list[WorkerRoom]) -> Choice:
        need = demand.need
        scored = [(worker.name, self._score(need, worker)) for worker in found]
        scored.sort(key=lambda pair: -pair[1])
        return Choice(scored[0][0], scored[:LISTED_CANDIDATES], self.name)

    def _known_misses(self, index: RoomIndex) -> set[tuple[Resources, Rules]]:
        at = (id(index), index.room_increases)
        if at != self._misses_at:
            self._misses.clear()
            self._misses_at = at
        return self._misses


def within_limit(demand: Demand, worker: WorkerRoom) -> bool:
    """Return whether the rule on tasks of one job on one worker allows another one."""
    limit = demand.rules.max_per_worker
    if not limit or demand.running_tasks is None:
        return True
    return demand.running_tasks.workers.get(worker.name, 0) < limit


def site_load(demand: Demand, site: Site) -> int:
    """Return how many tasks of the job run where the spread rule counts them."""
    if demand.running_tasks is None:
        return 0
    if demand.rules.spread == SPREAD_RACK:
        return demand.running_tasks.racks.get(site.rack, 0)
    return demand.running_tasks.failure_domains.get(site.failure_domain, 0)
