"""Which other entries are asked to carry out a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Set
from typing import NamedTuple

from ragworttiller.scheduling.clock import Clock

RELAY_TIMEOUT_SECONDS = 0.5
MAX_RELAY_ATTEMPTS = 2
AVOID_UNRESPONSIVE_ENTRY_SECONDS = 3.0


class RelayTarget(NamedTuple):
    """Entry to ask, and the longest time to wait for its answer, in seconds."""

    name: str
    timeout: float


class PeerChoice:
    """Chooses among the other entries those that are likely to answer.

    Parameters
    ----------
    instance : str
        Name of this entry.
    names : Callable
        Returns the names of all entries.
    owner : Callable
        Returns the name of the cell's owner, the entry most likely to reach the store.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        instance: str,
        names: Callable[[], set[str]],
        owner: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._names = names
        self._owner = owner
        self._clock = clock
        self._avoid_until: dict[str, float] = {}

    def avoid(self, name: str) -> None:
        """Ask an entry that did not answer no more for a while."""
        self._avoid_until[name] = self._clock.now() + AVOID_UNRESPONSIVE_ENTRY_SECONDS

    def common_writer(self, lost: Set[str] = frozenset()) -> str:
        """Return the entry that appends for all while the store is slow.

        It is the owner or, if the owner is lost, the first entry by name; this entry may be it.
        Any entry can store submissions, and one writer keeps the queue of the store short.

        Parameters
        ----------
        lost : set of str
            Entries that do not answer.
        """
        owner = self._owner()
        # Asked for each submission, so the names are enumerated only without an owner.
        if owner not in lost and (owner == self._instance or self._is_available(owner)):
            return owner
        return min((self._available() | {self._instance}) - lost)

    def relay_targets(self) -> list[RelayTarget]:
        """Return the entries to ask one after the other: the owner, then random ones."""
        peers = self._available()
        owner = self._owner()
        first = [owner] if owner in peers else []
        remaining = sorted(peers - set(first))
        random.shuffle(remaining)
        names = (first + remaining)[:MAX_RELAY_ATTEMPTS]
        return [RelayTarget(name, RELAY_TIMEOUT_SECONDS) for name in names]

    def _available(self) -> set[str]:
        names = self._names() - {self._instance}
        return {name for name in names if not self._is_avoided(name)}

    def _is_available(self, name: str) -> bool:
        return name in self._names() and not self._is_avoided(name)

    def _is_avoided(self, name: str) -> bool:
        return self._avoid_until.get(name, 0.0) > self._clock.now()
