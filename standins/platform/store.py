"""Stand-in for the platform's store: partitions, producers and keyed topics."""

from __future__ import annotations

import asyncio
import base64
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

import anyio
from typing_extensions import override

from ragworttiller.platform.exchange import Answer
from ragworttiller.timers import TimerService
from standins.platform.service import Service, json_answer

PRODUCER_ANSWERS_KEPT = 5
PAGE_ITEMS = 500
RECORD_BYTES = 262_144
# An append is refused while the appends before it take longer than this.
MAX_QUEUE_SECONDS = 2.0


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.last_sequence = -1
        self.first_append_pending = True
        self.answers: dict[int, Answer] = {}


class StoredPartition:
    """Records of one partition.

    Attributes
    ----------
    first : int
        Offset of the oldest retained record.
    busy_until : float
        Time at which the queued appends are carried out, in seconds.
    """

    def __init__(self) -> None:
        self.busy_until = 0.0
        self.records: list[bytes] = []
        self.first = 0
        self.producers: dict[str, _Producer] = defaultdict(_Producer)
        self.appended = anyio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return len(self.records)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key that is not deleted."""
        rows: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.records):
            key = record[1 : 1 + record[0]].decode()
            rows[key] = (offset, record[1 + record[0] :])
        return {key: row for key, row in rows.items() if row[1]}


class StoreService(Service):
    """Store of the platform, which answers its HTTP calls.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    page : int
        Maximum number of items in one page of newest records.
    record_bytes : int
        Longest record that is accepted.

    Attributes
    ----------
    down : bool
        Whether every call is refused.
    write_seconds : float
        Seconds that each append takes; the appends to a partition are serialized. A queued append
        is carried out even if its caller has given up.
    queue_seconds : dict of str to float
        Seconds for which an append to a topic waits behind those of other writers, which are not
        simulated.
    answer_seconds : float
        Seconds by which each answer is late.
    """

    def __init__(
        self, timers: TimerService, page: int = PAGE_ITEMS, record_bytes: int = RECORD_BYTES
    ) -> None:
        self.record_bytes = record_bytes
        self._timers = timers
        self._page = page
        self.partitions: dict[tuple[str, int], StoredPartition] = defaultdict(StoredPartition)
        self.down = False
        self.write_seconds = 0.0
        self.queue_seconds: dict[str, float] = {}
        self.answer_seconds = 0.0
        self._closed = False

    def partition(self, topic: str) -> StoredPartition:
        """Return the first partition of a topic."""
        return self.partitions[topic, 0]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record, as the operator and the runners do."""
        name = key.encode()
        self._append(self.partition(topic), [bytes([len(name)]) + name + value])

    def close(self) -> None:
        """Answer all long polls, and make later reads return at once."""
        self._closed = True
        for partition in self.partitions.values():
            partition.appended.set()

    def expire(self, topic: str) -> None:
        """Delete all records of a topic but the newest of each key."""
        self.partition(topic).first = self.partition(topic).end

    @override
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        answer = json_answer(503) if self.down else await self._carry_out(target, body)
        if self.answer_seconds:
            await self._timers.sleep(self.answer_seconds)
        return answer

    async def _carry_out(self, target: str, body: bytes) -> Answer:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        partition = self.partitions[query["topic"], int(query["part"])]
        if parts.path == "/-/log-append":
            return await self._queue_append(partition, query, body)
        if parts.path == "/-/log-newest":
            return self._newest(partition, query)
        return await self._read(partition, query)

    async def _queue_append(
        self, partition: StoredPartition, query: dict[str, str], body: bytes
    ) -> Answer:
        queue = self.queue_seconds.get(query["topic"], 0.0)
        if queue:
            return await self._append_from_queue(queue, partition, query, body)
        now = self._timers.now()
        if partition.busy_until - now > MAX_QUEUE_SECONDS:
            return json_answer(503)
        partition.busy_until = max(partition.busy_until, now) + self.write_seconds
        if partition.busy_until > now:
            return await self._append_from_queue(partition.busy_until - now, partition, query, body)
        return self._answer_append(partition, query, body)

    async def _append_from_queue(
        self, seconds: float, partition: StoredPartition, query: dict[str, str], body: bytes
    ) -> Answer:
        self._record_epoch(partition, query)

        async def append() -> Answer:
            await self._timers.sleep(seconds)
            return self._answer_append(partition, query, body)

        return await asyncio.shield(asyncio.ensure_future(append()))

    def _record_epoch(self, partition: StoredPartition, query: dict[str, str]) -> None:
        """Let the epoch of an append take effect when it arrives: it fences what comes later."""
        if "producer" not in query:
            return
        producer, epoch = partition.producers[query["producer"]], int(query["epoch"])
        if epoch > producer.epoch:
            producer.epoch, producer.first_append_pending, producer.answers = epoch, True, {}

    def _answer_append(
        self, partition: StoredPartition, query: dict[str, str], body: bytes
    ) -> Answer:
        if max(map(len, _split_records(body)), default=0) > self.record_bytes:
            return json_answer(400)
        producer = None
        sequence = int(query.get("seq", 0))
        if "producer" in query:
            producer = partition.producers[query["producer"]]
            epoch = int(query["epoch"])
            if epoch < producer.epoch:
                return json_answer(409, {"reason": "fenced"})
            self._record_epoch(partition, query)
            if sequence in producer.answers:
                return producer.answers[sequence]
            if not producer.first_append_pending and sequence != producer.last_sequence + 1:
                return json_answer(409, {"reason": "seq", "seq": producer.last_sequence + 1})
        if "at" in query and int(query["at"]) != partition.end:
            return json_answer(412, {"end": partition.end})
        offset = partition.end
        self._append(partition, _split_records(body))
        answer = json_answer(200, {"offset": offset, "end": partition.end})
        if producer is not None:
            producer.last_sequence, producer.first_append_pending = sequence, False
            producer.answers[sequence] = answer
            for old in sorted(producer.answers)[:-PRODUCER_ANSWERS_KEPT]:
                del producer.answers[old]
        return answer

    def _append(self, partition: StoredPartition, records: list[bytes]) -> None:
        partition.records.extend(records)
        partition.appended.set()
        partition.appended = anyio.Event()

    def _newest(self, partition: StoredPartition, query: dict[str, str]) -> Answer:
        rows = sorted(partition.newest().items())
        rows = [row for row in rows if row[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rows[: self._page]
        ]
        more = len(rows) > self._page
        return json_answer(200, {"items": items, "has_more": more, "end": partition.end})

    async def _read(self, partition: StoredPartition, query: dict[str, str]) -> Answer:
        start = int(query["from"])
        if start < partition.first:
            return json_answer(410, {"first": partition.first})
        if start >= partition.end and "wait_ms" in query:
            with self._timers.move_on_after(int(query["wait_ms"]) / 1000):
                while start >= partition.end and not self._closed:
                    await partition.appended.wait()
        records = [len(r).to_bytes(4, "big") + r for r in partition.records[start:]]
        bounds = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        return Answer(200, [], bounds + b"".join(records))


def _split_records(body: bytes) -> list[bytes]:
    records: list[bytes] = []
    while body:
        length = int.from_bytes(body[:4], "big")
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records
