"""Interface for sending requests to the runners of an upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ragworttiller.services.runner import Answer, Exchange


class UpstreamRequest(NamedTuple):
    """Request to be sent to a runner of an upstream.

    ``subject`` identifies the request in decisions; ``license`` is the log offset of its license,
    0 for idempotent requests; ``budget`` is the time left in seconds.
    """

    subject: str
    workspace: str
    upstream: str
    exchange: Exchange
    license: int
    budget: float


class Sender(ABC):
    """Sends requests to the runners of upstreams."""

    @abstractmethod
    async def send_once(self, request: UpstreamRequest) -> Answer:
        """Send a non-idempotent request at most once.

        Another runner is tried only while no byte of the request was written.

        Raises
        ------
        NoRunner, Overloaded, RunnerRefused
            No byte was written to any runner.
        RunnerBroken, DeadlineExceeded
            The request may have run. If the deadline passes before a byte is written,
            `Overloaded` is raised instead.
        """

    @abstractmethod
    async def send(self, request: UpstreamRequest) -> Answer:
        """Send an idempotent request, with retries and hedging within the retry budget.

        Raises
        ------
        NoRunner, Overloaded, RunnerRefused, RunnerBroken, DeadlineExceeded
            The last failure.
        """
