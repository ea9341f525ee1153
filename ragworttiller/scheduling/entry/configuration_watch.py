"""Confirms the configuration through other entries while the store does not answer."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
from typing_extensions import override

from ragworttiller.exceptions import LogUnavailable, RagworttillerError, Unreadable
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.configuration_pieces import short_value
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.confirmation import (
    ASK_AGE_SECONDS,
    STALE_AGE_SECONDS,
    Confirmation,
)
from ragworttiller.scheduling.entry.peer_messages import ConfigurationAnswer, ConfigurationQuery
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.queue_fold import QueueFold

log = logging.getLogger(__name__)

ASK_PERIOD_SECONDS = 0.5
# Less than the period, so that rounds do not overlap.
ANSWER_TIMEOUT_SECONDS = 0.4
# A round that began more recently is not repeated: its result still holds.
MIN_ROUND_INTERVAL_SECONDS = 0.45
# One of two entries may be cut off as well.
MAX_ASKED = 2
# An entry that starts without the store relies on the later version of this many others.
MIN_ANSWERS_TO_START = 2
# Stands for the store in a line about an error; no entry has an empty name.
STORE = ""


class ConfigurationWatch(Confirmation):
    """Confirmation by the feed of the configuration and by other entries.

    An answer of another entry that knew its version to be the newest one ``age`` seconds ago
    confirms this entry's for the same time, since this entry takes a later version from it.

    Parameters
    ----------
    config : QueueFold
        Configuration of this entry.
    feed : Feed
        Feed of the configuration.
    peers : Peers
        Connections to the other entries.
    transfer : ConfigurationTransfer
        Takes long configurations from other entries.
    names : Callable
        Returns the names of all announced entries.
    owner : Callable
        Returns the name of the cell's owner. It is asked last, as its processor is the busiest.
    clock : Clock
        Source of time.
    has_workspaces : bool
        Whether the deployment has workspaces, even if no configuration was read yet. Without
        workspaces no entry is asked.
    """

    def __init__(
        self,
        config: QueueFold,
        feed: Feed,
        peers: Peers,
        transfer: ConfigurationTransfer,
        names: Callable[[], set[str]],
        owner: Callable[[], str],
        clock: Clock,
        has_workspaces: bool,
    ) -> None:
        self._config = config
        self._feed = feed
        self._peers = peers
        self._transfer = transfer
        self._names = names
        self._owner = owner
        self._clock = clock
        self._has_workspaces = has_workspaces
        self._confirmed_at = float("-inf")
        self._round_began_at = float("-inf")
        self._round = anyio.Lock()
        self._answered: set[str] = set()
        self._failed: set[str] = set()
        self._reported_stale = False
        peers.handle(ConfigurationQuery, self._serve)

    @property
    @override
    def ready(self) -> bool:
        if self._config.current is None:
            return False
        # Other entries that are cut off the store may have an older version.
        if self._feed.finishing_load:
            return False
        if self._feed.ready or not self._is_needed:
            return True
        # In a cell with one other entry, no second one can ever answer.
        return len(self._answered) >= max(min(MIN_ANSWERS_TO_START, len(self._others())), 1)

    @property
    @override
    def age(self) -> float:
        return min(self._feed.newest_age, self._clock.now() - self._confirmed_at)

    @property
    def _is_needed(self) -> bool:
        current = self._config.current
        return self._has_workspaces or (current is not None and current.workspaces is not None)

    @property
    def _is_confirmed(self) -> bool:
        return self.ready and self.age <= ASK_AGE_SECONDS

    async def run(self) -> None:
        """Ask other entries while the configuration is not confirmed, until cancelled."""
        async for _ in self._clock.ticks(ASK_PERIOD_SECONDS):
            if self._is_needed:
                await self.confirm()
                self._report()

    @override
    async def confirm(self) -> None:
        async with self._round:
            # Callers that waited for a round of another one use its result.
            recent = self._clock.now() - self._round_began_at < MIN_ROUND_INTERVAL_SECONDS
            if not self._is_confirmed and not recent:
                self._round_began_at = self._clock.now()
                await self._ask_all()

    async def _ask_all(self) -> None:
        """Ask some entries, and the store if its feed is late, until one of them confirms."""
        async with anyio.create_task_group() as tasks:
            for name in self._chosen():
                tasks.start_soon(self._ask, name, tasks)
            if self.age > STALE_AGE_SECONDS and not self._feed.reads_long_records:
                # The read in progress may wait for a change; another one returns at once.
                tasks.start_soon(self._read_store, tasks)

    async def _ask(self, name: str, tasks: anyio.abc.TaskGroup) -> None:
        asked_at = self._clock.now()
        try:
            answer: ConfigurationAnswer = await self._peers.call(
                name, ConfigurationQuery(self._config.version), ANSWER_TIMEOUT_SECONDS
            )
            self._take(name, answer, asked_at)
        except Unreadable as exc:
            extra = {"entry": name, "why": str(exc)}
            log.warning("unreadable configuration of another entry skipped", extra=extra)
        except RagworttillerError as exc:
            log.info("configuration query failed", extra={"entry": name, "why": exc.code})
        except Exception:
            self._report_failure(name)
        self._end_if_confirmed(tasks)

    def _take(self, name: str, answer: ConfigurationAnswer, asked_at: float) -> None:
        """Take a later version, and the time for which the answer confirms it."""
        if answer.value and answer.version > self._config.version:
            self._config.adopt(answer.value)
            extra = {"entry": name, "version": answer.version, "age": round(answer.age, 3)}
            log.info("configuration taken from another entry", extra=extra)
        elif answer.version > self._config.version:
            self._transfer.request(name)
        if 0 <= answer.version <= self._config.version and answer.age >= 0:
            self._answered.add(name)
            self._confirmed_at = max(self._confirmed_at, asked_at - answer.age)

    async def _read_store(self, tasks: anyio.abc.TaskGroup) -> None:
        with self._clock.move_on_after(ANSWER_TIMEOUT_SECONDS):
            try:
                await self._feed.catch_up()
            except LogUnavailable:
                return
            except Exception:
                self._report_failure(STORE)
                return
        self._end_if_confirmed(tasks)

    def _end_if_confirmed(self, tasks: anyio.abc.TaskGroup) -> None:
        if self._is_confirmed:
            tasks.cancel_scope.cancel()

    def _report_failure(self, source: str) -> None:
        """Log the unexpected error being handled, once for each source that is asked."""
        if source not in self._failed:
            self._failed.add(source)
            extra = {"source": source}
            log.exception("configuration not confirmed by an unexpected error", extra=extra)

    def _others(self) -> set[str]:
        return self._names() - {self._peers.instance}

    def _chosen(self) -> list[str]:
        """Return the entries to ask: those that have not answered before a start, then any."""
        others = list(self._others())
        random.shuffle(others)
        owner, answered = self._owner(), set() if self.ready else self._answered
        others.sort(key=lambda name: (name in answered, name == owner))
        # While the store answers in time, one entry is enough.
        return others[: 1 if self.ready and self.age <= STALE_AGE_SECONDS else MAX_ASKED]

    def _report(self) -> None:
        """Log the begin and the end of a time without confirmation."""
        is_stale = self.age > STALE_AGE_SECONDS
        if is_stale == self._reported_stale:
            return
        self._reported_stale = is_stale
        extra = {"version": self._config.version}
        if is_stale:
            log.warning("configuration not confirmed", extra=extra)
        else:
            log.info("configuration confirmed again", extra=extra)

    async def _serve(self, sender: str, query: ConfigurationQuery) -> ConfigurationAnswer:
        version = self._config.version
        value = short_value(self._config) if version > query.version else b""
        return ConfigurationAnswer(version, self.age, value)
