"""Replaces connections between entries that no longer carry answers."""

from __future__ import annotations

import logging

from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.peer_messages import ConnectionSuspect

log = logging.getLogger(__name__)

# Steps of this entry's event loop on the way of a call: sending it, and reading its answer.
LAGS_A_CALL = 2


class PeerReconnector:
    """Replaces unresponsive connections at both ends, since each end sends over its own.

    Load pattern: many calls to one entry are in flight when its connection is replaced, which ends
    them all. They say nothing about the next connection.

    Parameters
    ----------
    peers : NngPeers
        Connections to the other entries.
    clock : Clock
        Source of time.
    """

    def __init__(self, peers: NngPeers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._replaced_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        peers.handle(ConnectionSuspect, self._handle_suspect)

    def reconnect_both_ends(self, name: str, sent_at: float) -> bool:
        """Replace the connections to and from an entry that did not answer; return whether it was.

        Parameters
        ----------
        name : str
            Name of the entry.
        sent_at : float
            Time of the unanswered call, in seconds. A connection that was opened later is kept, and
            one on which another call was answered since: the entry is only slow.
        """
        replaced_at = self._replaced_at.get(name, float("-inf"))
        if sent_at <= max(replaced_at, self.answered_at(name)):
            return False
        log.info("connection to an entry replaced", extra={"entry": name})
        self._replace(name)
        self._peers.post(name, ConnectionSuspect())
        return True

    def answered_at(self, name: str) -> float:
        """Return the time of the last answer of an entry in seconds, -inf without any."""
        return self._answered_at.get(name, float("-inf"))

    def record_answer(self, name: str) -> None:
        """Record that an entry has answered a call."""
        self._answered_at[name] = self._clock.now()

    def _replace(self, name: str) -> None:
        self._replaced_at[name] = self._clock.now()
        self._peers.reconnect(name)

    async def _handle_suspect(self, sender: str, message: ConnectionSuspect) -> None:
        self._replace(sender)
