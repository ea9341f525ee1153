"""Group commit of the records of one stream.

One append is in flight at a time, and the next one takes all records that were queued meanwhile,
so batches grow with the load and with the log's latency. Posted records are delayed for a short
time, so that they share an append with others.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

import anyio

from ragworttiller.exceptions import AppendUndecided, LogUnavailable, RagworttillerError
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.fold import Committed
from ragworttiller.services.log import Log
from ragworttiller.timers import TimerService

RETRY_DELAY_SECONDS = 0.2
POST_DELAY_SECONDS = 0.05
POST_AND_WAIT_DELAY_SECONDS = 0.25
MAX_APPEND_BYTES = 256 * 1024


class _QueuedRecord(NamedTuple):
    """Encoded record that waits for an append."""

    record_id: str
    data: bytes


class _Waiter:
    """Pending result of a record."""

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.result: Committed | None = None
        self.error: RagworttillerError | None = None

    def resolve(self, result: Committed) -> None:
        """Set the result of the record's first copy in the log; ignore later copies."""
        if self.result is None:
            self.result = result
            self.event.set()

    def fail(self, error: RagworttillerError) -> None:
        """Set the error of a record that was not appended."""
        self.error = error
        self.event.set()


class CommitQueue:
    """Appends records in batches and wakes their callers when they have been read back.

    Parameters
    ----------
    stream : str
        Stream name.
    platform_log : Log
        The platform's log.
    timers : TimerService
        Source of time.
    budget : AppendBudget
        Rate limit on the appends of the process.
    """

    def __init__(
        self, stream: str, platform_log: Log, timers: TimerService, budget: AppendBudget
    ) -> None:
        self._stream = stream
        self._log = platform_log
        self._timers = timers
        self._budget = budget
        self._queued_commits: deque[_QueuedRecord] = deque()
        self._queued_posts: deque[_QueuedRecord] = deque()
        self._queued = anyio.Event()
        self._due = math.inf
        self._due_changed = anyio.Event()
        self._waiters: dict[str, _Waiter] = {}
        self._posted: dict[str, bytes] = {}
        self._flushed = anyio.Event()
        self.log_up = True

    async def run(self) -> None:
        """Append queued records until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                batch = await self._next_batch()
                if batch and not await self._append(batch):
                    tasks.start_soon(self._requeue, batch)

    async def commit(self, record_id: str, data: bytes, timeout: float) -> Committed:
        """Append a record once and wait until it is read back.

        Raises
        ------
        LogUnavailable
            The record was not appended and never will be.
        AppendUndecided
            The record was not read back within ``timeout`` seconds; it may still be appended.
        """
        waiter = self._waiters[record_id] = _Waiter()
        self._queued_commits.append(_QueuedRecord(record_id, data))
        self._schedule_append(0.0)
        try:
            with self._timers.move_on_after(timeout):
                await waiter.event.wait()
        finally:
            del self._waiters[record_id]
        if waiter.error is not None:
            raise waiter.error
        if waiter.result is None:
            self.log_up = False
            raise AppendUndecided(stream=self._stream)
        return waiter.result

    def post(self, record_id: str, data: bytes, delay: float = POST_DELAY_SECONDS) -> None:
        """Append a record, with retries until it is read back.

        The record waits up to ``delay`` seconds for another append that it can share.
        """
        self._posted[record_id] = data
        self._queued_posts.append(_QueuedRecord(record_id, data))
        self._schedule_append(delay)

    async def post_and_wait(self, record_id: str, data: bytes) -> Committed:
        """Post a record and wait until it is read back."""
        waiter = self._waiters[record_id] = _Waiter()
        self.post(record_id, data, POST_AND_WAIT_DELAY_SECONDS)
        try:
            await waiter.event.wait()
        finally:
            del self._waiters[record_id]
        assert waiter.result is not None
        return waiter.result

    async def flush(self) -> None:
        """Wait until all posted records have been read back."""
        while self._posted:
            self._schedule_append(0.0)
            self._flushed = anyio.Event()
            await self._flushed.wait()

    def confirm(self, record_id: str, result: Committed) -> None:
        """Resolve a record that was read back."""
        self.confirm_posted(record_id, result)
        waiter = self._waiters.get(record_id)
        if waiter is not None:
            waiter.resolve(result)

    def confirm_posted(self, record_id: str, result: Committed) -> None:
        """Resolve a record that was read back, if it was posted."""
        if self._posted.pop(record_id, None) is None:
            return
        waiter = self._waiters.get(record_id)
        if waiter is not None:
            waiter.resolve(result)
        if not self._posted:
            self._flushed.set()

    def _schedule_append(self, delay: float) -> None:
        """Schedule the next append within ``delay`` seconds."""
        due = self._timers.now() + delay
        if due < self._due:
            self._due = due
            self._due_changed.set()
        self._queued.set()

    async def _next_batch(self) -> list[_QueuedRecord]:
        await self._queued.wait()
        while (delay := self._due - self._timers.now()) > 0:
            self._due_changed = anyio.Event()
            with self._timers.move_on_after(delay):
                await self._due_changed.wait()
        await self._budget.acquire()
        batch: list[_QueuedRecord] = []
        size = 0
        while size < MAX_APPEND_BYTES and (queue := self._queued_commits or self._queued_posts):
            item = queue.popleft()
            if item.record_id in self._posted or item.record_id in self._waiters:
                batch.append(item)
                size += len(item.data)
        if not self._queued_commits and not self._queued_posts:
            self._queued = anyio.Event()
            self._due = math.inf
        return batch

    async def _append(self, batch: list[_QueuedRecord]) -> bool:
        """Append a batch and return whether the log confirmed it."""
        try:
            await self._log.append(self._stream, [item.data for item in batch])
        except LogUnavailable as exc:
            self.log_up = False
            for item in batch:
                if item.record_id in self._waiters and item.record_id not in self._posted:
                    self._waiters[item.record_id].fail(exc)
            return False
        except AppendUndecided:
            return False
        self.log_up = True
        return True

    async def _requeue(self, batch: list[_QueuedRecord]) -> None:
        await self._timers.sleep(RETRY_DELAY_SECONDS)
        for item in batch:
            if item.record_id in self._posted:
                self._queued_posts.append(item)
                self._schedule_append(POST_DELAY_SECONDS)
