"""Workspaces of the cell: who may call, and what each may use."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources

# Workspace of an anonymous call, and of a job recorded without one.
NO_WORKSPACE = ""


class Workspace(NamedTuple):
    """One workspace of the configuration.

    ``weight`` is its share while all runners are full, and the number of jobs that it may submit a
    second. ``cap`` limits what it has running on all runners; a resource of 0 has no limit.
    """

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    cap: Resources = NO_RESOURCES

    def __repr__(self) -> str:
        """Return a text without the keys, which must not appear in logs."""
        return f"Workspace(name={self.name!r}, weight={self.weight}, cap={self.cap})"
