"""Choice of the entries that count as gone, so that their records may be removed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Set

from typing_extensions import override

GONE_AFTER_SECONDS = 60.0


class Departures(ABC):
    """Chooses the entries whose records are removed."""

    @abstractmethod
    def gone(
        self, names: Set[str], replaced: Set[str], unreachable: Mapping[str, float], now: float
    ) -> list[str]:
        """Return the names of the records to remove.

        Parameters
        ----------
        names : set of str
            Entries of the cell, the owner among them.
        replaced : set of str
            Names under which there is a record, of entries whose address another one has now.
        unreachable : mapping of str to float
            Time since which there is no connection to an entry, in seconds.
        now : float
            Time in seconds.
        """


class NeverGone(Departures):
    """Keep all records; the baseline, under which the list grows with each machine replaced."""

    @override
    def gone(
        self, names: Set[str], replaced: Set[str], unreachable: Mapping[str, float], now: float
    ) -> list[str]:
        return []


class GoneWhenUnreachable(Departures):
    """Remove replaced entries, and those that were unreachable for `GONE_AFTER_SECONDS`.

    Load pattern: machines are replaced all the time under new names, most of them killed, so that
    they do not withdraw their records. An entry that is only cut off announces itself again once it
    reads that its record is gone, so no proof of its end is needed. An owner that reaches no other
    entry is more likely cut off itself, and removes only replaced ones.
    """

    @override
    def gone(
        self, names: Set[str], replaced: Set[str], unreachable: Mapping[str, float], now: float
    ) -> list[str]:
        if len(names - unreachable.keys()) == 1:
            return sorted(replaced)
        end = now - GONE_AFTER_SECONDS
        lost = {name for name in names if unreachable.get(name, now) <= end}
        return sorted(lost | replaced)
