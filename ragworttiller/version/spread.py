"""Exchange of accepted configuration between instances, in addition to the log."""

from __future__ import annotations

import logging
import math
import random
from collections import deque
from typing import Any

import anyio

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.messages import ConfigEntries, ConfigFetch, ConfigState
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.process.stream import Stream
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

CHECK_PERIOD_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0
BOOT_WAIT_SECONDS = 1.0
FORWARD_FANOUT = 2
MAX_RECENT_ENTRIES = 512
MAX_RECENT_BYTES = 256 * 1024


class RecentEntries:
    """Latest raw entries of a stream, with contiguous offsets."""

    def __init__(self) -> None:
        self._entries: deque[bytes] = deque()
        self._next = 1
        self._size = 0

    def add(self, offset: int, data: bytes) -> None:
        """Add an entry; drop all earlier ones if its offset does not follow theirs."""
        if offset != self._next:
            self._entries.clear()
            self._size = 0
        self._entries.append(data)
        self._size += len(data)
        self._next = offset + 1
        while len(self._entries) > MAX_RECENT_ENTRIES or self._size > MAX_RECENT_BYTES:
            self._size -= len(self._entries.popleft())

    def since(self, first: int) -> list[bytes] | None:
        """Return the entries from offset ``first`` on, or None if one of them is not kept."""
        index = first - (self._next - len(self._entries))
        if index < 0 or first > self._next:
            return None
        return list(self._entries)[index:]


class ConfigSpread:
    """Sends entries of the config stream to other instances and fetches missing ones from them.

    Parameters
    ----------
    stream : Stream
        Config stream of this instance.
    peers : Peers
        Messages to other instances.
    membership : Membership
        Live instances, with the config offset that each has reached.
    timers : TimerService
        Source of time.
    rng : random.Random
        Source of randomness for the choice of instances.
    """

    def __init__(
        self,
        stream: Stream,
        peers: Peers,
        membership: Membership,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._stream = stream
        self._peers = peers
        self._membership = membership
        self._timers = timers
        self._rng = rng
        self._recent = RecentEntries()
        self._behind_since = math.inf
        self._wake = anyio.Event()
        stream.observe(self._add_recent)
        peers.handle(ConfigEntries, self._receive_entries)
        peers.handle(ConfigFetch, self._answer_fetch)

    @property
    def others(self) -> list[str]:
        """Live instances other than this one."""
        return [name for name in self._membership.members if name != self._membership.instance]

    @property
    def ahead(self) -> list[str]:
        """Live instances that have read more of the config stream, furthest first."""
        rows = [
            row
            for row in self._membership.members.values()
            if row.instance != self._membership.instance and row.config_offset > self._next_offset
        ]
        self._rng.shuffle(rows)
        return [row.instance for row in sorted(rows, key=lambda row: -row.config_offset)]

    @property
    def behind(self) -> bool:
        """Whether other instances have been ahead for longer than it takes to read the log.

        That time is `CHECK_PERIOD_SECONDS`.
        """
        return self._timers.now() - self._behind_since >= CHECK_PERIOD_SECONDS

    @property
    def _next_offset(self) -> int:
        return self._stream.next_offset if self._stream.has_state else 1

    async def run(self) -> None:
        """Fetch entries that other instances have read and this one has not, until cancelled.

        An instance without a state first waits `BOOT_WAIT_SECONDS` for the log.
        """
        started_at = self._timers.now()
        while True:
            with self._timers.move_on_after(CHECK_PERIOD_SECONDS):
                await self._wake.wait()
            woken, self._wake = self._wake.is_set(), anyio.Event()
            self._membership.set_config_offset(self._next_offset)
            self._update_behind_since()
            if self._stream.has_state:
                if woken or self.behind:
                    await self._fetch(self.ahead[:2])
            elif self._timers.now() - started_at >= BOOT_WAIT_SECONDS:
                await self._fetch(self.ahead[:2] or self.others[:2])

    async def push(self, offset: int) -> None:
        """Send the entries from ``offset`` on to every other live instance.

        Wait until one instance confirms them, at most `CALL_TIMEOUT_SECONDS`.
        """
        entries = self._recent.since(offset)
        others = self.others
        if not entries or not others:
            return
        confirmed = anyio.Event()
        message = ConfigEntries(offset, entries)

        async def confirm(name: str) -> None:
            if await self._is_confirmed(name, message):
                confirmed.set()

        with self._timers.move_on_after(CALL_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for name in others:
                    tasks.start_soon(confirm, name)
                await confirmed.wait()
                tasks.cancel_scope.cancel()

    async def _is_confirmed(self, name: str, message: ConfigEntries) -> bool:
        try:
            reply = await self._peers.call(name, message, CALL_TIMEOUT_SECONDS)
        except RagworttillerError as exc:
            log.info("instance %s did not confirm config entries: %s", name, exc)
            return False
        return reply.above >= message.first + len(message.entries)

    def _update_behind_since(self) -> None:
        """Update the time since which other instances have been ahead."""
        if not self.ahead:
            self._behind_since = math.inf
        else:
            self._behind_since = min(self._behind_since, self._timers.now())

    async def _fetch(self, names: list[str]) -> None:
        for name in names:
            try:
                call = ConfigFetch(self._next_offset)
                answer = await self._peers.call(name, call, CALL_TIMEOUT_SECONDS)
            except RagworttillerError as exc:
                log.info("fetching the configuration from instance %s failed: %s", name, exc)
                continue
            if self._apply_answer(answer):
                return

    def _apply_answer(self, answer: ConfigEntries | ConfigState) -> bool:
        if isinstance(answer, ConfigEntries):
            accepted = self._stream.fold_relayed_entries(answer.first, answer.entries)
        else:
            accepted = self._stream.load_newer_state(answer.as_of, answer.data)
        if accepted:
            self._membership.set_config_offset(self._next_offset)
        return accepted

    def _add_recent(self, offset: int, data: bytes) -> None:
        self._recent.add(offset, data)
        if self._stream.has_state:
            self._membership.set_config_offset(self._stream.next_offset)

    async def _receive_entries(self, _sender: str, message: ConfigEntries) -> ConfigFetch:
        before = self._next_offset
        if not self._stream.fold_relayed_entries(message.first, message.entries):
            self._wake.set()
        elif self._next_offset > before:
            self._forward(before)
        return ConfigFetch(self._next_offset)

    def _forward(self, first: int) -> None:
        """Send new entries to some other instances, which the original sender may not reach."""
        entries = self._recent.since(first)
        others = self.others
        for name in self._rng.sample(others, min(FORWARD_FANOUT, len(others))):
            self._peers.post(name, ConfigEntries(first, entries or []))

    async def _answer_fetch(self, _sender: str, message: ConfigFetch) -> Any:
        entries = self._recent.since(message.above)
        if entries is not None and message.above > 1:
            return ConfigEntries(message.above, entries)
        if not self._stream.has_state:
            return ConfigEntries(message.above, [])
        return ConfigState(self._stream.next_offset, self._stream.fold.dump())
