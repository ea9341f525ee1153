"""One append whose call is repeated while it has no answer, and which takes the first answer."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import anyio
import anyio.abc

from ragworttiller.exceptions import AppendUndecided, LogUnavailable, RagworttillerError
from ragworttiller.platform.store import KeyedRecord, Partition, Producer, Store
from ragworttiller.scheduling.clock import Clock

log = logging.getLogger(__name__)

# Time for which the answer to one call is taken, also when the call was repeated since.
CALL_SECONDS = 4.0


class RepeatedAppend:
    """One append with its sequence number, which makes repeated calls of it harmless.

    A call without an answer may have met a silent connection or lost its answer; then a repetition
    helps. Or the store is slow; then the first call is answered late, and repetitions add to its
    load. So earlier calls are still listened to, and as long as the store answers anything at all,
    the time to the next repetition grows.

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
    patience : float
        Seconds without an answer after which the call is repeated for the first time.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        records: Sequence[KeyedRecord],
        producer: Producer,
        sequence: int,
        clock: Clock,
        patience: float,
    ) -> None:
        self._store = store
        self._partition = partition
        self._records = records
        self._producer = producer
        self._sequence = sequence
        self._clock = clock
        self._patience = patience
        self._under_way = 0
        self._changed = anyio.Event()
        self._end: int | None = None
        self._error: RagworttillerError | None = None
        self._undecided = False

    @property
    def undecided(self) -> bool:
        """Whether some call has, or had for long, no result."""
        return self._undecided

    async def run(self, until: float) -> int:
        """Return the partition's end after the records.

        Parameters
        ----------
        until : float
            Time at which to give up, in seconds.

        Raises
        ------
        LogUnavailable
            Nothing was done by any call.
        AppendUndecided
            No call has a result.
        RagworttillerError
            What the store answered.
        """
        async with anyio.create_task_group() as calls:
            await self._call_until_decided(calls, until)
            calls.cancel_scope.cancel()
        if self._end is not None:
            return self._end
        if isinstance(self._error, LogUnavailable) and self._undecided:
            raise AppendUndecided(stream=str(self._partition)) from self._error
        raise self._error or AppendUndecided(stream=str(self._partition))

    async def _call_until_decided(self, calls: anyio.abc.TaskGroup, until: float) -> None:
        patience = self._patience
        while True:
            answered = self._store.answer_count
            self._under_way += 1
            calls.start_soon(self._call)
            with self._clock.move_on_after(min(patience, until - self._clock.now())):
                while self._end is None and self._error is None and self._under_way:
                    await self._changed.wait()
            if self._end is not None or self._error is not None or not self._under_way:
                return
            self._undecided = True
            if self._clock.now() >= until:
                return
            log.info("append repeated", extra={"partition": str(self._partition)})
            if self._store.answer_count > answered:
                patience *= 2

    async def _call(self) -> None:
        try:
            self._end = await self._store.append(
                self._partition, self._records, self._producer, self._sequence, timeout=CALL_SECONDS
            )
        except AppendUndecided:
            self._undecided = True
        except LogUnavailable as exc:
            if self._under_way == 1:
                self._error = exc
        except RagworttillerError as exc:
            self._error = exc
        self._under_way -= 1
        self._changed.set()
        self._changed = anyio.Event()
