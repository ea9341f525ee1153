"""Snapshots of folds, stored in the stream whose records they summarize."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from ragworttiller.records import SnapshotPart
from ragworttiller.timers import TimerService

if TYPE_CHECKING:
    from ragworttiller.process.stream import Stream

SNAPSHOT_PART_BYTES = 32 * 1024
CHECK_PERIOD_SECONDS = 1.0
SNAPSHOT_RECORDS = 1000
FIRST_SNAPSHOT_SHARE = 1 / 16


def split_snapshot(
    data: bytes, as_of: int, snapshot: str, new_id: Callable[[], str]
) -> list[SnapshotPart]:
    """Split a dumped state into records that are small enough for the log."""
    starts = range(0, max(1, len(data)), SNAPSHOT_PART_BYTES)
    return [
        SnapshotPart(
            new_id(), snapshot, as_of, part, len(starts), data[at : at + SNAPSHOT_PART_BYTES]
        )
        for part, at in enumerate(starts)
    ]


class SnapshotReader:
    """Assembles snapshots from their parts as they are read.

    Attributes
    ----------
    as_of : int
        Offset before which the latest complete snapshot covers all records, 1 without one.
    size : int
        Size of the latest complete snapshot in bytes.
    bytes_since : int
        Bytes of the records read since the latest complete snapshot.
    """

    def __init__(self) -> None:
        self.as_of = 1
        self.size = 0
        self.bytes_since = 0
        self._parts: dict[str, dict[int, bytes]] = {}

    def read(self, record: Any, size: int) -> bytes | None:
        """Read a record of ``size`` bytes; return the state if it completes a snapshot."""
        self.bytes_since += size
        if not isinstance(record, SnapshotPart):
            return None
        state = self._add(record)
        if state is not None and record.as_of >= self.as_of:
            self.as_of = record.as_of
            self.size = len(state)
            self.bytes_since = 0
        return state

    def clear(self) -> None:
        """Discard the parts of incomplete snapshots."""
        self._parts.clear()

    def _add(self, part: SnapshotPart) -> bytes | None:
        """Add a part; return the state once all parts of the snapshot were added."""
        parts = self._parts.setdefault(part.snapshot, {})
        parts[part.part] = part.data
        if len(parts) < part.parts:
            return None
        del self._parts[part.snapshot]
        return b"".join(parts[number] for number in range(part.parts))


class Retention(NamedTuple):
    """Minimum retention of each stream: ``records`` in number, ``seconds`` in age."""

    records: int = 100_000
    seconds: float = 6 * 3600.0


DEFAULT_RETENTION = Retention()


class SnapshotWriter:
    """Writes snapshots of a stream before the records that they summarize expire.

    A snapshot is due when there are at least ``records`` records since the last one and they are at
    least as large as it, or when a quarter of the retention, in records or seconds, has passed
    since. A writer that has just started does not know the age of the last snapshot, so its first
    one is due after `FIRST_SNAPSHOT_SHARE` of the retention.

    Parameters
    ----------
    stream : Stream
        Stream whose fold is saved.
    timers : TimerService
        Source of time.
    retention : Retention
        What the log keeps.
    records : int
        Minimum number of records between snapshots that are due by size.
    """

    def __init__(
        self,
        stream: Stream,
        timers: TimerService,
        retention: Retention = DEFAULT_RETENTION,
        records: int = SNAPSHOT_RECORDS,
    ) -> None:
        self._stream = stream
        self._timers = timers
        self._retention = retention
        self._records = records
        self._posted_at = timers.now()
        self._posted_as_of = 0

    async def run(self) -> None:
        """Post snapshots as they come due until cancelled."""
        await self._stream.wait_ready()
        self._assume_snapshot_age()
        async for _ in self._timers.ticks(CHECK_PERIOD_SECONDS):
            if self.due():
                self.post()

    def _assume_snapshot_age(self) -> None:
        """Assume an age for the last snapshot, whose true age is unknown."""
        assumed_age = self._retention.seconds * (1 / 4 - FIRST_SNAPSHOT_SHARE)
        self._posted_at = self._timers.now() - assumed_age

    def due(self) -> bool:
        """Return whether a snapshot must be written now."""
        if not self._stream.ready or self._stream.next_offset == 1:
            return False
        if self._timers.now() - self._posted_at >= self._retention.seconds / 4:
            return True
        records = self._stream.next_offset - max(self._stream.snapshot_as_of, self._posted_as_of)
        if records >= self._retention.records // 4:
            return True
        size = self._stream.snapshot_bytes
        return records >= self._records and self._stream.bytes_since_snapshot >= size

    def post(self) -> None:
        """Write a snapshot now."""
        self._posted_at = self._timers.now()
        self._posted_as_of = self._stream.next_offset
        self._stream.post_snapshot()
