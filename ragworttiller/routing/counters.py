"""Counters of routed requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RoutingCounters:
    """Counts since the start of the process.

    ``requests`` counts callers' requests, ``attempts`` exchanges with runners, ``queued`` attempts
    that had to wait for a runner, ``refused`` attempts that got none.
    """

    requests: int = 0
    attempts: int = 0
    queued: int = 0
    refused: int = 0
    retries: int = 0
    hedges: int = 0
