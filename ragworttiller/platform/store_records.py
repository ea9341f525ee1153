"""Records of the platform's store as they are sent and read."""

from __future__ import annotations

import base64
import logging
from typing import NamedTuple

import msgspec

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.decoding import decode_json

log = logging.getLogger(__name__)

LENGTH_BYTES = 4
OFFSET_BYTES = 8


class StoreLimits(NamedTuple):
    """Most bytes of a record, key included, and of all records of one append."""

    record_bytes: int = 262_144
    request_bytes: int = 2_097_152


class Record(NamedTuple):
    """Record of a keyed topic; ``value`` is empty if the key was deleted."""

    offset: int
    key: str
    value: bytes


class KeyedRecord(NamedTuple):
    """Key and value to append."""

    key: str
    value: bytes


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


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct):
    end: int
    items: list[msgspec.Raw] = []
    has_more: bool = False


_ITEM_DECODER = msgspec.json.Decoder(_Item)


def record_size(record: KeyedRecord) -> int:
    """Return the length of a record in bytes, as the store counts it."""
    return 1 + len(record.key.encode()) + len(record.value)


def encode_record(record: KeyedRecord) -> bytes:
    """Return a record as a part of the body of an append."""
    key = record.key.encode()
    length = record_size(record).to_bytes(LENGTH_BYTES, "big")
    return length + bytes([len(key)]) + key + record.value


def decode_slice(content: bytes, offset: int) -> Slice:
    """Decode the answer to a read from an offset on, without a record that is cut off at its end.

    Raises
    ------
    Unreadable
        The answer has no head, or nothing but a part of a record.
    """
    position = 2 * OFFSET_BYTES
    if len(content) < position:
        raise Unreadable(what="slice of a partition", problem="is too short")
    end = int.from_bytes(content[:OFFSET_BYTES], "big")
    start = int.from_bytes(content[OFFSET_BYTES:position], "big")
    records: list[Record] = []
    while position + LENGTH_BYTES <= len(content):
        record_start = position + LENGTH_BYTES
        position = record_start + int.from_bytes(content[position:record_start], "big")
        if position > len(content):
            break
        records.append(_decode_record(offset + len(records), content[record_start:position]))
    if not records and len(content) > 2 * OFFSET_BYTES:
        # Taken for a short read, a record that is cut off would be asked for again at once.
        raise Unreadable(what="slice of a partition", problem="its only record is cut off")
    return Slice(end, start, records)


def decode_page(content: bytes, partition: str) -> NewestPage:
    """Decode a page of the newest records of a partition.

    Raises
    ------
    Unreadable
        The answer is not a page, or the key after which the next one starts cannot be read.
    """
    page = decode_json(content, _Page, "page of newest records")
    found = (_decode_item(item, partition) for item in page.items)
    records = [record for record in found if record is not None]
    if page.items and not records and page.has_more:
        raise Unreadable(what="page of newest records", problem="it has no readable key")
    next_after = records[-1].key if page.has_more and records else ""
    return NewestPage(page.end, next_after, records)


def _decode_record(offset: int, data: bytes) -> Record:
    """Return the record, with empty key and value if it cannot be decoded."""
    length = data[0] if data else 0
    key = data[1 : 1 + length]
    if not data or len(key) < length:
        return Record(offset, "", b"")
    return Record(offset, key.decode("utf-8", "replace"), data[1 + length :])


def _decode_item(item: msgspec.Raw, partition: str) -> Record | None:
    """Return an item of a page, None without a readable key.

    A value that is no base64 is returned as it was sent: the reader of the records finds it
    unreadable, while an empty or missing one would mean that the key was deleted.
    """
    try:
        row = _ITEM_DECODER.decode(item)
    except msgspec.MsgspecError as exc:
        extra = {"partition": partition, "problem": str(exc)}
        log.warning("record without a readable key left out", extra=extra)
        return None
    try:
        return Record(row.offset, row.key, base64.b64decode(row.value, validate=True))
    except ValueError:
        return Record(row.offset, row.key, row.value.encode())
