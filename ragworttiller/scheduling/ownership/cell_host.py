"""Claims the cell for an entry and runs its owner."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.platform.store import Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.advice import Advice
from ragworttiller.scheduling.decisions.cell_policies import CellPolicies, default_policies
from ragworttiller.scheduling.ownership.earlier_owner import (
    EarlierOwner,
    UnreachableEarlierOwner,
)
from ragworttiller.scheduling.ownership.listed_runners import ListedRunners
from ragworttiller.scheduling.ownership.owner import Owner
from ragworttiller.scheduling.ownership.owner_failures import (
    failures_in_a_row,
    record_owner_failure,
)
from ragworttiller.scheduling.ownership.owner_figures import OwnerFigures
from ragworttiller.scheduling.ownership.owner_watch import POLL_SECONDS, OwnerHeartbeat
from ragworttiller.scheduling.ownership.ownership import Claimed, Ownership
from ragworttiller.scheduling.ownership.renewals import Renewals
from ragworttiller.scheduling.ownership.standbys import NoStandbys, Standbys
from ragworttiller.scheduling.ownership.succession import Inherited, Succession
from ragworttiller.scheduling.ownership.term import ClaimFold, Term
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS, MAX_EPOCH, OWNER, Claim
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.retention import Retention
from ragworttiller.scheduling.state.owned_cell import LEASE_SECONDS, Cell
from ragworttiller.scheduling.state.work_items import item_fields, items_at_work

log = logging.getLogger(__name__)

JOBS_READ_INTERVAL_SECONDS = 0.15
OWNER_JOBS_READ_INTERVAL_SECONDS = 0.03
CLAIM_RETRY_INTERVAL_SECONDS = 0.3
# Successor of a release after which any entry may claim.
ANY_ENTRY = ""
DEFAULT_SETTLE_SECONDS = 2.0
ENDED_JOB_QUERY_SECONDS = 120.0


class CellHost:
    """Claims the cell for one entry, and runs the owner while the entry owns the cell.

    Parameters
    ----------
    store : Store
        The platform's store.
    config : QueueFold
        Current configuration.
    advice : Advice
        Calls the advisor, through this entry and others.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    incarnation : int
        Number that identifies this start of the instance.
    longest_lease : float
        Longest lease that runners accept, in seconds.
    connect : Callable
        Returns the client of a runner, given its identifier and address.
    status_seconds : float
        Seconds for which callers can query the state of an ended job.
    standbys : Standbys, optional
        Entries that receive heartbeats while this one owns the cell; none by default.
    policies : Callable
        Returns new scheduling policies for an owner; by default those of the default settings.
    address : str
        Address at which this instance listens for its peers.
    earlier_owner : EarlierOwner, optional
        Asks the earlier owner after a takeover; by default its term is waited out.
    measures_pressure : bool
        Whether the claims of an owner tell how long a new job waits.

    Attributes
    ----------
    jobs : JobFold
        Jobs recorded in the store.
    claims : ClaimFold
        Last claim.
    figures : OwnerFigures
        What the owner measures while this entry owns the cell.
    jobs_feed, claims_feed : Feed
        Feeds of the jobs and of the claims; run by the entry.
    on_claims_read : Callable
        Called after claims or renewals were read.
    """

    def __init__(
        self,
        store: Store,
        config: QueueFold,
        advice: Advice,
        clock: Clock,
        name: str,
        incarnation: int,
        longest_lease: float = LEASE_SECONDS,
        connect: Callable[[str, str], RunnerClient] = RunnerClient,
        status_seconds: float = ENDED_JOB_QUERY_SECONDS,
        standbys: Standbys | None = None,
        policies: Callable[[], CellPolicies] = default_policies,
        address: str = "",
        earlier_owner: EarlierOwner | None = None,
        measures_pressure: bool = False,
    ) -> None:
        self._measures_pressure = measures_pressure
        self._address = address
        self._earlier_owner = earlier_owner or UnreachableEarlierOwner()
        self._later_epoch = 0
        self._policies = policies
        self._store = store
        self._config = config
        self._advice = advice
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._lease = min(LEASE_SECONDS, longest_lease)
        self._connect = connect
        self._status_seconds = status_seconds
        self._standbys = standbys or NoStandbys()
        self._owner: Owner | None = None
        self._renewals: Renewals | None = None
        self._claiming = False
        self._claim_read_at: float | None = None
        self._stopping = anyio.Event()
        self._successor = ANY_ENTRY
        self._settle_seconds = DEFAULT_SETTLE_SECONDS
        self.jobs = JobFold()
        self.claims = ClaimFold()
        self.figures = OwnerFigures(lambda: self._owner, clock)
        self.on_claims_read: Callable[[], None] = lambda: None
        self.jobs_feed = Feed(
            store, JOBS, self.jobs, clock, JOBS_READ_INTERVAL_SECONDS, self._jobs_changed
        )
        self.claims_feed = Feed(
            store,
            OWNER,
            self.claims,
            clock,
            on_change=self._claim_changed,
            poll_seconds=POLL_SECONDS,
            on_empty_poll=self._claim_poll_empty,
        )
        self._ownership = Ownership(
            store, self.claims_feed, self.claims, clock, name, incarnation, address, self._lease
        )

    @property
    def owner(self) -> Owner | None:
        """Running owner, None while this entry does not own the cell."""
        return self._owner

    @property
    def seconds_since_renewal(self) -> float:
        """Seconds since a claim or a renewal was read, -1 before the first."""
        return -1.0 if self._claim_read_at is None else self._clock.now() - self._claim_read_at

    @property
    def gives_orders(self) -> bool:
        """Whether this entry may give orders as the owner of the cell now."""
        renewals = self._renewals
        return self._owner is not None and renewals is not None and renewals.term.valid

    @property
    def holds_cell(self) -> bool:
        """Whether the cell was claimed by this entry, and neither lost nor released since.

        A claim under way counts, since it may be stored.
        """
        return self._claiming or self._renewals is not None

    async def run(self) -> None:
        """Claim the cell whenever it may be claimed, until cancelled or stopped."""
        while not self._stopping.is_set():
            try:
                await self._claim_once()
            except RagworttillerError as exc:
                log.warning("claim of the cell failed", extra={"why": exc.code})
                await self._clock.sleep(CLAIM_RETRY_INTERVAL_SECONDS)
            except Exception as exc:
                extra = item_fields(items_at_work(exc))
                log.exception("ownership ended by an unexpected error", extra=extra)
                await self._clock.sleep(CLAIM_RETRY_INTERVAL_SECONDS)

    async def _claim_once(self) -> None:
        """Wait until the cell may be claimed, claim it, and hold it until the term ends."""
        previous = await self._ownership.wait_claimable()
        if previous is not None:
            if self._stopping.is_set() or await self._only_seems_lost(previous):
                return
            if self._stopping.is_set() or not await self._wait_turn(previous):
                return
        if self._stopping.is_set():
            return
        await self._claim_and_hold(previous)

    async def _claim_and_hold(self, previous: Claim | None) -> None:
        """Claim the cell, and hold it until the term ends; the runners are read meanwhile."""
        runners, failure = ListedRunners(self._store, self._clock), None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runners.load)
            try:
                claimed = await self._claim(previous)
                if claimed is not None:
                    await self._hold(claimed, runners)
            except RagworttillerError as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def stop(self, successor: str, timeout: float = DEFAULT_SETTLE_SECONDS) -> None:
        """Stop claiming, and release the ownership to another entry.

        The owner acts until its last append has a result, for at most ``timeout`` seconds.
        """
        self._successor, self._settle_seconds = successor, timeout
        self._stopping.set()

    def record_heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat of the owner."""
        self._ownership.record_heartbeat(heartbeat)

    def record_later_owner(self, epoch: int) -> None:
        """Record that another entry owns the cell: this one no longer acts under earlier epochs."""
        if epoch > MAX_EPOCH:
            log.error("owner of an epoch out of range ignored", extra={"epoch": epoch})
            return
        self._later_epoch = max(self._later_epoch, epoch)
        self._end_if_superseded()

    def acts_as_owner(self, epoch: int) -> bool:
        """Return whether this entry owns the cell with an epoch, and renews its term.

        It does so from the claim on, also while it still takes the cell over.
        """
        if self._renewals is None or self._renewals.term.epoch != epoch:
            return False
        return self._renewals.term.seems_alive(self.figures.lag)

    async def _claim(self, previous: Claim | None) -> Claimed | None:
        self._claiming = True
        try:
            return await self._ownership.claim(previous)
        finally:
            self._claiming = False

    async def _only_seems_lost(self, claim: Claim) -> bool:
        """Return whether the owner that wrote a claim says that it acts: it may only be busy."""
        if claim.released or claim.owner == self._name:
            return False
        acting = await self._earlier_owner.is_acting(claim)
        extra = {"owner": claim.owner, "epoch": claim.epoch, "acting": acting}
        log.info("owner that seems lost was asked", extra=extra)
        return acting

    async def _wait_turn(self, previous: Claim) -> bool:
        """Wait until this entry may claim; return whether no other entry has claimed before it."""
        if previous.owner == self._name or previous.successor == self._name:
            return True
        return await self._ownership.wait_turn(previous, self._standbys.rank_after(previous.owner))

    async def _hold(self, claimed: Claimed, runners: ListedRunners) -> None:
        """Hold the cell until the term ends: renew the claim, take over, and act as the owner."""
        term = claimed.term
        self._renewals = renewals = self._ownership.renewals(claimed, self._standbys)
        self._end_if_superseded()
        succession = Succession(
            claimed,
            self._ownership,
            runners,
            self.jobs_feed,
            self.jobs,
            self._earlier_owner,
            self._lease,
            self._clock,
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(succession.ask_earlier_owner)
                tasks.start_soon(self._take_over, succession, renewals, claimed)
                tasks.start_soon(self._release_when_stopped, renewals)
                await renewals.run()
                tasks.cancel_scope.cancel()
        finally:
            self._renewals = None
            succession.takeover_log.record_end()
        log.info("ownership ended", extra={"epoch": term.epoch})

    async def _take_over(
        self, succession: Succession, renewals: Renewals, claimed: Claimed
    ) -> None:
        """Take the cell over and act as its owner; if that fails, let any entry claim."""
        extra, began_at, failures = {"epoch": renewals.term.epoch}, self._clock.now(), 0
        try:
            inherited = await succession.complete()
            await self._act_as_owner(inherited, renewals, claimed.claim)
        except RagworttillerError as exc:
            log.warning("takeover of the cell failed", extra={**extra, "why": exc.code})
        except Exception as exc:
            # The entry goes on serving callers.
            failures = failures_in_a_row(claimed.previous, self._clock.now() - began_at)
            record_owner_failure(exc, renewals.term.epoch, failures)
        renewals.release(ANY_ENTRY, failures=failures)

    async def _release_when_stopped(self, renewals: Renewals) -> None:
        await self._stopping.wait()
        settled, owner, stopped_at = False, self._owner, self._clock.now()
        if owner is not None:
            with self._clock.move_on_after(self._settle_seconds):
                settled = await owner.settle_records()
        extra = {
            "epoch": renewals.term.epoch,
            "successor": self._successor,
            "acting": owner is not None,
            "settled": settled,
            "seconds": round(self._clock.now() - stopped_at, 3),
        }
        log.info("release of the cell begins", extra=extra)
        renewals.release(self._successor, settled)

    async def _act_as_owner(self, inherited: Inherited, renewals: Renewals, stored: Claim) -> None:
        """Act as the owner until cancelled, after the claim that is ``stored``."""
        self._owner = owner = self._new_owner(renewals.term, inherited)
        self.jobs_feed.min_interval = OWNER_JOBS_READ_INTERVAL_SECONDS
        try:
            await owner.run(renewals, stored)
        finally:
            self._owner = None
            self.jobs_feed.min_interval = JOBS_READ_INTERVAL_SECONDS

    def _new_owner(self, term: Term, inherited: Inherited) -> Owner:
        cell = Cell(
            term.epoch,
            self.jobs,
            self._config,
            inherited.runners.fold,
            inherited.takeover,
            self._lease,
            self._policies(),
            measures_pressure=self._measures_pressure,
        )
        inherited.runners.feed.on_change = self._runners_changed
        return Owner(
            cell,
            term,
            self._store,
            self.jobs_feed,
            inherited.runners.feed,
            self._advice,
            self._clock,
            self._name,
            self._incarnation,
            inherited.takeover_log,
            self._address,
            self._connect,
            Retention(self.jobs, self._status_seconds),
        )

    def _jobs_changed(self) -> None:
        self._end_if_superseded()
        if self._owner is not None:
            self._owner.request_plan()
        else:
            self.jobs.touched.clear()

    def _runners_changed(self) -> None:
        if self._owner is not None:
            self._owner.request_plan()

    def _claim_changed(self) -> None:
        self._claim_read_at = self._clock.now()
        self._end_if_superseded()
        self._ownership.record_claim()
        self.on_claims_read()

    def _end_if_superseded(self) -> None:
        """End the term before its owner acts on anything read after a later owner's claim."""
        if self._renewals is None:
            return
        term = self._renewals.term
        term.end_if_superseded(self._later_epoch, "peer")
        term.end_if_superseded(self.jobs.owner_epoch, "jobs")
        if self.claims.claim is not None:
            term.end_if_superseded(self.claims.claim.epoch, "claims")

    def _claim_poll_empty(self) -> None:
        self._ownership.record_empty_poll()
