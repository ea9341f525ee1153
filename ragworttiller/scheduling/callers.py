"""Answers to callers: by this entry from the store, or by another entry that reaches it."""

from __future__ import annotations

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import (
    NotReady,
    PeerUnreachable,
    QueueUnknown,
    RagworttillerError,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
)
from ragworttiller.platform.submissions import error_body, pending_body, state_body
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.acceptance import RETRY_AFTER_SECONDS, Acceptance
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.group_commit import GroupCommit

log = logging.getLogger(__name__)

OK = 200
# Time for which an entry tries alone before it asks another one.
ALONE_SECONDS = 0.6
RELAY_SECONDS = 0.5
# An append that takes longer shows that the store is slow.
SLOW_APPEND_SECONDS = 0.15
# Time for which an answer of a slow store is waited for.
SLOW_SECONDS = 1.4
NO_SECONDS = 0.05
CALL_MARGIN_SECONDS = 0.1
RELAY_TRIES = 2
STALE_SECONDS = 1.4
AVOID_SECONDS = 3.0
# Code of a reply whose body is a later configuration than that of the entry that asked.
LATER_CONFIGURATION = "later_configuration"
STORE_FAILURES = (StoreDown, SubmissionUndecided, StateUnknown)
UNANSWERED = (NotReady.code, LATER_CONFIGURATION)


class CallerRequest(NamedTuple):
    """Request of a caller; ``timeout`` is the time left for its answer, in seconds.

    ``version`` is that of the configuration of the entry that passes it on.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout: float
    version: int = -1


class CallerReply(NamedTuple):
    """Answer to a caller; ``code`` names the error, ``retry_after`` is in seconds."""

    status: int
    body: bytes
    code: str = "ok"
    retry_after: float | None = None


class Relayed(NamedTuple):
    """Answer of another entry, None without one; ``lost`` if one may have acted unheard."""

    reply: CallerReply | None
    lost: bool


class Callers(ABC):
    """Answers requests of callers."""

    @abstractmethod
    async def answer(self, request: CallerRequest) -> CallerReply:
        """Return the answer.

        Raises
        ------
        RagworttillerError
            The request is refused or its outcome is not known.
        """


class LocalCallers(Callers):
    """Answers from the store.

    Parameters
    ----------
    acceptance : Acceptance
        Gives the answers.
    """

    def __init__(self, acceptance: Acceptance) -> None:
        self._acceptance = acceptance

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        target = self._acceptance.target(request.host, request.path)
        method = request.method
        if not target.job and method == "GET":
            return CallerReply(OK, pending_body(self._acceptance.pending(target)))
        if target.job and method == "GET":
            return CallerReply(OK, state_body(await self._acceptance.state(target)))
        if target.job and method == "POST":
            await self._acceptance.submit(target, request.body, request.timeout)
            return CallerReply(OK, b"{}")
        if target.job and method == "DELETE":
            await self._acceptance.cancel(target, request.timeout)
            return CallerReply(OK, b"{}")
        raise QueueUnknown(host=request.host, path=request.path)


class RelayingCallers(Callers):
    """Answers locally, and through another entry while this one does not reach the store.

    A submission that was sent from here without a result may also be stored by the other entry:
    it remains one job. Both entries answer by the same version of the configuration: one with an
    older version does not answer, and a later one is taken over first.

    Parameters
    ----------
    local : Callers
        Answers of this entry.
    peers : NngPeers
        Connections to the other entries.
    config : ConfigFold
        Configuration of this entry.
    suspect : Callable
        Called with the name of an entry that does not answer.
    age : Callable
        Returns the seconds since this entry last heard from the store.
    owner : Callable
        Returns the owner of the cell, the entry most likely to reach the store.
    names : Callable
        Returns the names of all entries.
    clock : Clock
        Source of time.
    writer : GroupCommit
        Writer of this entry to the jobs. When its appends take long, the owner appends for all
        entries, since a slow store does more with few large calls than with many small ones.
    """

    def __init__(
        self,
        local: Callers,
        peers: NngPeers,
        config: ConfigFold,
        suspect: Callable[[str], None],
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
        self._suspect = suspect
        self._age = age
        self._owner = owner
        self._names = names
        self._clock = clock
        self._avoid: dict[str, float] = {}
        peers.handle(CallerRequest, self._serve)

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        if request.method == "GET" and self._age() > STALE_SECONDS:
            reply = (await self._relay(request)).reply
            if reply is not None:
                return reply
        until = self._clock.now() + request.timeout
        collected = await self._collect(request)
        if collected.reply is not None:
            return collected.reply
        request = request._replace(timeout=until - self._clock.now())
        try:
            return await self._local.answer(request._replace(timeout=self._alone(request)))
        except STORE_FAILURES as exc:
            left = until - self._clock.now()
            relayed = await self._relay(request._replace(timeout=left))
            return self._settle(exc, relayed, collected.lost or relayed.lost)

    def _settle(self, exc: RagworttillerError, relayed: Relayed, lost: bool) -> CallerReply:
        """Return or raise what is known after this entry and others were tried."""
        reply = relayed.reply
        if reply is not None and reply.status == OK:
            return reply
        if isinstance(exc, StoreDown) and lost:
            job = exc.fields["job"]
            raise SubmissionUndecided(job=job, retry_after=RETRY_AFTER_SECONDS) from exc
        if reply is None or isinstance(exc, SubmissionUndecided):
            raise exc
        return reply

    async def _collect(self, request: CallerRequest) -> Relayed:
        """Let the owner store a submission while the store is slow."""
        owner = self._owner()
        if request.method == "GET" or not self._slow or owner not in self._others():
            return Relayed(None, lost=False)
        began = self._clock.now()
        reply = await self._ask(owner, request, SLOW_SECONDS)
        took = self._clock.now() - began
        if reply is None or reply.code in UNANSWERED:
            return Relayed(None, lost=reply is None)
        extra = {"path": request.path, "code": reply.code, "took": round(took, 3)}
        log.info("collected", extra=extra)
        if reply.status == OK and took < SLOW_APPEND_SECONDS:
            self._writer.forget_took()
        return Relayed(reply, lost=False)

    @property
    def _slow(self) -> bool:
        return self._writer.last_took > SLOW_APPEND_SECONDS

    def _alone(self, request: CallerRequest) -> float:
        """Return the seconds for which to try without other entries."""
        if self._age() > STALE_SECONDS:
            return NO_SECONDS
        return min(request.timeout, SLOW_SECONDS if self._slow else ALONE_SECONDS)

    async def _relay(self, request: CallerRequest) -> Relayed:
        """Ask other entries until one answers."""
        lost = False
        for name in self._choose():
            if request.timeout <= 0:
                break
            reply = await self._ask(name, request, RELAY_SECONDS)
            lost = lost or reply is None
            if reply is not None and reply.code not in UNANSWERED:
                log.info("relayed", extra={"path": request.path, "entry": name, "code": reply.code})
                return Relayed(reply, lost)
        return Relayed(None, lost)

    async def _ask(self, name: str, request: CallerRequest, most: float) -> CallerReply | None:
        """Return the answer of an entry by the latest configuration that both have.

        It is None if the entry may have carried the request out unheard.
        """
        reply = await self._ask_once(name, request, most)
        if reply is None or reply.code != LATER_CONFIGURATION:
            return reply
        self._config.adopt(reply.body)
        return await self._ask_once(name, request, most)

    async def _ask_once(self, name: str, request: CallerRequest, most: float) -> CallerReply | None:
        timeout = min(most, request.timeout)
        passed = request._replace(timeout=timeout, version=self._config.version)
        try:
            return await self._peers.call(name, passed, timeout + CALL_MARGIN_SECONDS)
        except PeerUnreachable:
            log.info("relay failed", extra={"path": request.path, "entry": name})
            self._avoid[name] = self._clock.now() + AVOID_SECONDS
            self._suspect(name)
        except RagworttillerError as exc:
            return refusal(exc)
        return None

    def _choose(self) -> list[str]:
        others = self._others()
        owner = self._owner()
        first = [owner] if owner in others else []
        rest = sorted(others - set(first))
        random.shuffle(rest)
        return (first + rest)[:RELAY_TRIES]

    def _others(self) -> set[str]:
        now = self._clock.now()
        names = self._names() - {self._peers.instance}
        return {name for name in names if self._avoid.get(name, 0.0) <= now}

    async def _serve(self, sender: str, request: CallerRequest) -> CallerReply:
        version = self._config.version
        if request.version > version:
            return CallerReply(NotReady.status, b"", NotReady.code)
        if request.version < version:
            return CallerReply(OK, self._config.value, LATER_CONFIGURATION)
        try:
            return await self._local.answer(request)
        except RagworttillerError as exc:
            return refusal(exc)


def refusal(exc: RagworttillerError) -> CallerReply:
    """Return the answer that tells a caller of an error."""
    return CallerReply(exc.status, error_body(exc), exc.code, exc.retry_after)
