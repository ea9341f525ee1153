"""Set of names with constant-time updates and iteration from a random position."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import chain, islice


class NameSet:
    """Set of names, kept in a list so that iteration can start at any position."""

    __slots__ = ("_names", "_positions")

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Add a name that is not in the set."""
        self._positions[name] = len(self._names)
        self._names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name that is in the set."""
        position = self._positions.pop(name)
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def iterate_from_random(self, rng: random.Random) -> Iterator[str]:
        """Yield each name once, starting at a random one; the set must not change meanwhile."""
        names = self._names
        if len(names) < 2:
            return iter(names)
        start = int(rng.random() * len(names))
        return chain(islice(names, start, None), islice(names, start))
