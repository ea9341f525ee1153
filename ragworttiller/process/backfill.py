"""Reservations of room for a job that waits to start all its tasks at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ragworttiller.placement.index import RoomIndex, WorkerRoom, site_allowed, site_of
from ragworttiller.placement.rules import Rules
from ragworttiller.resources import NO_RESOURCES, Resources


class Release(NamedTuple):
    """Room that a running task is expected to free on a worker at a monotonic time."""

    at: float
    worker: str
    need: Resources


class WaitingJob(NamedTuple):
    """Job that waits until ``tasks`` tasks fit at once; ``need`` is that of one task."""

    job: str
    need: Resources
    rules: Rules
    tasks: int


class Reservation(NamedTuple):
    """Earliest expected start of a waiting job, and the spare room on the workers reserved for it.

    Work that ends by ``starts_at`` may use any room. Longer work may use no more than ``spare`` on
    the workers listed there; other workers are not limited.
    """

    job: str
    starts_at: float
    spare: dict[str, Resources]


def count_fitting(need: Resources, room: Resources, limit: int = 0) -> int:
    """Return how many times ``need`` fits into ``room``, at most ``limit`` unless that is 0."""
    count = min(
        (free // needed for free, needed in zip(room, need, strict=True) if needed > 0), default=0
    )
    count = max(0, count)
    return min(count, limit) if limit else count


def find_reservation(
    waiting_job: WaitingJob, index: RoomIndex, releases: Iterable[Release], now: float
) -> Reservation | None:
    """Return the earliest reservation for a job, given when running tasks are expected to end.

    Parameters
    ----------
    waiting_job : WaitingJob
        The waiting job.
    index : RoomIndex
        Free room now.
    releases : iterable of Release
        Room that running tasks are expected to free; tasks without an end are left out.
    now : float
        Monotonic time.

    Returns
    -------
    Reservation or None
        None if no task fits even after all releases. If only some tasks fit, room is reserved for
        these, and the start is the time of the last release.
    """
    rooms = {w.name: w.room for w in index.workers() if _allowed(w, waiting_job.rules)}
    limit = waiting_job.rules.max_per_worker
    counts = {name: count_fitting(waiting_job.need, room, limit) for name, room in rooms.items()}
    missing = waiting_job.tasks - sum(counts.values())
    starts_at = now
    for release in sorted(releases):
        if missing <= 0:
            break
        if release.worker not in rooms:
            continue
        room = rooms[release.worker] = rooms[release.worker].plus(release.need)
        count = count_fitting(waiting_job.need, room, limit)
        missing -= count - counts[release.worker]
        counts[release.worker] = count
        starts_at = max(now, release.at)
    if missing >= waiting_job.tasks:
        return None
    return Reservation(waiting_job.job, starts_at, _spare_room(waiting_job, rooms, counts))


def max_concurrent_tasks(waiting_job: WaitingJob, index: RoomIndex) -> int:
    """Return how many of a job's tasks would fit at once if all workers were empty."""
    total = 0
    for worker in index.workers():
        if _allowed(worker, waiting_job.rules):
            total += count_fitting(
                waiting_job.need, worker.capacity, waiting_job.rules.max_per_worker
            )
    return min(total, waiting_job.tasks)


def _allowed(worker: WorkerRoom, rules: Rules) -> bool:
    return worker.state == "up" and site_allowed(site_of(worker), rules)


def _spare_room(
    waiting_job: WaitingJob, rooms: dict[str, Resources], counts: dict[str, int]
) -> dict[str, Resources]:
    """Return the room left on the workers reserved for the job, which are those with most room."""
    spare: dict[str, Resources] = {}
    remaining_tasks = waiting_job.tasks
    for name in sorted(counts, key=lambda worker: (-counts[worker], worker)):
        count = min(remaining_tasks, counts[name])
        if count <= 0:
            break
        remaining_tasks -= count
        need = Resources(*(amount * count for amount in waiting_job.need))
        spare[name] = rooms[name].minus(need).maximum(NO_RESOURCES)
    return spare
