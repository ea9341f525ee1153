"""Room set aside for a job that waits for all its tasks at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ragworttiller.placement.index import RoomIndex, WorkerRoom, site_allowed, site_of
from ragworttiller.placement.rules import Rules
from ragworttiller.resources import NOTHING, Resources

NEVER = float("inf")


class Release(NamedTuple):
    """Room that is expected to become free on a worker at a monotonic time."""

    at: float
    worker: str
    need: Resources


class WaitingJob(NamedTuple):
    """Job that waits for room for ``tasks`` tasks at once."""

    job: str
    need: Resources
    rules: Rules
    tasks: int


class Reservation(NamedTuple):
    """Earliest start of a waiting job, and what its workers can spare until after it.

    Work that ends by ``starts_at`` may use any room. Other work may use no more than ``spare`` of
    the workers named there, and anything of other workers.
    """

    job: str
    starts_at: float
    spare: dict[str, Resources]


def count_fitting(need: Resources, room: Resources, limit: int = 0) -> int:
    """Return how many times ``need`` fits into ``room``, at most ``limit`` unless that is 0."""
    count = min(
        (have // want for have, want in zip(room, need, strict=True) if want > 0), default=0
    )
    count = max(0, count)
    return min(count, limit) if limit else count


def find_reservation(
    wanted: WaitingJob, index: RoomIndex, releases: Iterable[Release], now: float
) -> Reservation | None:
    """Return the earliest reservation for a job as its running neighbours end.

    Parameters
    ----------
    wanted : WaitingJob
        The job.
    index : RoomIndex
        Free room now.
    releases : iterable of Release
        Room that running tasks are expected to free; tasks without an end are left out.
    now : float
        Monotonic time.

    Returns
    -------
    Reservation or None
        None when no task fits even after all releases. When only some of the tasks do, room is
        set aside for these, and the start is that of the last release.
    """
    rooms = {w.name: w.room for w in index.workers() if _allowed(w, wanted.rules)}
    limit = wanted.rules.max_per_worker
    counts = {name: count_fitting(wanted.need, room, limit) for name, room in rooms.items()}
    missing = wanted.tasks - sum(counts.values())
    starts_at = now
    for release in sorted(releases):
        if missing <= 0:
            break
        if release.worker not in rooms:
            continue
        room = rooms[release.worker] = rooms[release.worker].plus(release.need)
        count = count_fitting(wanted.need, room, limit)
        missing -= count - counts[release.worker]
        counts[release.worker] = count
        starts_at = max(now, release.at)
    if missing >= wanted.tasks:
        return None
    return Reservation(wanted.job, starts_at, _spare(wanted, rooms, counts))


def max_concurrent_tasks(wanted: WaitingJob, index: RoomIndex) -> int:
    """Return how many of a job's tasks the workers could hold at most if they were empty."""
    total = 0
    for worker in index.workers():
        if _allowed(worker, wanted.rules):
            total += count_fitting(wanted.need, worker.capacity, wanted.rules.max_per_worker)
    return min(total, wanted.tasks)


def _allowed(worker: WorkerRoom, rules: Rules) -> bool:
    return worker.state == "up" and site_allowed(site_of(worker), rules)


def _spare(
    wanted: WaitingJob, rooms: dict[str, Resources], counts: dict[str, int]
) -> dict[str, Resources]:
    """Return what is left on the workers with the most room once the job runs there."""
    spare: dict[str, Resources] = {}
    left = wanted.tasks
    for name in sorted(counts, key=lambda worker: (-counts[worker], worker)):
        taken = min(left, counts[name])
        if taken <= 0:
            break
        left -= taken
        need = Resources(*(amount * taken for amount in wanted.need))
        spare[name] = rooms[name].minus(need).maximum(NOTHING)
    return spare
