"""Interface to the platform's directory, its list of instances, runners and workers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ragworttiller.resources import Resources


class ListedEntry(NamedTuple):
    """Entry instance of this cell; ``state`` is ``live`` or ``leaving``."""

    instance: str
    address: str
    http_address: str
    failure_domain: str
    state: str


class ListedRunner(NamedTuple):
    """Runner of an upstream; ``state`` is ``live`` or ``leaving``."""

    upstream: str
    runner: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    state: str


class ListedWorker(NamedTuple):
    """Worker; ``state`` is ``live`` or ``leaving``."""

    worker: str
    address: str
    capacity: Resources
    failure_domain: str
    rack: str
    labels: list[str]
    state: str


class Listing(NamedTuple):
    """Content of the list at one read."""

    entries: list[ListedEntry]
    runners: list[ListedRunner]
    workers: list[ListedWorker]


class Directory(ABC):
    """List of live and leaving instances, runners and workers; it may be out of date."""

    @abstractmethod
    async def list(self) -> Listing:
        """Return the list.

        Raises
        ------
        PlatformUnavailable
            The directory gave no valid answer.
        """
