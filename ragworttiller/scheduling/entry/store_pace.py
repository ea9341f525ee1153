"""Whether the store is slow, as seen by this entry or reported by another one."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.group_commit import SLOW_APPEND_SECONDS, GroupCommit

log = logging.getLogger(__name__)

# Time for which a report by another entry, or a slow answer of the owner, counts.
REPORT_VALID_SECONDS = 3.0
# Time after which an append is looked at, a little more than makes it slow.
WATCH_SECONDS = SLOW_APPEND_SECONDS + 0.01


class StorePace:
    """Whether the store is slow.

    Load pattern: many entries with a few submissions a second each. The first slow append of each
    takes a place in the store's queue, so the first entry that notices tells the others.

    Parameters
    ----------
    writer : GroupCommit
        Writer of this entry to the jobs.
    clock : Clock
        Source of time.
    report : Callable
        Tells the other entries that the store is slow.
    """

    def __init__(
        self, writer: GroupCommit, clock: Clock, report: Callable[[], None] = lambda: None
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._report = report
        self._reported_until = float("-inf")

    @property
    def slow(self) -> bool:
        """Whether the store counts as slow."""
        return self._reported or self._writer.slow

    @property
    def _reported(self) -> bool:
        return self._clock.now() < self._reported_until

    async def watch_append(self) -> None:
        """Report a slow store to the other entries if an append of this entry is slow soon."""
        await self._clock.sleep(WATCH_SECONDS)
        if not self._writer.slow or self._reported:
            return
        log.info("slow store reported to other entries")
        self.record_report()
        self._report()

    def record_report(self) -> bool:
        """Record that an entry has found the store slow; return whether that is new here."""
        is_new = not self._reported
        self._reported_until = self._clock.now() + REPORT_VALID_SECONDS
        return is_new

    def record_append(self, seconds: float) -> None:
        """Record how long the owner took to answer a submission that needed an append."""
        if seconds > SLOW_APPEND_SECONDS:
            self.record_report()
            return
        self._reported_until = float("-inf")
        self._writer.reset_last_append_seconds()
