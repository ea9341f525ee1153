"""Group commit of one producer to one partition: one append in flight for all queued records."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import anyio

from ragworttiller.exceptions import (
    AppendFenced,
    AppendOutOfOrder,
    AppendRefused,
    AppendUndecided,
    LogUnavailable,
    RagworttillerError,
)
from ragworttiller.platform.store import (
    ANSWER_TIMEOUT_SECONDS,
    KeyedRecord,
    Partition,
    Producer,
    Store,
)
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.repeated_append import RepeatedAppend

log = logging.getLogger(__name__)

MAX_BATCH_BYTES = 1_000_000
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.4
# Time after which an append without a result counts as undecided and is sent again.
ATTEMPT_TIMEOUT_SECONDS = 4.0
# Time for which the duration of an append serves as an estimate for the next one.
APPEND_DURATION_VALID_SECONDS = 10.0
# The store counts as slow when an append takes longer.
SLOW_APPEND_SECONDS = 0.15


class _PendingAppend:
    """Records of one caller that wait to be appended.

    Attributes
    ----------
    alone : bool
        Whether they are sent in a call of their own, since a call with others was refused for good.
    """

    def __init__(
        self, records: Sequence[KeyedRecord], deadline: float, retry_deadline: float
    ) -> None:
        self.records = records
        self.deadline = deadline
        self.retry_deadline = retry_deadline
        self.done = anyio.Event()
        self.error: RagworttillerError | None = None
        self.alone = False
        self.end = 0

    @property
    def size(self) -> int:
        return sum(len(record.key) + len(record.value) for record in self.records)

    def fail(self, error: RagworttillerError) -> None:
        self.error = error
        self.done.set()


class GroupCommit:
    """Serial writer whose retries are idempotent.

    A call whose answer was lost is retried with its sequence number until its result is known, so
    a later append never overtakes an undecided one.

    Parameters
    ----------
    store : Store
        Store to append to.
    partition : Partition
        Partition to append to.
    producer : Producer
        Name and epoch of this writer.
    clock : Clock
        Source of time.
    exclusive : bool
        Whether this is the only writer under the producer's name. Being fenced then only means that
        the sequence was broken, and the writer continues with a higher epoch.
    first_sequence : int
        First sequence number.
    retry_interval : float
        Seconds without an answer after which a call is first retried.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        producer: Producer,
        clock: Clock,
        exclusive: bool = False,
        first_sequence: int = 0,
        retry_interval: float = ANSWER_TIMEOUT_SECONDS,
    ) -> None:
        self._exclusive = exclusive
        self._retry_interval = retry_interval
        self._last_append_seconds = 0.0
        self._last_append_at = float("-inf")
        self._store = store
        self._partition = partition
        self._producer = producer
        self._clock = clock
        self._sequence = first_sequence
        self._queue: list[_PendingAppend] = []
        self._append_queued = anyio.Event()
        self._refused_at = float("-inf")
        self._failing_since: float | None = None
        self._call_started_at: float | None = None
        self._answers_at_call = 0
        self._attempt_started_at: float | None = None
        self._fenced: AppendFenced | None = None
        self._closed = False
        self._committed = anyio.Event()

    @property
    def refused_at(self) -> float:
        """Time of the last refusal, -inf if there was none or an append has succeeded since."""
        return self._refused_at

    @property
    def failing_seconds(self) -> float:
        """Seconds for which appends have failed or had no result, 0 if they succeed."""
        if self._failing_since is None:
            return self.in_flight_seconds if self.in_flight_seconds > self._retry_interval else 0.0
        return self._clock.now() - self._failing_since

    @property
    def in_flight_seconds(self) -> float:
        """Seconds for which the append in flight has had no result, 0 if there is none."""
        return 0.0 if self._call_started_at is None else self._clock.now() - self._call_started_at

    @property
    def silent_seconds(self) -> float:
        """Seconds in flight of an append since which the store has answered nothing else."""
        silent = self._store.answer_count == self._answers_at_call
        return self.in_flight_seconds if silent else 0.0

    @property
    def last_append_seconds(self) -> float:
        """Seconds in which the last append was answered, 0 if that was long ago."""
        recent = self._clock.now() - self._last_append_at < APPEND_DURATION_VALID_SECONDS
        return self._last_append_seconds if recent else 0.0

    @property
    def slow(self) -> bool:
        """Whether the store takes long for the append in flight, or did for the last one."""
        return max(self.last_append_seconds, self._attempt_seconds) > SLOW_APPEND_SECONDS

    @property
    def _attempt_seconds(self) -> float:
        """Seconds for which the current attempt at an append has waited, 0 if there is none."""
        started_at = self._attempt_started_at
        return 0.0 if started_at is None else self._clock.now() - started_at

    def longest_wait(self, timeout: float) -> float:
        """Return how long an append can be queued and still have its result in time, in seconds.

        It is expected to take as long as the last one, or as long as the one in flight has until
        now. The value is not positive if no result can come in time.

        Parameters
        ----------
        timeout : float
            Seconds within which the result is needed.
        """
        if self._call_started_at is None:
            return timeout
        return timeout - max(self.last_append_seconds, self.in_flight_seconds)

    def reset_last_append_seconds(self) -> None:
        """Set the last duration to 0, so that the store no longer counts as slow."""
        self._last_append_seconds = 0.0

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        retry_seconds: float = float("inf"),
        queue_seconds: float = float("inf"),
    ) -> int:
        """Append records and return the partition's end after them, 0 if it is unknown.

        Parameters
        ----------
        records : sequence of KeyedRecord
            Records to append.
        timeout : float
            Seconds to wait for a result.
        retry_seconds : float
            Seconds for which an append that the store refuses is retried, within ``timeout``.
        queue_seconds : float
            Seconds after which records that have not been sent are refused, within ``timeout``.

        Raises
        ------
        AppendRefused
            The store does not accept the records.
        LogUnavailable
            The records were not appended and will not be.
        AppendUndecided
            No result is known within ``timeout`` seconds; the records may still be appended.
        AppendFenced
            A higher epoch of the producer has written.
        """
        if self._fenced:
            raise self._fenced
        if timeout <= 0:
            raise LogUnavailable(stream=str(self._partition))
        queued_at = self._clock.now()
        deadline = queued_at + timeout
        retry_deadline = min(deadline, queued_at + retry_seconds)
        item = _PendingAppend(records, deadline, retry_deadline)
        self._queue.append(item)
        self._append_queued.set()
        await self._wait(item, min(deadline, queued_at + queue_seconds))
        if not item.done.is_set() and item in self._queue:
            self._queue.remove(item)
            raise LogUnavailable(stream=str(self._partition))
        if not item.done.is_set() and self._clock.now() < deadline:
            await self._wait(item, deadline)
        if not item.done.is_set():
            raise AppendUndecided(stream=str(self._partition))
        if item.error is not None:
            raise item.error
        return item.end

    async def close(self) -> None:
        """Append nothing more, and wait until what is in flight has a result.

        What the store refuses is not retried.
        """
        self._closed = True
        while self._call_started_at is not None:
            await self._committed.wait()

    async def _wait(self, item: _PendingAppend, end: float) -> None:
        """Wait for the result of an append until a time, in seconds."""
        with self._clock.move_on_after(end - self._clock.now()):
            await item.done.wait()

    async def run(self) -> None:
        """Append queued records until cancelled or fenced."""
        while self._fenced is None:
            await self._append_queued.wait()
            self._append_queued = anyio.Event()
            while self._queue and not self._closed:
                self._call_started_at = self._clock.now()
                self._answers_at_call = self._store.answer_count
                await self._commit(self._next_batch())
                self._call_started_at = self._attempt_started_at = None
                self._committed.set()
                self._committed = anyio.Event()

    def _next_batch(self) -> list[_PendingAppend]:
        batch = [self._queue.pop(0)]
        size, limit = batch[0].size, min(MAX_BATCH_BYTES, self._store.limits.request_bytes)
        while self._queue and not (batch[0].alone or self._queue[0].alone):
            size += self._queue[0].size
            if size >= limit:
                break
            batch.append(self._queue.pop(0))
        return batch

    async def _commit(self, batch: list[_PendingAppend]) -> None:
        undecided, delay = False, INITIAL_RETRY_DELAY_SECONDS
        records = [record for item in batch for record in item.records]
        while True:
            attempt = self._attempt(records)
            self._attempt_started_at = self._clock.now()
            try:
                end = await attempt.run(self._clock.now() + ATTEMPT_TIMEOUT_SECONDS)
            except AppendUndecided:
                undecided = True
                self._record_failure()
                log.info("append result unknown", extra={"partition": str(self._partition)})
            except AppendRefused as exc:
                self._record_answer()
                self._failing_since = None
                self._refuse(batch, exc)
                return
            except LogUnavailable as exc:
                self._record_answer()
                self._refused_at = self._clock.now()
                self._record_failure()
                if not undecided and self._fail_expired(batch, exc):
                    return
            except AppendFenced as exc:
                self._handle_fencing(batch, exc)
                return
            except AppendOutOfOrder as exc:
                expected = exc.fields["expected"]
                if (undecided or attempt.undecided) and expected == self._sequence + 1:
                    # An earlier call, whose answer was lost, has appended the records.
                    self._finish(batch, 0)
                    return
                log.info("append sequence number corrected", extra=exc.fields)
                self._sequence = expected
            else:
                self._record_answer()
                self._finish(batch, end)
                return
            self._attempt_started_at = None
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)

    def _attempt(self, records: Sequence[KeyedRecord]) -> RepeatedAppend:
        return RepeatedAppend(
            self._store,
            self._partition,
            records,
            self._producer,
            self._sequence,
            self._clock,
            self._retry_interval,
        )

    def _record_answer(self) -> None:
        self._last_append_at = self._clock.now()
        self._last_append_seconds, self._attempt_started_at = self._attempt_seconds, None

    def _record_failure(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()

    def _finish(self, batch: list[_PendingAppend], end: int) -> None:
        self._sequence += 1
        self._refused_at = float("-inf")
        self._failing_since = None
        for item in batch:
            item.end = end
            item.done.set()

    def _refuse(self, batch: list[_PendingAppend], error: AppendRefused) -> None:
        """Fail records that the store does not accept; of several callers each is tried alone."""
        if len(batch) == 1:
            extra = {"partition": str(self._partition), "why": str(error), "bytes": batch[0].size}
            log.warning("append refused for good", extra=extra)
            batch[0].fail(error)
            return
        for item in batch:
            item.alone = True
        self._queue[:0] = batch

    def _fail_expired(self, batch: list[_PendingAppend], error: LogUnavailable) -> bool:
        """Fail a batch that was not appended, if no caller's deadline leaves time for a retry."""
        late = self._clock.now() + MAX_RETRY_DELAY_SECONDS
        if not self._closed and any(item.retry_deadline > late for item in batch):
            return False
        for item in batch:
            item.fail(error)
        return True

    def _handle_fencing(self, batch: list[_PendingAppend], error: AppendFenced) -> None:
        log.info(
            "writer fenced by a higher epoch",
            extra={"partition": str(self._partition), "epoch": self._producer.epoch},
        )
        if self._exclusive:
            self._producer = self._producer._replace(epoch=self._producer.epoch + 1)
            self._sequence = 0
            for item in batch:
                item.fail(AppendUndecided(stream=str(self._partition)))
            return
        self._fenced = error
        failed, self._queue = batch + self._queue, []
        for item in failed:
            item.fail(error)
