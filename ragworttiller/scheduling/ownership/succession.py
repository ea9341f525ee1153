"""Steps between a stored claim and the first decision of its owner."""

from __future__ import annotations

import logging
from typing import NamedTuple

import anyio

from ragworttiller.exceptions import LogUnavailable, RagworttillerError
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.earlier_owner import EarlierOwner
from ragworttiller.scheduling.ownership.listed_runners import ListedRunners
from ragworttiller.scheduling.ownership.ownership import Claimed, Ownership
from ragworttiller.scheduling.ownership.takeover_log import Step, TakeoverLog
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.state.takeover import Takeover

log = logging.getLogger(__name__)

EARLIER_OWNER_RETRY_SECONDS = 0.3
# More than the longest queue of appends at the store, with repetitions of refused ones.
FENCE_TIMEOUT_SECONDS = 10.0
FENCE_CHECK_SECONDS = 0.05
# A store may refuse reads, or send the jobs page by page, for as long.
JOBS_READ_TIMEOUT_SECONDS = 10.0
JOBS_READ_RETRY_SECONDS = 0.2


class Inherited(NamedTuple):
    """What a new owner begins with: the runners, and what it must wait for."""

    takeover: Takeover
    runners: ListedRunners
    takeover_log: TakeoverLog


class Succession:
    """Fences earlier owners, reads the jobs, and asks the earlier owner for its end.

    Each step takes as long as the store does. They overlap as far as they do not depend on each
    other, and meanwhile the claim is renewed by `Renewals`.

    Parameters
    ----------
    claimed : Claimed
        The claim.
    ownership : Ownership
        Fences earlier owners.
    runners : ListedRunners
        Runners, whose load has begun.
    jobs_feed : Feed
        Feed of the jobs, which the entry runs.
    jobs : JobFold
        Jobs read by that feed.
    earlier_owner : EarlierOwner
        Asks the earlier owner.
    lease : float
        Duration of the leases that owners grant, in seconds.
    clock : Clock
        Source of time.

    Attributes
    ----------
    takeover_log : TakeoverLog
        Logs the steps.
    """

    def __init__(
        self,
        claimed: Claimed,
        ownership: Ownership,
        runners: ListedRunners,
        jobs_feed: Feed,
        jobs: JobFold,
        earlier_owner: EarlierOwner,
        lease: float,
        clock: Clock,
    ) -> None:
        self._claimed = claimed
        self._ownership = ownership
        self._runners = runners
        self._jobs_feed = jobs_feed
        self._jobs = jobs
        self._earlier_owner = earlier_owner
        self._lease = lease
        self._clock = clock
        self.takeover_log = TakeoverLog(claimed, clock)
        self._owner_ended_at: float | None = None
        self._takeover: Takeover | None = None
        self._read_fence_end = 0

    async def complete(self) -> Inherited:
        """Make all steps that have to precede the first decision.

        Raises
        ------
        LogUnavailable, AppendUndecided
            Earlier owners were not fenced in time, or the jobs cannot be read.
        AppendFenced
            A later owner has claimed.
        """
        known_before = await self._fence_and_read_jobs()
        await self._runners.wait_load_ended()
        return Inherited(self._begin_takeover(known_before), self._runners, self.takeover_log)

    async def ask_earlier_owner(self) -> None:
        """Ask the earlier owner to state its end, as long as runners have to be waited for."""
        previous, epoch = self._claimed.previous, self._claimed.term.epoch
        if previous is None or previous.released:
            return
        while self._takeover is None or self._takeover.unresolved:
            if await self._earlier_owner.has_ended(previous, epoch):
                log.info("earlier owner has ended", extra={"owner": previous.owner, "epoch": epoch})
                self._record_owner_ended()
                return
            await self._clock.sleep(EARLIER_OWNER_RETRY_SECONDS)

    def _record_owner_ended(self) -> None:
        self._owner_ended_at = self._clock.now()
        if self._takeover is not None:
            self._takeover.record_owner_ended(self._owner_ended_at)

    async def _fence_and_read_jobs(self) -> int:
        """Fence earlier owners and read the jobs that they may know; return where these end.

        An owner that has released the cell with no append under way is fenced by the first append.
        """
        began_at, epoch = self._clock.now(), self._claimed.term.epoch
        previous = self._claimed.previous
        jobs_end = previous.jobs_end if previous is not None and previous.released else 0
        needs_fence = not jobs_end
        if needs_fence:
            jobs_end = await self._fence()
        fenced_at = self._clock.now()
        self.takeover_log.record(Step.FENCED)
        await self._read_jobs(jobs_end)
        self.takeover_log.record(Step.JOBS_READ)
        extra = {
            "epoch": epoch,
            "jobs_end": jobs_end,
            "fence_appended": needs_fence,
            "fence": round(fenced_at - began_at, 3),
            "read": round(self._clock.now() - fenced_at, 3),
        }
        log.info("earlier owners fenced", extra=extra)
        return max(jobs_end, self._jobs_feed.loaded_end)

    async def _fence(self) -> int:
        """Fence earlier owners and return the end of the record, by its answer or once it is read.

        The answer may be lost, or come later than a call waits for it.
        """
        end, failure = 0, None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_once_fence_read, tasks.cancel_scope)
            try:
                end = await self._ownership.fence_jobs(
                    self._claimed.term.epoch, FENCE_TIMEOUT_SECONDS
                )
            except RagworttillerError as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return end or self._read_fence_end

    async def _cancel_once_fence_read(self, scope: anyio.CancelScope) -> None:
        """Stop waiting for an answer once the record is read: only this owner writes its epoch."""
        epoch = self._claimed.term.epoch
        while self._jobs.owner_epoch != epoch:
            await self._clock.sleep(FENCE_CHECK_SECONDS)
        self._read_fence_end = self._jobs.owner_change_end
        log.info("fence read among the jobs", extra={"epoch": epoch, "end": self._read_fence_end})
        scope.cancel()

    async def _read_jobs(self, end: int) -> None:
        """Read the jobs up to an offset; one refused or late read is no reason to give up."""
        deadline = self._clock.now() + JOBS_READ_TIMEOUT_SECONDS
        while self._jobs_feed.position < end:
            try:
                await self._jobs_feed.catch_up()
                return
            except LogUnavailable as exc:
                extra = {"epoch": self._claimed.term.epoch, "end": end, "why": exc.code}
                log.info("jobs not read in a takeover", extra=extra)
                if self._clock.now() >= deadline:
                    raise
                await self._clock.sleep(JOBS_READ_RETRY_SECONDS)

    def _begin_takeover(self, known_before: int) -> Takeover:
        claimed, now = self._claimed, self._clock.now()
        previous, age = claimed.previous, now - claimed.previous_read_at
        term_left = max(previous.term - age, 0.0) if previous is not None else 0.0
        takeover = Takeover(previous, known_before, now, term_left, self._lease, age)
        if self._owner_ended_at is not None:
            takeover.record_owner_ended(self._owner_ended_at)
        self._takeover = takeover
        return takeover
