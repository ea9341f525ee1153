"""Expected wait of a new job on an upstream, from what is free there and what waits."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources


class WaitingWork(NamedTuple):
    """Waiting tasks of one stage; ``seconds`` is the estimated duration of each."""

    upstream: str
    priority: int
    workspace: str
    tasks: int
    size: Resources
    seconds: float


class UpstreamRunners(NamedTuple):
    """What is free on each runner of an upstream, and the capacity that lasting tasks leave."""

    free: list[Resources]
    capacity: Resources


class WorkspaceUse(NamedTuple):
    """Resources that the tasks of a workspace reserve on all runners, and its weight."""

    reserved: Resources
    weight: float


def is_full(work: Sequence[WaitingWork], free: Sequence[Resources]) -> bool:
    """Return whether waiting tasks need all free room that the smallest of them can use."""
    if not work:
        return False
    smallest = smallest_size(work)
    usable = total([room for room in free if smallest.fits(room)])
    cpu = sum(row.tasks * row.size.cpu for row in work)
    memory = sum(row.tasks * row.size.memory for row in work)
    return 0 < cpu >= usable.cpu or 0 < memory >= usable.memory


def expected_wait(work: Sequence[WaitingWork], capacity: Resources) -> float:
    """Return the seconds after which the waiting work will have started on all of the capacity.

    The resource that takes longest counts. Accelerators are left out: a job that needs none does
    not wait for them.
    """
    cpu = sum(row.tasks * row.size.cpu * row.seconds for row in work)
    memory = sum(row.tasks * row.size.memory * row.seconds for row in work)
    return max(cpu / max(capacity.cpu, 1), memory / max(capacity.memory, 1))


def unusable_room(work: Sequence[WaitingWork], free: Sequence[Resources]) -> Resources:
    """Return the most of each resource that is free where no waiting task fits."""
    smallest, largest = smallest_size(work), NO_RESOURCES
    for room in free:
        if not smallest.fits(room):
            largest = largest.maximum(room)
    return largest


def smallest_size(work: Sequence[WaitingWork]) -> Resources:
    """Return the least amount of each resource that some waiting task needs."""
    sizes = [row.size for row in work]
    return Resources(*(min(amounts) for amounts in zip(*sizes, strict=True)))


def total(amounts: Sequence[Resources]) -> Resources:
    """Return the sum of amounts."""
    return Resources(*map(sum, zip(*amounts, strict=True))) if amounts else NO_RESOURCES


def beyond_share(uses: Mapping[str, WorkspaceUse], capacity: Resources) -> list[str]:
    """Return the workspaces whose dominant share exceeds their part of the weights.

    Those furthest beyond their share come first.

    Parameters
    ----------
    uses : mapping of str to WorkspaceUse
        Workspaces that have running or waiting tasks, by name.
    capacity : Resources
        Capacity of all runners.
    """
    weights = sum(use.weight for use in uses.values())
    excess: dict[str, float] = {}
    cpu, memory, accelerators = capacity.maximum(Resources(1, 1, 1))
    for name, use in uses.items():
        reserved = use.reserved
        dominant = max(
            reserved.cpu / cpu,
            reserved.memory / memory,
            reserved.accelerators / accelerators,
        )
        fair = use.weight / weights if weights else 0.0
        if dominant > fair:
            excess[name] = dominant - fair
    return sorted(excess, key=lambda name: -excess[name])
