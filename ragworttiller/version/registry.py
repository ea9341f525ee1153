"""Configuration items: reading them, and publishing by compare-and-set."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from ragworttiller.exceptions import InvalidField, NotFound, NotReady, VersionConflict
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.process.snapshots import DEFAULT_RETENTION, Retention
from ragworttiller.process.stream import READ_WAIT_SECONDS, Stream
from ragworttiller.records import Publish
from ragworttiller.timers import TimerService
from ragworttiller.version.config_fold import (
    Change,
    ConfigFold,
    Item,
    ItemKey,
    ItemVersion,
)
from ragworttiller.version.retention import ConfigRetention
from ragworttiller.version.spread import ConfigSpread

PUBLISH_TIMEOUT_SECONDS = 5.0
FRESH_READ_SECONDS = READ_WAIT_SECONDS + 2.0
MAX_BODY_BYTES = 64 * 1024
MAX_NAME_LENGTH = 100
NEVER_EXISTED = 0

Check = Callable[[dict[str, Any]], None]


class Registry:
    """Configuration items as this instance knows them.

    A state that was once shown is never replaced by an older one: while the stream looks for a
    snapshot, the last whole state stays in force.

    Parameters
    ----------
    stream : Stream
        Config stream, whose fold is a `ConfigFold`; the caller runs it.
    peers : Peers
        Messages to other instances.
    membership : Membership
        Live instances.
    timers : TimerService
        Source of time.
    checks : dict of str to callable
        For each kind, a function that raises `InvalidField` for a bad body.
    retention : Retention
        What the log keeps.
    rng : random.Random, optional
        Source of the choice between instances.
    """

    def __init__(
        self,
        stream: Stream,
        peers: Peers,
        membership: Membership,
        timers: TimerService,
        checks: dict[str, Check],
        retention: Retention = DEFAULT_RETENTION,
        rng: random.Random | None = None,
    ) -> None:
        assert isinstance(stream.fold, ConfigFold)
        self._stream = stream
        self._fold = stream.fold
        self._timers = timers
        self._checks = checks
        self._instance = membership.instance
        self._spread = ConfigSpread(stream, peers, membership, timers, rng or random.Random())
        self._retention = ConfigRetention(stream, self._fold, membership, timers, retention)
        self._kept: dict[ItemKey, list[ItemVersion]] | None = None
        self._decoded: dict[ItemKey, Item] = {}
        stream.before_reset(self._keep)

    @property
    def offset(self) -> int:
        """Next config offset that this instance will fold."""
        return self._stream.next_offset

    @property
    def ready(self) -> bool:
        """Whether there is a configuration to show, current or not."""
        return self._kept is not None or self._stream.has_state

    @property
    def current(self) -> bool:
        """Whether nothing speaks against this instance knowing the newest configuration.

        It has read the log lately, or there are other live instances; and none of them has read
        further for longer than a moment.
        """
        if not self._stream.has_state or self._spread.behind:
            return False
        return self._has_read_lately() or bool(self._spread.others)

    async def run(self) -> None:
        """Spread entries and write them forward until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._spread.run)
            tasks.start_soon(self._retention.run)

    def get(self, workspace: str, kind: str, name: str) -> Item:
        """Return the current version of an item.

        Raises
        ------
        NotFound
            There is no such item.
        NotReady
            This instance has no configuration yet.
        """
        key = ItemKey(workspace, kind, name)
        versions = self._items().get(key)
        if versions is None or versions[-1].body is None:
            raise NotFound(kind=kind, name=name)
        return self._item(key, versions[-1])

    def items(self, workspace: str | None = None, kind: str | None = None) -> list[Item]:
        """Return the current items of a workspace, of a kind, or all, in the order of their names.

        Raises
        ------
        NotReady
            This instance has no configuration yet.
        """
        return [
            self._item(key, versions[-1])
            for key, versions in sorted(self._items().items())
            if versions[-1].body is not None
            and workspace in (None, key.workspace)
            and kind in (None, key.kind)
        ]

    def history(self, workspace: str, kind: str, name: str) -> list[Change]:
        """Return the latest versions of an item, oldest first, deletions included.

        Raises
        ------
        NotFound
            There was never such an item, or it was deleted long ago.
        NotReady
            This instance has no configuration yet.
        """
        versions = self._items().get(ItemKey(workspace, kind, name))
        if versions is None:
            raise NotFound(kind=kind, name=name)
        return [
            Change(row.version, None if row.body is None else _decode(row.body), row.author, row.at)
            for row in versions
        ]

    async def publish(
        self,
        workspace: str,
        kind: str,
        name: str,
        base: int,
        body: dict[str, Any] | None,
        author: str,
        timeout: float = PUBLISH_TIMEOUT_SECONDS,
    ) -> Item:
        """Change an item whose current version is ``base``, 0 for one that does not exist.

        A ``body`` of None deletes the item. The change is in the log, read back from there, and
        held by another live instance, if there is one that answers, when this returns.

        Raises
        ------
        VersionConflict
            Another change came first; its version is named.
        InvalidField
            The name or the body is not allowed.
        NotFound
            The item to delete does not exist.
        NotReady
            This instance has no configuration yet.
        LogUnavailable
            The change was not made and will not be.
        AppendUndecided
            The change may have been made or may still be; `history` tells once it is.
        """
        self._check(workspace, kind, name, body)
        key = ItemKey(workspace, kind, name)
        base = self._effective_base(key, base, body)
        encoded = None if body is None else msgspec.json.encode(body)
        if encoded is not None and len(encoded) > MAX_BODY_BYTES:
            raise InvalidField(
                field="body",
                problem=f"{len(encoded)} bytes",
                allowed=f"up to {MAX_BODY_BYTES} bytes",
            )
        at = self._timers.wall()
        record = Publish(self._stream.record_id(), *key, base, encoded, author, at)
        committed = await self._stream.commit(record, timeout)
        if not committed.verdict.valid:
            raise VersionConflict(name=name, current=committed.verdict.detail, base=base)
        await self._spread.push(committed.offset)
        return Item(*key, committed.offset, body or {}, author, at)

    def _check(self, workspace: str, kind: str, name: str, body: dict[str, Any] | None) -> None:
        if kind not in self._checks:
            raise InvalidField(field="kind", problem=kind, allowed=", ".join(sorted(self._checks)))
        for field, text in (("workspace", workspace), ("name", name)):
            if not 0 < len(text) <= MAX_NAME_LENGTH or "/" in text:
                allowed = f"1 to {MAX_NAME_LENGTH} characters without /"
                raise InvalidField(field=field, problem=text[:MAX_NAME_LENGTH], allowed=allowed)
        if body is not None:
            self._checks[kind](body)

    def _effective_base(self, key: ItemKey, base: int, body: dict[str, Any] | None) -> int:
        """Return the base for the record: that of an item to be made again is its tombstone."""
        versions = self._items().get(key)
        newest = versions[-1] if versions else ItemVersion(NEVER_EXISTED, None, "", 0.0)
        if newest.body is None and body is None:
            raise NotFound(kind=key.kind, name=key.name)
        if newest.body is None and base == NEVER_EXISTED:
            return newest.version
        if base < newest.version:
            raise VersionConflict(name=key.name, current=newest.version, base=base)
        return base

    def _keep(self) -> None:
        self._kept = self._fold.items

    def _items(self) -> dict[ItemKey, list[ItemVersion]]:
        items = self._fold.items if self._stream.has_state else self._kept
        if items is None:
            raise NotReady(instance=self._instance, reason="the configuration was not read yet")
        return items

    def _item(self, key: ItemKey, row: ItemVersion) -> Item:
        item = self._decoded.get(key)
        if item is None or item.version != row.version:
            assert row.body is not None
            item = Item(*key, row.version, _decode(row.body), row.author, row.at)
            self._decoded[key] = item
        return item

    def _has_read_lately(self) -> bool:
        age = self._timers.now() - self._stream.last_read_at
        return self._stream.ready and age <= FRESH_READ_SECONDS


def _decode(body: bytes) -> dict[str, Any]:
    return msgspec.json.decode(body, type=dict[str, Any])
