"""Answers callers through another entry while this one cannot reach the store."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import (
    ConfigurationUnconfirmed,
    NotReady,
    PeerUnreachable,
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
    CallerReply,
    CallerRequest,
    Callers,
    error_reply,
)
from ragworttiller.scheduling.entry.entries import PeerReconnector
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold

log = logging.getLogger(__name__)

# Timeout of the local attempt, after which other entries are asked.
LOCAL_TIMEOUT_SECONDS = 0.6
RELAY_TIMEOUT_SECONDS = 0.5
# The store counts as slow when an append takes longer.
SLOW_APPEND_SECONDS = 0.15
# Timeout for answers of a slow store.
SLOW_STORE_TIMEOUT_SECONDS = 1.4
STALE_LOCAL_TIMEOUT_SECONDS = 0.05
CALL_MARGIN_SECONDS = 0.1
MAX_RELAY_ATTEMPTS = 2
STALE_AGE_SECONDS = 1.4
# Share of a query's timeout in which an entry with stale states asks others; then it answers.
STALE_RELAY_SHARE = 0.5
AVOID_UNRESPONSIVE_ENTRY_SECONDS = 3.0
# Code of a reply whose body is a later configuration than the one of the relaying entry.
LATER_CONFIGURATION = "later_configuration"
STORE_FAILURES = (StoreDown, SubmissionUndecided, StateUnknown)
READ_FAILURES = (NotReady, ConfigurationUnconfirmed, StateUnknown)
NO_ANSWER_CODES = (
    NotReady.code,
    ConfigurationUnconfirmed.code,
    StateUnknown.code,
    LATER_CONFIGURATION,
)


class RelayResult(NamedTuple):
    """Result of asking other entries; ``reply`` is None if none of them answered.

    ``undecided`` is whether an entry that did not answer may have carried out the request.
    """

    reply: CallerReply | None
    undecided: bool


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
        Writer of this entry to the jobs. While its appends are slow, the owner appends for all
        entries, since a slow store has more throughput with few large calls than with many small
        ones.
    """

    def __init__(
        self,
        local: Callers,
        peers: NngPeers,
        config: QueueFold,
        reconnector: PeerReconnector,
        age: Callable[[], float],
        owner: Callable[[], str],
        names: Callable[[], set[str]],
        clock: Clock,
        writer: GroupCommit,
    ) -> None:
        self._writer = writer
        self._local = local
        self._peers = peers
        self._config = config
        self._reconnector = reconnector
        self._age = age
        self._owner = owner
        self._names = names
        self._clock = clock
        self._avoid_until: dict[str, float] = {}
        peers.handle(CallerRequest, self._serve)

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        if request.method == "GET":
            return await self._answer_query(request)
        deadline = self._clock.now() + request.timeout
        owner_result = await self._write_through_owner(request)
        if owner_result.reply is not None:
            return owner_result.reply
        request = request._replace(timeout=deadline - self._clock.now())
        try:
            return await self._local.answer(request._replace(timeout=self._local_timeout(request)))
        except STORE_FAILURES as exc:
            remaining = deadline - self._clock.now()
            relayed = await self._relay(request._replace(timeout=remaining))
            return self._resolve_failure(exc, relayed, owner_result.undecided or relayed.undecided)

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
                reply = (await self._relay(request)).reply
                if reply is not None:
                    return reply
        remaining = deadline - self._clock.now()
        try:
            return await self._local.answer(request._replace(timeout=remaining))
        except READ_FAILURES:
            if is_stale:
                raise
            remaining = deadline - self._clock.now()
            reply = (await self._relay(request._replace(timeout=remaining))).reply
            if reply is None:
                raise
            return reply

    def _resolve_failure(
        self, exc: RagworttillerError, relayed: RelayResult, undecided: bool
    ) -> CallerReply:
        """Return the reply of another entry, or raise an error, after the local attempt failed.

        A refusal here counts as undecided if another entry may have stored the job.
        """
        reply = relayed.reply
        if reply is not None and reply.status == OK:
            return reply
        if isinstance(exc, StoreDown) and undecided:
            job = exc.fields["job"]
            raise SubmissionUndecided(job=job, retry_after=RETRY_AFTER_SECONDS) from exc
        if reply is None or isinstance(exc, SubmissionUndecided):
            raise exc
        return reply

    async def _write_through_owner(self, request: CallerRequest) -> RelayResult:
        """Send a submission or cancellation to the owner while the store is slow."""
        owner = self._owner()
        if (
            request.method == "GET"
            or not self._store_is_slow
            or owner not in self._available_peers()
        ):
            return RelayResult(None, undecided=False)
        started_at = self._clock.now()
        reply = await self._ask_peer(owner, request, SLOW_STORE_TIMEOUT_SECONDS)
        elapsed = self._clock.now() - started_at
        if reply is None or reply.code in NO_ANSWER_CODES:
            return RelayResult(None, undecided=reply is None)
        extra = {"path": request.path, "code": reply.code, "took": round(elapsed, 3)}
        log.info("request answered through the owner", extra=extra)
        if reply.status == OK and elapsed < SLOW_APPEND_SECONDS:
            self._writer.reset_last_append_seconds()
        return RelayResult(reply, undecided=False)

    @property
    def _store_is_slow(self) -> bool:
        return self._writer.last_append_seconds > SLOW_APPEND_SECONDS

    def _local_timeout(self, request: CallerRequest) -> float:
        """Return the timeout of the local attempt, in seconds."""
        if self._age() > STALE_AGE_SECONDS:
            return STALE_LOCAL_TIMEOUT_SECONDS
        return min(
            request.timeout,
            SLOW_STORE_TIMEOUT_SECONDS if self._store_is_slow else LOCAL_TIMEOUT_SECONDS,
        )

    async def _relay(self, request: CallerRequest) -> RelayResult:
        """Ask other entries until one answers."""
        undecided = False
        for name in self._relay_targets():
            if request.timeout <= 0:
                break
            reply = await self._ask_peer(name, request, RELAY_TIMEOUT_SECONDS)
            undecided = undecided or reply is None
            if reply is not None and reply.code not in NO_ANSWER_CODES:
                log.info(
                    "request answered by another entry",
                    extra={"path": request.path, "entry": name, "code": reply.code},
                )
                return RelayResult(reply, undecided)
        return RelayResult(None, undecided)

    async def _ask_peer(
        self, name: str, request: CallerRequest, max_timeout: float
    ) -> CallerReply | None:
        """Send a request to an entry; resend it once if the entry has a later configuration.

        Returns None if no answer arrived; the entry may have carried out the request.
        """
        reply = await self._send_to_peer(name, request, max_timeout)
        if reply is None or reply.code != LATER_CONFIGURATION:
            return reply
        self._config.adopt(reply.body)
        return await self._send_to_peer(name, request, max_timeout)

    async def _send_to_peer(
        self, name: str, request: CallerRequest, max_timeout: float
    ) -> CallerReply | None:
        timeout = min(max_timeout, request.timeout)
        forwarded = request._replace(timeout=timeout, version=self._config.version)
        sent_at = self._clock.now()
        try:
            reply = await self._peers.call(name, forwarded, timeout + CALL_MARGIN_SECONDS)
        except PeerUnreachable:
            log.info("relay to another entry failed", extra={"path": request.path, "entry": name})
            self._avoid_until[name] = self._clock.now() + AVOID_UNRESPONSIVE_ENTRY_SECONDS
            self._reconnector.reconnect_both_ends(name, sent_at)
            return None
        except RagworttillerError as exc:
            reply = error_reply(exc)
        self._reconnector.record_answer(name)
        return reply

    def _relay_targets(self) -> list[str]:
        peers = self._available_peers()
        owner = self._owner()
        first = [owner] if owner in peers else []
        remaining = sorted(peers - set(first))
        random.shuffle(remaining)
        return (first + remaining)[:MAX_RELAY_ATTEMPTS]

    def _available_peers(self) -> set[str]:
        now = self._clock.now()
        names = self._names() - {self._peers.instance}
        return {name for name in names if self._avoid_until.get(name, 0.0) <= now}

    async def _serve(self, sender: str, request: CallerRequest) -> CallerReply:
        version = self._config.version
        if request.version > version:
            return CallerReply(NotReady.status, b"", NotReady.code)
        if request.version < version:
            return CallerReply(OK, self._config.value, LATER_CONFIGURATION)
        try:
            return await self._local.answer(request)
        except RagworttillerError as exc:
            return error_reply(exc)
