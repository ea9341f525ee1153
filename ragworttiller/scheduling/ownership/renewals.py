"""Renewals of the claim of one term, and heartbeats to the standbys, until the term ends."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from ragworttiller.exceptions import AppendFenced, AppendUndecided, LogUnavailable
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.claim_encoding import encode_claim
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import Standbys
from ragworttiller.scheduling.ownership.term import Term
from ragworttiller.scheduling.records.formats import OWNER, OWNER_KEY, Claim
from ragworttiller.scheduling.records.group_commit import GroupCommit

log = logging.getLogger(__name__)

PRODUCER = "owner"
RENEWAL_INTERVAL_SECONDS = 0.5
# Short enough to retry a renewal whose answer was lost before other entries claim.
RENEWAL_RETRY_INTERVAL_SECONDS = 0.5
RENEWAL_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.2
HEARTBEAT_INTERVAL_SECONDS = 0.2


def _ignore(claim: Claim) -> None:
    return


class Renewals:
    """Renews the claim of one term from the moment when it is stored.

    Load pattern: a takeover that takes seconds, since the store is slow. Other entries must not
    take its owner for lost meanwhile.

    Parameters
    ----------
    store : Store
        The platform's store.
    term : Term
        Term to renew.
    claim : Claim
        Claim to write until `write` sets another source: its owner gives no order before.
    clock : Clock
        Source of time.
    first_sequence : int
        Sequence number of the first renewal.
    standbys : Standbys
        Entries that receive heartbeats.
    """

    def __init__(
        self,
        store: Store,
        term: Term,
        claim: Claim,
        clock: Clock,
        first_sequence: int,
        standbys: Standbys,
    ) -> None:
        self._store = store
        self._term = term
        self._clock = clock
        self._first_sequence = first_sequence
        self._standbys = standbys
        self._current_claim: Callable[[], Claim] = lambda: claim
        self._acting = False
        self._on_stored: Callable[[Claim], None] = _ignore
        self._successor: str | None = None
        self._settled = False
        self._failures = 0
        self._requested = anyio.Event()

    @property
    def term(self) -> Term:
        """Term that is renewed."""
        return self._term

    async def run(self) -> None:
        """Renew the term until it ends."""
        writer = GroupCommit(
            self._store,
            OWNER,
            Producer(PRODUCER, self._term.epoch),
            self._clock,
            first_sequence=self._first_sequence,
            retry_interval=RENEWAL_RETRY_INTERVAL_SECONDS,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            tasks.start_soon(self._heartbeat_loop)
            tasks.start_soon(self._wake_when_ended)
            # The claim was stored just now.
            await self._wait_for_next()
            while not self._term.ended or self._successor is not None:
                await self._write_next(writer)
            tasks.cancel_scope.cancel()

    def write(self, current_claim: Callable[[], Claim], on_stored: Callable[[Claim], None]) -> None:
        """Write other claims from now on.

        Parameters
        ----------
        current_claim : Callable
            Returns the claim to write.
        on_stored : Callable
            Called with each of these claims that was stored.
        """
        self._current_claim = current_claim
        self._on_stored = on_stored
        self._acting = True
        self.renew_now()

    def renew_now(self) -> None:
        """Renew without waiting for the renewal interval."""
        self._requested.set()

    def release(self, successor: str, settled: bool = False, failures: int = 0) -> None:
        """Release the ownership to another entry, with a renewal that is sent at once.

        Parameters
        ----------
        successor : str
            Name of the entry; if it is empty, any entry may claim.
        settled : bool
            Whether no append of this owner to the jobs' partition is or will be under way.
        failures : int
            Number of owners in a row that have ended by an unexpected error, this one included; 0
            if it has not.
        """
        self._successor, self._settled, self._failures = successor, settled, failures
        self._requested.set()

    async def _write_next(self, writer: GroupCommit) -> None:
        self._requested = anyio.Event()
        successor, on_stored = self._successor, self._on_stored
        if successor is not None:
            # The term must end before the release can be read from the store.
            self._term.end()
        claim = self._current_claim()
        if successor is not None:
            jobs_end = claim.position if self._settled else 0
            claim = claim._replace(released=True, successor=successor, jobs_end=jobs_end)
            # A successor need not wait for leases of an owner that never acted.
            may_order = claim.may_order and self._acting
            claim = claim._replace(failures=self._failures, may_order=may_order)
        claim, value = encode_claim(claim)
        sent_at = self._clock.now()
        try:
            await writer.append([KeyedRecord(OWNER_KEY, value)], RENEWAL_TIMEOUT_SECONDS)
        except AppendFenced:
            log.info("renewal fenced by a later owner", extra={"epoch": self._term.epoch})
            self._end()
            return
        except (LogUnavailable, AppendUndecided) as exc:
            extra = {"epoch": self._term.epoch, "why": exc.code}
            log.warning("ownership renewal failed", extra=extra)
            await self._clock.sleep(RETRY_INTERVAL_SECONDS)
            return
        if successor is not None:
            log.info(
                "ownership released",
                extra={
                    "epoch": self._term.epoch,
                    "successor": successor,
                    "jobs_end": claim.jobs_end,
                    "seconds": round(self._clock.now() - sent_at, 3),
                },
            )
            self._end()
            return
        self._term.record_renewal(sent_at)
        on_stored(claim)
        await self._wait_for_next()

    async def _wait_for_next(self) -> None:
        with self._clock.move_on_after(RENEWAL_INTERVAL_SECONDS):
            await self._requested.wait()

    async def _wake_when_ended(self) -> None:
        await self._term.wait_ended()
        self.renew_now()

    def _end(self) -> None:
        self._term.end()
        self._successor = None

    async def _heartbeat_loop(self) -> None:
        async for _ in self._clock.ticks(HEARTBEAT_INTERVAL_SECONDS):
            self._standbys.send(OwnerHeartbeat(self._term.epoch, self._term.recently_renewed))
