"""Checks whether the workers of the whole cell could ever run a job."""

from __future__ import annotations

import random

from ragworttiller.exceptions import Unplaceable
from ragworttiller.placement.index import RoomIndex, Site, WorkerRoom, site_allowed
from ragworttiller.placement.obstacles import obstacle
from ragworttiller.placement.rules import Rules
from ragworttiller.process.backfill import count_fitting
from ragworttiller.resources import Resources
from ragworttiller.services.directory import Listing
from ragworttiller.version.template import JobSpec

Shape = tuple[Site, Resources]


class Feasibility:
    """Checks new jobs against the workers that the platform lists."""

    def __init__(self) -> None:
        self._listing: Listing | None = None
        self._shapes: dict[Shape, int] = {}

    def check(self, spec: JobSpec, rules: Rules, listing: Listing, work: str) -> None:
        """Refuse a job that can never run or can't end by its deadline.

        While no worker is listed, jobs are refused only for their deadline.

        Raises
        ------
        Unplaceable
            The job can't run; the error names the rule or resource that prevents it.
        """
        self._check_deadline(spec, work)
        self._update_shapes(listing)
        if not self._shapes:
            return
        fitting = {
            shape: count
            for shape, count in self._shapes.items()
            if site_allowed(shape[0], rules) and spec.need.fits(shape[1])
        }
        if not fitting:
            raise Unplaceable(work=work, obstacle=self._obstacle(spec, rules))
        if spec.kind != "batch":
            self._check_concurrent_tasks(spec, rules, fitting, work)

    def _check_deadline(self, spec: JobSpec, work: str) -> None:
        if spec.deadline_seconds is None or spec.run_time is None:
            return
        if spec.run_time > spec.deadline_seconds:
            text = f"deadline_seconds: runs {spec.run_time:g} s, allowed {spec.deadline_seconds:g}"
            raise Unplaceable(work=work, obstacle=text)

    def _check_concurrent_tasks(
        self, spec: JobSpec, rules: Rules, fitting: dict[Shape, int], work: str
    ) -> None:
        """Refuse a job whose tasks can't all run at the same time."""
        total = sum(
            count * count_fitting(spec.need, capacity, rules.max_per_worker)
            for (_, capacity), count in fitting.items()
        )
        if total < spec.tasks:
            text = f"tasks: {spec.tasks} at once, the allowed workers hold {total}"
            raise Unplaceable(work=work, obstacle=text)

    def _obstacle(self, spec: JobSpec, rules: Rules) -> str:
        index = RoomIndex(random.Random(0))
        for number, (site, capacity) in enumerate(self._shapes):
            index.add(
                WorkerRoom(
                    str(number), capacity, capacity, site.failure_domain, site.rack, site.labels
                )
            )
        return obstacle(spec.need, rules, index)

    def _update_shapes(self, listing: Listing) -> None:
        if listing is self._listing:
            return
        self._listing = listing
        self._shapes = {}
        for worker in listing.workers:
            if worker.state == "live":
                site = Site(worker.failure_domain, worker.rack, frozenset(worker.labels))
                shape = (site, worker.capacity)
                self._shapes[shape] = self._shapes.get(shape, 0) + 1
