"""Reads the records of a partition, those that a slow link takes long for from another source."""

from __future__ import annotations

import logging
import math
from abc import ABC, abstractmethod
from typing import NamedTuple, cast

import anyio
from typing_extensions import override

from ragworttiller.exceptions import LogUnavailable, RecordsExpired, RecordsTooLong
from ragworttiller.platform.store import Partition, Slice, Store

log = logging.getLogger(__name__)

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
        max_bytes = int(self._bytes_per_second * LONG_TRANSFER_SECONDS)
        try:
            return await self._store.read(self._partition, position, wait, max_bytes)
        except RecordsTooLong as exc:
            length = cast(int, exc.fields["bytes"])
        async with self._lock:
            # Another read may have passed them meanwhile.
            if self._skipped_to > position:
                return SkippedTo(self._skipped_to)
            self._reads_long_records = True
            try:
                result = await self._read_long(position, length)
            finally:
                self._reads_long_records = False
            self._skipped_to = _position_after(result, position)
            return result

    async def _read_long(self, position: int, length: int) -> Slice | SkippedTo:
        """Take long records from elsewhere, or read them if nobody has them any sooner."""
        seconds = min(length / self._bytes_per_second, WAIT_FOR_OTHERS_SECONDS)
        later = await self._source.newest_position(position, seconds)
        if later is not None:
            return SkippedTo(later)
        extra = {"partition": str(self._partition), "bytes": length}
        log.info("long records read from the store", extra=extra)
        return await self._read_first(position)

    async def _read_first(self, position: int) -> Slice | SkippedTo:
        """Read records from the store, and end that if another source has them sooner."""
        results: list[Slice | SkippedTo] = []
        errors: list[Exception] = []

        async def read_store() -> None:
            try:
                results.append(await self._store.read(self._partition, position))
            except (LogUnavailable, RecordsExpired) as exc:
                errors.append(exc)
            tasks.cancel_scope.cancel()

        async def ask_source() -> None:
            later = await self._source.newest_position(position, math.inf)
            if later is not None:
                results.append(SkippedTo(later))
                tasks.cancel_scope.cancel()

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
