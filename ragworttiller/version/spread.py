"""Spread of accepted configuration between instances, beside the log."""

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
PASS_ON_FANOUT = 2
RECENT_ENTRIES = 512
RECENT_BYTES = 256 * 1024


class RecentEntries:
    """Latest raw entries of a stream, without a gap."""

    def __init__(self) -> None:
        self._entries: deque[bytes] = deque()
        self._next = 1
        self._size = 0

    def add(self, offset: int, data: bytes) -> None:
        """Keep one more entry; after a gap only later entries count."""
        if offset != self._next:
            self._entries.clear()
            self._size = 0
        self._entries.append(data)
        self._size += len(data)
        self._next = offset + 1
        while len(self._entries) > RECENT_ENTRIES or self._size > RECENT_BYTES:
            self._size -= len(self._entries.popleft())

    def since(self, first: int) -> list[bytes] | None:
        """Return the entries from offset ``first`` on, or None if one of them is gone."""
        missing = first - (self._next - len(self._entries))
        if missing < 0 or first > self._next:
            return None
        return list(self._entries)[missing:]


class ConfigSpread:
    """Passes entries of the config stream to other instances and asks them for missing ones.

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
        Source of the choice between instances.
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
        stream.observe(self._note)
        peers.handle(ConfigEntries, self._take_entries)
        peers.handle(ConfigFetch, self._answer_fetch)

    @property
    def others(self) -> list[str]:
        """Live instances but this one."""
        return [name for name in self._membership.members if name != self._membership.instance]

    @property
    def ahead(self) -> list[str]:
        """Live instances that have read more of the config stream, furthest first."""
        rows = [
            row
            for row in self._membership.members.values()
            if row.instance != self._membership.instance and row.config_offset > self._reached
        ]
        self._rng.shuffle(rows)
        return [row.instance for row in sorted(rows, key=lambda row: -row.config_offset)]

    @property
    def behind(self) -> bool:
        """Whether others have been ahead for longer than it takes to read the log."""
        return self._timers.now() - self._behind_since >= CHECK_PERIOD_SECONDS

    @property
    def _reached(self) -> int:
        return self._stream.next_offset if self._stream.has_state else 1

    async def run(self) -> None:
        """Fetch what other instances have read and this one has not, until cancelled."""
        started_at = self._timers.now()
        while True:
            with self._timers.move_on_after(CHECK_PERIOD_SECONDS):
                await self._wake.wait()
            woken, self._wake = self._wake.is_set(), anyio.Event()
            self._membership.set_config_offset(self._reached)
            self._compare()
            if self._stream.has_state:
                if woken or self.behind:
                    await self._fetch(self.ahead[:2])
            elif self._timers.now() - started_at >= BOOT_WAIT_SECONDS:
                await self._fetch(self.ahead[:2] or self.others[:2])

    async def push(self, offset: int) -> None:
        """Send the entry at ``offset`` to every live instance and wait until one has it."""
        entries = self._recent.since(offset)
        others = self.others
        if not entries or not others:
            return
        held = anyio.Event()
        message = ConfigEntries(offset, entries)

        async def confirm(name: str) -> None:
            if await self._is_held(name, message):
                held.set()

        with self._timers.move_on_after(CALL_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for name in others:
                    tasks.start_soon(confirm, name)
                await held.wait()
                tasks.cancel_scope.cancel()

    async def _is_held(self, name: str, message: ConfigEntries) -> bool:
        try:
            wanted = await self._peers.call(name, message, CALL_TIMEOUT_SECONDS)
        except RagworttillerError as exc:
            log.info("config entries did not reach %s: %s", name, exc)
            return False
        return wanted.above >= message.first + len(message.entries)

    def _compare(self) -> None:
        """Note since when others have been ahead."""
        if not self.ahead:
            self._behind_since = math.inf
        else:
            self._behind_since = min(self._behind_since, self._timers.now())

    async def _fetch(self, names: list[str]) -> None:
        for name in names:
            try:
                call = ConfigFetch(self._reached)
                answer = await self._peers.call(name, call, CALL_TIMEOUT_SECONDS)
            except RagworttillerError as exc:
                log.info("config was not fetched from %s: %s", name, exc)
                continue
            if self._absorb(answer):
                return

    def _absorb(self, answer: ConfigEntries | ConfigState) -> bool:
        if isinstance(answer, ConfigEntries):
            taken = self._stream.fold_relayed_entries(answer.first, answer.entries)
        else:
            taken = self._stream.load_newer_state(answer.as_of, answer.data)
        if taken:
            self._membership.set_config_offset(self._reached)
        return taken

    def _note(self, offset: int, data: bytes) -> None:
        self._recent.add(offset, data)
        if self._stream.has_state:
            self._membership.set_config_offset(self._stream.next_offset)

    async def _take_entries(self, _sender: str, message: ConfigEntries) -> ConfigFetch:
        before = self._reached
        if not self._stream.fold_relayed_entries(message.first, message.entries):
            self._wake.set()
        elif self._reached > before:
            self._pass_on(before)
        return ConfigFetch(self._reached)

    def _pass_on(self, first: int) -> None:
        """Send what was new here to some others, whom the sender may not reach."""
        entries = self._recent.since(first)
        others = self.others
        for name in self._rng.sample(others, min(PASS_ON_FANOUT, len(others))):
            self._peers.post(name, ConfigEntries(first, entries or []))

    async def _answer_fetch(self, _sender: str, message: ConfigFetch) -> Any:
        entries = self._recent.since(message.above)
        if entries is not None and message.above > 1:
            return ConfigEntries(message.above, entries)
        if not self._stream.has_state:
            return ConfigEntries(message.above, [])
        return ConfigState(self._stream.next_offset, self._stream.fold.dump())
