"""Amounts of processors, memory and accelerators."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """Amount of each resource of a worker or a task.

    Parameters
    ----------
    cpu : int
        Processor time in thousandths of a core.
    memory : int
        Memory in MiB.
    accelerators : int
        Whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, room: Resources) -> bool:
        """Return whether this amount fits into ``room`` for every resource."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum for each resource."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference for each resource, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def copies_in(self, room: Resources, most: int) -> int:
        """Return how many times this amount fits into ``room`` for every resource, up to a limit.

        Parameters
        ----------
        room : Resources
            Amounts that are free; negative ones have room for none.
        most : int
            Upper limit.
        """
        counts = [free // needed for needed, free in zip(self, room, strict=True) if needed]
        return max(min([most, *counts]), 0)

    def maximum(self, other: Resources) -> Resources:
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )


NO_RESOURCES = Resources()
