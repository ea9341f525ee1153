"""Requests of callers that are sent to other entries."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.exceptions import (
    ConfigurationUnconfirmed,
    NotReady,
    PeerUnreachable,
    RagworttillerError,
    StateUnknown,
    SubmissionUndecided,
    Unreadable,
)
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, error_reply
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.peer_choice import PeerChoice, RelayTarget
from ragworttiller.scheduling.entry.request_trace import record_relay
from ragworttiller.scheduling.entry.staggered_attempts import Outcome
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold

log = logging.getLogger(__name__)

CALL_MARGIN_SECONDS = 0.1
# Code of a reply whose body is a later configuration than the one of the relaying entry.
LATER_CONFIGURATION = "later_configuration"
# A longer transfer goes on without this request, which may be answered by another entry.
TRANSFER_TIMEOUT_SECONDS = 1.0
NO_ANSWER_CODES = (
    NotReady.code,
    ConfigurationUnconfirmed.code,
    StateUnknown.code,
    LATER_CONFIGURATION,
)


class PeerRequests:
    """Sends requests of callers to other entries, by the same version of the configuration.

    Parameters
    ----------
    peers : NngPeers
        Connections to the other entries.
    config : QueueFold
        Configuration of this entry.
    transfer : ConfigurationTransfer
        Takes long configurations from other entries.
    reconnector : PeerReconnector
        Replaces the connections of an entry that does not answer.
    choice : PeerChoice
        Avoids such an entry for a while.
    writer : GroupCommit
        Writer of this entry to the jobs, for the trace of the request.
    age : Callable
        Returns the seconds since this entry was last up to date with the store, for the trace.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        peers: NngPeers,
        config: QueueFold,
        transfer: ConfigurationTransfer,
        reconnector: PeerReconnector,
        choice: PeerChoice,
        writer: GroupCommit,
        age: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._config = config
        self._transfer = transfer
        self._reconnector = reconnector
        self._choice = choice
        self._writer = writer
        self._age = age
        self._clock = clock

    async def relay(self, request: CallerRequest, targets: list[RelayTarget]) -> Outcome:
        """Ask other entries until one answers."""
        deadline = self._clock.now() + request.timeout
        undecided = False
        for target in targets:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                break
            request = request._replace(timeout=min(remaining, target.timeout))
            outcome = await self.ask(target.name, request)
            undecided = undecided or outcome.undecided
            if outcome.reply is not None:
                log.info(
                    "request answered by another entry",
                    extra={"path": request.path, "entry": target.name, "code": outcome.reply.code},
                )
                return outcome._replace(undecided=undecided)
        return Outcome(undecided=undecided)

    async def ask(self, name: str, request: CallerRequest) -> Outcome:
        """Return the outcome of asking an entry, with its reply if that answers the request."""
        reply = await self._send(name, request)
        if reply is None:
            return Outcome(undecided=True)
        if reply.code in NO_ANSWER_CODES:
            return Outcome()
        return Outcome(reply, undecided=reply.code == SubmissionUndecided.code, final=True)

    async def _send(self, name: str, request: CallerRequest) -> CallerReply | None:
        """Send a request to an entry; resend it once if the entry has a later configuration.

        Returns None if no answer arrived; the entry may have carried out the request.
        """
        deadline = self._clock.now() + request.timeout
        reply = await self._send_once(name, request)
        if reply is None or reply.code != LATER_CONFIGURATION:
            return reply
        left = deadline - self._clock.now()
        if not await self._take_configuration(name, reply, left):
            return reply
        return await self._send_once(name, request._replace(timeout=deadline - self._clock.now()))

    async def _take_configuration(self, name: str, reply: CallerReply, left: float) -> bool:
        """Take the later configuration of an entry, and return whether that was possible."""
        if not reply.body:
            version = self._config.version
            with self._clock.move_on_after(min(left, TRANSFER_TIMEOUT_SECONDS)):
                await self._transfer.take_later([name])
            return self._config.version > version
        try:
            self._config.adopt(reply.body)
        except Unreadable as exc:
            extra = {"entry": name, "why": str(exc)}
            log.warning("unreadable configuration of another entry skipped", extra=extra)
            return False
        return True

    async def _send_once(self, name: str, request: CallerRequest) -> CallerReply | None:
        forwarded = request._replace(version=self._config.version)
        sent_at = self._clock.now()
        record_relay(name, self._writer, self._age())
        try:
            reply = await self._peers.call(name, forwarded, request.timeout + CALL_MARGIN_SECONDS)
        except PeerUnreachable:
            log.info("relay to another entry failed", extra={"path": request.path, "entry": name})
            self._choice.avoid(name)
            self._reconnector.reconnect_both_ends(name, sent_at)
            return None
        except RagworttillerError as exc:
            reply = error_reply(exc)
        self._reconnector.record_answer(name)
        return reply
