"""What the connections of a process share: limits, counters, and the end of those that expire."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.connection.connection_table import ConnectionState, ConnectionTable, Listener
from ragworttiller.connection.ended_connections import EndedConnections
from ragworttiller.connection.limits import ConnectionLimits, max_body
from ragworttiller.connection.request_policy import RequestPolicy
from ragworttiller.metrics import Metrics
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

REPORT_SECONDS = 1.0


class ServerGuard(NamedTuple):
    """What all connections to one address share."""

    table: ConnectionTable
    listener: Listener
    ended: EndedConnections
    timers: TimerService
    policy: RequestPolicy


class ServerConnections:
    """All connections to the servers of a process.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits on them together.
    timers : TimerService
        Source of time.
    """

    def __init__(self, limits: ConnectionLimits, timers: TimerService) -> None:
        self._limits = limits
        self._timers = timers
        self._table = ConnectionTable(limits.request_bytes)
        self._ended = EndedConnections()
        self._reported_at = timers.now()

    @property
    def timers(self) -> TimerService:
        """Source of time."""
        return self._timers

    @property
    def limits(self) -> ConnectionLimits:
        """Limits on all connections together."""
        return self._limits

    @property
    def max_body(self) -> int:
        """Bytes of the longest body for which there is room in calm, with its head."""
        return max_body(self._limits)

    @property
    def ended(self) -> EndedConnections:
        """Connections that were ended."""
        return self._ended

    @property
    def open(self) -> int:
        """Number of connections."""
        return self._table.connections

    @property
    def held(self) -> int:
        """Memory of all requests on them, in bytes."""
        return self._table.held

    def guard(self, policy: RequestPolicy, max_connections: int | None = None) -> ServerGuard:
        """Return what the connections to one more address share.

        Parameters
        ----------
        policy : RequestPolicy
            Limits on its requests.
        max_connections : int, optional
            Most connections to it; by default as many as callers may have.
        """
        listener = self._table.listen(max_connections or self._limits.connections)
        return ServerGuard(self._table, listener, self._ended, self._timers, policy)

    def end_expired(self, guard: ServerGuard) -> None:
        """End the connections to an address whose deadline has passed, and log what was ended."""
        now = self._timers.now()
        for state in self._table.expired(guard.listener, now):
            self._expire(state)
        if now >= self._reported_at + REPORT_SECONDS:
            self._reported_at = now
            self._ended.report(self._table.connections, self._table.held)

    def _expire(self, state: ConnectionState) -> None:
        try:
            state.connection.expire()
        except Exception:
            # One connection must not end the server, and must not stay either.
            log.exception("connection not ended in order")
            state.connection.abort()

    def register_metrics(self, metrics: Metrics) -> None:
        """Register what operators see of the connections."""
        table = self._table
        metrics.gauge(
            "connections", "Connections to this process.", lambda: float(table.connections)
        )
        metrics.gauge("request_bytes", "Memory of all requests on them.", lambda: float(table.held))
        metrics.gauge(
            "request_bytes_in_progress",
            "Memory of the requests among them that are worked on.",
            lambda: float(table.in_progress),
        )
        metrics.counter_by_label(
            "connections_ended",
            "Connections that this process has ended, by reason.",
            "reason",
            lambda: self._ended.counts,
        )
