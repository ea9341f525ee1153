"""Client of the platform's store: an append-only log with partitions and keyed topics."""

from __future__ import annotations

import base64
import logging
from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from ragworttiller.exceptions import (
    AppendConflict,
    AppendFenced,
    AppendOutOfOrder,
    AppendUndecided,
    LogUnavailable,
    RecordsExpired,
    Unreadable,
)
from ragworttiller.platform.channel import ChannelSet, Traffic
from ragworttiller.platform.decoding import decode_json
from ragworttiller.platform.exchange import Answer, ExchangeBroken, NotSent
from ragworttiller.platform.store_meter import AppendNumber, StoreMeter
from ragworttiller.timers import SystemTimers

log = logging.getLogger(__name__)

LENGTH_BYTES = 4
OFFSET_BYTES = 8
READ_MAX_KB = 1024
ANSWER_TIMEOUT_SECONDS = 1.0
# Too many calls, unavailable, out of space: nothing was appended, whatever the body says.
REFUSAL_STATUSES = (429, 503, 507)
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


class Record(NamedTuple):
    """Record of a keyed topic; ``value`` is empty if the key was deleted."""

    offset: int
    key: str
    value: bytes


class Producer(NamedTuple):
    """Idempotent writer; a higher epoch of the same name fences it."""

    name: str
    epoch: int


class Slice(NamedTuple):
    """Records of a partition from one offset on.

    ``start`` is the oldest offset that the store keeps, ``end`` the offset of the next append.
    """

    end: int
    start: int
    records: list[Record]


class NewestPage(NamedTuple):
    """Page with the newest record of each key.

    ``after`` is the key after which the next page starts, empty on the last page.
    """

    end: int
    after: str
    records: list[Record]


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""
    seq: int | None = None


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


_ITEM_DECODER = msgspec.json.Decoder(_Item)


class _Page(msgspec.Struct):
    end: int
    items: list[msgspec.Raw] = []
    has_more: bool = False


class _Expired(msgspec.Struct):
    first: int = 0


class KeyedRecord(NamedTuple):
    """Key and value to append."""

    key: str
    value: bytes


class Store:
    """HTTP client of the platform's store.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    timeout : float
        Seconds to wait for an answer, in addition to the wait of a read.
    channels : ChannelSet, optional
        Connections to use in place of new ones to the address.
    meter : StoreMeter, optional
        Counts and times the calls.
    """

    def __init__(
        self,
        address: str,
        timeout: float = ANSWER_TIMEOUT_SECONDS,
        channels: ChannelSet | None = None,
        meter: StoreMeter | None = None,
    ) -> None:
        self._meter = meter or StoreMeter(SystemTimers())
        self._channels = channels or ChannelSet(address, timeout)
        self._timeout = timeout
        self._answer_count = 0

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
        LogUnavailable
            Nothing was appended.
        """
        number = AppendNumber(*producer, sequence) if producer is not None else None
        with self._meter.append(partition.topic, number):
            return await self._append(partition, records, producer, sequence, at, timeout)

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
        body = b"".join(map(_encode_record, records))
        reply = await self._append_call(
            partition, "/-/log-append?" + urlencode(query), body, timeout
        )
        status = reply.status
        if status in REFUSAL_STATUSES:
            raise LogUnavailable(stream=str(partition))
        if status != 200 and not reply.refused:
            log.warning(
                "append answered without a result",
                extra={"partition": str(partition), "status": status},
            )
            raise AppendUndecided(stream=str(partition))
        try:
            answer = msgspec.json.decode(reply.body, type=_Appended)
        except msgspec.MsgspecError as exc:
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

    async def read(self, partition: Partition, offset: int, wait: float = 0.0) -> Slice:
        """Return the records of a keyed topic from ``offset`` on.

        Wait up to ``wait`` seconds for the first one.

        Raises
        ------
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
        status, content = await self._read_call(partition, target, wait)
        if status == 410:
            try:
                start = decode_json(content, _Expired, _Expired.__name__).first
            except Unreadable as exc:
                raise LogUnavailable(stream=str(partition)) from exc
            raise RecordsExpired(stream=str(partition), start=start, wanted=offset)
        if status != 200 or len(content) < 2 * OFFSET_BYTES:
            raise LogUnavailable(stream=str(partition))
        result = _decode_slice(content, offset)
        if not result.records and len(content) > 2 * OFFSET_BYTES:
            # Taken for a short read, a record that is cut off would be asked for again at once.
            raise LogUnavailable(stream=str(partition))
        return result

    async def read_newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Return a page with the newest record of each key after the key ``after``.

        Raises
        ------
        LogUnavailable
            The store refused the read or sent no valid answer.
        """
        query: dict[str, object] = {"topic": partition.topic, "part": partition.part}
        if after:
            query["after"] = after
        status, content = await self._read_call(partition, "/-/log-newest?" + urlencode(query), 0.0)
        if status != 200:
            raise LogUnavailable(stream=str(partition))
        try:
            page = decode_json(content, _Page, _Page.__name__)
        except Unreadable as exc:
            raise LogUnavailable(stream=str(partition)) from exc
        found = (_decode_item(partition, item) for item in page.items)
        records = [record for record in found if record is not None]
        if page.items and not records and page.has_more:
            raise LogUnavailable(stream=str(partition))
        next_after = records[-1].key if page.has_more and records else ""
        return NewestPage(page.end, next_after, records)

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

    async def _read_call(self, partition: Partition, target: str, wait: float) -> tuple[int, bytes]:
        try:
            answer = await self._channels.request("GET", target, timeout=self._timeout + wait)
        except (NotSent, ExchangeBroken) as exc:
            self._meter.reads_unanswered[partition.topic] += 1
            raise LogUnavailable(stream=str(partition)) from exc
        self._answer_count += 1
        if answer.status not in READ_STATUSES:
            self._meter.reads_refused[partition.topic] += 1
        return answer.status, answer.body


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    length = 1 + len(key) + len(record.value)
    return length.to_bytes(LENGTH_BYTES, "big") + bytes([len(key)]) + key + record.value


def _decode_item(partition: Partition, item: msgspec.Raw) -> Record | None:
    """Return an item of a page, None without a readable key.

    A value that is no base64 is returned as it was sent: the reader of the records finds it
    unreadable, while an empty or missing one would mean that the key was deleted.
    """
    try:
        row = _ITEM_DECODER.decode(item)
    except msgspec.MsgspecError as exc:
        extra = {"partition": str(partition), "problem": str(exc)}
        log.warning("record without a readable key left out", extra=extra)
        return None
    try:
        return Record(row.offset, row.key, base64.b64decode(row.value, validate=True))
    except ValueError:
        return Record(row.offset, row.key, row.value.encode())


def _decode_slice(content: bytes, offset: int) -> Slice:
    """Return the records in the answer to a read, without one that is cut off at its end."""
    end = int.from_bytes(content[:OFFSET_BYTES], "big")
    start = int.from_bytes(content[OFFSET_BYTES : 2 * OFFSET_BYTES], "big")
    records: list[Record] = []
    position = 2 * OFFSET_BYTES
    while position + LENGTH_BYTES <= len(content):
        record_start = position + LENGTH_BYTES
        position = record_start + int.from_bytes(content[position:record_start], "big")
        if position > len(content):
            break
        records.append(_decode_record(offset + len(records), content[record_start:position]))
    return Slice(end, start, records)


def _decode_record(offset: int, data: bytes) -> Record:
    """Return the record, with empty key and value if it cannot be decoded."""
    length = data[0] if data else 0
    key = data[1 : 1 + length]
    if not data or len(key) < length:
        return Record(offset, "", b"")
    return Record(offset, key.decode("utf-8", "replace"), data[1 + length :])
