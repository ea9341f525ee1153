"""Handling of callers' requests: submissions, states, cancellations and counts."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.exceptions import (
    AppendRefused,
    AppendUndecided,
    CellFull,
    GangExceedsCap,
    JobNameTaken,
    JobUnknown,
    LogUnavailable,
    NotReady,
    QueueUnknown,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
)
from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.names import is_job_id
from ragworttiller.platform.store import KeyedRecord
from ragworttiller.platform.submissions import decode_job
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.caps import exceeds_cap
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.entry.confirmation import AlwaysConfirmed
from ragworttiller.scheduling.entry.key_check import DEFAULT_MAX_AGE_SECONDS, KeyCheck
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import (
    CANCEL_SUFFIX,
    Accepted,
    JobState,
    encode,
    encode_cancel,
)
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.job_fold import JobFold, JobRow
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.jobs import JobSpec
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

log = logging.getLogger(__name__)

# After a refusal by the store, requests are refused at once for this time instead of waiting.
REFUSAL_CACHE_SECONDS = 0.3
# Time for which an append that the store refuses at once is retried; a slow store refuses appends
# only while too many wait, and is retried for as long as the caller waits.
REFUSAL_RETRY_SECONDS = 0.6
# The store counts as out of reach when it has answered nothing during an append for longer.
MAX_SILENT_SECONDS = 0.7
RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 4.0
DEFAULT_MAX_BODY_BYTES = 262144
CATCH_UP_TIMEOUT_SECONDS = 1.0
# More than one entry accepts in the time for which callers repeat a submission.
MAX_ATTEMPTS_KEPT = 2000


class Target(NamedTuple):
    """Queue of a request, and the job it names; ``job`` is empty for the queue itself.

    ``workspace`` is the name of the workspace that calls, empty for an anonymous call.
    """

    queue: Queue
    job: str
    workspace: str = NO_WORKSPACE


class Acceptance:
    """Answers callers from the store's records.

    Parameters
    ----------
    config : QueueFold
        Current configuration.
    jobs : JobFold
        Jobs recorded in the store.
    feed : Feed
        Feed of the jobs.
    claims : ClaimFold
        Last claim, which has the counts of jobs that have not started.
    writer : GroupCommit
        Writer of this entry to the jobs.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    keys : KeyCheck, optional
        Checks API keys; by default by any configuration, however old.
    admission : AdmissionGate, optional
        Refuses new jobs while the cell is full; by default none is refused.
    """

    def __init__(
        self,
        config: QueueFold,
        jobs: JobFold,
        feed: Feed,
        claims: ClaimFold,
        writer: GroupCommit,
        clock: Clock,
        name: str,
        keys: KeyCheck | None = None,
        admission: AdmissionGate | None = None,
    ) -> None:
        self._name = name
        self._config = config
        self._jobs = jobs
        self._feed = feed
        self._claims = claims
        self._writer = writer
        self._clock = clock
        self._admission = admission
        # Jobs of which an append was begun here: it may have stored them, whatever was answered.
        self._attempted: dict[str, None] = {}
        self._keys = keys or KeyCheck(config, AlwaysConfirmed(), DEFAULT_MAX_AGE_SECONDS, name)

    @property
    def ready(self) -> bool:
        """Whether requests can be answered."""
        return self._config.current is not None and self._keys.ready and self._feed.ready

    @property
    def max_body(self) -> int:
        """Longest body of a request, in bytes."""
        return self._config.current.max_body if self._config.current else DEFAULT_MAX_BODY_BYTES

    @property
    def _store_out_of_reach(self) -> bool:
        """Whether an append would be refused or stay without a result, as far as is known."""
        writer = self._writer
        since_refusal = self._clock.now() - writer.refused_at
        if since_refusal < REFUSAL_CACHE_SECONDS and not writer.slow:
            return True
        return writer.silent_seconds > max(MAX_SILENT_SECONDS, 2 * writer.last_append_seconds)

    async def target(self, host: str, path: str, key: str = "") -> Target:
        """Return the queue and the job that a request addresses, and the workspace that calls.

        Raises
        ------
        NotReady
            The configuration or the jobs are not read yet.
        QueueUnknown
            No queue matches, or the path after its prefix is not a job identifier.
        ApiKeyUnknown
            The API key is not valid.
        ConfigurationUnconfirmed
            Whether the API key is valid is not known.
        """
        if not self.ready:
            reason = "the configuration or the jobs are not read yet"
            raise NotReady(instance=self._name, reason=reason, retry_after=RETRY_AFTER_SECONDS)
        caller = await self._keys.caller(host, path, key)
        job = path[len(caller.queue.prefix) :]
        if job and not is_job_id(job):
            raise QueueUnknown(host=host, path=path)
        return Target(caller.queue, job, caller.workspace)

    async def submit(self, target: Target, body: bytes, timeout: float) -> bool:
        """Store a job, and return whether that took an append.

        Repeated submissions with one identifier store the job once.

        Raises
        ------
        Unreadable, InvalidField
            The body is not a valid job.
        StoreDown
            The job was not accepted and never runs.
        SubmissionUndecided
            Whether the job was accepted is unknown.
        JobNameTaken
            Another workspace has submitted a job with this identifier.
        GangExceedsCap
            A gang of the job can never fit the cap of the workspace.
        CellFull
            The cell is full for the job, which was not stored.
        """
        deadline = self._clock.now() + timeout
        if self._is_stored(target):
            return False
        job = decode_job(body)
        workspace = self._config.workspaces.get(target.workspace)
        for number, step in enumerate(job.steps):
            if workspace is not None and exceeds_cap(workspace.cap, step):
                raise GangExceedsCap(job=target.job, step=number, cap=list(workspace.cap))
        if await self._repeats_a_job_or_is_admitted(target, job):
            return False
        self._remember_attempt(target.job)
        accepted = Accepted(target.queue, job, self._clock.wall(), target.workspace)
        record = KeyedRecord(target.job, encode(accepted))
        await self._append(target.job, record, deadline - self._clock.now())
        return True

    def _is_stored(self, target: Target) -> bool:
        """Return whether the job of a submission was read from the store."""
        row = self._jobs.get(target.job)
        if row is not None and not _may_use(target, row):
            raise JobNameTaken(job=target.job)
        return row is not None

    async def _repeats_a_job_or_is_admitted(self, target: Target, spec: JobSpec) -> bool:
        """Return whether a job is stored already; otherwise refuse it if the cell is full.

        A refusal has to be true, so it is preceded by a read of the store.
        """
        if self._admission is None or target.job in self._attempted:
            return False
        refusal = self._admission.refusal(target.queue, spec, target.workspace)
        if refusal is None:
            return False
        try:
            await self._refresh(target.job)
        except StateUnknown:
            return False
        if self._is_stored(target):
            return True
        self._admission.record_refusal(target.job, refusal)
        upstream = target.queue.upstream
        raise CellFull(job=target.job, upstream=upstream, retry_after=refusal.retry_after)

    def _remember_attempt(self, job: str) -> None:
        self._attempted[job] = None
        if len(self._attempted) > MAX_ATTEMPTS_KEPT:
            self._attempted.pop(next(iter(self._attempted)))

    async def state(self, target: Target, timeout: float) -> JobState:
        """Return the state of a job.

        Raises
        ------
        JobUnknown
            No such job was accepted.
        StateUnknown
            The store cannot be read within ``timeout`` seconds.
        """
        return (await self._row(target, timeout)).state

    async def cancel(self, target: Target, timeout: float) -> None:
        """Cancel a job, also one whose submission is still in flight.

        Raises
        ------
        JobUnknown
            No such job was accepted; if it is accepted later, it is cancelled.
        SubmissionUndecided, StoreDown
            Whether the cancellation was stored is unknown, or it was not stored.
        StateUnknown
            The store cannot be read to look the job up; the cancellation may have been stored.
        """
        row = self._jobs.get(target.job)
        if row is None and self._config.workspaces:
            # A record of this caller would replace the cancellation by the job's own workspace.
            await self._refresh(target.job)
            row = self._jobs.get(target.job)
        if row is not None and not _may_use(target, row):
            raise JobUnknown(job=target.job)
        if row is not None and (row.cancelled or row.progress.state):
            return
        record = KeyedRecord(target.job + CANCEL_SUFFIX, encode_cancel(target.workspace))
        await self._append(target.job, record, timeout)
        await self._row(target)

    def pending(self, target: Target) -> int:
        """Return the number of the queue's jobs of which no task has started.

        Jobs that the owner has not counted yet count as not started.
        """
        claim = self._claims.claim
        name = target.queue.key
        position = claim.position if claim else 0
        counted = claim.pending.get(name, 0) if claim else 0
        return counted + sum(
            row.offset >= position and row.accepted.queue.key == name
            for row in self._jobs.open_jobs.values()
            if row.accepted is not None
        )

    def _retry_after(self) -> float:
        """Return when to retry: an outage is expected to last as long again as it already has."""
        return min(max(self._writer.failing_seconds, RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)

    async def _append(self, job: str, record: KeyedRecord, timeout: float) -> None:
        queue_seconds = self._writer.longest_wait(timeout)
        if self._store_out_of_reach or queue_seconds <= 0:
            raise StoreDown(job=job, retry_after=self._retry_after())
        retry_seconds = timeout if self._writer.slow else REFUSAL_RETRY_SECONDS
        try:
            await self._writer.append([record], timeout, retry_seconds, queue_seconds)
        except AppendRefused:
            # It would be refused again.
            raise
        except LogUnavailable as exc:
            raise StoreDown(job=job, retry_after=self._retry_after()) from exc
        except AppendUndecided as exc:
            raise SubmissionUndecided(job=job, retry_after=RETRY_AFTER_SECONDS) from exc

    async def _row(self, target: Target, timeout: float = CATCH_UP_TIMEOUT_SECONDS) -> JobRow:
        """Return the row of a job that the caller may see."""
        job = target.job
        row = self._jobs.get(job)
        if row is None:
            await self._refresh(job, timeout)
            row = self._jobs.get(job)
        if row is None or not _may_use(target, row):
            raise JobUnknown(job=job)
        return row

    async def _refresh(self, job: str, timeout: float = CATCH_UP_TIMEOUT_SECONDS) -> None:
        try:
            with self._clock.move_on_after(min(timeout, CATCH_UP_TIMEOUT_SECONDS)) as scope:
                await self._feed.catch_up()
        except LogUnavailable as exc:
            raise StateUnknown(job=job, retry_after=RETRY_AFTER_SECONDS) from exc
        if scope.cancelled_caught:
            raise StateUnknown(job=job, retry_after=RETRY_AFTER_SECONDS)


def _may_use(target: Target, row: JobRow) -> bool:
    """Return whether the caller may see or cancel a job: one of its workspace, or of none."""
    owner = row.accepted.workspace if row.accepted is not None else NO_WORKSPACE
    return owner in (NO_WORKSPACE, target.workspace)
