"""Choice of the entry that makes a call to the advisor.

The advisor serves one call at a time per instance, so calls are distributed over the entries, and
some entries are reserved for short calls.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Sequence

SHORT_CALL_SECONDS = 0.15
MAX_BACKLOG_SECONDS = 1.5
# A long call waits for an almost idle entry, so that the choice among long calls is made late.
MAX_BACKLOG_OF_LONG_CALL_SECONDS = 0.1
AVOID_FAILED_ENTRY_SECONDS = 2.0
# An entry that fails each time, such as one that does not reach the advisor, is tried this rarely.
MAX_AVOID_FAILED_ENTRY_SECONDS = 8.0
# The same while all entries have failed lately, so that one failed call bars none for long.
RETRY_FAILED_ENTRY_SECONDS = 0.5
SHORT_CALL_ENTRIES_SHARE = 0.3
MAX_CALLS_AT_ONCE = 4


class EntryLoads:
    """Calls to the advisor in flight at each entry.

    Load pattern: the advisor serves one call at a time per instance, so calls of one entry queue
    up. Some entries are reserved for short calls, which would otherwise wait behind long ones.
    """

    def __init__(self) -> None:
        self._backlog_seconds: dict[str, float] = {}
        self._calls: Counter[str] = Counter()
        self._long_calls: Counter[str] = Counter()
        self._failed_at: dict[str, float] = {}
        self._avoid_seconds: dict[str, float] = {}
        self._all_usable_at = -math.inf
        self._last_answered_at = -math.inf

    @property
    def entries(self) -> int:
        """Number of available entries."""
        return len(self._backlog_seconds)

    def set_entries(self, entries: Sequence[str]) -> None:
        """Set the available entries; those that remain keep their backlog."""
        if self._backlog_seconds.keys() != set(entries):
            backlogs = self._backlog_seconds
            self._backlog_seconds = {name: backlogs.get(name, 0.0) for name in sorted(entries)}
            self._calls = Counter({name: self._calls[name] for name in entries})
            self._long_calls = Counter({name: self._long_calls[name] for name in entries})
            for name in self._failed_at.keys() - set(entries):
                del self._failed_at[name], self._avoid_seconds[name]

    def assign(
        self, duration: float, now: float, urgent: bool = False, asked: Collection[str] = ()
    ) -> str | None:
        """Assign a call to the entry with the smallest backlog; return None if all are too large.

        While short calls come faster than they are served, no entry that takes them is ever almost
        idle, so an urgent long call queues up behind them, but not behind another long one: the
        runners that it names would be full by the time of its answer.

        Parameters
        ----------
        duration : float
            Duration of the call in seconds; part of the entry's backlog until `end_call`.
        now : float
            Time in seconds.
        urgent : bool
            Whether a long call may wait behind short ones for as long as a short call may.
        asked : collection of str
            Entries that are late with a call for the same stage, which get no other one.
        """
        max_backlog = MAX_BACKLOG_SECONDS
        is_long = duration > SHORT_CALL_SECONDS
        names = self._usable(is_long, now)
        if is_long and urgent:
            names = [name for name in names if not self._long_calls[name]]
        elif is_long:
            max_backlog = MAX_BACKLOG_OF_LONG_CALL_SECONDS
        if asked:
            names = [name for name in names if name not in asked]
        if not names:
            return None
        name = min(names, key=self._backlog_seconds.__getitem__)
        if self._backlog_seconds[name] > max_backlog:
            return None
        self._backlog_seconds[name] += duration
        self._calls[name] += 1
        self._long_calls[name] += is_long
        return name

    def _usable(self, is_long: bool, now: float) -> list[str]:
        """Return the entries for a call, of those without a recent failure as far as possible.

        Without any such entry that is not reserved, long calls go to the reserved ones: no kind of
        call is without an entry while one is left.
        """
        names = list(self._backlog_seconds)
        working = self._working(names, now)
        if not working:
            return [n for n in names if now >= self._retry_at(n, RETRY_FAILED_ENTRY_SECONDS)]
        if not is_long:
            return working
        reserved = int(len(names) * SHORT_CALL_ENTRIES_SHARE)
        if working is names:
            return names[reserved:]
        kept = set(names[:reserved])
        return [name for name in working if name not in kept] or working

    def _working(self, names: list[str], now: float) -> list[str]:
        """Return the entries without a recent failure."""
        if now >= self._all_usable_at:
            return names
        return [n for n in names if now >= self._retry_at(n, self._avoid_seconds.get(n, 0.0))]

    def _retry_at(self, name: str, seconds: float) -> float:
        """Return the time from which an entry is used again, some seconds after its failure."""
        return self._failed_at.get(name, -math.inf) + seconds

    def calls_at_once(self, now: float) -> int:
        """Return how many long calls may be made for one stage at once.

        One stage takes no more than half of the entries that are idle, so that the calls of the
        next ones need not wait for it.
        """
        idle = [self._backlog_seconds[name] for name in self._usable(True, now)].count(0.0)
        return min(max(idle // 2, 1), MAX_CALLS_AT_ONCE)

    def avoided(self, now: float) -> list[str]:
        """Return the entries that are avoided at a time in seconds since a call has failed."""
        names = list(self._backlog_seconds)
        working = set(self._working(names, now))
        return [name for name in names if name not in working]

    def backlog(self, entry: str) -> float:
        """Return the backlog of an entry, in seconds."""
        return self._backlog_seconds.get(entry, 0.0)

    def end_call(self, entry: str, duration: float) -> None:
        """Remove an ended call from the backlog of its entry."""
        if entry in self._backlog_seconds:
            backlog = max(self._backlog_seconds[entry] - duration, 0.0)
            self._calls[entry] = max(self._calls[entry] - 1, 0)
            # A sum from which all durations were subtracted need not be exactly 0.
            self._backlog_seconds[entry] = backlog if self._calls[entry] else 0.0
            long_calls = self._long_calls[entry] - (duration > SHORT_CALL_SECONDS)
            self._long_calls[entry] = max(long_calls, 0)

    def mark_failed(self, entry: str, now: float, asked_at: float | None = None) -> None:
        """Assign no calls to an entry for a while after a failed one.

        It is avoided for twice as long as the last time if others have answered since.

        Parameters
        ----------
        entry : str
            Entry that made the call.
        now : float
            Time in seconds.
        asked_at : float, optional
            Time of the call in seconds, by default now. Calls that were in flight at the last
            failure belong to the same one.
        """
        failed_at = self._failed_at.get(entry, math.inf)
        fails_alone = failed_at < self._last_answered_at and failed_at < (asked_at or now)
        seconds = self._avoid_seconds.get(entry, AVOID_FAILED_ENTRY_SECONDS)
        if fails_alone:
            seconds = min(2 * seconds, MAX_AVOID_FAILED_ENTRY_SECONDS)
        self._failed_at[entry], self._avoid_seconds[entry] = now, seconds
        self._all_usable_at = max(self._all_usable_at, now + seconds)

    def mark_answered(self, entry: str, now: float) -> None:
        """Forget earlier failures of an entry, which has answered a call."""
        self._last_answered_at = now
        self._failed_at.pop(entry, None)
        self._avoid_seconds.pop(entry, None)
