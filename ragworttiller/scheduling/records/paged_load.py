"""Reads the newest record of each key of a partition, page by page."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.exceptions import LogUnavailable
from ragworttiller.platform.answer_limits import MAX_ANSWER_BYTES
from ragworttiller.platform.store import ANSWER_TIMEOUT_SECONDS, NewestPage, Partition, Store
from ragworttiller.scheduling.clock import Clock

# A longer wait for a dead connection would delay a start by more than another attempt takes.
MAX_PAGE_TIMEOUT_SECONDS = 4.0
# The end of a load is not predicted while no page arrives for longer.
MAX_PAGE_AGE_SECONDS = 1.0
# Leading digits of a key that tell how many keys come before it.
KEY_DIGITS = 4


class LoadedPages(NamedTuple):
    """All pages of a partition; ``asked_at`` is when the first was asked for, in seconds."""

    asked_at: float
    pages: list[NewestPage]


class PagedLoad:
    """Load of all keys, which goes on after a failed read with the page that it failed on.

    Load pattern: many entries start at once and read many pages each, from a store that is slow or
    refuses a part of the reads.

    Parameters
    ----------
    store : Store
        Store to read.
    partition : Partition
        Partition to read.
    clock : Clock
        Source of time.
    """

    def __init__(self, store: Store, partition: Partition, clock: Clock) -> None:
        self._store = store
        self._partition = partition
        self._clock = clock
        self._asked_at = float("-inf")
        self._pages: list[NewestPage] = []
        self._timeout = ANSWER_TIMEOUT_SECONDS
        self._page_at = float("-inf")

    @property
    def seconds_left(self) -> float:
        """Expected seconds until the load ends, infinite without a recent page of it."""
        age = self._clock.now() - self._page_at
        share = _share_before(self._pages[-1].after) if self._pages else 0.0
        if age > MAX_PAGE_AGE_SECONDS or not share:
            return float("inf")
        return max((self._page_at - self._asked_at) * (1 - share) / share - age, 0.0)

    async def read(self, max_bytes: int = MAX_ANSWER_BYTES) -> LoadedPages:
        """Read the pages that are missing, and return all of them.

        Pages are no snapshot: what changed after the first one is read from its end on.

        Raises
        ------
        RecordsTooLong
            A page is longer than ``max_bytes``; the pages read so far are kept.
        LogUnavailable
            The store cannot be read; the pages read so far are kept.
        """
        if not self._pages:
            self._asked_at = self._clock.now()
            self._pages.append(await self._read_page("", max_bytes))
        while self._pages[-1].after:
            self._pages.append(await self._read_page(self._pages[-1].after, max_bytes))
        pages, self._pages = self._pages, []
        self._timeout = ANSWER_TIMEOUT_SECONDS
        return LoadedPages(self._asked_at, pages)

    async def _read_page(self, after: str, max_bytes: int) -> NewestPage:
        """Read one page; after one that came too late, the next attempt waits longer."""
        asked_at = self._clock.now()
        try:
            page = await self._store.read_newest(self._partition, after, self._timeout, max_bytes)
        except LogUnavailable:
            if self._clock.now() - asked_at >= self._timeout:
                self._timeout = min(2 * self._timeout, MAX_PAGE_TIMEOUT_SECONDS)
            raise
        self._page_at = self._clock.now()
        return page


def _share_before(key: str) -> float:
    """Return the share of the keys before a key that is an evenly distributed hexadecimal number.

    It is 0 for other keys.
    """
    try:
        return int(key[:KEY_DIGITS], 16) / 16**KEY_DIGITS
    except ValueError:
        return 0.0
