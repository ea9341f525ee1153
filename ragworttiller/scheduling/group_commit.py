"""Appends of one producer to one partition: one call at a time, each for all that wait."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import anyio

from ragworttiller.exceptions import (
    AppendFenced,
    AppendOutOfOrder,
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
from ragworttiller.scheduling.repeated_append import RepeatedAppend

log = logging.getLogger(__name__)

MAX_BATCH_BYTES = 1_000_000
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.4
# Time after which an append without a result counts as undecided and is begun anew.
ROUND_SECONDS = 4.0
# Time for which the duration of an append tells something of the next one.
TOOK_MEMORY_SECONDS = 10.0


class _Waiting:
    """Records of one caller."""

    def __init__(self, records: Sequence[KeyedRecord], until: float) -> None:
        self.records = records
        self.until = until
        self.done = anyio.Event()
        self.error: RagworttillerError | None = None
        self.end = 0

    @property
    def size(self) -> int:
        return sum(len(record.key) + len(record.value) for record in self.records)

    def fail(self, error: RagworttillerError) -> None:
        self.error = error
        self.done.set()


class GroupCommit:
    """Serial writer whose repeated appends are done once.

    A call whose answer was lost is repeated with its sequence number until its result is known, so
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
    first : int
        First sequence number.
    exclusive : bool
        Whether nobody else writes under the producer's name; being fenced then only means that the
        sequence was broken, and the writer goes on with a higher epoch.
    patience : float
        Seconds without an answer after which a call is repeated.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        producer: Producer,
        clock: Clock,
        exclusive: bool = False,
        first: int = 0,
        patience: float = ANSWER_TIMEOUT_SECONDS,
    ) -> None:
        self._exclusive = exclusive
        self._patience = patience
        self._took = 0.0
        self._took_at = float("-inf")
        self._store = store
        self._partition = partition
        self._producer = producer
        self._clock = clock
        self._sequence = first
        self._queue: list[_Waiting] = []
        self._wake = anyio.Event()
        self._refused_at = float("-inf")
        self._failing_since: float | None = None
        self._begun_at: float | None = None
        self._fenced: AppendFenced | None = None

    @property
    def refused_at(self) -> float:
        """Time of the last refusal after which no append has succeeded, -inf if there is none."""
        return self._refused_at

    @property
    def failing(self) -> float:
        """Seconds for which no append has succeeded though some were tried, 0 if all is well."""
        if self._failing_since is None:
            return self.stuck if self.stuck > self._patience else 0.0
        return self._clock.now() - self._failing_since

    @property
    def stuck(self) -> float:
        """Seconds for which the call under way has had no result, 0 if there is none."""
        return 0.0 if self._begun_at is None else self._clock.now() - self._begun_at

    @property
    def last_took(self) -> float:
        """Seconds that the last append took, 0 if that was long ago."""
        recent = self._clock.now() - self._took_at < TOOK_MEMORY_SECONDS
        return self._took if recent else 0.0

    def forget_took(self) -> None:
        """Let the duration of the last append tell nothing any more."""
        self._took = 0.0

    async def append(self, records: Sequence[KeyedRecord], timeout: float) -> int:
        """Append records and return the partition's end after them.

        Raises
        ------
        LogUnavailable
            Nothing was done and nothing will be.
        AppendUndecided
            No result is known within ``timeout`` seconds; the records may still be appended.
        AppendFenced
            A higher epoch of the producer has written.
        """
        if self._fenced:
            raise self._fenced
        item = _Waiting(records, self._clock.now() + timeout)
        self._queue.append(item)
        self._wake.set()
        with self._clock.move_on_after(timeout):
            await item.done.wait()
        if not item.done.is_set():
            if item in self._queue:
                self._queue.remove(item)
                raise LogUnavailable(stream=str(self._partition))
            raise AppendUndecided(stream=str(self._partition))
        if item.error is not None:
            raise item.error
        return item.end

    async def run(self) -> None:
        """Append what waits until cancelled or fenced."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._queue:
                self._begun_at = self._clock.now()
                await self._commit(self._take())
                self._took_at = self._clock.now()
                self._took, self._begun_at = self.stuck, None

    def _take(self) -> list[_Waiting]:
        batch, size = [self._queue.pop(0)], 0
        while self._queue and (size := size + self._queue[0].size) < MAX_BATCH_BYTES:
            batch.append(self._queue.pop(0))
        return batch

    async def _commit(self, batch: list[_Waiting]) -> None:
        undecided, delay = False, RETRY_SECONDS
        records = [record for item in batch for record in item.records]
        while True:
            attempt = self._attempt(records)
            try:
                end = await attempt.run(self._clock.now() + ROUND_SECONDS)
            except AppendUndecided:
                undecided = True
                self._fails()
                log.info("append undecided", extra={"partition": str(self._partition)})
            except LogUnavailable as exc:
                self._refused_at = self._clock.now()
                self._fails()
                if not undecided and self._expire(batch, exc):
                    return
            except AppendFenced as exc:
                self._shut(batch, exc)
                return
            except AppendOutOfOrder as exc:
                expected = exc.fields["expected"]
                if (undecided or attempt.undecided) and expected == self._sequence + 1:
                    self._finish(batch, 0)
                    return
                log.info("sequence corrected", extra=exc.fields)
                self._sequence = expected
            else:
                self._finish(batch, end)
                return
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_SECONDS)

    def _attempt(self, records: Sequence[KeyedRecord]) -> RepeatedAppend:
        return RepeatedAppend(
            self._store,
            self._partition,
            records,
            self._producer,
            self._sequence,
            self._clock,
            self._patience,
        )

    def _fails(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()

    def _finish(self, batch: list[_Waiting], end: int) -> None:
        self._sequence += 1
        self._refused_at = float("-inf")
        self._failing_since = None
        for item in batch:
            item.end = end
            item.done.set()

    def _expire(self, batch: list[_Waiting], error: LogUnavailable) -> bool:
        """Fail a batch that surely was not appended, once its last caller's time is up."""
        if any(item.until > self._clock.now() + MAX_RETRY_SECONDS for item in batch):
            return False
        for item in batch:
            item.fail(error)
        return True

    def _shut(self, batch: list[_Waiting], error: AppendFenced) -> None:
        log.info("fenced", extra={"partition": str(self._partition), "epoch": self._producer.epoch})
        if self._exclusive:
            self._producer = self._producer._replace(epoch=self._producer.epoch + 1)
            self._sequence = 0
            for item in batch:
                item.fail(AppendUndecided(stream=str(self._partition)))
            return
        self._fenced = error
        waiting, self._queue = batch + self._queue, []
        for item in waiting:
            item.fail(error)
