"""Records of the progress of jobs, in as few appends as the store accepts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ragworttiller.platform.store import KeyedRecord
from ragworttiller.platform.store_records import LENGTH_BYTES, record_size


class JobRecords(NamedTuple):
    """Records of the progress of a job."""

    job: str
    records: list[KeyedRecord]

    @property
    def size(self) -> int:
        """Bytes that the records take in an append, about."""
        return sum(record_size(record) + LENGTH_BYTES for record in self.records)

    def pieces(self, limit: int) -> Iterator[JobRecords]:
        """Yield the records in appends of at most ``limit`` bytes, in order."""
        if len(self.records) == 1 or self.size <= limit:
            yield self
            return
        piece = JobRecords(self.job, [])
        for record in self.records:
            if piece.records and piece.size + record_size(record) + LENGTH_BYTES > limit:
                yield piece
                piece = JobRecords(self.job, [])
            piece.records.append(record)
        yield piece


def batches(rows: Iterable[JobRecords], limit: int) -> Iterator[list[JobRecords]]:
    """Yield the records of jobs in appends of at most ``limit`` bytes, in order.

    Only those of one job that are too long for one append are divided among several.
    """
    batch: list[JobRecords] = []
    size = 0
    for piece in (piece for row in rows for piece in row.pieces(limit)):
        piece_size = piece.size
        if batch and size + piece_size > limit:
            yield batch
            batch, size = [], 0
        batch.append(piece)
        size += piece_size
    if batch:
        yield batch
