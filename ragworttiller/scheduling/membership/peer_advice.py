"""Calls to the advisor through other entries, since it serves each caller in turn."""

from __future__ import annotations

from collections.abc import Callable

from typing_extensions import override

from ragworttiller.exceptions import PeerUnreachable
from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.boots import runner_id
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.advice import Advice, AdviceCall
from ragworttiller.scheduling.entry.peer_messages import AdviceReply, AdviceRequest
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.membership.reconnector import LAGS_A_CALL, PeerReconnector

CALL_MARGIN_SECONDS = 0.5
ADVISOR_MARGIN_SECONDS = 1.0


class PeerAdvice(Advice):
    """Forwards calls to the advisor to the entries that make them.

    Parameters
    ----------
    peers : NngPeers
        Connections to the other entries.
    members : Members
        Entries that have announced themselves.
    advisor : Advisor
        Client of the advisor.
    reconnector : PeerReconnector
        Replaces connections of entries that do not answer.
    clock : Clock
        Source of time.
    lag : Callable
        Returns how late the event loop of this entry runs, in seconds.

    Attributes
    ----------
    on_unanswered : Callable
        Called after a connection was replaced because of an unanswered call.
    """

    def __init__(
        self,
        peers: NngPeers,
        members: Members,
        advisor: Advisor,
        reconnector: PeerReconnector,
        clock: Clock,
        lag: Callable[[], float],
    ) -> None:
        self._reconnector = reconnector
        self._clock = clock
        self._lag = lag
        self._members = members
        self._peers = peers
        self._advisor = advisor
        self.on_unanswered: Callable[[], None] = lambda: None
        peers.handle(AdviceRequest, self._serve)

    @property
    @override
    def entries(self) -> list[str]:
        return sorted(self._members.reachable)

    @override
    async def ask(self, call: AdviceCall) -> dict[str, str]:
        timeout = call.wait + call.duration + ADVISOR_MARGIN_SECONDS
        # The advisor knows runners, not their boots.
        boots = {runner_id(boot): boot for boot in call.runners}
        request = AdviceRequest(call.stage, list(boots), timeout)
        tickets = await self._request_tickets(call.entry, request)
        return {boots[name]: ticket for name, ticket in tickets.items() if name in boots}

    async def _request_tickets(self, entry: str, request: AdviceRequest) -> dict[str, str]:
        """Return the tickets for runners, by identifier, that an entry has asked for."""
        if entry == self._peers.instance:
            return (await self._serve(entry, request)).tickets
        sent_at = self._clock.now()
        timeout = request.timeout + CALL_MARGIN_SECONDS + LAGS_A_CALL * self._lag()
        try:
            reply = await self._peers.call(entry, request, timeout)
        except PeerUnreachable:
            if self._reconnector.reconnect_both_ends(entry, sent_at):
                self.on_unanswered()
            raise
        self._reconnector.record_answer(entry)
        return reply.tickets

    async def _serve(self, sender: str, request: AdviceRequest) -> AdviceReply:
        tickets = await self._advisor.advise(request.stage, request.runners, request.timeout)
        return AdviceReply(tickets)
