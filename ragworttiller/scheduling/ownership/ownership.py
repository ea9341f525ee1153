"""Ownership of the cell: claims in the store, read by all entries."""

from __future__ import annotations

import logging
import random
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
from ragworttiller.scheduling.decisions.claim_turns import ClaimInTurn, ClaimTurns
from ragworttiller.scheduling.ownership.owner_failures import claim_pause_seconds
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat, OwnerWatch
from ragworttiller.scheduling.ownership.renewals import PRODUCER, RETRY_INTERVAL_SECONDS, Renewals
from ragworttiller.scheduling.ownership.standbys import Standbys
from ragworttiller.scheduling.ownership.term import (
    LEASES_END_SECONDS,
    TERM_SECONDS,
    ClaimFold,
    Term,
)
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
from ragworttiller.scheduling.records.repeated_append import RepeatedAppend
from ragworttiller.scheduling.state.owned_cell import LEASE_SECONDS
from ragworttiller.scheduling.state.takeover import longest_wait

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_SECONDS = 2.0
# An append without an answer is repeated after this time; its answer is still waited for.
APPEND_RETRY_INTERVAL_SECONDS = 0.5
MAX_SEQUENCE = 2**31


class Claimed(NamedTuple):
    """Ownership that was just claimed with ``claim``.

    ``previous`` is the last claim of an earlier owner, which was read at ``previous_read_at`` and
    so sent before.
    """

    term: Term
    claim: Claim
    previous: Claim | None
    previous_read_at: float


class Ownership:
    """Claims the ownership of the cell for one entry.

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
    lease : float
        Duration of the leases that owners grant, in seconds.
    turns : ClaimTurns, optional
        Chooses how long to wait before a claim; by default entries claim in turn.
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
        lease: float = LEASE_SECONDS,
        turns: ClaimTurns | None = None,
    ) -> None:
        self._lease = lease
        self._turns = turns or ClaimInTurn()
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
        self._undecided: Claim | None = None
        self._claimed_after: Claim | None = None

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
            paused = self._pause_left(claim)
            if paused > 0:
                with self._clock.move_on_after(paused):
                    await changed.wait()
                continue
            if self._feed.ready and (self._watch.owner_timed_out(epoch) or self._claimable(claim)):
                return claim
            delay = self._watch.seconds_until_timeout(epoch) if self._feed.ready else None
            if delay is None:
                await changed.wait()
                continue
            with self._clock.move_on_after(delay):
                await changed.wait()

    def _pause_left(self, claim: Claim | None) -> float:
        """Return for how many seconds nobody claims, since the last owner ended by an error."""
        if claim is None or not claim.released or not claim.failures:
            return 0.0
        return self._claim_read_at + claim_pause_seconds(claim.failures) - self._clock.now()

    def _claimable(self, claim: Claim | None) -> bool:
        if claim is None:
            return True
        if claim.released:
            return claim.successor == self._name or self._watch.empty_polls > 0
        if claim == self._undecided:
            # Its result was not known in time, and it has been stored after all.
            return True
        return claim.owner == self._name and claim.incarnation != self._incarnation

    async def wait_turn(self, previous: Claim, rank: int) -> bool:
        """Wait for the turn to claim after ``previous``; return whether it is still the last claim.

        It is not once its owner has renewed it, also by a renewal of the same content.

        Parameters
        ----------
        previous : Claim
            Last claim, whose owner is lost.
        rank : int
            Number of entries that may claim before this one.

        Raises
        ------
        LogUnavailable
            The store cannot be read.
        """
        asked_at, read_at = self._clock.now(), self._claim_read_at
        await self._feed.catch_up()
        now = self._clock.now()
        end = now + self._turns.delay(rank, now - asked_at)

        def is_last() -> bool:
            return self._fold.claim == previous and self._claim_read_at == read_at

        while is_last() and self._clock.now() < end:
            changed = self._changed
            with self._clock.move_on_after(end - self._clock.now()):
                await changed.wait()
        return is_last()

    async def claim(self, previous: Claim | None) -> Claimed | None:
        """Claim the ownership after ``previous``, which fences earlier owners among the claims.

        The store refuses the claim if any other record was appended since the last one was read.

        Returns
        -------
        Claimed or None
            None if another entry has claimed first.

        Raises
        ------
        LogUnavailable, AppendUndecided
            The store cannot be reached, or did not confirm the claim in time.
        """
        if not self._is_first_as_successor(previous):
            await self._feed.catch_up()
        if self._fold.claim != previous:
            return None
        self._claimed_after = previous
        # A renewal with the content of the one before may have been read just now.
        read_at = self._claim_read_at
        claim = self._next_claim(previous, read_at)
        sent_at = self._clock.now()
        if not await self._append_claim(claim):
            return None
        log.info("cell claimed", extra={"epoch": claim.epoch, "roster": len(claim.roster)})
        return Claimed(Term(claim.epoch, self._clock, sent_at), claim, previous, read_at)

    def _is_first_as_successor(self, previous: Claim | None) -> bool:
        """Return whether this entry may claim before all others, and has not tried to yet.

        Nothing is expected after such a release, so that reading once more would only delay the
        claim. After a refused claim it shows what was missed.
        """
        if previous is None or not previous.released or previous == self._claimed_after:
            return False
        return previous.successor == self._name

    def renewals(self, claimed: Claimed, standbys: Standbys) -> Renewals:
        """Return the renewals of a claim that was just stored."""
        return Renewals(
            self._store,
            claimed.term,
            claimed.claim,
            self._clock,
            self._sequence + 1,
            standbys,
        )

    async def fence_jobs(self, epoch: int, timeout: float) -> int:
        """Fence earlier owners in the jobs' partition and return its end.

        The record tells an earlier owner that still reads jobs to act on none that follow. Appends
        of other writers may wait before it, so it is not given up while there is time left.

        Parameters
        ----------
        epoch : int
            Epoch of the claim.
        timeout : float
            Seconds after which to give up.

        Raises
        ------
        LogUnavailable, AppendUndecided
            The record was not stored in time.
        AppendFenced
            A later owner has already fenced the jobs' partition.
        """
        record = KeyedRecord(OWNER_CHANGE_KEY, encode(OwnerChange(epoch)))
        return await self._append(JOBS, record, epoch, 0, self._clock.now() + timeout)

    def _next_claim(self, previous: Claim | None, read_at: float) -> Claim:
        """Return the claim after ``previous``, of whose runners none has answered yet.

        After an owner that has settled its records only reads are left before the first order,
        which therefore may follow this claim.
        """
        fresh = Claim(
            self._name,
            self._incarnation,
            1,
            0,
            [],
            [],
            {},
            address=self._address,
            may_order=False,
            stores_placements=True,
            term=TERM_SECONDS,
            leases_end=LEASES_END_SECONDS,
        )
        if previous is None:
            return fresh
        age = self._clock.now() - read_at
        term_left = max(previous.term - age, 0.0)
        return fresh._replace(
            unsettled_seconds=round(longest_wait(previous, term_left, self._lease, age), 3),
            epoch=previous.epoch + 1,
            position=previous.position,
            roster=previous.roster,
            withdrawn=previous.withdrawn,
            pending=previous.pending,
            unsettled=previous.roster,
            learnt=previous.learnt,
            may_order=previous.released and previous.jobs_end > 0,
            stores_placements=previous.stores_placements,
        )

    async def _append_claim(self, claim: Claim) -> bool:
        """Append a claim, which fences earlier owners, and return whether it was appended.

        The sequence number is random: claims of one epoch with the same sequence number would
        count as retries of the first.
        """
        self._sequence = random.SystemRandom().randrange(MAX_SEQUENCE)
        record = KeyedRecord(OWNER_KEY, encode(claim))
        deadline = self._clock.now() + CLAIM_TIMEOUT_SECONDS
        position = self._feed.position
        try:
            await self._append(OWNER, record, claim.epoch, self._sequence, deadline, position)
            return True
        except (AppendFenced, AppendOutOfOrder):
            return False
        except AppendConflict:
            # The conflicting record may be this claim itself, if the answer to its append was lost.
            await self._feed.catch_up()
            return self._fold.claim == claim
        except (LogUnavailable, AppendUndecided):
            self._undecided = claim
            raise

    async def _append(
        self,
        partition: Partition,
        record: KeyedRecord,
        epoch: int,
        sequence: int,
        deadline: float,
        at: int | None = None,
    ) -> int:
        """Append, with retries until the result is known or the deadline has passed."""
        while True:
            append = RepeatedAppend(
                self._store,
                partition,
                [record],
                Producer(PRODUCER, epoch),
                sequence,
                self._clock,
                APPEND_RETRY_INTERVAL_SECONDS,
                at,
            )
            try:
                return await append.run(deadline)
            except (LogUnavailable, AppendUndecided):
                if self._clock.now() >= deadline:
                    raise
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)
