"""Interface through which a request reaches one of an upstream's runners."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ragworttiller.services.runner import Answer, Exchange


class UpstreamRequest(NamedTuple):
    """Request on its way to an upstream.

    ``subject`` names the request in decision lines; ``license`` is the log offset of its license,
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
            The request may have run. `DeadlineExceeded` that came before a byte was written is
            reported as `Overloaded`.
        """

    @abstractmethod
    async def send(self, request: UpstreamRequest) -> Answer:
        """Send an idempotent request, with retries and hedging within the retry budget.

        Raises
        ------
        NoRunner, Overloaded, RunnerRefused, RunnerBroken, DeadlineExceeded
            The last failure.
        """
