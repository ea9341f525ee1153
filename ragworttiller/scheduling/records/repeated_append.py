"""One append that is retried while it has no answer, and that accepts the first answer."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import anyio
import anyio.abc

from ragworttiller.exceptions import (
    AppendRefused,
    AppendUndecided,
    LogUnavailable,
    RagworttillerError,
)
from ragworttiller.platform.store import KeyedRecord, Partition, Producer, Store
from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

# Time for which the answer to a call is accepted, also after the call was retried.
CALL_TIMEOUT_SECONDS = 4.0


class RepeatedAppend:
    """One append with a sequence number, which makes its retries idempotent.

    A call without an answer may have met a dead connection or lost its answer; then a retry helps.
    Or the store is slow; then the first call is answered late, and retries add to its load. So
    earlier calls stay in flight, and the retry interval doubles while the store answers any call.

    Parameters
    ----------
    store : Store
        Store to append to.
    partition : Partition
        Partition to append to.
    records : sequence of KeyedRecord
        Records to append.
    producer : Producer
        Name and epoch of the writer.
    sequence : int
        Sequence number of the append.
    clock : Clock
        Source of time.
    retry_interval : float
        Seconds without an answer after which the call is first retried.
    at : int, optional
        Append only if the partition ends at this offset.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        records: Sequence[KeyedRecord],
        producer: Producer,
        sequence: int,
        clock: Clock,
        retry_interval: float,
        at: int | None = None,
    ) -> None:
        self._store = store
        self._partition = partition
        self._records = records
        self._producer = producer
        self._sequence = sequence
        self._clock = clock
        self._retry_interval = retry_interval
        self._at = at
        self._in_flight = 0
        self._call_ended = anyio.Event()
        self._end: int | None = None
        self._error: RagworttillerError | None = None
        self._undecided = False
        self._refused = False
        self._calls = 0

    @property
    def undecided(self) -> bool:
        """Whether an earlier call may have appended the records."""
        return self._undecided or self._calls > 1

    @property
    def _decided(self) -> bool:
        return self._end is not None or self._error is not None or not self._in_flight

    async def run(self, deadline: float) -> int:
        """Append the records and return the partition's end after them.

        Parameters
        ----------
        deadline : float
            Time at which to give up, in seconds.

        Raises
        ------
        AppendRefused
            The store accepts the records in no call.
        LogUnavailable
            No call has appended the records.
        AppendUndecided
            No call has a result.
        RagworttillerError
            The store answered with this error.
        """
        async with anyio.create_task_group() as calls:
            await self._call_until_decided(calls, deadline)
            self._undecided = self._undecided or self._in_flight > 0
            calls.cancel_scope.cancel()
        if self._end is not None:
            return self._end
        if isinstance(self._error, AppendRefused):
            raise self._error
        if isinstance(self._error, LogUnavailable) and self._undecided:
            raise AppendUndecided(stream=str(self._partition)) from self._error
        raise self._error or AppendUndecided(stream=str(self._partition))

    async def _call_until_decided(self, calls: anyio.abc.TaskGroup, deadline: float) -> None:
        retry_interval = self._retry_interval
        while True:
            answered = self._store.answer_count
            self._in_flight += 1
            self._calls += 1
            calls.start_soon(self._call)
            await self._wait(min(retry_interval, deadline - self._clock.now()))
            if self._refused:
                # Answers are late, not lost: the other calls may be answered soon as well.
                await self._wait(min(retry_interval, deadline - self._clock.now()))
            if self._decided or self._clock.now() >= deadline:
                return
            log.info("append retried", extra={"partition": str(self._partition)})
            if self._store.answer_count > answered:
                retry_interval *= 2

    async def _wait(self, seconds: float) -> None:
        """Wait for the result up to a number of seconds."""
        with self._clock.move_on_after(seconds):
            while not self._decided:
                await self._call_ended.wait()

    async def _call(self) -> None:
        try:
            self._end = await self._store.append(
                self._partition,
                self._records,
                self._producer,
                self._sequence,
                self._at,
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except AppendUndecided:
            self._undecided = True
        except AppendRefused as exc:
            self._error = exc
        except LogUnavailable as exc:
            self._refused = True
            # While other calls are in flight, one of them may still append the records.
            if self._in_flight == 1:
                self._error = exc
        except RagworttillerError as exc:
            self._error = exc
        self._in_flight -= 1
        self._call_ended.set()
        self._call_ended = anyio.Event()
