"""Keeps the record of this entry in the store true, from its start to its stop."""

from __future__ import annotations

import logging

import anyio

from ragworttiller.exceptions import AppendConflict, LogUnavailable, RagworttillerError
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import ENTRIES, EntryRecord, encode
from ragworttiller.scheduling.records.group_commit import GroupCommit

log = logging.getLogger(__name__)

ANNOUNCE_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.5
MIN_CORRECTION_DELAY_SECONDS = 0.1
# Two processes under one name would otherwise replace each other's record all the time.
MAX_CORRECTION_DELAY_SECONDS = 30.0
# Time after a correction after which the next one counts as unrelated.
CORRECTION_MEMORY_SECONDS = 60.0
WITHDRAW_ATTEMPTS = 3
WITHDRAW_ATTEMPT_SECONDS = 0.2


class Announcer:
    """Announces this entry to the others, and corrects its record if another write changes it.

    A write without an answer may be carried out seconds later, also after its process has ended.
    So the record that the others read may be that of an earlier start, or be gone. The entry reads
    it like all others, and announces itself again. Its withdrawal is conditional: once a later
    start has announced itself, it is refused.

    Parameters
    ----------
    store : Store
        The platform's store.
    feed : Feed
        Feed of the entry records into ``members``; run by the entry.
    members : Members
        Entries that have announced themselves.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    entry : EntryRecord
        Record to announce.

    Attributes
    ----------
    corrections : int
        Number of times that the record had to be corrected.
    """

    def __init__(
        self,
        store: Store,
        feed: Feed,
        members: Members,
        clock: Clock,
        name: str,
        entry: EntryRecord,
    ) -> None:
        self._store = store
        self._feed = feed
        self._members = members
        self._clock = clock
        self._name = name
        self._entry = entry
        self.corrections = 0
        self._withdrawn = False
        self._read = anyio.Event()
        # End of the partition after the last announcement, 0 if the store did not tell.
        self._announced_end = 0
        self._corrected_at = float("-inf")
        self._correction_delay = MIN_CORRECTION_DELAY_SECONDS
        producer = Producer(f"{name}-{entry.incarnation}", 1)
        self._writer = GroupCommit(store, ENTRIES, producer, clock, exclusive=True)
        feed.on_change = self._records_read

    @property
    def _record_is_wrong(self) -> bool:
        """Whether the record is not that of this start, as far as records were read."""
        if self._feed.position < self._announced_end:
            return False
        return self._members.record_of(self._name) != self._entry

    async def run(self) -> None:
        """Announce the entry, and correct its record whenever needed, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._writer.run)
            await self._announce()
            while True:
                await self._wait_until_wrong()
                await self._correct()

    async def withdraw(self) -> None:
        """Remove the record, unless it is another one's by now.

        If that fails, the owner removes it later (`RecordRemover`).
        """
        self._withdrawn = True
        removal = KeyedRecord(self._name, b"")
        for _ in range(WITHDRAW_ATTEMPTS):
            if self._announced_end and self._record_is_wrong:
                # It was removed, or is that of a later start.
                return
            try:
                await self._store.append(
                    ENTRIES, [removal], at=self._feed.position, timeout=WITHDRAW_ATTEMPT_SECONDS
                )
                return
            except AppendConflict:
                await self._catch_up()
            except RagworttillerError as exc:
                log.warning("withdrawal of the entry record failed", extra={"why": exc.code})

    def _records_read(self) -> None:
        self._read.set()

    async def _wait_until_wrong(self) -> None:
        while self._withdrawn or not self._record_is_wrong:
            self._read = anyio.Event()
            await self._read.wait()

    async def _correct(self) -> None:
        """Announce the entry again after a delay, unless its record is right by then."""
        now, recent = self._clock.now(), self._corrected_at + CORRECTION_MEMORY_SECONDS
        delay = min(2 * self._correction_delay, MAX_CORRECTION_DELAY_SECONDS)
        self._correction_delay = delay if now < recent else MIN_CORRECTION_DELAY_SECONDS
        await self._clock.sleep(self._correction_delay)
        if self._withdrawn or not self._record_is_wrong:
            return
        seen = self._members.record_of(self._name)
        extra = {
            "seen": str(seen),
            "position": self._feed.position,
            "delay": self._correction_delay,
        }
        log.warning("entry record is missing or another one's", extra=extra)
        await self._announce()
        self.corrections += 1
        self._corrected_at = self._clock.now()

    async def _announce(self) -> None:
        """Announce the entry, with retries until the record is stored."""
        record = KeyedRecord(self._name, encode(self._entry))
        while not self._withdrawn:
            try:
                self._announced_end = await self._writer.append([record], ANNOUNCE_TIMEOUT_SECONDS)
                return
            except RagworttillerError as exc:
                log.warning("write of the entry record failed", extra={"why": exc.code})
                await self._clock.sleep(RETRY_DELAY_SECONDS)

    async def _catch_up(self) -> None:
        try:
            await self._feed.catch_up()
        except LogUnavailable as exc:
            log.warning("entry records not read", extra={"why": exc.code})
