"""One stream of the platform log: tailing, folding and group commit.

A record counts as committed only after it was read back from the log and folded, so every reader
reaches the same verdict.
"""

from __future__ import annotations

import itertools
import logging
import math
from collections.abc import Callable, Sequence
from typing import Any

import anyio

from ragworttiller.codec import Codec
from ragworttiller.exceptions import InvalidField, LogUnavailable, RecordsExpired
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.commits import CommitQueue
from ragworttiller.process.fold import VALID, Committed, Fold, Verdict
from ragworttiller.process.snapshots import SnapshotReader, split_snapshot
from ragworttiller.records import RECORD_CODEC, SnapshotPart
from ragworttiller.services.log import Log, LogSlice
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

READ_WAIT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.2
SNAPSHOT_SEARCH_RECORDS = 2000

IN_SNAPSHOT = Verdict(False, "in_snapshot")

_stream_numbers = itertools.count(1)


class _SnapshotSearch:
    """Search for a snapshot from offset ``floor`` on, with the records read so far."""

    def __init__(self, floor: int) -> None:
        self.floor = floor
        self.records: list[tuple[int, Any]] = []


class Stream:
    """Reader and writer of one stream.

    Parameters
    ----------
    name : str
        Stream name.
    platform_log : Log
        The platform's log.
    fold : Fold
        State computed from the stream's records.
    timers : TimerService
        Source of time.
    budget : AppendBudget
        Rate limit on the appends of the process.
    writer : str
        ``instance@incarnation``, the prefix of record ids.
    codec : Codec
        Encoding of records.
    """

    def __init__(
        self,
        name: str,
        platform_log: Log,
        fold: Fold,
        timers: TimerService,
        budget: AppendBudget,
        writer: str,
        codec: Codec = RECORD_CODEC,
    ) -> None:
        self._name = name
        self._log = platform_log
        self._fold = fold
        self._timers = timers
        self._writer = f"{writer}.{next(_stream_numbers)}"
        self._codec = codec
        self._commits = CommitQueue(name, platform_log, timers, budget)
        self._record_numbers = itertools.count(1)
        self._next_offset = 1
        self._start_found = False
        self._ready = anyio.Event()
        self._snapshots = SnapshotReader()
        self._search: _SnapshotSearch | None = None
        self._expired: RecordsExpired | None = None
        self._peer_state_loaded = False
        self._newest_held_offset = 1
        self._read_at = -math.inf
        self._observers: list[Callable[[int, bytes], None]] = []
        self._reset_callbacks: list[Callable[[], None]] = []

    @property
    def name(self) -> str:
        """Stream name."""
        return self._name

    @property
    def writer(self) -> str:
        """Name of this writer, unique over all stream objects, instances and restarts."""
        return self._writer

    @property
    def fold(self) -> Fold:
        """State computed from the stream's records."""
        return self._fold

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to read."""
        return self._next_offset

    @property
    def snapshot_as_of(self) -> int:
        """Offset before which the latest complete snapshot covers all records, 1 without one."""
        return self._snapshots.as_of

    @property
    def snapshot_bytes(self) -> int:
        """Size of the latest complete snapshot in bytes."""
        return self._snapshots.size

    @property
    def bytes_since_snapshot(self) -> int:
        """Bytes of the records read since the latest complete snapshot."""
        return self._snapshots.bytes_since

    @property
    def ready(self) -> bool:
        """Whether the fold has reached the end reported by the log and missed no record."""
        return self._ready.is_set()

    @property
    def has_state(self) -> bool:
        """Whether the fold holds a complete state, from the log or from another instance."""
        return self._ready.is_set() or self._peer_state_loaded

    @property
    def last_read_at(self) -> float:
        """Monotonic time of the latest answer to a read, in seconds."""
        return self._read_at

    @property
    def expired(self) -> RecordsExpired | None:
        """Error of a stream that cannot become ready, since records it needs have expired."""
        return self._expired

    @property
    def log_up(self) -> bool:
        """Whether the log is available, as of the latest read, append or commit."""
        return self._commits.log_up

    def record_id(self) -> str:
        """Return a new record id."""
        return f"{self._writer}:{self._name}:{next(self._record_numbers)}"

    async def wait_ready(self) -> None:
        """Wait until the stream is ready."""
        await self._ready.wait()

    def observe(self, observer: Callable[[int, bytes], None]) -> None:
        """Call ``observer`` with the offset and bytes of every entry after it was folded."""
        self._observers.append(observer)

    def before_reset(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` before a complete state is dropped to load a newer one."""
        self._reset_callbacks.append(callback)

    def fold_relayed_entries(self, first: int, entries: Sequence[bytes]) -> bool:
        """Fold entries read by another instance; return False if earlier ones are missing."""
        if not self.has_state or first > self._next_offset:
            return False
        for data in entries[self._next_offset - first :]:
            self._next_offset += 1
            self._process_entry(self._next_offset - 1, data)
        return True

    def load_newer_state(self, as_of: int, state: bytes) -> bool:
        """Load a state dumped by another instance; return False if it is not a newer one."""
        held = self._next_offset if self._search is None else self._newest_held_offset
        if as_of < held or (self.has_state and as_of == held):
            return False
        self._drop_state()
        self._fold.load(state)
        self._search = None
        self._expired = None
        self._peer_state_loaded = self._start_found = True
        self._next_offset = as_of
        return True

    async def run(self) -> None:
        """Tail the stream and commit queued records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tail)
            tasks.start_soon(self._commits.run)

    async def commit(self, record: Any, timeout: float) -> Committed:
        """Append a record and wait until it is read back.

        Raises
        ------
        LogUnavailable
            The record was not appended and never will be.
        AppendUndecided
            The record was not read back within ``timeout`` seconds; it may still be appended.
        """
        return await self._commits.commit(record.id, self._codec.encode_one(record), timeout)

    def post(self, record: Any) -> None:
        """Append a record in the background, with retries until it is read back."""
        self._commits.post(record.id, self._codec.encode_one(record))

    async def post_and_wait(self, record: Any) -> Committed:
        """Append a record, with retries until it is read back, and return the result."""
        return await self._commits.post_and_wait(record.id, self._codec.encode_one(record))

    async def flush(self) -> None:
        """Wait until all posted records have been read back."""
        await self._commits.flush()

    async def refresh(self, timeout: float) -> bool:
        """Fold all records in the log as of now; return False if that fails or times out."""
        with self._timers.move_on_after(timeout):
            try:
                slice_ = await self._log.read(self._name, self._next_offset)
                end = slice_.end
                self._process_slice(slice_)
                while self._next_offset < end:
                    self._process_slice(await self._log.read(self._name, self._next_offset))
            except LogUnavailable:
                return False
            return self._ready.is_set()
        return False

    def post_snapshot(self) -> None:
        """Post a snapshot of the fold, split into parts that are small enough for the log."""
        data = self._fold.dump()
        for part in split_snapshot(data, self._next_offset, self.record_id(), self.record_id):
            self.post(part)

    async def _tail(self) -> None:
        while True:
            try:
                wait = READ_WAIT_SECONDS if self._ready.is_set() or self._expired else 0.0
                slice_ = await self._log.read(self._name, self._next_offset, wait)
            except LogUnavailable:
                self._commits.log_up = False
                await self._timers.sleep(RETRY_DELAY_SECONDS)
                continue
            self._commits.log_up = True
            self._read_at = self._timers.now()
            self._process_slice(slice_)

    def _process_slice(self, slice_: LogSlice) -> None:
        if slice_.start > self._next_offset or not self._start_found:
            self._start_found = True
            if slice_.start > 1 or slice_.end - slice_.start > SNAPSHOT_SEARCH_RECORDS:
                self._begin_search(max(slice_.start, slice_.end - SNAPSHOT_SEARCH_RECORDS))
                return
        for position, data in enumerate(slice_.entries):
            offset = slice_.first + position
            if offset == self._next_offset:
                self._next_offset += 1
                self._process_entry(offset, data)
        if self._next_offset >= slice_.end and not self._ready.is_set():
            self._handle_log_end(slice_)

    def _begin_search(self, floor: int) -> None:
        """Search for a snapshot from ``floor`` on; the fold is empty until one is found."""
        self._newest_held_offset = max(
            self._newest_held_offset, self._next_offset if self._search is None else 1
        )
        self._drop_state()
        if self._ready.is_set():
            log.warning(
                "stream %s: offset %d expired before it was read", self._name, self._next_offset
            )
            self._ready = anyio.Event()
        self._peer_state_loaded = False
        self._snapshots.clear()
        self._search = _SnapshotSearch(floor)
        self._next_offset = floor

    def _drop_state(self) -> None:
        for callback in self._reset_callbacks if self.has_state else ():
            callback()
        self._fold.reset()

    def _handle_log_end(self, slice_: LogSlice) -> None:
        """Become ready, or extend an unsuccessful search for a snapshot to older records.

        Without a snapshot, the fold is complete only if the log still has the first record.
        """
        search = self._search
        if search is None:
            self._ready.set()
            return
        if search.floor > slice_.start:
            width = 2 * (slice_.end - search.floor)
            self._begin_search(max(slice_.start, slice_.end - width))
            return
        if search.floor == 1:
            self._search = None
            self._replay(search, 1)
            self._ready.set()
            return
        if self._expired is None:
            self._expired = RecordsExpired(stream=self._name, start=slice_.start, wanted=1)
            log.error("%s", self._expired)

    def _process_entry(self, offset: int, data: bytes) -> None:
        self._fold_entry(offset, data)
        for observer in self._observers if self._search is None else ():
            observer(offset, data)

    def _fold_entry(self, offset: int, data: bytes) -> None:
        try:
            record = self._codec.decode_one(data)
        except InvalidField as exc:
            log.error("stream %s: skipped undecodable entry %d: %s", self._name, offset, exc)
            return
        state = self._snapshots.read(record, len(data))
        if self._search is None:
            self._apply(offset, record)
            return
        self._search.records.append((offset, record))
        if state is not None and record.as_of >= self._search.floor:
            self._load_snapshot(state, record.as_of)

    def _load_snapshot(self, state: bytes, as_of: int) -> None:
        search, self._search = self._search, None
        assert search is not None
        self._fold.load(state)
        self._expired = None
        self._replay(search, as_of)

    def _replay(self, search: _SnapshotSearch, as_of: int) -> None:
        for offset, record in search.records:
            if offset >= as_of:
                self._apply(offset, record)
            else:
                self._commits.confirm_posted(record.id, Committed(offset, IN_SNAPSHOT))

    def _apply(self, offset: int, record: Any) -> None:
        verdict = VALID
        if not isinstance(record, SnapshotPart):
            verdict = self._fold.apply(offset, record)
        self._commits.confirm(record.id, Committed(offset, verdict))
