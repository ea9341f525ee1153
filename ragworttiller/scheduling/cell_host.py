"""Part of an entry that claims the cell when it is vacant, and works as its owner."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.platform.store import RUNNERS_TOPIC, Partition, Store
from ragworttiller.scheduling.advice import Advice
from ragworttiller.scheduling.cell import LEASE_SECONDS, Cell
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.feed import Feed
from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.owner import Owner
from ragworttiller.scheduling.owner_watch import POLL_SECONDS, OwnerHeartbeat
from ragworttiller.scheduling.ownership import Claimed, Ownership
from ragworttiller.scheduling.records import JOBS, OWNER
from ragworttiller.scheduling.retention import Retention
from ragworttiller.scheduling.runner_fold import RunnerFold
from ragworttiller.scheduling.standbys import Standbys
from ragworttiller.scheduling.takeover import Takeover
from ragworttiller.scheduling.term import TERM_SECONDS, OwnerFold

log = logging.getLogger(__name__)

JOBS_PACE_SECONDS = 0.15
OWNER_JOBS_PACE_SECONDS = 0.03
RUNNERS_PACE_SECONDS = 0.4
CLAIM_RETRY_SECONDS = 0.3
STATUS_SECONDS = 120.0


class CellHost:
    """Ownership of the cell at one entry.

    Parameters
    ----------
    store : Store
        The platform's store.
    config : ConfigFold
        Configuration in force.
    advice : Advice
        Calls the advisor, through this entry and others.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    incarnation : int
        Number of this start of the instance.
    longest_lease : float
        Longest lease that runners take, in seconds.
    connect : Callable
        Returns the client of a runner, given its identifier and address.
    status : float
        Seconds for which callers may ask for the state of an ended job.
    standbys : Standbys, optional
        Entries that hear of this one while it owns the cell; none without it.

    Attributes
    ----------
    jobs : JobFold
        Jobs that the store holds.
    claims : OwnerFold
        Last claim.
    jobs_feed, claims_feed : Feed
        Their feeds, which the entry runs.
    """

    def __init__(
        self,
        store: Store,
        config: ConfigFold,
        advice: Advice,
        clock: Clock,
        name: str,
        incarnation: int,
        longest_lease: float = LEASE_SECONDS,
        connect: Callable[[str, str], RunnerClient] = RunnerClient,
        status: float = STATUS_SECONDS,
        standbys: Standbys | None = None,
    ) -> None:
        self._store = store
        self._config = config
        self._advice = advice
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._lease = min(LEASE_SECONDS, longest_lease)
        self._connect = connect
        self._status = status
        self._standbys = standbys
        self._owner: Owner | None = None
        self._claim_read_at: float | None = None
        self._stopping = False
        self.jobs = JobFold()
        self.claims = OwnerFold()
        self.jobs_feed = Feed(store, JOBS, self.jobs, clock, JOBS_PACE_SECONDS, self._jobs_changed)
        self.claims_feed = Feed(
            store,
            OWNER,
            self.claims,
            clock,
            changed=self._claim_changed,
            poll=POLL_SECONDS,
            silent=self._silence,
        )
        self._ownership = Ownership(store, self.claims_feed, self.claims, clock, name, incarnation)

    @property
    def owner(self) -> Owner | None:
        """Work as the owner, None while another entry owns the cell."""
        return self._owner

    @property
    def seconds_since_renewal(self) -> float:
        """Seconds since a claim or a renewal was read, -1 before the first."""
        return -1.0 if self._claim_read_at is None else self._clock.now() - self._claim_read_at

    async def run(self) -> None:
        """Claim the cell whenever it is vacant, until cancelled or stopped."""
        while True:
            before = await self._ownership.wait_vacant()
            if self._stopping:
                return
            try:
                claimed = await self._ownership.claim(before)
                if claimed is not None:
                    await self._own(claimed)
            except RagworttillerError as exc:
                log.warning("claim failed", extra={"why": exc.code})
                await self._clock.sleep(CLAIM_RETRY_SECONDS)

    def stop(self, successor: str) -> None:
        """Claim no more, and hand the ownership to another entry."""
        self._stopping = True
        if self._owner is not None:
            self._ownership.release(successor)

    def heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Record a heartbeat of the owner."""
        self._ownership.heartbeat(heartbeat)

    async def _own(self, claimed: Claimed) -> None:
        """Own the cell until the term ends."""
        term = claimed.term
        await self.jobs_feed.catch_up()
        now = self._clock.now()
        takeover = Takeover(claimed.before, claimed.jobs_end, now, TERM_SECONDS, self._lease)
        runners = RunnerFold()
        cell = Cell(term.epoch, self.jobs, self._config, runners, takeover, self._lease)
        listing = Partition(RUNNERS_TOPIC)
        feed = Feed(
            self._store, listing, runners, self._clock, RUNNERS_PACE_SECONDS, self._runners_changed
        )
        self._owner = Owner(
            cell,
            term,
            self._store,
            self.jobs_feed,
            feed,
            self._advice,
            self._clock,
            self._name,
            self._incarnation,
            self._connect,
            Retention(self.jobs, self._status),
            self._standbys,
        )
        self.jobs_feed.pace = OWNER_JOBS_PACE_SECONDS
        try:
            await self._owner.run(self._ownership)
        finally:
            self._owner = None
            self.jobs_feed.pace = JOBS_PACE_SECONDS

    def _jobs_changed(self) -> None:
        if self._owner is not None:
            self._owner.wake()
        else:
            self.jobs.touched.clear()

    def _runners_changed(self) -> None:
        if self._owner is not None:
            self._owner.wake()

    def _claim_changed(self) -> None:
        claim = self.claims.claim
        self._claim_read_at = self._clock.now()
        if self._owner is not None and claim is not None:
            self._owner.superseded_by(claim)
        self._ownership.news()

    def _silence(self) -> None:
        self._ownership.silence()
