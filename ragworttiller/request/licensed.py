"""Forwarding of non-idempotent requests from any entry to the owner of their key."""

from __future__ import annotations

import logging

import anyio

from ragworttiller.exceptions import (
    NotOwner,
    NotReady,
    NotRun,
    OutcomeUnknown,
    PeerUnreachable,
    RagworttillerError,
    Stopping,
)
from ragworttiller.hashing import shard_of
from ragworttiller.messages import BurnAttempt, LicensedAnswer, LicensedRequest, OutcomeLookup
from ragworttiller.process.ledger import Ledger
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.process.shards import ShardHost
from ragworttiller.records import ledger_stream
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

OWNER_RETRY_DELAY_SECONDS = 0.1
OWNER_CALL_TIMEOUT_SECONDS = 2.0
OWNER_CALLS_TOTAL_TIMEOUT_SECONDS = 5.0
CALL_MARGIN_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.5
PROBE_DELAY_SECONDS = 0.5
RETRY_AFTER_SECONDS = 2.0


class LicensedRequests:
    """Forwards non-idempotent requests to the owner of their key and returns its answers.

    Parameters
    ----------
    peers : Peers
        Messages to other instances; handlers are registered on it.
    membership : Membership
        Live instances.
    host : ShardHost[Ledger]
        Ledgers of this instance.
    shards : int
        Number of ledger shards.
    timers : TimerService
        Source of time.
    """

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        host: ShardHost[Ledger],
        shards: int,
        timers: TimerService,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._host = host
        self._shards = shards
        self._timers = timers
        self._membership_changed = anyio.Event()
        membership.subscribe(self._on_membership_change)
        peers.handle(LicensedRequest, self._on_request)
        peers.handle(BurnAttempt, self._on_burn)
        peers.handle(OutcomeLookup, self._on_lookup)

    async def submit(self, request: LicensedRequest) -> LicensedAnswer:
        """Forward a request to the owner of its key, which licenses and sends it.

        Raises
        ------
        NotRun
            The request did not run.
        OutcomeUnknown
            The request, or an earlier one with its key, may have run.
        KeyReused
            The key was used with another request.
        """
        request = request._replace(at=self._timers.wall())
        deadline = self._timers.now() + request.budget
        refusal = "no owner accepted the request in time"
        while (remaining := deadline - self._timers.now()) > 0:
            owner = self._owner(request.key)
            if owner is None:
                break
            try:
                return await self._call(owner, request._replace(budget=remaining))
            except (NotOwner, NotReady, Stopping) as exc:
                refusal = str(exc)
                await self._timers.sleep(OWNER_RETRY_DELAY_SECONDS)
            except PeerUnreachable:
                return await self._burn(request)
        log.warning("no owner accepted the request with key %s in time: %s", request.key, refusal)
        raise NotRun(key=request.key, reason=refusal, retry_after=RETRY_AFTER_SECONDS)

    async def lookup(self, key: str) -> LicensedAnswer:
        """Return the recorded answer of a key.

        Raises
        ------
        KeyUnknown
            No request with the key was licensed within the key window.
        OutcomeUnknown
            A request with the key may have run, or no owner answered.
        """
        return await self._call_until_answered(key, OutcomeLookup(key))

    async def _burn(self, request: LicensedRequest) -> LicensedAnswer:
        """Return the recorded answer of a request whose call was lost, or prevent its licensing."""
        return await self._call_until_answered(
            request.key, BurnAttempt(request.key, request.attempt, request.at)
        )

    async def _call(self, owner: str, request: LicensedRequest) -> LicensedAnswer:
        """Call an owner; stop waiting once it is neither a member nor answers probes.

        Raises
        ------
        PeerUnreachable
            The owner was lost, or did not answer within the budget.
        """
        timeout = request.budget + CALL_MARGIN_SECONDS
        if owner == self._membership.instance:
            return await self._peers.call(owner, request, timeout)
        reply: LicensedAnswer | None = None
        error: RagworttillerError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_owner_lost, owner, request.key, tasks.cancel_scope)
            try:
                reply = await self._peers.call(owner, request, timeout)
            except RagworttillerError as exc:
                error = exc
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        if reply is None:
            raise PeerUnreachable(instance=owner)
        return reply

    async def _cancel_when_owner_lost(self, owner: str, key: str, call: anyio.CancelScope) -> None:
        """Cancel a call once its owner is no longer a member and does not answer a probe."""
        while True:
            while owner in self._membership.members:
                await self._membership_changed.wait()
            try:
                await self._peers.call(owner, OutcomeLookup(key), PROBE_TIMEOUT_SECONDS)
            except PeerUnreachable:
                call.cancel()
                return
            except RagworttillerError:
                pass
            await self._timers.sleep(PROBE_DELAY_SECONDS)

    def _on_membership_change(self) -> None:
        event, self._membership_changed = self._membership_changed, anyio.Event()
        event.set()

    async def _call_until_answered(
        self, key: str, message: BurnAttempt | OutcomeLookup
    ) -> LicensedAnswer:
        """Call the current owner of a key until one answers, for a limited time.

        Raises
        ------
        OutcomeUnknown
            No owner answered in time.
        """
        deadline = self._timers.now() + OWNER_CALLS_TOTAL_TIMEOUT_SECONDS
        while (remaining := deadline - self._timers.now()) > 0:
            owner = self._owner(key)
            if owner is None:
                break
            try:
                return await self._peers.call(
                    owner, message, min(remaining, OWNER_CALL_TIMEOUT_SECONDS)
                )
            except (NotOwner, NotReady, Stopping, PeerUnreachable):
                await self._timers.sleep(OWNER_RETRY_DELAY_SECONDS)
        raise OutcomeUnknown(key=key, retry_after=RETRY_AFTER_SECONDS)

    def _owner(self, key: str) -> str | None:
        return self._membership.owner(ledger_stream(shard_of(key, self._shards)))

    def _ledger(self, key: str) -> Ledger:
        shard = shard_of(key, self._shards)
        ledger = self._host.get(shard)
        if ledger is None:
            raise NotOwner(instance=self._membership.instance, shard=ledger_stream(shard))
        return ledger

    async def _on_request(self, _sender: str, message: LicensedRequest) -> LicensedAnswer:
        return await self._ledger(message.key).submit(message)

    async def _on_burn(self, _sender: str, message: BurnAttempt) -> LicensedAnswer:
        return await self._ledger(message.key).burn(message)

    async def _on_lookup(self, _sender: str, message: OutcomeLookup) -> LicensedAnswer:
        return await self._ledger(message.key).lookup(message)
