"""Base class of placement policies, and their inputs and results."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from typing import ClassVar, NamedTuple

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.placement.obstacles import obstacle
from ragworttiller.placement.rules import NO_RULES, SPREAD_RACK, Rules, Site
from ragworttiller.resources import Resources

LISTED_CANDIDATES = 4
MAX_CACHED_FAILURES = 256


class RunningTaskCounts(NamedTuple):
    """Number of a job's running tasks by worker, rack and failure domain."""

    workers: dict[str, int]
    racks: dict[str, int]
    failure_domains: dict[str, int]


class Demand(NamedTuple):
    """Resources and rules of a task to be placed.

    ``urgency`` is 0 (lowest) to 9. ``running_tasks`` is used only by rules on the whole job.
    """

    need: Resources
    rules: Rules = NO_RULES
    urgency: int = 0
    running_tasks: RunningTaskCounts | None = None


class Choice(NamedTuple):
    """Chosen worker; ``candidates`` pairs the best workers with their scores, best first."""

    worker: str
    candidates: list[tuple[str, float]]
    reason: str


class Policy(ABC):
    """Chooses the worker of a task.

    A policy books no room: the caller books it when it licenses the task.

    Parameters
    ----------
    rng : random.Random
        Random numbers for sampling and tie-breaking.
    """

    name: ClassVar[str]

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures: set[tuple[Resources, Rules]] = set()
        self._failures_version: tuple[int, int] = (0, 0)

    def choose(self, demand: Demand, index: RoomIndex) -> Choice | None:
        """Choose a worker that has room for the task and that its rules allow.

        Returns
        -------
        Choice or None
            None when no worker fits now.
        """
        per_job = demand.running_tasks is not None and demand.rules.max_per_worker > 0
        failure = (demand.need, demand.rules)
        if not per_job and failure in self._cached_failures(index):
            return None
        found = self._candidates(demand, index)
        if not found:
            if not per_job and len(self._failures) < MAX_CACHED_FAILURES:
                self._failures.add(failure)
            return None
        return self._best(demand, found)

    def explain(self, demand: Demand, index: RoomIndex) -> str:
        """Return the rule or resource that prevents placement, or an empty string."""
        text = obstacle(demand.need, demand.rules, index)
        if text or self.choose(demand, index) is not None:
            return text
        return self._obstacle(demand)

    @abstractmethod
    def _candidates(self, demand: Demand, index: RoomIndex) -> list[WorkerRoom]:
        """Return workers that fit; the list is empty only if no worker fits."""

    @abstractmethod
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        """Return the score of a worker; the highest is chosen."""

    def _obstacle(self, demand: Demand) -> str:
        """Return why no worker was chosen although some have the room."""
        limit = demand.rules.max_per_worker
        return f"rule max_per_worker: {limit} tasks of the job on each worker with room"

    def _best(self, demand: Demand, found: list[WorkerRoom]) -> Choice:
        need = demand.need
        scored = [(worker.name, self._score(need, worker)) for worker in found]
        scored.sort(key=lambda pair: -pair[1])
        return Choice(scored[0][0], scored[:LISTED_CANDIDATES], self.name)

    def _cached_failures(self, index: RoomIndex) -> set[tuple[Resources, Rules]]:
        version = (id(index), index.room_increases)
        if version != self._failures_version:
            self._failures.clear()
            self._failures_version = version
        return self._failures


def within_limit(demand: Demand, worker: WorkerRoom) -> bool:
    """Return whether the rule ``max_per_worker`` allows one more task of the job on a worker."""
    limit = demand.rules.max_per_worker
    if not limit or demand.running_tasks is None:
        return True
    return demand.running_tasks.workers.get(worker.name, 0) < limit


def tasks_at_site(demand: Demand, site: Site) -> int:
    """Return the number of the job's tasks in the rack or failure domain of a site."""
    if demand.running_tasks is None:
        return 0
    if demand.rules.spread == SPREAD_RACK:
        return demand.running_tasks.racks.get(site.rack, 0)
    return demand.running_tasks.failure_domains.get(site.failure_domain, 0)
