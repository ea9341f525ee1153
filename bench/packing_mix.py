"""Seeded mixes of tasks and the cells they run on."""

from __future__ import annotations

import random
from typing import NamedTuple

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.resources import NO_RESOURCES, Resources

LE_GOFF_WORKER = Resources(16000, 65536, 0)
ONG_KINH_WORKER = Resources(64000, 131072, 0)
ACCELERATED_WORKER = Resources(64000, 131072, 4)


class TaskKind(NamedTuple):
    """Kind of tasks: its share of all tasks, and the bounds of its size."""

    share: float
    cpu: tuple[int, int]
    memory: tuple[int, int]


LE_GOFF_MIX = (
    TaskKind(0.30, (1000, 3000), (2048, 8192)),  # marking services
    TaskKind(0.30, (2000, 6000), (1024, 6144)),  # nightly batches
    TaskKind(0.15, (500, 2000), (12288, 28672)),  # certificate jobs
    TaskKind(0.25, (250, 1000), (2048, 12288)),  # portal and post import
)


def le_goff_needs(count: int, rng: random.Random) -> list[Resources]:
    """Return the sizes of ``count`` tasks, in the order of their arrival."""
    kinds = rng.choices(LE_GOFF_MIX, [kind.share for kind in LE_GOFF_MIX], k=count)
    return [
        Resources(_random_size(rng, kind.cpu, 250), _random_size(rng, kind.memory, 256), 0)
        for kind in kinds
    ]


def _random_size(rng: random.Random, bounds: tuple[int, int], step: int) -> int:
    return rng.randrange(bounds[0], bounds[1] + 1, step)


def lower_bound(needs: list[Resources], size: Resources) -> float:
    """Return the workers needed if tasks could be split at will."""
    total = NO_RESOURCES
    for need in needs:
        total = total.plus(need)
    return max(total.cpu / size.cpu, total.memory / size.memory)


def worker_room(number: int, size: Resources, rack_size: int = 8, domains: int = 3) -> WorkerRoom:
    """Return the room of an empty worker."""
    return WorkerRoom(
        f"w{number:04d}",
        size,
        size,
        f"fd{number % domains}",
        f"r{number // rack_size}",
        frozenset(),
    )


def build_cell(count: int, accelerated: int, rng: random.Random, domains: int = 7) -> RoomIndex:
    """Return a cell of workers of 64 cores, the first ``accelerated`` with four accelerators."""
    index = RoomIndex(rng)
    for number in range(count):
        size = ACCELERATED_WORKER if number < accelerated else ONG_KINH_WORKER
        index.add(worker_room(number, size, 6, domains))
    return index


def dominant_share(need: Resources, capacity: Resources) -> float:
    """Return the largest share that a task takes of a capacity, over all resources.

    Placing the waiting tasks of a round with the largest share first needs fewer workers than
    placing them in order of arrival.

    Parameters
    ----------
    need : Resources
        Room that the task needs.
    capacity : Resources
        Capacity to compare with, such as that of one worker.
    """
    return max(
        need.cpu / (capacity.cpu or 1),
        need.memory / (capacity.memory or 1),
        need.accelerators / (capacity.accelerators or 1),
    )
