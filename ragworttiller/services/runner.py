"""Interface to the runners of upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ragworttiller.platform.exchange import DEFAULT_CONTENT_TYPE, Answer

__all__ = ["DEFAULT_CONTENT_TYPE", "Answer", "Exchange", "RunnerConnection", "RunnerDialer"]


class Exchange(NamedTuple):
    """Request to a runner."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class RunnerConnection(ABC):
    """One connection to a runner, which carries one exchange at a time."""

    @abstractmethod
    async def open(self) -> None:
        """Connect.

        Raises
        ------
        RunnerRefused
            No byte of a request was written.
        """

    @abstractmethod
    async def exchange(self, exchange: Exchange) -> Answer:
        """Send a request and return its whole answer.

        A connection whose exchange was cancelled or failed is closed and never used again.

        Raises
        ------
        RunnerRefused
            No byte of the request was written.
        RunnerBroken
            The request may have reached the runner.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class RunnerDialer(ABC):
    """Creates connections to runners."""

    @abstractmethod
    def connection(self, runner: str, address: str) -> RunnerConnection:
        """Return a new connection that is not yet open."""
