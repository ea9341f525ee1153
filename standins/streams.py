"""Streams of the stand-in log, with retention."""

from __future__ import annotations

from collections.abc import Sequence

import anyio

from ragworttiller.services.log import LogSlice

SLICE_ENTRIES = 500
SLICE_BYTES = 1024 * 1024


class StoredStream:
    """Entries of one stream, of which at most the newest ``keep`` are retained."""

    def __init__(self, keep: int | None = None) -> None:
        self._keep = keep
        self._start = 1
        self._entries: list[bytes] = []
        self._appended = anyio.Event()

    @property
    def entries(self) -> list[bytes]:
        """Retained entries, oldest first."""
        return self._entries

    @property
    def end(self) -> int:
        """Offset of the next entry."""
        return self._start + len(self._entries)

    def append(self, records: Sequence[bytes]) -> int:
        """Append entries, drop expired ones and return the offset of the first new one."""
        first = self.end
        self._entries.extend(bytes(record) for record in records)
        if self._keep is not None and len(self._entries) > self._keep:
            expired = len(self._entries) - self._keep
            del self._entries[:expired]
            self._start += expired
        self._appended.set()
        self._appended = anyio.Event()
        return first

    def slice(self, offset: int) -> LogSlice:
        """Return the entries from ``offset`` on, within the size limits of one answer."""
        if offset < self._start:
            return LogSlice(offset, [], self._start, self.end)
        selected: list[bytes] = []
        size = 0
        position = offset - self._start
        for entry in self._entries[position : position + SLICE_ENTRIES]:
            size += len(entry)
            if selected and size > SLICE_BYTES:
                break
            selected.append(entry)
        return LogSlice(offset, selected, self._start, self.end)

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until there is an entry at ``offset`` or the offset has expired."""
        while self._start <= offset and self.end <= offset:
            await self._appended.wait()
