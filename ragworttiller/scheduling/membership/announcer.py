"""Announces this entry to the others through its record in the store."""

from __future__ import annotations

import logging

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.formats import ENTRIES, EntryRecord, encode
from ragworttiller.scheduling.records.group_commit import GroupCommit

log = logging.getLogger(__name__)

ANNOUNCE_TIMEOUT_SECONDS = 5.0
ANNOUNCE_RETRY_DELAY_SECONDS = 0.5


class Announcer:
    """Announces the address of this entry to the other entries.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    entry : EntryRecord
        Record to announce.
    """

    def __init__(self, store: Store, clock: Clock, name: str, entry: EntryRecord) -> None:
        self._clock = clock
        self._name = name
        self._entry = entry
        producer = Producer(f"{name}-{entry.incarnation}", 1)
        self._writer = GroupCommit(store, ENTRIES, producer, clock, exclusive=True)

    async def run(self) -> None:
        """Write queued appends until cancelled."""
        await self._writer.run()

    async def announce(self) -> None:
        """Announce the entry, with retries until the record is stored."""
        await self._write(encode(self._entry))

    async def withdraw(self) -> None:
        """Remove the record of the entry; if that fails, the other entries rely on timeouts."""
        await self._write(b"", attempts=1)

    async def _write(self, value: bytes, attempts: int = 1_000_000) -> None:
        for _ in range(attempts):
            try:
                await self._writer.append(
                    [KeyedRecord(self._name, value)], ANNOUNCE_TIMEOUT_SECONDS
                )
                return
            except RagworttillerError as exc:
                log.warning("write of the entry record failed", extra={"why": exc.code})
                await self._clock.sleep(ANNOUNCE_RETRY_DELAY_SECONDS)
