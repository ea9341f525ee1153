"""Measures how much of the entries' time calls to the advisor take."""

from __future__ import annotations

from collections import defaultdict

from ragworttiller.scheduling.decisions.advice import AdviceCall


class AdviceMeter:
    """Calls to the advisor that have not been answered, and for how long entries had some.

    Load pattern: the advisor serves one call of an entry at a time, so an entry with a call is
    busy, however many more wait there. Entries that fail calls have none while they are avoided.

    Parameters
    ----------
    now : float
        Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._asked_at: defaultdict[str, list[float]] = defaultdict(list)
        self._busy_seconds = 0.0
        self._updated_at = self._taken_at = now

    @property
    def calls(self) -> int:
        """Number of calls that have not been answered."""
        return sum(map(len, self._asked_at.values()))

    def begin_call(self, call: AdviceCall) -> None:
        """Count a call from the time at which it was planned."""
        self._add_busy_seconds(call.asked_at)
        self._asked_at[call.entry].append(call.asked_at)

    def end_call(self, call: AdviceCall, now: float) -> None:
        """Remove a call that was answered or has failed."""
        self._add_busy_seconds(now)
        times = self._asked_at[call.entry]
        if call.asked_at in times:
            times.remove(call.asked_at)
        if not times:
            del self._asked_at[call.entry]

    def oldest_seconds(self, now: float) -> float:
        """Return the age in seconds of the oldest call without an answer, 0 if there is none."""
        return now - min(map(min, self._asked_at.values()), default=now)

    def take_load(self, entries: int, now: float) -> float:
        """Return the share of the entries' time with a call since the last time, at most 1.

        Parameters
        ----------
        entries : int
            Number of entries.
        now : float
            Time in seconds.
        """
        self._add_busy_seconds(now)
        capacity = entries * (now - self._taken_at)
        busy_seconds, self._busy_seconds = self._busy_seconds, 0.0
        self._taken_at = now
        return min(busy_seconds / capacity, 1.0) if capacity > 0.0 else 0.0

    def _add_busy_seconds(self, now: float) -> None:
        self._busy_seconds += len(self._asked_at) * (now - self._updated_at)
        self._updated_at = now
