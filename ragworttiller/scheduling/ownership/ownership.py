"""Ownership of the cell: claims in the store, renewed by the owner and read by all entries."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import anyio

from ragworttiller.exceptions import (
    AppendConflict,
    AppendFenced,
    AppendOutOfOrder,
    AppendUndecided,
    LogUnavailable,
)
from ragworttiller.platform.store import KeyedRecord, Partition, Producer, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat, OwnerWatch
from ragworttiller.scheduling.ownership.term import ClaimFold, Term
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import (
    JOBS,
    OWNER,
    OWNER_CHANGE_KEY,
    OWNER_KEY,
    Claim,
    OwnerChange,
    encode,
)
from ragworttiller.scheduling.records.group_commit import GroupCommit

log = logging.getLogger(__name__)

PRODUCER = "owner"
RENEWAL_INTERVAL_SECONDS = 0.5
# Short enough to retry a renewal whose answer was lost before other entries claim.
RENEWAL_RETRY_INTERVAL_SECONDS = 0.5
RENEWAL_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.2
CLAIM_TIMEOUT_SECONDS = 2.0
MAX_SEQUENCE = 2**31


class Claimed(NamedTuple):
    """Ownership that was just claimed.

    ``jobs_end`` is the end of the jobs' partition when earlier owners were fenced, ``previous`` the
    last claim of an earlier owner, which was read at ``previous_read_at`` and so sent before.
    """

    term: Term
    jobs_end: int
    previous: Claim | None
    previous_read_at: float


class Ownership:
    """Claims, renews and releases the ownership of the cell for one entry.

    Parameters
    ----------
    store : Store
        The platform's store.
    feed : Feed
        Feed of the claims.
    fold : ClaimFold
        Last claim.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    incarnation : int
        Number that identifies this start of the instance.
    address : str
        Address at which this instance listens for its peers.
    """

    def __init__(
        self,
        store: Store,
        feed: Feed,
        fold: ClaimFold,
        clock: Clock,
        name: str,
        incarnation: int,
        address: str = "",
    ) -> None:
        self._store = store
        self._feed = feed
        self._fold = fold
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._watch = OwnerWatch(clock)
        self._sequence = 0
        self._claim_read_at = clock.now()
        self._changed = anyio.Event()
        self._successor: str | None = None
        self._renewal_requested = anyio.Event()

    def record_claim(self) -> None:
        """Record that a claim or renewal of any entry was read."""
        self._claim_read_at = self._clock.now()
        self._watch.record_claim()
        self._notify()

    def record_empty_poll(self) -> None:
        """Record that a long poll of the claims has returned no record."""
        self._watch.record_empty_poll()
        self._notify()

    def record_heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat of the owner."""
        self._watch.record_heartbeat(heartbeat)
        if not heartbeat.renewed:
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_claimable(self) -> Claim | None:
        """Wait until the ownership may be claimed, and return the last claim."""
        # Count only empty polls from here on.
        self._watch.record_claim()
        while True:
            changed, claim = self._changed, self._fold.claim
            epoch = claim.epoch if claim else 0
            if self._feed.ready and (self._watch.owner_timed_out(epoch) or self._claimable(claim)):
                return claim
            delay = self._watch.seconds_until_timeout(epoch) if self._feed.ready else None
            if delay is None:
                await changed.wait()
                continue
            with self._clock.move_on_after(delay):
                await changed.wait()

    def _claimable(self, claim: Claim | None) -> bool:
        if claim is None:
            return True
        own_claim = claim.owner == self._name
        if claim.released:
            return claim.successor == self._name or self._watch.empty_polls > 0
        return own_claim and claim.incarnation != self._incarnation

    async def claim(self, previous: Claim | None) -> Claimed | None:
        """Claim the ownership after ``previous`` and fence earlier owners.

        Returns
        -------
        Claimed or None
            None if another entry has claimed first.

        Raises
        ------
        LogUnavailable, AppendUndecided
            The store cannot be reached, or did not confirm the claim in time.
        AppendFenced
            A later owner has already fenced the jobs' partition.
        """
        await self._feed.catch_up()
        if self._fold.claim != previous:
            return None
        # A renewal with the content of the one before may have been read just now.
        read_at = self._claim_read_at
        epoch = previous.epoch + 1 if previous else 1
        roster = previous.roster if previous else []
        withdrawn = previous.withdrawn if previous else []
        claim = Claim(
            self._name,
            self._incarnation,
            epoch,
            0,
            roster,
            withdrawn,
            {},
            unsettled=roster,
            address=self._address,
            learnt=previous.learnt if previous else b"",
        )
        producer = Producer(PRODUCER, epoch)
        sent_at = self._clock.now()
        if not await self._append_claim(claim, producer):
            return None
        end = await self._fence_jobs_partition(producer)
        log.info("cell claimed", extra={"epoch": epoch, "jobs_end": end, "roster": len(roster)})
        return Claimed(Term(epoch, self._clock, sent_at), end, previous, read_at)

    async def _append_claim(self, claim: Claim, producer: Producer) -> bool:
        """Append a claim, which fences earlier owners, and return whether it was appended.

        The sequence number is random: claims of one epoch with the same sequence number would
        count as retries of the first.
        """
        self._sequence = random.SystemRandom().randrange(MAX_SEQUENCE)
        record = KeyedRecord(OWNER_KEY, encode(claim))
        position = self._feed.position
        try:
            await self._append_with_retries(OWNER, [record], producer, self._sequence, position)
            return True
        except (AppendFenced, AppendOutOfOrder):
            return False
        except AppendConflict:
            # The conflicting record may be this claim itself, if the answer to its append was lost.
            await self._feed.catch_up()
            return self._fold.claim == claim

    async def _fence_jobs_partition(self, producer: Producer) -> int:
        """Fence earlier owners in the jobs' partition and return its end.

        The record tells an earlier owner that still reads jobs to act on none that follow.
        """
        record = KeyedRecord(OWNER_CHANGE_KEY, encode(OwnerChange(producer.epoch)))
        return await self._append_with_retries(JOBS, [record], producer, 0)

    async def _append_with_retries(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        producer: Producer,
        sequence: int,
        at: int | None = None,
    ) -> int:
        """Append, with retries until the result is known or the timeout has passed."""
        deadline = self._clock.now() + CLAIM_TIMEOUT_SECONDS
        while True:
            try:
                return await self._store.append(partition, records, producer, sequence, at)
            except (LogUnavailable, AppendUndecided):
                if self._clock.now() > deadline:
                    raise
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    async def renew_until_ended(
        self, term: Term, current_claim: Callable[[], Claim], on_renewed: Callable[[Claim], None]
    ) -> None:
        """Renew the term until it ends.

        Parameters
        ----------
        term : Term
            Term to renew.
        current_claim : Callable
            Returns the claim to write.
        on_renewed : Callable
            Called with each claim that was stored.
        """
        writer = GroupCommit(
            self._store,
            OWNER,
            Producer(PRODUCER, term.epoch),
            self._clock,
            first_sequence=self._sequence + 1,
            retry_interval=RENEWAL_RETRY_INTERVAL_SECONDS,
        )
        self._successor = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            while not term.ended:
                await self._write_renewal(writer, term, current_claim(), on_renewed)
            tasks.cancel_scope.cancel()

    def renew_now(self) -> None:
        """Renew without waiting for the renewal interval."""
        self._renewal_requested.set()

    def release(self, successor: str) -> None:
        """Release the ownership to another entry, with a renewal that is sent at once."""
        self._successor = successor
        self._renewal_requested.set()

    async def _write_renewal(
        self, writer: GroupCommit, term: Term, claim: Claim, on_renewed: Callable[[Claim], None]
    ) -> None:
        self._renewal_requested = anyio.Event()
        successor = self._successor
        if successor is not None:
            # The term must end before the release can be read from the store.
            term.end()
            claim = claim._replace(released=True, successor=successor)
        sent_at = self._clock.now()
        try:
            await writer.append([KeyedRecord(OWNER_KEY, encode(claim))], RENEWAL_TIMEOUT_SECONDS)
        except AppendFenced:
            log.info("renewal fenced by a later owner", extra={"epoch": term.epoch})
            term.end()
            return
        except (LogUnavailable, AppendUndecided) as exc:
            log.warning("ownership renewal failed", extra={"epoch": term.epoch, "why": exc.code})
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)
            return
        if successor is not None:
            log.info("ownership released", extra={"epoch": term.epoch, "successor": successor})
            return
        term.record_renewal(sent_at)
        on_renewed(claim)
        with self._clock.move_on_after(RENEWAL_INTERVAL_SECONDS):
            await self._renewal_requested.wait()
