"""Client of the platform's store: an append-only log with partitions and keyed topics."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from ragworttiller.exceptions import (
    AppendConflict,
    AppendFenced,
    AppendOutOfOrder,
    AppendRefused,
    AppendUndecided,
    LogUnavailable,
    RecordsExpired,
    RecordsTooLong,
    Unreadable,
)
from ragworttiller.platform.answer_limits import MAX_ANSWER_BYTES
from ragworttiller.platform.channel import ChannelSet, Traffic
from ragworttiller.platform.decoding import decode_json
from ragworttiller.platform.exchange import Answer, ExchangeBroken, NotSent, UnwantedAnswer
from ragworttiller.platform.store_meter import AppendNumber, StoreMeter
from ragworttiller.platform.store_records import (
    LENGTH_BYTES,
    KeyedRecord,
    NewestPage,
    Record,
    Slice,
    StoreLimits,
    decode_page,
    decode_slice,
    encode_record,
    record_size,
)
from ragworttiller.timers import SystemTimers

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "RUNNERS_TOPIC",
    "KeyedRecord",
    "NewestPage",
    "Partition",
    "Producer",
    "Record",
    "Slice",
    "Store",
    "StoreLimits",
]

log = logging.getLogger(__name__)

READ_MAX_KB = 1024
ANSWER_TIMEOUT_SECONDS = 1.0
# What a connection carries within that time even on a slow link that it shares with some others.
MIN_PROGRESS_BYTES = 16 * 1024
# Too many calls, unavailable, out of space: nothing was appended, whatever the body says.
REFUSAL_STATUSES = (429, 503, 507)
# Bad request, too large: the same records would be refused again.
FINAL_REFUSAL_STATUSES = (400, 413, 422)
# Records, or the oldest offset after the one asked for.
READ_STATUSES = (200, 410)
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
RUNNERS_TOPIC = "keyed.servers"


class Partition(NamedTuple):
    """One partition of a topic."""

    topic: str
    part: int = 0

    def __str__(self) -> str:
        return f"{self.topic}/{self.part}"


class Producer(NamedTuple):
    """Idempotent writer; a higher epoch of the same name fences it."""

    name: str
    epoch: int


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""
    seq: int | None = None


class _Expired(msgspec.Struct):
    first: int = 0


class Store:
    """HTTP client of the platform's store.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    timeout : float
        Seconds to wait for an answer, in addition to the wait of a read. A long one may take longer
        while it makes progress.
    channels : ChannelSet, optional
        Connections to use in place of new ones to the address.
    meter : StoreMeter, optional
        Counts and times the calls.
    limits : StoreLimits
        Lengths that the store accepts; what exceeds them is not sent.
    """

    def __init__(
        self,
        address: str,
        timeout: float = ANSWER_TIMEOUT_SECONDS,
        channels: ChannelSet | None = None,
        meter: StoreMeter | None = None,
        limits: StoreLimits = StoreLimits(),  # noqa: B008
    ) -> None:
        self._limits = limits
        self._meter = meter or StoreMeter(SystemTimers())
        self._channels = channels or ChannelSet(address, timeout, MIN_PROGRESS_BYTES)
        self._timeout = timeout
        self._answer_count = 0

    @property
    def limits(self) -> StoreLimits:
        """Lengths that the store accepts."""
        return self._limits

    @property
    def answer_count(self) -> int:
        """Number of answers received; it increases while the store is reachable."""
        return self._answer_count

    @property
    def traffic(self) -> Traffic:
        """Number of calls and bytes."""
        return self._channels.traffic

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        producer: Producer | None = None,
        sequence: int = 0,
        at: int | None = None,
        timeout: float | None = None,
    ) -> int:
        """Append records atomically and return the new end of the partition.

        Parameters
        ----------
        partition : Partition
            Partition of a keyed topic.
        records : sequence of KeyedRecord
            Records to append; the epoch takes effect even if there are none.
        producer : Producer, optional
            Writer; a repeated recent sequence number returns the first answer again, whoever
            sends it.
        sequence : int
            Number of this append within the epoch.
        at : int, optional
            Append only if the partition ends at this offset.
        timeout : float, optional
            Seconds to wait for the answer; by default the timeout of the client.

        Raises
        ------
        AppendConflict
            The partition does not end at ``at``.
        AppendFenced
            A higher epoch of the producer has written.
        AppendOutOfOrder
            The sequence number does not follow the last one.
        AppendUndecided
            It is unknown whether the records are or will be appended.
        AppendRefused
            Nothing was appended, and the same records never will be.
        LogUnavailable
            Nothing was appended.
        """
        self._check_lengths(partition, records)
        number = AppendNumber(*producer, sequence) if producer is not None else None
        with self._meter.append(partition.topic, number):
            return await self._append(partition, records, producer, sequence, at, timeout)

    def _check_lengths(self, partition: Partition, records: Sequence[KeyedRecord]) -> None:
        sizes = [record_size(record) for record in records]
        if max(sizes, default=0) > self._limits.record_bytes:
            raise AppendRefused(stream=str(partition), why=f"one has {max(sizes)} bytes")
        if sum(sizes) + LENGTH_BYTES * len(sizes) > self._limits.request_bytes:
            raise AppendRefused(stream=str(partition), why=f"they have {sum(sizes)} bytes")

    async def _append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        producer: Producer | None,
        sequence: int,
        at: int | None,
        timeout: float | None,
    ) -> int:
        query: dict[str, object] = {"topic": partition.topic, "part": partition.part}
        if producer is not None:
            query |= {"producer": producer.name, "epoch": producer.epoch, "seq": sequence}
        if at is not None:
            query["at"] = at
        body = b"".join(map(encode_record, records))
        reply = await self._append_call(
            partition, "/-/log-append?" + urlencode(query), body, timeout
        )
        status = reply.status
        if status in REFUSAL_STATUSES:
            raise LogUnavailable(stream=str(partition))
        if status in FINAL_REFUSAL_STATUSES:
            raise AppendRefused(stream=str(partition), why=f"status {status}")
        if status != 200 and not reply.refused:
            log.warning(
                "append answered without a result",
                extra={"partition": str(partition), "status": status},
            )
            raise AppendUndecided(stream=str(partition))
        try:
            answer = decode_json(reply.body, _Appended, _Appended.__name__)
        except Unreadable as exc:
            raise AppendUndecided(stream=str(partition)) from exc
        if status == 200:
            return answer.end
        if status == 412:
            raise AppendConflict(stream=str(partition), end=answer.end)
        if status == 409 and answer.reason == "seq" and answer.seq is not None:
            raise AppendOutOfOrder(stream=str(partition), expected=answer.seq)
        if status == 409:
            raise AppendFenced(stream=str(partition), epoch=producer and producer.epoch)
        raise LogUnavailable(stream=str(partition))

    async def read(
        self,
        partition: Partition,
        offset: int,
        wait: float = 0.0,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Slice:
        """Return the records of a keyed topic from ``offset`` on.

        Wait up to ``wait`` seconds for the first one.

        Raises
        ------
        RecordsTooLong
            The answer is longer than ``max_bytes``.
        LogUnavailable
            The store refused the read or sent no valid answer.
        RecordsExpired
            The records at ``offset`` have been deleted.
        """
        query = {
            "topic": partition.topic,
            "part": partition.part,
            "from": offset,
            "max_kb": READ_MAX_KB,
        }
        if wait:
            query["wait_ms"] = int(wait * 1000)
        target = "/-/log-read?" + urlencode(query)
        status, content = await self._read_call(partition, target, self._timeout + wait, max_bytes)
        if status == 410:
            try:
                start = decode_json(content, _Expired, _Expired.__name__).first
            except Unreadable as exc:
                raise LogUnavailable(stream=str(partition)) from exc
            raise RecordsExpired(stream=str(partition), start=start, wanted=offset)
        if status != 200:
            raise LogUnavailable(stream=str(partition))
        try:
            return decode_slice(content, offset)
        except Unreadable as exc:
            raise LogUnavailable(stream=str(partition)) from exc

    async def read_newest(
        self,
        partition: Partition,
        after: str = "",
        timeout: float | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> NewestPage:
        """Return a page with the newest record of each key after the key ``after``.

        Wait ``timeout`` seconds for the answer; by default the timeout of the client.

        Raises
        ------
        RecordsTooLong
            The answer is longer than ``max_bytes``.
        LogUnavailable
            The store refused the read or sent no valid answer.
        """
        query: dict[str, object] = {"topic": partition.topic, "part": partition.part}
        if after:
            query["after"] = after
        target = "/-/log-newest?" + urlencode(query)
        status, content = await self._read_call(
            partition, target, timeout or self._timeout, max_bytes
        )
        if status != 200:
            raise LogUnavailable(stream=str(partition))
        try:
            return decode_page(content, str(partition))
        except Unreadable as exc:
            raise LogUnavailable(stream=str(partition)) from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()

    async def _append_call(
        self, partition: Partition, target: str, body: bytes, timeout: float | None
    ) -> Answer:
        try:
            answer = await self._channels.request("POST", target, body, timeout=timeout)
        except NotSent as exc:
            raise LogUnavailable(stream=str(partition)) from exc
        except ExchangeBroken as exc:
            raise AppendUndecided(stream=str(partition)) from exc
        self._answer_count += 1
        return answer

    async def _read_call(
        self,
        partition: Partition,
        target: str,
        timeout: float,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> tuple[int, bytes]:
        try:
            answer = await self._channels.request(
                "GET", target, timeout=timeout, max_answer_bytes=max_bytes
            )
        except UnwantedAnswer as exc:
            self._answer_count += 1
            raise RecordsTooLong(stream=str(partition), bytes=exc.length) from exc
        except (NotSent, ExchangeBroken) as exc:
            self._meter.reads_unanswered[partition.topic] += 1
            raise LogUnavailable(stream=str(partition)) from exc
        self._answer_count += 1
        if answer.status not in READ_STATUSES:
            self._meter.reads_refused[partition.topic] += 1
        return answer.status, answer.body
