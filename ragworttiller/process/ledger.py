"""Owner side of one shard of idempotency keys: licenses, sends and outcomes.

The task that commits an intent sends the request only after it has read the intent back as valid,
and never after the attempt was given up.
"""

from __future__ import annotations

import logging

import anyio
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import (
    AppendUndecided,
    KeyReused,
    KeyUnknown,
    LogUnavailable,
    NotOwner,
    NotReady,
)
from ragworttiller.messages import BurnAttempt, LicensedAnswer, LicensedRequest, OutcomeLookup
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.ledger_upkeep import (
    DEFAULT_LIMITS,
    MAX_BUDGET_SECONDS,
    LedgerLimits,
    LedgerUpkeep,
)
from ragworttiller.process.licensed_attempts import (
    COMMIT_TIMEOUT_SECONDS,
    Attempt,
    AttemptRunner,
    Stage,
    known_answer,
    not_run,
    outcome_unknown,
    replay,
    request_digest,
)
from ragworttiller.process.membership import Membership
from ragworttiller.process.shards import ShardService
from ragworttiller.process.snapshots import SnapshotWriter
from ragworttiller.process.stream import Stream
from ragworttiller.records import GiveUp
from ragworttiller.request.sender import Sender
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

READY_WAIT_SECONDS = 2.0
OUTAGE_CHECK_SECONDS = 0.1
FLUSH_TIMEOUT_SECONDS = 2.0
END_WAIT_MARGIN_SECONDS = 0.25
UPKEEP_PERIOD_SECONDS = 5.0


class Ledger(ShardService):
    """Licenses and sends the non-idempotent requests of one shard.

    Parameters
    ----------
    stream : Stream
        The shard's stream, whose fold is a `LedgerFold`.
    sender : Sender
        Sends licensed requests.
    membership : Membership
        Provides the name of this instance.
    timers : TimerService
        Source of time.
    decisions : DecisionLog
        Receives a decision for each refusal; the sender records those of sends.
    limits : LedgerLimits
        Key window and maximum number of keys.
    """

    def __init__(
        self,
        stream: Stream,
        sender: Sender,
        membership: Membership,
        timers: TimerService,
        decisions: DecisionLog,
        limits: LedgerLimits = DEFAULT_LIMITS,
    ) -> None:
        assert isinstance(stream.fold, LedgerFold)
        self._stream = stream
        self._fold: LedgerFold = stream.fold
        self._instance = membership.instance
        self._timers = timers
        self._limits = limits
        self._runner = AttemptRunner(stream, sender, timers, decisions)
        self._snapshots = SnapshotWriter(stream, timers, limits.retention)
        self._upkeep = LedgerUpkeep(stream, timers, limits, self._runner)
        self._attempts: dict[str, Attempt] = {}
        self._tasks: TaskGroup | None = None
        self._stopping = False

    @property
    @override
    def ready(self) -> bool:
        return self._stream.ready and not self._stopping

    @property
    def stream(self) -> Stream:
        """Stream of the shard."""
        return self._stream

    @property
    def in_progress(self) -> int:
        """Number of attempts in progress."""
        return len(self._attempts)

    @override
    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._stream.run)
                tasks.start_soon(self._snapshots.run)
                await self._stream.wait_ready()
                async for _ in self._timers.ticks(UPKEEP_PERIOD_SECONDS):
                    if self._stream.ready and self._stream.log_up:
                        self._upkeep.expire_keys()
                        self._upkeep.release_orphaned_licenses(set(self._attempts))
        finally:
            self._stopping = True
            self._tasks = None

    @override
    async def hand_over(self) -> None:
        self._stopping = True
        latest = max((attempt.deadline for attempt in self._attempts.values()), default=0.0)
        timeout = max(0.0, latest - self._timers.now()) + FLUSH_TIMEOUT_SECONDS
        with self._timers.move_on_after(timeout):
            for attempt in list(self._attempts.values()):
                await attempt.removed.wait()
            await self._stream.flush()

    async def submit(self, request: LicensedRequest) -> LicensedAnswer:
        """License and send a request, or return the recorded answer of its key.

        Raises
        ------
        NotOwner, NotReady
            This owner did not accept the request.
        NotRun
            The request did not run.
        OutcomeUnknown
            The request, or an earlier one with its key, may have run.
        KeyReused
            The key was used with another request.
        """
        body_digest = request_digest(request)
        deadline = self._timers.now() + min(request.budget, MAX_BUDGET_SECONDS)
        try:
            await self._wait_ready(deadline)
        except NotReady:
            if self._stream.log_up:
                raise
            raise self._runner.record_refusal(request, "the log is down") from None
        attempt = await self._find_attempt(request, deadline)
        if attempt is not None:
            if attempt.body_digest != body_digest:
                raise KeyReused(key=request.key)
            return await self._wait_for_end(attempt, deadline, replayed=True)
        recorded = known_answer(self._fold, request.key, body_digest)
        if recorded is not None:
            return recorded
        self._check_capacity(request)
        attempt = Attempt(request, body_digest, deadline)
        self._start(attempt)
        return await self._wait_for_end(attempt, deadline, replayed=False)

    async def burn(self, message: BurnAttempt) -> LicensedAnswer:
        """Return the recorded answer of an attempt whose call was lost, or burn the attempt.

        A burnt attempt can never be licensed.

        Raises
        ------
        NotRun
            The attempt has no license and can never get one.
        OutcomeUnknown
            The attempt may have run.
        """
        await self._wait_ready_or_unknown(message.key)
        attempt = self._attempts.get(message.key)
        if attempt is not None and attempt.request.attempt == message.attempt:
            return self._burn_in_progress(attempt)
        recorded = self._recorded_answer(message)
        if recorded is not None:
            return recorded
        await self._commit_burn(message)
        if message.attempt in self._fold.burnt:
            raise not_run(message.key, "the call to its owner was lost")
        recorded = self._recorded_answer(message)
        if recorded is not None:
            return recorded
        raise outcome_unknown(message.key)

    async def lookup(self, message: OutcomeLookup) -> LicensedAnswer:
        """Return the recorded answer of a key.

        Raises
        ------
        KeyUnknown
            No request with the key was licensed within the key window.
        OutcomeUnknown
            A request with the key may have run.
        """
        await self._wait_ready_or_unknown(message.key)
        attempt = self._attempts.get(message.key)
        if attempt is not None and attempt.answer is not None:
            return attempt.answer._replace(replayed=True)
        current = message.key in self._fold.settled or await self._stream.refresh(
            COMMIT_TIMEOUT_SECONDS
        )
        settled = self._fold.settled.get(message.key)
        if settled is not None:
            return replay(settled)
        in_progress = message.key in self._attempts or message.key in self._fold.licenses
        if in_progress or not current:
            raise outcome_unknown(message.key)
        raise KeyUnknown(key=message.key)

    async def _wait_ready_or_unknown(self, key: str) -> None:
        try:
            await self._wait_ready(self._timers.now() + READY_WAIT_SECONDS)
        except NotReady:
            if self._stream.log_up:
                raise
            raise outcome_unknown(key) from None

    async def _wait_ready(self, deadline: float) -> None:
        if self._stopping:
            raise NotOwner(instance=self._instance, shard=self._stream.name)
        until = min(deadline, self._timers.now() + READY_WAIT_SECONDS)
        while not self._stream.ready and self._stream.log_up:
            remaining = until - self._timers.now()
            if remaining <= 0:
                break
            with self._timers.move_on_after(min(remaining, OUTAGE_CHECK_SECONDS)):
                await self._stream.wait_ready()
        if self._stopping or self._tasks is None or not self._stream.ready:
            raise NotReady(instance=self._instance, reason=f"{self._stream.name} is behind")

    async def _find_attempt(self, request: LicensedRequest, deadline: float) -> Attempt | None:
        """Return the attempt in progress for a key, once a given-up one has been removed."""
        while (attempt := self._attempts.get(request.key)) is not None:
            if attempt.stage is not Stage.GIVEN_UP:
                return attempt
            wait = min(COMMIT_TIMEOUT_SECONDS, deadline - self._timers.now())
            if self._stream.log_up:
                with self._timers.move_on_after(wait):
                    await attempt.removed.wait()
            if not attempt.removed.is_set():
                raise self._runner.record_refusal(request, "an earlier attempt is being given up")
            await self._wait_ready(deadline)
        return None

    async def _wait_for_end(
        self, attempt: Attempt, deadline: float, replayed: bool
    ) -> LicensedAnswer:
        with self._timers.move_on_after(deadline - self._timers.now() + END_WAIT_MARGIN_SECONDS):
            await attempt.ended.wait()
        if attempt.error is not None:
            raise attempt.error
        if attempt.answer is None:
            raise outcome_unknown(attempt.request.key)
        return attempt.answer._replace(replayed=True) if replayed else attempt.answer

    async def _commit_burn(self, message: BurnAttempt) -> None:
        """Commit a give-up under a name that holds no license, so that it releases none."""
        give_up = GiveUp(
            self._stream.record_id(),
            message.key,
            message.attempt,
            f"{self._stream.writer}/burn",
            message.at,
        )
        try:
            await self._stream.commit(give_up, COMMIT_TIMEOUT_SECONDS)
        except (LogUnavailable, AppendUndecided) as exc:
            raise outcome_unknown(message.key) from exc

    def _recorded_answer(self, message: BurnAttempt) -> LicensedAnswer | None:
        settled = self._fold.settled.get(message.key)
        if settled is not None and settled.attempt == message.attempt:
            return replay(settled)
        held = self._fold.licenses.get(message.key)
        if held is not None and held.attempt == message.attempt:
            raise outcome_unknown(message.key)
        return None

    def _burn_in_progress(self, attempt: Attempt) -> LicensedAnswer:
        if attempt.answer is not None:
            return attempt.answer._replace(replayed=True)
        if attempt.give_up():
            raise not_run(attempt.request.key, "the call to its owner was lost")
        raise outcome_unknown(attempt.request.key)

    def _check_capacity(self, request: LicensedRequest) -> None:
        if not self._stream.log_up:
            raise self._runner.record_refusal(request, "the log is down")
        if self._fold.size + len(self._attempts) >= self._limits.max_keys:
            raise self._runner.record_refusal(request, "the shard has reached its key limit")

    def _start(self, attempt: Attempt) -> None:
        assert self._tasks is not None
        self._attempts[attempt.request.key] = attempt
        self._tasks.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            await self._runner.run(attempt)
        finally:
            del self._attempts[attempt.request.key]
            attempt.removed.set()
