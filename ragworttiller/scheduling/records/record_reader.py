"""Reads the records of a partition, those that a slow link takes long for from another source."""

from __future__ import annotations

import logging
import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple, TypeVar, cast

import anyio
from typing_extensions import override

from ragworttiller.exceptions import LogUnavailable, RecordsExpired, RecordsTooLong
from ragworttiller.platform.store import Partition, Slice, Store
from ragworttiller.scheduling.records.paged_load import LoadedPages, PagedLoad

log = logging.getLogger(__name__)

_Read = TypeVar("_Read", Slice, LoadedPages)

# A longer answer would hold up what else is on its link.
LONG_TRANSFER_SECONDS = 0.25
# Others need about as long to read long records over a fast link, and to tell of them.
WAIT_FOR_OTHERS_SECONDS = 0.7


class SkippedTo(NamedTuple):
    """Records before ``position`` need not be read: their newest state was taken elsewhere."""

    position: int


class RecordReader(ABC):
    """Reads the records of a partition."""

    @property
    def reads_long_records(self) -> bool:
        """Whether a read of records that take long is in progress."""
        return False

    @abstractmethod
    async def read(self, position: int, wait: float) -> Slice | SkippedTo:
        """Read the records from an offset on; wait up to ``wait`` seconds for the first one.

        Raises
        ------
        LogUnavailable
            The store refused the read or sent no valid answer.
        RecordsExpired
            The records at ``position`` have been deleted.
        """

    async def load(self, pages: PagedLoad, position: int) -> LoadedPages | SkippedTo:
        """Read the newest record of each key, unless a later state than ``position`` is elsewhere.

        Raises
        ------
        LogUnavailable
            The store refused the read or sent no valid answer.
        """
        return await pages.read()


class StoreReader(RecordReader):
    """Reads all records from the store, however long they are.

    Parameters
    ----------
    store : Store
        Store to read.
    partition : Partition
        Partition to read.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition

    @override
    async def read(self, position: int, wait: float) -> Slice | SkippedTo:
        return await self._store.read(self._partition, position, wait)


class OtherSource(ABC):
    """Source of the newest state of a partition other than the store."""

    @abstractmethod
    async def newest_position(self, position: int, seconds: float) -> int | None:
        """Take the newest state that is known elsewhere, if it is later than ``position``.

        Parameters
        ----------
        position : int
            Offset of the next record to read.
        seconds : float
            How long to wait for a later state.

        Returns
        -------
        int or None
            Offset of the first record that this state does not include, None if nobody has had a
            later one.
        """


class LongRecordReader(RecordReader):
    """Takes the newest state of records that are long for the link from another source.

    Load pattern: a record of a megabyte takes a slow link seconds, for which everything else on it
    is late, and is followed by the next version of it.

    Parameters
    ----------
    store : Store
        Store to read.
    partition : Partition
        Partition to read.
    link_bytes_per_second : float
        Bandwidth of the link.
    source : OtherSource
        Where else to get the newest state.
    """

    def __init__(
        self, store: Store, partition: Partition, link_bytes_per_second: float, source: OtherSource
    ) -> None:
        self._store = store
        self._partition = partition
        self._bytes_per_second = link_bytes_per_second
        self._max_bytes = int(link_bytes_per_second * LONG_TRANSFER_SECONDS)
        self._source = source
        self._lock = anyio.Lock()
        self._skipped_to = 0
        self._reads_long_records = False

    @property
    @override
    def reads_long_records(self) -> bool:
        return self._reads_long_records

    @override
    async def read(self, position: int, wait: float) -> Slice | SkippedTo:
        try:
            return await self._store.read(self._partition, position, wait, self._max_bytes)
        except RecordsTooLong as exc:
            length = cast(int, exc.fields["bytes"])
        async with self._lock:
            # Another read may have passed them meanwhile.
            if self._skipped_to > position:
                return SkippedTo(self._skipped_to)
            read = partial(self._store.read, self._partition, position)
            result = await self._read_long(position, length, read)
            self._skipped_to = _position_after(result, position)
            return result

    @override
    async def load(self, pages: PagedLoad, position: int) -> LoadedPages | SkippedTo:
        try:
            return await pages.read(self._max_bytes)
        except RecordsTooLong as exc:
            length = cast(int, exc.fields["bytes"])
        return await self._read_long(position, length, pages.read)

    async def _read_long(
        self, position: int, length: int, read: Callable[[], Awaitable[_Read]]
    ) -> _Read | SkippedTo:
        self._reads_long_records = True
        try:
            return await self._take_or_read(position, length, read)
        finally:
            self._reads_long_records = False

    async def _take_or_read(
        self, position: int, length: int, read: Callable[[], Awaitable[_Read]]
    ) -> _Read | SkippedTo:
        """Take long records from elsewhere, or read them if nobody has them any sooner."""
        seconds = min(length / self._bytes_per_second, WAIT_FOR_OTHERS_SECONDS)
        later = await self._source.newest_position(position, seconds)
        if later is not None:
            return SkippedTo(later)
        extra = {"partition": str(self._partition), "bytes": length}
        log.info("long records read from the store", extra=extra)
        return await self._read_first(position, read)

    async def _read_first(
        self, position: int, read: Callable[[], Awaitable[_Read]]
    ) -> _Read | SkippedTo:
        """Read records from the store, and end that if another source has them sooner."""
        results: list[_Read | SkippedTo] = []
        errors: list[Exception] = []
        scope = anyio.CancelScope()

        async def read_store() -> None:
            try:
                results.append(await read())
            except (LogUnavailable, RecordsExpired) as exc:
                errors.append(exc)
            scope.cancel()

        async def ask_source() -> None:
            later = await self._source.newest_position(position, math.inf)
            if later is not None:
                results.append(SkippedTo(later))
                scope.cancel()

        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_store)
                tasks.start_soon(ask_source)
        if not results:
            raise errors[0]
        return results[0]


def _position_after(result: Slice | SkippedTo, position: int) -> int:
    """Return the offset after what was read at a position."""
    if isinstance(result, SkippedTo):
        return result.position
    return position + len(result.records)
