"""Attempts at non-idempotent requests: license, send once, record the end."""

from __future__ import annotations

import logging
from enum import StrEnum

import anyio

from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.exceptions import (
    AppendUndecided,
    KeyReused,
    LogUnavailable,
    NoRunner,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    RagworttillerError,
    RunnerRefused,
)
from ragworttiller.hashing import digest
from ragworttiller.messages import LicensedAnswer, LicensedRequest
from ragworttiller.process.fold import Committed
from ragworttiller.process.ledger_fold import LedgerFold, Settled
from ragworttiller.process.stream import Stream
from ragworttiller.records import GiveUp, Intent, Outcome
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.services.runner import Exchange
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

COMMIT_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 2.0
MAX_RECORDED_BODY_BYTES = 4096
MAX_RECORDED_BYTES_PER_SHARD = 1024 * 1024


class Stage(StrEnum):
    """Stage of an attempt; it leaves `SENDING` only with proof that no byte was sent."""

    LICENSING = "licensing"
    SENDING = "sending"
    GIVEN_UP = "given_up"


class Attempt:
    """Attempt in progress at the owner of its key.

    Parameters
    ----------
    request : LicensedRequest
        What to send.
    body_digest : bytes
        Digest that distinguishes requests with the same key.
    deadline : float
        Monotonic time, in seconds, at which the caller's budget ends.
    """

    def __init__(self, request: LicensedRequest, body_digest: bytes, deadline: float) -> None:
        self.request = request
        self.body_digest = body_digest
        self.deadline = deadline
        self.stage = Stage.LICENSING
        self.answer: LicensedAnswer | None = None
        self.error: RagworttillerError | None = None
        self.ended = anyio.Event()
        self.removed = anyio.Event()

    def give_up(self) -> bool:
        """Prevent the send; return False if it may have begun."""
        if self.stage is Stage.SENDING:
            return False
        self.stage = Stage.GIVEN_UP
        return True

    def begin_send(self) -> bool:
        """Enter the sending stage; return False if the attempt was given up."""
        if self.stage is not Stage.LICENSING:
            return False
        self.stage = Stage.SENDING
        return True

    def mark_unsent(self) -> None:
        """Give up after the sender proved that it wrote no byte."""
        self.stage = Stage.GIVEN_UP


class AttemptRunner:
    """Licenses, sends and records attempts on one stream.

    Parameters
    ----------
    stream : Stream
        The shard's stream, whose fold is a `LedgerFold`.
    sender : Sender
        Sends licensed requests.
    timers : TimerService
        Source of time.
    decisions : DecisionLog
        Receives a decision for each refusal; the sender records those of sends.
    """

    def __init__(
        self, stream: Stream, sender: Sender, timers: TimerService, decisions: DecisionLog
    ) -> None:
        assert isinstance(stream.fold, LedgerFold)
        self._stream = stream
        self._fold: LedgerFold = stream.fold
        self._sender = sender
        self._timers = timers
        self._decisions = decisions
        self._unresolved: set[str] = set()

    @property
    def unresolved(self) -> set[str]:
        """Ids of attempts that this owner began to send and whose outcome it does not know."""
        return self._unresolved

    async def run(self, attempt: Attempt) -> None:
        """Run an attempt and record its end; cancelling it never causes a second send."""
        try:
            attempt.answer = await self._license_and_send(attempt)
        except RagworttillerError as exc:
            attempt.error = exc
        except Exception:
            log.exception("attempt %s failed", attempt.request.attempt)
        finally:
            if attempt.answer is None and attempt.error is None:
                attempt.error = self._interruption_error(attempt)
            attempt.ended.set()
        await self._record_end(attempt)

    def record_refusal(self, request: LicensedRequest, reason: str) -> NotRun:
        """Record the decision not to route a request and return the error to raise."""
        self._decisions.record(
            Decision("route", request.attempt, request.workspace, [], None, reason, 0, 0.0)
        )
        return not_run(request.key, reason)

    async def _license_and_send(self, attempt: Attempt) -> LicensedAnswer:
        request = attempt.request
        committed = await self._license(attempt)
        if not committed.verdict.valid:
            return self._answer_unlicensed(attempt, committed)
        if not attempt.begin_send():
            raise self.record_refusal(request, "the attempt was given up")
        self._unresolved.add(request.attempt)
        try:
            answer = await self._sender.send_once(self._upstream_request(attempt, committed.offset))
        except (NoRunner, Overloaded, RunnerRefused) as exc:
            attempt.mark_unsent()
            self._unresolved.discard(request.attempt)
            raise not_run(request.key, exc.code, exc.retry_after) from exc
        except RagworttillerError as exc:
            raise outcome_unknown(request.key) from exc
        self._unresolved.discard(request.attempt)
        return LicensedAnswer(answer.status, answer.content_type, answer.body, False)

    async def _license(self, attempt: Attempt) -> Committed:
        request = attempt.request
        intent = Intent(
            self._stream.record_id(),
            request.key,
            request.attempt,
            attempt.body_digest,
            self._stream.writer,
            request.upstream,
            request.at,
        )
        timeout = min(COMMIT_TIMEOUT_SECONDS, attempt.deadline - self._timers.now())
        try:
            return await self._stream.commit(intent, timeout)
        except (LogUnavailable, AppendUndecided) as exc:
            attempt.give_up()
            raise self.record_refusal(request, exc.code) from exc

    def _answer_unlicensed(self, attempt: Attempt, committed: Committed) -> LicensedAnswer:
        """Return the key's recorded answer for an attempt with an invalid intent, or refuse it.

        Without a valid intent, no byte of the request was sent.
        """
        request = attempt.request
        attempt.give_up()
        recorded = known_answer(self._fold, request.key, attempt.body_digest)
        if recorded is not None:
            return recorded
        raise self.record_refusal(request, committed.verdict.reason)

    def _upstream_request(self, attempt: Attempt, license_offset: int) -> UpstreamRequest:
        request = attempt.request
        return UpstreamRequest(
            request.attempt,
            request.workspace,
            request.upstream,
            Exchange(request.method, request.path, request.headers, request.body),
            license_offset,
            max(0.0, attempt.deadline - self._timers.now()),
        )

    def _interruption_error(self, attempt: Attempt) -> RagworttillerError:
        key = attempt.request.key
        return not_run(key, "its owner stopped") if attempt.give_up() else outcome_unknown(key)

    async def _record_end(self, attempt: Attempt) -> None:
        """Post the outcome or give-up until it is read back; an unknown end has no record."""
        if attempt.stage is Stage.GIVEN_UP:
            await self._stream.post_and_wait(self.give_up_of(attempt.request))
        elif attempt.answer is not None:
            await self._stream.post_and_wait(self._outcome_of(attempt.request, attempt.answer))

    def give_up_of(self, request: LicensedRequest) -> GiveUp:
        """Return the record that releases the key of an attempt that this owner never sends."""
        return GiveUp(
            self._stream.record_id(),
            request.key,
            request.attempt,
            self._stream.writer,
            request.at,
        )

    def _outcome_of(self, request: LicensedRequest, answer: LicensedAnswer) -> Outcome:
        size = len(answer.body or b"")
        kept = size <= MAX_RECORDED_BODY_BYTES
        kept = kept and self._fold.body_bytes + size <= MAX_RECORDED_BYTES_PER_SHARD
        return Outcome(
            self._stream.record_id(),
            request.key,
            request.attempt,
            answer.status,
            answer.content_type,
            answer.body if kept else None,
        )


def request_digest(request: LicensedRequest) -> bytes:
    """Return a digest of the fields in which requests with the same key must agree."""
    head = "\0".join([request.upstream, request.method, request.path])
    return digest(b"\0".join([head.encode(), request.body]))


def known_answer(fold: LedgerFold, key: str, body_digest: bytes) -> LicensedAnswer | None:
    """Return the recorded answer of a key, or None if it has neither answer nor license.

    Raises
    ------
    KeyReused
        The key was used with another request.
    OutcomeUnknown
        The key is licensed and has no recorded answer.
    """
    entry = fold.settled.get(key) or fold.licenses.get(key)
    if entry is None:
        return None
    if entry.body_digest != body_digest:
        raise KeyReused(key=key)
    if isinstance(entry, Settled):
        return replay(entry)
    raise outcome_unknown(key)


def replay(entry: Settled) -> LicensedAnswer:
    """Return a recorded answer as the replay for a repeated request."""
    return LicensedAnswer(entry.status, entry.content_type, entry.body, True)


def not_run(key: str, reason: str, retry_after: float | None = None) -> NotRun:
    """Return the error of a request that certainly did not run."""
    after = RETRY_AFTER_SECONDS if retry_after is None else retry_after
    return NotRun(key=key, reason=reason, retry_after=after)


def outcome_unknown(key: str) -> OutcomeUnknown:
    """Return the error of a request that may have run."""
    return OutcomeUnknown(key=key, retry_after=RETRY_AFTER_SECONDS)
