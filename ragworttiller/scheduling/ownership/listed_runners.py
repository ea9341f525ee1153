"""List of runners with which a new owner begins, read while its claim is stored."""

from __future__ import annotations

import logging

import anyio

from ragworttiller.exceptions import LogUnavailable
from ragworttiller.platform.store import RUNNERS_TOPIC, Partition, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.runner_fold import RunnerFold

log = logging.getLogger(__name__)

RUNNERS_READ_INTERVAL_SECONDS = 0.4


class ListedRunners:
    """Runners listed by the platform, loaded once; the owner reads the changes.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Source of time.

    Attributes
    ----------
    fold : RunnerFold
        The runners.
    feed : Feed
        Feed of the runners.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self.fold = RunnerFold(clock.now)
        self.feed = Feed(
            store, Partition(RUNNERS_TOPIC), self.fold, clock, RUNNERS_READ_INTERVAL_SECONDS
        )
        self._load_ended = anyio.Event()

    async def load(self) -> None:
        """Load the list; if that fails, the owner begins without it and loads it then."""
        try:
            await self.feed.load()
        except LogUnavailable as exc:
            log.info("runners not read before the takeover", extra={"why": exc.code})
        except Exception:
            # A claim that is under way must be followed up.
            log.exception("runners not read by an unexpected error")
        finally:
            self._load_ended.set()

    async def wait_load_ended(self) -> None:
        """Wait until the load has ended, whether or not it has succeeded."""
        await self._load_ended.wait()
