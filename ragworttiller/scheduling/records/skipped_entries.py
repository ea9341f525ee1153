"""Count and log of the entries of a list that are skipped."""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS = 60.0
MAX_LINES_PER_INTERVAL = 5
MAX_KEY_CHARACTERS_LOGGED = 64
MAX_REASON_CHARACTERS_LOGGED = 200


class SkippedEntries:
    """Counts the entries of a list that are skipped, and logs the first few keys of each interval.

    Load pattern: another writer leaves odd entries, under one key or many, and may write them again
    each second. Lines are bounded in number over all keys, and the total stands in each of them.

    Parameters
    ----------
    now : Callable
        Returns the time in seconds.

    Attributes
    ----------
    count : int
        Number of entries skipped.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._interval_end = float("-inf")
        self._logged: set[str] = set()
        self.count = 0

    def record(self, key: str, offset: int, reason: str) -> None:
        """Count an entry, and log it unless its key or too many others were logged lately.

        Parameters
        ----------
        key : str
            Key of the entry.
        offset : int
            Offset of its record.
        reason : str
            Why it is skipped.
        """
        self.count += 1
        now, shown = self._now(), key[:MAX_KEY_CHARACTERS_LOGGED]
        if now >= self._interval_end:
            self._interval_end = now + LOG_INTERVAL_SECONDS
            self._logged.clear()
        if shown in self._logged or len(self._logged) >= MAX_LINES_PER_INTERVAL:
            return
        self._logged.add(shown)
        extra = {
            "runner": shown,
            "offset": offset,
            "why": reason[:MAX_REASON_CHARACTERS_LOGGED],
            "skipped": self.count,
        }
        log.warning("unreadable runner entry skipped", extra=extra)
