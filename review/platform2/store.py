"""Stand-in for the platform's metadata store: a log with keyed topics, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from collections import defaultdict
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from platform2.http import Reply, Server, json_reply

# Settings of the small installations in DEPLOY.md and in the site files.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
ANSWER_SECONDS = 0.004
KEPT_ANSWERS = 5
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def split_records(body: bytes) -> list[bytes]:
    """Return the records of the body of an append."""
    records = []
    while body:
        size = int.from_bytes(body[:4], "big")
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.last = None
        self.answers: dict[int, Reply] = {}


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.producers: dict[str, _Producer] = defaultdict(_Producer)
        self.grown = asyncio.Event()

    def append(self, records: list[bytes]) -> None:
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """Store that loses nothing; nothing expires, as in a day that is shorter than `keep_s`."""

    def __init__(self) -> None:
        self.server = Server(self._answer)
        self.too_large: list[tuple[str, str, int]] = []
        self.carried_out_late: list[Reply] = []
        # Returns after how many seconds an append is carried out without an answer, None if it is
        # answered, given its topic and its records.
        self.late: Callable[[str, list[bytes]], float | None] = lambda topic, records: None
        self._partitions: dict[tuple[str, int], _Partition] = defaultdict(_Partition)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator and the runners do; an empty value drops the key."""
        name = key.encode()
        self._partitions[topic, 0].append([bytes([len(name)]) + name + value])

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        rows = {}
        for offset, record in enumerate(self._partitions[topic, 0].records):
            size = record[0]
            rows[record[1 : 1 + size].decode()] = (offset, record[1 + size :])
        return {key: row for key, row in rows.items() if row[1]}

    async def _answer(self, method: str, target: str, headers: dict, body: bytes) -> Reply | None:
        await asyncio.sleep(ANSWER_SECONDS)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        partition = self._partitions[topic, int(query.get("part", 0))]
        if parts.path == "/-/log-append":
            seconds = self.late(topic, split_records(body))
            if seconds is None:
                return self._append(topic, partition, query, body)
            # "A call that receives no response ... may be executed seconds later if its condition
            # still holds." Its connection returns nothing further.
            await asyncio.sleep(seconds)
            self.carried_out_late.append(self._append(topic, partition, query, body))
            return None
        if parts.path == "/-/log-read":
            return await self._read(partition, query)
        if parts.path == "/-/log-newest":
            return self._page(topic, partition, query)
        return json_reply(404)

    def _append(self, topic: str, partition: _Partition, query: dict, body: bytes) -> Reply:
        records = split_records(body)
        for record in records:
            if len(record) > RECORD_BYTES:
                key = record[1 : 1 + record[0]].decode(errors="replace")
                self.too_large.append((topic, key, len(record)))
                return json_reply(400, {"reason": "record_bytes"})
        if len(body) > REQUEST_BYTES:
            return json_reply(400, {"reason": "request_bytes"})
        producer, sequence = None, 0
        if "producer" in query:
            producer = partition.producers[query["producer"]]
            epoch, sequence = int(query["epoch"]), int(query.get("seq", 0))
            if epoch < producer.epoch:
                return json_reply(409, {"reason": "fenced"})
            if epoch > producer.epoch:
                producer.epoch, producer.last, producer.answers = epoch, None, {}
            if not records:
                return json_reply(
                    200, {"offset": len(partition.records), "end": len(partition.records)}
                )
            if sequence in producer.answers:
                return producer.answers[sequence]
            if producer.last is not None and sequence != producer.last + 1:
                return json_reply(409, {"reason": "seq", "seq": producer.last + 1})
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return json_reply(412, {"end": end})
        partition.append(records)
        reply = json_reply(200, {"offset": end, "end": len(partition.records)})
        if producer is not None:
            producer.last = sequence
            producer.answers[sequence] = reply
            for old in sorted(producer.answers)[:-KEPT_ANSWERS]:
                del producer.answers[old]
        return reply

    async def _read(self, partition: _Partition, query: dict) -> Reply:
        start, wait = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        most = int(query.get("max_kb", 1024)) * 1024
        if wait and start >= len(partition.records):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(partition.grown.wait(), wait)
        out, size = [], 0
        for record in partition.records[start:]:
            if out and size + len(record) > most:
                break
            out.append(len(record).to_bytes(4, "big") + record)
            size += len(record) + 4
        bounds = len(partition.records).to_bytes(8, "big") + bytes(8)
        return Reply(200, bounds + b"".join(out))

    def _page(self, topic: str, partition: _Partition, query: dict) -> Reply:
        rows = [
            row for row in sorted(self.newest(topic).items()) if row[0] > query.get("after", "")
        ]
        items, size = [], 0
        for key, (offset, value) in rows[:PAGE_ITEMS]:
            if items and size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(rows) > len(items)
        return Reply(
            200,
            json.dumps({"items": items, "has_more": more, "end": len(partition.records)}).encode(),
        )
