"""Checks connections to other entries once one of them has carried no answer."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from ragworttiller.exceptions import PeerUnreachable, RagworttillerError
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.peer_messages import ConnectionAnswer, ConnectionQuery
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.membership.reconnector import LAGS_A_CALL, PeerReconnector

log = logging.getLogger(__name__)

CHECK_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 2.0
MAX_CHECKS_AT_ONCE = 16


class ConnectionChecks:
    """Asks the other entries for an answer after one of them did not answer a call for advice.

    Load pattern: several machines lose power at one moment. Connections to them stay open, and
    calls would find out one after the other, each in its whole timeout. In a calm cell nothing is
    sent. Requests of callers that are passed on do not count: their timeouts are short, and many
    entries would ask at once while the store is slow.

    Parameters
    ----------
    peers : NngPeers
        Connections to the other entries.
    members : Members
        Entries that have announced themselves.
    reconnector : PeerReconnector
        Replaces connections of entries that do not answer.
    clock : Clock
        Source of time.
    lag : Callable
        Returns how late the event loop of this entry runs, in seconds.
    """

    def __init__(
        self,
        peers: NngPeers,
        members: Members,
        reconnector: PeerReconnector,
        clock: Clock,
        lag: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._members = members
        self._reconnector = reconnector
        self._clock = clock
        self._lag = lag
        self._requested = anyio.Event()
        peers.handle(ConnectionQuery, self._answer)

    def request(self) -> None:
        """Request a check, since an entry did not answer."""
        self._requested.set()

    async def run(self) -> None:
        """Check connections whenever that is requested, until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for name in self._longest_unheard():
                    tasks.start_soon(self._check, name)
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def _longest_unheard(self) -> list[str]:
        """Return the reachable entries that have not answered lately, the longest ago first."""
        since = self._clock.now() - CHECK_TIMEOUT_SECONDS
        others = self._members.reachable - {self._peers.instance}
        answered = {name: self._reconnector.answered_at(name) for name in sorted(others)}
        unheard = [name for name in answered if answered[name] < since]
        return sorted(unheard, key=answered.__getitem__)[:MAX_CHECKS_AT_ONCE]

    async def _check(self, name: str) -> None:
        sent_at = self._clock.now()
        timeout = CHECK_TIMEOUT_SECONDS + LAGS_A_CALL * self._lag()
        try:
            await self._peers.call(name, ConnectionQuery(), timeout)
        except PeerUnreachable:
            if self._reconnector.reconnect_both_ends(name, sent_at):
                self.request()
            return
        except RagworttillerError as exc:
            # An error is an answer, too.
            log.info(
                "connection check answered by an error", extra={"entry": name, "why": exc.code}
            )
        self._reconnector.record_answer(name)

    async def _answer(self, sender: str, message: ConnectionQuery) -> ConnectionAnswer:
        return ConnectionAnswer()
