"""Tails one keyed partition of the store, starting with the newest record of each key."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, auto

import anyio

from ragworttiller.exceptions import LogUnavailable, RecordsExpired
from ragworttiller.platform.store import NewestPage, Partition, Record, Slice, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.paged_load import PagedLoad
from ragworttiller.scheduling.records.record_reader import RecordReader, SkippedTo, StoreReader
from ragworttiller.scheduling.records.shared_read import SharedRead

log = logging.getLogger(__name__)

# With a longer wait, a dead connection would be noticed too late to apply a configuration in time.
POLL_SECONDS = 1.5
# Part of the wait of an empty read that its age does not count: the store's timers may be early.
COUNTED_WAIT = 0.9
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.5


class Fold(ABC):
    """State built from the records of a partition."""

    @abstractmethod
    def apply(self, record: Record) -> None:
        """Apply one record; an empty value means that its key was deleted."""


class ReadOutcome(Enum):
    """Result of one read of a partition."""

    NOTHING_NEW = auto()
    CAUGHT_UP = auto()
    BEHIND = auto()


class Feed:
    """Delivers the records of a partition to a fold, in order for each key and each once.

    Parameters
    ----------
    store : Store
        Store to read.
    partition : Partition
        Partition to read.
    fold : Fold
        Receives the records.
    clock : Clock
        Source of time.
    min_interval : float
        Minimum seconds between two reads that return records.
    on_change : Callable
        Called after each read that returned records, and after each load of all keys.
    poll_seconds : float
        Seconds that a read waits for a first record.
    on_empty_poll : Callable
        Called when a read has returned no record within ``poll_seconds``.
    reader : RecordReader, optional
        Reads the records; by default from the store, however long they are.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        fold: Fold,
        clock: Clock,
        min_interval: float = 0.0,
        on_change: Callable[[], None] = lambda: None,
        poll_seconds: float = POLL_SECONDS,
        on_empty_poll: Callable[[], None] = lambda: None,
        reader: RecordReader | None = None,
    ) -> None:
        self._reader = reader or StoreReader(store, partition)
        self._store = store
        self._partition = partition
        self._fold = fold
        self._clock = clock
        self.on_change = on_change
        self._poll_seconds = poll_seconds
        self._on_empty_poll = on_empty_poll
        self._lock = anyio.Lock()
        self._pages = PagedLoad(store, partition, clock)
        self._offsets: dict[str, int] = {}
        self._position: int | None = None
        self._complete = False
        self._finishing_load = False
        self._current_at = float("-inf")
        self._newest_at = float("-inf")
        self._loaded_end = 0
        self._catch_up = SharedRead(str(partition), self._read_all)
        self.min_interval = min_interval

    @property
    def position(self) -> int:
        """Offset of the next record to read, 0 before the first load."""
        return self._position or 0

    @property
    def ready(self) -> bool:
        """Whether the newest record of each key has been loaded, as the store states."""
        return self._complete

    @property
    def finishing_load(self) -> bool:
        """Whether a state was taken from elsewhere, and the store answers what followed it."""
        return self._finishing_load

    @property
    def load_seconds_left(self) -> float:
        """Expected seconds until all keys are loaded, infinite if that is not known."""
        return self._pages.seconds_left

    @property
    def loaded_end(self) -> int:
        """Offset before which a record may have replaced earlier ones of its key, unread."""
        return self._loaded_end

    @property
    def reads_long_records(self) -> bool:
        """Whether it is reading long records, or taking their newest state from elsewhere."""
        return self._reader.reads_long_records

    @property
    def age(self) -> float:
        """Seconds since the fold was last known to be up to date."""
        return self._clock.now() - self._current_at

    @property
    def newest_age(self) -> float:
        """Seconds since the store last stated that there is no later record.

        Unlike `age`, it counts an empty read from the end of its wait, and so stays below the wait
        and the time of an exchange while the store answers. A store that ends a wait early, and
        whose answer is late by the rest of it, is taken for up to date for that rest.
        """
        return self._clock.now() - self._newest_at

    async def run(self) -> None:
        """Read the partition until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._catch_up.run)
            await self._poll()

    async def _poll(self) -> None:
        delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            try:
                outcome = await self._read_next()
                if outcome is not ReadOutcome.NOTHING_NEW:
                    await self._clock.sleep(self.min_interval)
            except LogUnavailable as exc:
                self._finishing_load = False
                log.info(
                    "partition read failed",
                    extra={"partition": str(self._partition), "why": exc.code},
                )
            except Exception:
                extra = {"partition": str(self._partition)}
                log.exception("partition read failed by an unexpected error", extra=extra)
            else:
                delay = INITIAL_RETRY_DELAY_SECONDS
                continue
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)

    async def catch_up(self) -> None:
        """Read all records that the partition currently has, in one read for all callers.

        Raises
        ------
        LogUnavailable
            The store cannot be read.
        """
        await self._catch_up.wait()

    async def _read_all(self) -> None:
        outcome = ReadOutcome.BEHIND
        while outcome is ReadOutcome.BEHIND:
            outcome = await self._read(0.0)

    async def load(self) -> None:
        """Load the newest record of each key, unless that was done before.

        Raises
        ------
        LogUnavailable
            The store cannot be read.
        """
        await self._load_once(None)

    async def _read_next(self) -> ReadOutcome:
        return await self._read(self._poll_seconds if self.ready else 0.0)

    async def _read(self, wait: float) -> ReadOutcome:
        """Read once."""
        if self._position is None:
            await self.load()
            return ReadOutcome.BEHIND
        asked_at, position = self._clock.now(), self._position
        try:
            result = await self._reader.read(position, wait)
        except RecordsExpired as exc:
            log.info(
                "records expired before they were read",
                extra={"partition": str(self._partition), **exc.fields},
            )
            await self._load_once(position)
            return ReadOutcome.BEHIND
        if isinstance(result, SkippedTo):
            self._position = max(self._position, result.position)
            return ReadOutcome.BEHIND
        return self._apply_slice(result, position, asked_at, wait)

    def _apply_slice(
        self, result: Slice, position: int, asked_at: float, wait: float
    ) -> ReadOutcome:
        assert self._position is not None
        for record in result.records:
            # A concurrent read may have advanced the position; keys it deleted must not reappear.
            if record.offset >= self._position:
                self._apply(record)
        next_position = position + len(result.records)
        self._position = max(self._position, next_position)
        if next_position >= result.end:
            self._complete, self._finishing_load = True, False
            self._current_at = max(self._current_at, asked_at)
            waited = COUNTED_WAIT * wait
            if result.records or self._clock.now() < asked_at + waited:
                waited = 0.0
            self._newest_at = max(self._newest_at, asked_at + waited)
        if result.records:
            self.on_change()
        elif wait and next_position >= result.end:
            self._on_empty_poll()
        if next_position < result.end:
            return ReadOutcome.BEHIND
        return ReadOutcome.CAUGHT_UP if result.records else ReadOutcome.NOTHING_NEW

    async def _load_once(self, position: int | None) -> None:
        """Load all keys, unless another read has done so since ``position``."""
        async with self._lock:
            if self._position == position:
                await self._load()

    async def _load(self) -> None:
        """Load the newest record of each key and delete keys that no longer exist."""
        result = await self._reader.load(self._pages, self.position)
        if isinstance(result, SkippedTo):
            self._position = max(self.position, result.position)
            self._finishing_load = not self._complete
            return
        asked_at, pages = result
        # Applied together: with half of them, an owner could act on jobs without their later state.
        start, keys = pages[0].end, set[str]().union(*map(self._apply_page, pages))
        for key, offset in list(self._offsets.items()):
            if key not in keys and offset < start:
                self._apply(Record(start, key, b""))
        offsets = [record.offset for page in pages for record in page.records]
        self._loaded_end = max(start, *(offset + 1 for offset in offsets), 0)
        self._position = max(self.position, start)
        self._complete, self._finishing_load = True, False
        self._current_at = max(self._current_at, asked_at)
        self._newest_at = max(self._newest_at, asked_at)
        self.on_change()

    def _apply_page(self, page: NewestPage) -> set[str]:
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
        try:
            self._fold.apply(record)
        except Exception:
            extra = {"partition": str(self._partition), "offset": record.offset}
            log.exception("record skipped after an unexpected error", extra=extra)
