"""Runners listed by the platform."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from typing_extensions import override

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.boots import replaces
from ragworttiller.platform.listing import RunnerEntry, decode_entry
from ragworttiller.platform.store import Record
from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.records.skipped_entries import SkippedEntries

log = logging.getLogger(__name__)


class RunnerFold(Fold):
    """Listed runners, by the name of their boot; of one runner only the latest boot is listed.

    An entry that cannot be read is skipped: the last one that could be read under its key stays in
    force until the key is deleted. An owner that begins after that reads the newest entry only.

    Parameters
    ----------
    now : Callable, optional
        Returns the time in seconds, for the log of skipped entries.

    Attributes
    ----------
    entries : dict
        Entry of each listed runner.
    version : int
        Number of records applied, which tells whether the list may have changed.
    capacity : Resources
        Capacity of all listed runners together.
    skipped : SkippedEntries
        Entries that could not be read.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.entries: dict[str, RunnerEntry] = {}
        self.version = 0
        self.capacity = NO_RESOURCES
        self.skipped = SkippedEntries(now)
        self._boots: dict[str, str] = {}

    @override
    def apply(self, record: Record) -> None:
        self.version += 1
        if not record.value:
            self._drop(record.key)
            return
        try:
            self._list(record.key, decode_entry(record.key, record.value))
        except Unreadable as exc:
            self.skipped.record(record.key, record.offset, str(exc))

    def _list(self, runner: str, entry: RunnerEntry) -> None:
        """Replace the entry of a runner, unless it is one of an earlier boot that arrives late."""
        listed = self._boots.get(runner, entry.runner)
        if replaces(listed, entry.runner):
            log.info("entry of an earlier boot ignored", extra={"boot": entry.runner})
            return
        if listed != entry.runner:
            log.info("runner has started again", extra={"boot": entry.runner, "earlier": listed})
            self._drop(runner)
        replaced = self.entries.get(entry.runner)
        if replaced is not None:
            self.capacity = self.capacity.minus(replaced.capacity)
        self._boots[runner] = entry.runner
        self.entries[entry.runner] = entry
        self.capacity = self.capacity.plus(entry.capacity)

    def _drop(self, runner: str) -> None:
        boot = self._boots.pop(runner, None)
        if boot is not None:
            self.capacity = self.capacity.minus(self.entries.pop(boot).capacity)
