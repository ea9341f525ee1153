"""Decides which connections to a server are ended, without I/O.

Load pattern: clients that hold what they never complete, among callers with small whole requests.
Whoever holds the most for the longest without progress is ended first (`HeaviestFirst`), and what
was handed on to the application never is. The simple baseline is to end whoever came last
(`NewestFirst`): such clients then keep all callers out for as long as they stay.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from enum import Enum, auto

from typing_extensions import override

from ragworttiller.connection.ended_connections import EndReason
from ragworttiller.connection.limits import IN_PROGRESS_SHARE, RESERVED_REQUESTS

# A client that sends less makes no progress.
PROGRESS_BYTES = 1024
# Each search for connections to end makes room for more than one.
SPARE_SHARE = 1 / 16
NEVER = float("inf")


class Phase(Enum):
    """What a connection is doing.

    ``IDLE`` has no request, ``HEAD`` and ``BODY`` receive one, ``IN_PROGRESS`` has one that was
    handed on, and ``CLOSING`` only waits until the client has closed too.
    """

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    IN_PROGRESS = auto()
    CLOSING = auto()


class Connection(ABC):
    """A connection to a server, as the table and its server end it."""

    @abstractmethod
    def make_room(self, reason: EndReason) -> None:
        """End what can be ended without harm to a request that was handed on.

        A request that is being received is refused; what was sent ahead of the answer to one in
        progress is forgotten, and the connection closes after that answer.
        """

    @abstractmethod
    def expire(self) -> None:
        """End what did not happen before the deadline of the phase."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once, whatever is in progress."""


class ConnectionState:
    """One connection as the table knows it.

    Parameters
    ----------
    connection : Connection
        Ends it.
    listener : Listener
        Address that it was made to.
    now : float
        Time in seconds.
    deadline : float
        Time at which it is ended unless it sends something.

    Attributes
    ----------
    phase : Phase
        What it is doing.
    deadline : float
        Time at which it is ended unless its phase has changed.
    received : int
        Bytes of requests that were not handed on.
    progressed_at : float
        Time since which it has sent less than `PROGRESS_BYTES`.
    """

    __slots__ = (
        "_unrated",
        "connection",
        "deadline",
        "listener",
        "phase",
        "progressed_at",
        "received",
    )

    def __init__(
        self, connection: Connection, listener: Listener, now: float, deadline: float
    ) -> None:
        self.connection = connection
        self.listener = listener
        self.received = 0
        self.enter(Phase.IDLE, now, deadline)

    def enter(self, phase: Phase, now: float, deadline: float = NEVER) -> None:
        """Begin a phase, which counts as progress."""
        self.phase = phase
        self.deadline = deadline
        self.progressed_at = now
        self._unrated = 0

    def record_progress(self, count: int, now: float) -> None:
        """Record that bytes have arrived."""
        self._unrated += count
        if self._unrated >= PROGRESS_BYTES:
            self._unrated = 0
            self.progressed_at = now


class Listener:
    """Connections to one address.

    Parameters
    ----------
    max_connections : int
        Most connections.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.states: set[ConnectionState] = set()


class EvictionOrder(ABC):
    """Order in which connections that are receiving a request are ended."""

    @abstractmethod
    def weight(self, state: ConnectionState, now: float) -> tuple[float, int]:
        """Return the weight of a connection; the heaviest is ended first."""


class HeaviestFirst(EvictionOrder):
    """Ends the connection first that holds the most for the longest without progress."""

    @override
    def weight(self, state: ConnectionState, now: float) -> tuple[float, int]:
        return state.received * (now - state.progressed_at), state.received


class NewestFirst(EvictionOrder):
    """Ends the connection first that has made progress last: the simple baseline."""

    @override
    def weight(self, state: ConnectionState, now: float) -> tuple[float, int]:
        return state.progressed_at, state.received


class ConnectionTable:
    """All connections of a process to its servers, and the bytes that requests on them take.

    Parameters
    ----------
    max_bytes : int
        Most bytes of requests on all connections together.
    order : EvictionOrder, optional
        Order in which connections are ended; by default `HeaviestFirst`.
    """

    def __init__(self, max_bytes: int, order: EvictionOrder | None = None) -> None:
        self._max_bytes = max_bytes
        self._order = order or HeaviestFirst()
        self._max_in_progress = int(max_bytes * IN_PROGRESS_SHARE)
        self._listeners: list[Listener] = []
        self._held = 0
        self._in_progress = 0

    @property
    def held(self) -> int:
        """Bytes of all requests."""
        return self._held

    @property
    def in_progress(self) -> int:
        """Bytes of the requests among them that were handed on."""
        return self._in_progress

    @property
    def connections(self) -> int:
        """Number of connections."""
        return sum(len(listener.states) for listener in self._listeners)

    def listen(self, max_connections: int) -> Listener:
        """Add an address."""
        listener = Listener(max_connections)
        self._listeners.append(listener)
        return listener

    def add(self, state: ConnectionState, now: float) -> list[ConnectionState]:
        """Add a connection, and return those that have to make room for it.

        The new one is among them if requests are in progress on too many others. A connection that
        is refused stays for a moment, so there may be one more than the limit.
        """
        listener = state.listener
        excess = len(listener.states) + 1 - listener.max_connections
        ended: list[ConnectionState] = []
        if excess > 0:
            ended = self._least_useful(listener, excess, now)
            if len(ended) < excess:
                ended.append(state)
        listener.states.add(state)
        return ended

    def remove(self, state: ConnectionState) -> None:
        """Remove a connection that is closed; a request that was handed on still counts."""
        self.forget(state, state.received)
        state.listener.states.discard(state)

    def receive(self, state: ConnectionState, count: int, now: float) -> list[ConnectionState]:
        """Count bytes of a request that is being received, and return who has to make room."""
        state.received += count
        state.record_progress(count, now)
        self._held += count
        return self._overweight(now) if self._held > self._max_bytes else []

    def forget(self, state: ConnectionState, count: int) -> None:
        """Count bytes that were received, and not handed on, as no longer held."""
        state.received -= count
        self._held -= count

    def hand_on(self, state: ConnectionState, count: int, now: float) -> bool:
        """Count a whole request as handed on, and return whether there is room for it."""
        if self._in_progress + RESERVED_REQUESTS * count > self._max_in_progress:
            return False
        state.received -= count
        self._in_progress += count
        state.enter(Phase.IN_PROGRESS, now)
        return True

    def finish(self, count: int) -> None:
        """Count a request that was handed on as done with."""
        self._held -= count
        self._in_progress -= count

    def close(self, state: ConnectionState, now: float, seconds: float) -> None:
        """Count a connection as closing; it expires after some seconds."""
        self.forget(state, state.received)
        state.enter(Phase.CLOSING, now, now + seconds)

    def expired(self, listener: Listener, now: float) -> list[ConnectionState]:
        """Return the connections whose deadline has passed."""
        return [state for state in listener.states if state.deadline <= now]

    def _overweight(self, now: float) -> list[ConnectionState]:
        """Return the connections that hold the most for the longest, until the others fit."""
        holders = [s for listener in self._listeners for s in listener.states if s.received > 0]
        holders.sort(key=lambda state: self._order.weight(state, now), reverse=True)
        ended = []
        target = self._max_bytes * (1 - SPARE_SHARE)
        for state in holders:
            if self._held <= target:
                break
            self.forget(state, state.received)
            ended.append(state)
        return ended

    def _least_useful(self, listener: Listener, excess: int, now: float) -> list[ConnectionState]:
        """Return connections that make room for others: closing ones, idle ones, then receiving."""
        count = max(int(listener.max_connections * SPARE_SHARE), excess)
        candidates = [s for s in listener.states if s.phase is not Phase.IN_PROGRESS]
        return heapq.nsmallest(count, candidates, key=lambda state: self._usefulness(state, now))

    def _usefulness(self, state: ConnectionState, now: float) -> tuple[int, float, int]:
        if state.phase is Phase.CLOSING:
            return 0, state.progressed_at, 0
        if state.phase is Phase.IDLE:
            return 1, state.progressed_at, 0
        weight, received = self._order.weight(state, now)
        return 2, -weight, -received
