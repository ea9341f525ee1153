"""Answers callers through another entry while this one cannot reach the store."""

from __future__ import annotations

import logging
from collections.abc import Callable, Set
from functools import partial
from typing import NamedTuple

import anyio
from typing_extensions import override

from ragworttiller.exceptions import (
    ConfigurationUnconfirmed,
    NotReady,
    RagworttillerError,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
)
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.acceptance import RETRY_AFTER_SECONDS
from ragworttiller.scheduling.entry.callers import (
    OK,
    OK_CODE,
    CallerReply,
    CallerRequest,
    Callers,
    error_reply,
)
from ragworttiller.scheduling.entry.configuration_pieces import short_value
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.peer_choice import PeerChoice, RelayTarget
from ragworttiller.scheduling.entry.peer_requests import LATER_CONFIGURATION, PeerRequests
from ragworttiller.scheduling.entry.request_trace import record_local_failure
from ragworttiller.scheduling.entry.staggered_attempts import Attempt, Outcome, StaggeredAttempts
from ragworttiller.scheduling.entry.store_pace import StorePace
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold

log = logging.getLogger(__name__)

# Time after which other entries are asked beside an append of this entry.
LOCAL_HEAD_START_SECONDS = 0.6
STALE_HEAD_START_SECONDS = 0.05
# The same for an append of the owner, and for one of a slow store.
OWNER_HEAD_START_SECONDS = 1.4
STALE_AGE_SECONDS = 1.4
# Share of a query's timeout in which an entry with stale states asks others; then it answers.
STALE_RELAY_SHARE = 0.5
STORE_FAILURES = (StoreDown, SubmissionUndecided, StateUnknown)
READ_FAILURES = (NotReady, ConfigurationUnconfirmed, StateUnknown)


class _Write(NamedTuple):
    """Submission or cancellation, and the time of the clock by which it is to be answered."""

    request: CallerRequest
    deadline: float

    def with_time_left(self, clock: Clock) -> CallerRequest:
        """Return the request with the time that is left as its timeout."""
        return self.request._replace(timeout=self.deadline - clock.now())


class RelayingCallers(Callers):
    """Answers locally, or through another entry while this one cannot reach the store.

    A submission that has no result here may also be stored by the other entry; it remains one job.
    Both entries use the same version of the configuration: an entry with an older version does not
    answer, and a later configuration of the other entry is adopted before the request is resent.

    Parameters
    ----------
    local : Callers
        Answers requests at this entry.
    peers : NngPeers
        Connections to the other entries.
    config : QueueFold
        Configuration of this entry.
    transfer : ConfigurationTransfer
        Takes long configurations from other entries.
    reconnector : PeerReconnector
        Replaces the connections of an entry that does not answer.
    age : Callable
        Returns the seconds since this entry was last up to date with the store.
    owner : Callable
        Returns the name of the cell's owner, the entry most likely to reach the store.
    names : Callable
        Returns the names of all entries.
    clock : Clock
        Source of time.
    writer : GroupCommit
        Writer of this entry to the jobs. While its appends are slow, one entry, the owner if
        there is one, appends for all, since a slow store has more throughput with few large calls
        than with many small ones.
    pace : StorePace, optional
        Tells whether appends are slow; by default by those of the writer only.
    """

    def __init__(
        self,
        local: Callers,
        peers: NngPeers,
        config: QueueFold,
        transfer: ConfigurationTransfer,
        reconnector: PeerReconnector,
        age: Callable[[], float],
        owner: Callable[[], str],
        names: Callable[[], set[str]],
        clock: Clock,
        writer: GroupCommit,
        pace: StorePace | None = None,
    ) -> None:
        self._writer = writer
        self._pace = pace or StorePace(writer, clock)
        self._local = local
        self._peers = peers
        self._config = config
        self._age = age
        self._clock = clock
        self._choice = PeerChoice(peers.instance, names, owner, clock)
        self._requests = PeerRequests(
            peers, config, transfer, reconnector, self._choice, writer, age, clock
        )
        peers.handle(CallerRequest, self._serve)

    @property
    def _head_start(self) -> float:
        """Return the seconds after which others are asked beside the local attempt."""
        if self._age() > STALE_AGE_SECONDS:
            return STALE_HEAD_START_SECONDS
        if self._pace.slow or self._choice.common_writer() == self._peers.instance:
            return OWNER_HEAD_START_SECONDS
        return LOCAL_HEAD_START_SECONDS

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        if request.method == "GET":
            return await self._answer_query(request)
        outcome = await self._write(_Write(request, self._clock.now() + request.timeout))
        if outcome.reply is not None:
            return outcome.reply
        assert outcome.error is not None
        raise outcome.error

    async def _answer_query(self, request: CallerRequest) -> CallerReply:
        """Answer a query within its timeout.

        Raises
        ------
        NotReady
            The time of the caller has passed.
        """
        with self._clock.move_on_after(request.timeout):
            return await self._read(request)
        reason = "no state could be read in the time of the caller"
        raise NotReady(
            instance=self._peers.instance, reason=reason, retry_after=RETRY_AFTER_SECONDS
        )

    async def _read(self, request: CallerRequest) -> CallerReply:
        """Answer a query here, or through other entries if this one has not read the store."""
        deadline = self._clock.now() + request.timeout
        is_stale = self._age() > STALE_AGE_SECONDS
        if is_stale:
            with self._clock.move_on_after(STALE_RELAY_SHARE * request.timeout):
                reply = (await self._requests.relay(request, self._choice.relay_targets())).reply
                if reply is not None:
                    return reply
        remaining = deadline - self._clock.now()
        try:
            return await self._local.answer(request._replace(timeout=remaining))
        except READ_FAILURES as exc:
            record_local_failure(exc.code, self._writer, self._age(), self._clock.now())
            if is_stale:
                raise
            remaining = deadline - self._clock.now()
            relayed = request._replace(timeout=remaining)
            reply = (await self._requests.relay(relayed, self._choice.relay_targets())).reply
            if reply is None:
                raise
            return reply

    async def _write(self, write: _Write) -> Outcome:
        """Carry out a submission or cancellation, through one entry while the store is slow."""
        if not self._pace.slow:
            return await self._write_here(write)
        writer = self._choice.common_writer()
        if writer == self._peers.instance:
            return await self._write_here(write)
        return await self._first_success(
            write,
            partial(self._ask_writers, write, writer),
            partial(self._write_here, write),
            write.request.timeout,
        )

    async def _write_here(self, write: _Write) -> Outcome:
        """Append here; if that fails or is late, ask others as well."""
        return await self._first_success(
            write,
            partial(self._write_locally, write),
            partial(self._relay_write, write),
            self._head_start,
        )

    async def _ask_writers(self, write: _Write, writer: str) -> Outcome:
        """Ask the common writer; if it is late, ask the one that takes its place as well."""
        return await self._first_success(
            write,
            partial(self._write_through_another, write, frozenset()),
            partial(self._ask_next_writer, write, writer),
            OWNER_HEAD_START_SECONDS,
        )

    async def _ask_next_writer(self, write: _Write, late: str) -> Outcome:
        """Write as if the common writer were lost, and avoid it if that succeeds sooner."""
        if self._choice.common_writer({late}) == self._peers.instance:
            return await self._write_here(write)
        outcome = await self._write_through_another(write, {late})
        if outcome.succeeded:
            self._choice.avoid(late)
        return outcome

    async def _relay_write(self, write: _Write) -> Outcome:
        return await self._requests.relay(write.with_time_left(self._clock), self._write_targets())

    async def _first_success(
        self, write: _Write, first: Attempt, second: Attempt, head_start: float
    ) -> Outcome:
        """Return the outcome of two attempts, of which the second begins if the first is late."""
        attempts = StaggeredAttempts(first, second, head_start, self._clock)
        return _combined(await attempts.run(), write.request)

    async def _write_through_another(self, write: _Write, lost: Set[str]) -> Outcome:
        """Ask the common writer and, if it is lost, the one that takes its place."""
        undecided = False
        lost = set(lost)
        while self._clock.now() < write.deadline:
            writer = self._choice.common_writer(lost)
            if writer == self._peers.instance:
                break
            lost.add(writer)
            outcome = await self._write_through(writer, write.with_time_left(self._clock))
            undecided = undecided or outcome.undecided
            if outcome.reply is not None:
                return outcome._replace(undecided=undecided)
        return Outcome(undecided=undecided)

    async def _write_through(self, writer: str, request: CallerRequest) -> Outcome:
        started_at = self._clock.now()
        outcome = await self._requests.ask(writer, request)
        elapsed = self._clock.now() - started_at
        if outcome.reply is None:
            return outcome
        extra = {"path": request.path, "code": outcome.reply.code, "took": round(elapsed, 3)}
        extra["entry"] = writer
        log.info("request answered through the common writer", extra=extra)
        if outcome.reply.code == OK_CODE:
            self._pace.record_append(elapsed)
        return outcome

    async def _write_locally(self, write: _Write) -> Outcome:
        async with anyio.create_task_group() as tasks:
            if self._choice.common_writer() != self._peers.instance:
                tasks.start_soon(self._pace.watch_append)
            outcome = await self._ask_local(write.with_time_left(self._clock))
            tasks.cancel_scope.cancel()
        return outcome

    async def _ask_local(self, request: CallerRequest) -> Outcome:
        try:
            return Outcome(await self._local.answer(request), final=True)
        except STORE_FAILURES as exc:
            record_local_failure(exc.code, self._writer, self._age(), self._clock.now())
            return Outcome(error=exc, undecided=isinstance(exc, SubmissionUndecided))
        except RagworttillerError as exc:
            return Outcome(error=exc, final=True)

    def _write_targets(self) -> list[RelayTarget]:
        """Return the entries to ask for an append after the local attempt failed or is late.

        While this entry reads a slow store, only the common writer is asked.
        """
        if not self._pace.slow or self._age() > STALE_AGE_SECONDS:
            return self._choice.relay_targets()
        writer = self._choice.common_writer()
        return [RelayTarget(writer, float("inf"))] if writer != self._peers.instance else []

    async def _serve(self, sender: str, request: CallerRequest) -> CallerReply:
        version = self._config.version
        if request.version > version:
            return CallerReply(NotReady.status, b"", NotReady.code)
        if request.version < version:
            return CallerReply(OK, short_value(self._config), LATER_CONFIGURATION)
        try:
            return await self._local.answer(request)
        except RagworttillerError as exc:
            return error_reply(exc)


def _combined(outcomes: list[Outcome], request: CallerRequest) -> Outcome:
    """Return the outcome of a request after all attempts at it.

    A refusal is no answer if another attempt may still carry out the request.
    """
    for outcome in outcomes:
        if outcome.succeeded:
            return outcome
    if any(outcome.undecided for outcome in outcomes):
        job = request.path.rpartition("/")[2]
        error = SubmissionUndecided(job=job, retry_after=RETRY_AFTER_SECONDS)
        return Outcome(error=error, undecided=True)
    if not any(outcome.reply or outcome.error for outcome in outcomes):
        return Outcome()
    replies = [outcome for outcome in outcomes if outcome.reply is not None]
    errors = [outcome for outcome in outcomes if outcome.error is not None]
    return (replies + errors)[0]
