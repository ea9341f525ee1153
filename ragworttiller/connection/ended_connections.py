"""Connections that a server has ended, counted by reason, and the line that says so."""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class EndReason(StrEnum):
    """Why a server has ended a connection, or refused a request before it was whole."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    ANSWER_NOT_READ = "answer_not_read"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    TOO_MANY_BYTES = "too_many_bytes"
    TOO_MANY_IN_PROGRESS = "too_many_in_progress"


# Reasons that occur with clients that behave.
ORDINARY_REASONS = frozenset({EndReason.IDLE_TIMEOUT})


class EndedConnections:
    """Counts ended connections by reason, and logs them in one line for each reason and report."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._unreported: Counter[str] = Counter()
        self._client = ""

    @property
    def counts(self) -> dict[str, float]:
        """Ended connections by reason."""
        return {reason: self._counts[reason] for reason in EndReason}

    def count(self, reason: EndReason, client: str) -> None:
        """Count one connection of a client, given by its address."""
        self._counts[reason] += 1
        if reason not in ORDINARY_REASONS:
            self._unreported[reason] += 1
            self._client = client

    def report(self, connections: int, held: int) -> None:
        """Log what was counted since the last report.

        Parameters
        ----------
        connections : int
            Connections that are open now.
        held : int
            Bytes of the requests on them.
        """
        for reason, count in self._unreported.items():
            extra = {"reason": reason, "count": count, "last_client": self._client}
            extra |= {"connections": connections, "held_bytes": held}
            log.warning("connections ended", extra=extra)
        self._unreported.clear()
