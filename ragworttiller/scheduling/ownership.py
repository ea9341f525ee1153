"""Ownership of the cell: claims in the store, renewed by the owner and followed by all."""

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
from ragworttiller.scheduling.feed import Feed
from ragworttiller.scheduling.group_commit import GroupCommit
from ragworttiller.scheduling.owner_watch import OwnerHeartbeat, OwnerWatch
from ragworttiller.scheduling.records import JOBS, OWNER, OWNER_KEY, Claim, encode
from ragworttiller.scheduling.term import OwnerFold, Term

log = logging.getLogger(__name__)

PRODUCER = "owner"
RENEW_SECONDS = 0.5
# Shorter than the silence after which others claim, also when an answer is lost.
RENEW_TIMEOUT_SECONDS = 0.5
APPEND_SECONDS = 3.0
CLAIM_RETRY_SECONDS = 0.2
INSIST_SECONDS = 2.0
MOST_SEQUENCE = 2**31


class Claimed(NamedTuple):
    """Ownership that was just claimed.

    ``jobs_end`` is the end of the jobs' partition when earlier owners were shut out, ``before``
    the last claim of these.
    """

    term: Term
    jobs_end: int
    before: Claim | None


class Ownership:
    """Claims, renews and releases the ownership of the cell for one entry.

    Parameters
    ----------
    store : Store
        The platform's store.
    feed : Feed
        Feed of the owner's partition.
    fold : OwnerFold
        Its fold.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    incarnation : int
        Number of this start of the instance.
    """

    def __init__(
        self,
        store: Store,
        feed: Feed,
        fold: OwnerFold,
        clock: Clock,
        name: str,
        incarnation: int,
    ) -> None:
        self._store = store
        self._feed = feed
        self._fold = fold
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._watch = OwnerWatch(clock)
        self._sequence = 0
        self._news = anyio.Event()
        self._successor: str | None = None
        self._renew = anyio.Event()

    def news(self) -> None:
        """Record that the owner, or another entry, has written a claim."""
        self._watch.news()
        self._wake()

    def silence(self) -> None:
        """Record that a read of the claims has waited in vain for a poll's time."""
        self._watch.silent_poll()
        self._wake()

    def heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat of the owner."""
        self._watch.heartbeat(heartbeat)
        if not heartbeat.renewed:
            self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = anyio.Event()

    async def wait_vacant(self) -> Claim | None:
        """Wait until the ownership may be claimed, and return the claim that it follows."""
        self._watch.news()
        while True:
            news, claim = self._news, self._fold.claim
            epoch = claim.epoch if claim else 0
            if self._feed.ready and (self._watch.silent(epoch) or self._vacant(claim)):
                return claim
            recheck = self._watch.recheck_in(epoch) if self._feed.ready else None
            if recheck is None:
                await news.wait()
                continue
            with self._clock.move_on_after(recheck):
                await news.wait()

    def _vacant(self, claim: Claim | None) -> bool:
        if claim is None:
            return True
        mine = claim.owner == self._name
        if claim.released:
            return claim.successor == self._name or self._watch.silent_polls > 0
        return mine and claim.incarnation != self._incarnation

    async def claim(self, before: Claim | None) -> Claimed | None:
        """Claim the ownership after ``before`` and shut out earlier owners.

        Returns
        -------
        Claimed or None
            None if another entry was faster.

        Raises
        ------
        LogUnavailable
            The store cannot be reached.
        """
        await self._feed.catch_up()
        if self._fold.claim != before:
            return None
        epoch = before.epoch + 1 if before else 1
        roster = before.roster if before else []
        withdrawn = before.withdrawn if before else []
        claim = Claim(self._name, self._incarnation, epoch, 0, roster, withdrawn, {})
        producer = Producer(PRODUCER, epoch)
        sent_at = self._clock.now()
        if not await self._append_claim(claim, producer):
            return None
        end = await self._shut_out(producer)
        log.info("cell claimed", extra={"epoch": epoch, "jobs_end": end, "roster": len(roster)})
        return Claimed(Term(epoch, self._clock, sent_at), end, before)

    async def _append_claim(self, claim: Claim, producer: Producer) -> bool:
        """Append a claim, which shuts earlier owners out of the claims, and return whether it won.

        The sequence number is random: claims of one epoch that had the same one would count as
        repeats of the first.
        """
        self._sequence = random.SystemRandom().randrange(MOST_SEQUENCE)
        record = KeyedRecord(OWNER_KEY, encode(claim))
        position = self._feed.position
        try:
            await self._insist(OWNER, [record], producer, self._sequence, position)
            return True
        except (AppendFenced, AppendOutOfOrder):
            return False
        except AppendConflict:
            # The partition may have grown by this very claim, whose first answer was lost.
            await self._feed.catch_up()
            return self._fold.claim == claim

    async def _shut_out(self, producer: Producer) -> int:
        """Let no earlier owner write to the jobs any more, and return their end."""
        return await self._insist(JOBS, [], producer, 0)

    async def _insist(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        producer: Producer,
        sequence: int,
        at: int | None = None,
    ) -> int:
        """Append, and repeat the call for a while until its result is known."""
        until = self._clock.now() + INSIST_SECONDS
        while True:
            try:
                return await self._store.append(partition, records, producer, sequence, at)
            except (LogUnavailable, AppendUndecided):
                if self._clock.now() > until:
                    raise
            await self._clock.sleep(CLAIM_RETRY_SECONDS)

    async def keep(
        self, term: Term, state: Callable[[], Claim], enrolled: Callable[[Claim], None]
    ) -> None:
        """Renew the term until it is superseded.

        Parameters
        ----------
        term : Term
            Term to renew.
        state : Callable
            Returns what is to be written.
        enrolled : Callable
            Called with each claim that the store has.
        """
        writer = GroupCommit(
            self._store,
            OWNER,
            Producer(PRODUCER, term.epoch),
            self._clock,
            first=self._sequence + 1,
            patience=RENEW_TIMEOUT_SECONDS,
        )
        self._successor = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            while not term.superseded:
                await self._write(writer, term, state(), enrolled)
            tasks.cancel_scope.cancel()

    def renew_now(self) -> None:
        """Write the owner's state without waiting for the next renewal."""
        self._renew.set()

    def release(self, successor: str) -> None:
        """Give the ownership up in favour of another entry with the next renewal."""
        self._successor = successor
        self._renew.set()

    async def _write(
        self, writer: GroupCommit, term: Term, claim: Claim, enrolled: Callable[[Claim], None]
    ) -> None:
        self._renew = anyio.Event()
        successor = self._successor
        if successor is not None:
            # The right to act ends before the store is told.
            term.end()
            claim = claim._replace(released=True, successor=successor)
        sent_at = self._clock.now()
        try:
            await writer.append([KeyedRecord(OWNER_KEY, encode(claim))], APPEND_SECONDS)
        except AppendFenced:
            log.info("superseded", extra={"epoch": term.epoch})
            term.end()
            return
        except (LogUnavailable, AppendUndecided) as exc:
            log.warning("renewal failed", extra={"epoch": term.epoch, "why": exc.code})
            await self._clock.sleep(CLAIM_RETRY_SECONDS)
            return
        if successor is not None:
            log.info("released", extra={"epoch": term.epoch, "successor": successor})
            return
        term.prove(sent_at)
        enrolled(claim)
        with self._clock.move_on_after(RENEW_SECONDS):
            await self._renew.wait()
