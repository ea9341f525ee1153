"""Baseline placement policies that examine every worker."""

from __future__ import annotations

from typing_extensions import override

from ragworttiller.placement.index import SCHEDULABLE_STATES, RoomIndex, WorkerRoom, site_of
from ragworttiller.placement.policy import Demand, Policy, within_limit
from ragworttiller.resources import Resources


class _ScanPolicy(Policy):
    """Base of policies that consider every worker that fits."""

    @override
    def _candidates(self, demand: Demand, index: RoomIndex) -> list[WorkerRoom]:
        sites = index.allowed_sites(demand.rules)
        return [
            worker
            for worker in index.workers()
            if demand.need.fits(worker.room)
            and worker.state in SCHEDULABLE_STATES
            and (sites is None or site_of(worker) in sites)
            and within_limit(demand, worker)
        ]


class RandomPolicy(_ScanPolicy):
    """Chooses a random worker that fits."""

    name = "random"

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        return self._rng.random()


class FirstFitPolicy(_ScanPolicy):
    """Chooses the first worker that fits, in the order in which workers were added."""

    name = "first_fit"

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        return 0.0


class BestFitPolicy(_ScanPolicy):
    """Chooses the worker with the least free processor capacity."""

    name = "best_fit"

    @override
    def _score(self, need: Resources, worker: WorkerRoom) -> float:
        return float(need.cpu - worker.room.cpu)
