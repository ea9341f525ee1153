"""Follows one keyed partition of the store, from the newest record of each key on."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio

from ragworttiller.exceptions import LogUnavailable, RecordsExpired
from ragworttiller.platform.store import Newest, Partition, Record, Store
from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

# A longer wait would leave a silent connection unnoticed past the bound of a configuration.
POLL_SECONDS = 1.5
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5


class Fold(ABC):
    """State built from the records of a partition."""

    @abstractmethod
    def apply(self, record: Record) -> None:
        """Take one record over; an empty value means that its key was dropped."""


class Feed:
    """Brings a partition's records to a fold, each key's in order and none twice.

    Parameters
    ----------
    store : Store
        Store to read.
    partition : Partition
        Partition to follow.
    fold : Fold
        Receives the records.
    clock : Clock
        Source of time.
    pace : float
        Least seconds between two reads that return records.
    changed : Callable
        Called after each read that returned records.
    poll : float
        Seconds that a read waits for a first record.
    silent : Callable
        Called when a read has waited in vain for the whole of ``poll``.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        fold: Fold,
        clock: Clock,
        pace: float = 0.0,
        changed: Callable[[], None] = lambda: None,
        poll: float = POLL_SECONDS,
        silent: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._partition = partition
        self._fold = fold
        self._clock = clock
        self._changed = changed
        self._poll = poll
        self._silent = silent
        self._lock = anyio.Lock()
        self._offsets: dict[str, int] = {}
        self._position: int | None = None
        self._read_at = float("-inf")
        self.pace = pace

    @property
    def position(self) -> int:
        """Offset up to which the fold has the records."""
        return self._position or 0

    @property
    def ready(self) -> bool:
        """Whether the fold has had every record up to some moment."""
        return self._position is not None

    @property
    def age(self) -> float:
        """Seconds since the fold was known to have every record."""
        return self._clock.now() - self._read_at

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        delay = RETRY_SECONDS
        while True:
            try:
                moved = await self._follow()
                delay = RETRY_SECONDS
                if moved:
                    await self._clock.sleep(self.pace)
            except LogUnavailable as exc:
                log.info("read failed", extra={"partition": str(self._partition), "why": exc.code})
                await self._clock.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_SECONDS)

    async def catch_up(self) -> None:
        """Read everything that the partition holds now.

        Raises
        ------
        LogUnavailable
            The store cannot be read.
        """
        while await self._step(0.0):
            pass

    async def _follow(self) -> bool:
        return await self._step(self._poll if self.ready else 0.0)

    async def _step(self, wait: float) -> bool:
        """Read once and return whether more may be there at once."""
        if self._position is None:
            async with self._lock:
                if self._position is None:
                    await self._load()
            return True
        asked_at, position = self._clock.now(), self._position
        try:
            found = await self._store.read(self._partition, position, wait)
        except RecordsExpired as exc:
            log.info("records expired", extra={"partition": str(self._partition), **exc.fields})
            async with self._lock:
                await self._load()
            return True
        for record in found.records:
            # Another read may have been faster; what it dropped must not come back.
            if record.offset >= self._position:
                self._apply(record)
        after = position + len(found.records)
        self._position = max(self._position, after)
        if after >= found.end:
            self._read_at = max(self._read_at, asked_at)
        if found.records:
            self._changed()
        elif wait and after >= found.end:
            self._silent()
        return bool(found.records)

    async def _load(self) -> None:
        """Start anew from the newest record of each key."""
        asked_at = self._clock.now()
        page = await self._store.newest(self._partition)
        start, seen = page.end, self._take(page)
        while page.after:
            page = await self._store.newest(self._partition, page.after)
            seen |= self._take(page)
        for key, offset in list(self._offsets.items()):
            if key not in seen and offset < start:
                self._apply(Record(start, key, b""))
        self._position = start
        self._read_at = asked_at
        self._changed()

    def _take(self, page: Newest) -> set[str]:
        for record in page.records:
            self._apply(record)
        return {record.key for record in page.records}

    def _apply(self, record: Record) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.value:
            self._offsets[record.key] = record.offset
        else:
            self._offsets.pop(record.key, None)
        self._fold.apply(record)
