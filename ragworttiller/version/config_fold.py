"""Configuration state folded from the records of its stream."""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

import msgspec
from typing_extensions import override

from ragworttiller.process.fold import VALID, Fold, Verdict
from ragworttiller.records import Publish, PurgeTombstones

KEPT_VERSIONS = 4
COMPRESSION_LEVEL = 1


class ItemKey(NamedTuple):
    """Name of a configuration item."""

    workspace: str
    kind: str
    name: str


class ItemVersion(NamedTuple):
    """One version of an item as the fold stores it; ``body`` is JSON, None for a tombstone."""

    version: int
    body: bytes | None
    author: str
    at: float


class Item(NamedTuple):
    """One version of a configuration item, with its name and decoded body.

    ``version`` is the log offset of its record; ``at`` is in seconds since the epoch.
    """

    workspace: str
    kind: str
    name: str
    version: int
    body: dict[str, Any]
    author: str
    at: float


class Change(NamedTuple):
    """Entry of an item's history; ``body`` is None where the item was deleted."""

    version: int
    body: dict[str, Any] | None
    author: str
    at: float


class _State(NamedTuple):
    """Complete state of the fold, as dumped."""

    purged_before: float
    items: list[tuple[ItemKey, list[ItemVersion]]]


class ConfigFold(Fold):
    """Current and latest earlier versions of every item.

    A `Publish` is valid if its base is the item's current version, that is, the offset of the
    latest valid record of the item, tombstones included, or 0; and if its time is not before that
    of the last valid `PurgeTombstones`. `Verdict.detail` of an invalid one is the current version.
    """

    def __init__(self) -> None:
        self._items: dict[ItemKey, list[ItemVersion]] = {}
        self._purged_before = 0.0

    @property
    def items(self) -> dict[ItemKey, list[ItemVersion]]:
        """Versions of each item, oldest first.

        `reset` and `load` replace this mapping and leave the earlier one unchanged.
        """
        return self._items

    @override
    def apply(self, offset: int, record: Any) -> Verdict:
        if isinstance(record, Publish):
            return self._publish(offset, record)
        if isinstance(record, PurgeTombstones):
            return self._purge(record.before)
        return Verdict(False, "foreign")

    @override
    def dump(self) -> bytes:
        state = _State(self._purged_before, sorted(self._items.items()))
        return zlib.compress(msgspec.msgpack.encode(state), COMPRESSION_LEVEL)

    @override
    def load(self, data: bytes) -> None:
        state = msgspec.msgpack.decode(zlib.decompress(data), type=_State)
        self._purged_before = state.purged_before
        self._items = dict(state.items)

    @override
    def reset(self) -> None:
        self._items = {}
        self._purged_before = 0.0

    def tombstones_before(self, wall_time: float) -> int:
        """Return the number of tombstones created before a wall-clock time."""
        return sum(self._is_old_tombstone(versions, wall_time) for versions in self._items.values())

    def _publish(self, offset: int, record: Publish) -> Verdict:
        key = ItemKey(record.workspace, record.kind, record.name)
        versions = self._items.get(key, [])
        current = versions[-1].version if versions else 0
        if record.base != current:
            return Verdict(False, "version_conflict", current)
        if record.at < self._purged_before:
            return Verdict(False, "purged", current)
        newest = ItemVersion(offset, record.body, record.author, record.at)
        self._items[key] = [*versions[1 - KEPT_VERSIONS :], newest]
        return VALID

    def _purge(self, before: float) -> Verdict:
        if before <= self._purged_before:
            return Verdict(False, "purged")
        self._purged_before = before
        for key in [k for k, v in self._items.items() if self._is_old_tombstone(v, before)]:
            del self._items[key]
        return VALID

    def _is_old_tombstone(self, versions: list[ItemVersion], before: float) -> bool:
        return versions[-1].body is None and versions[-1].at < before
