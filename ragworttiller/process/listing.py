"""Periodic reading of the platform's list."""

from __future__ import annotations

import logging

from ragworttiller.exceptions import PlatformUnavailable
from ragworttiller.services.directory import Directory, Listing
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

EMPTY_LISTING = Listing([], [], [])


class ListingPoller:
    """Keeps the latest reading of the platform's list.

    Parameters
    ----------
    directory : Directory
        The platform's list.
    timers : TimerService
        Source of time.
    period : float
        Seconds between readings.
    """

    def __init__(self, directory: Directory, timers: TimerService, period: float) -> None:
        self._directory = directory
        self._timers = timers
        self._period = period
        self._latest: Listing | None = None

    @property
    def latest(self) -> Listing | None:
        """Latest reading, or None before the first one."""
        return self._latest

    def current(self) -> Listing | None:
        """Return the latest reading, or None before the first one."""
        return self._latest

    async def run(self) -> None:
        """Read the list periodically; during an outage the latest reading stays in use."""
        await self.refresh()
        async for _ in self._timers.ticks(self._period):
            await self.refresh()

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            listing = await self._directory.list()
        except PlatformUnavailable as exc:
            log.warning("platform list was not read: %s", exc)
            return
        if listing != self._latest:
            self._latest = listing
