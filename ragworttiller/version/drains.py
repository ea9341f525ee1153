"""Drains of workers, runners and instances, stored as configuration items.

A drained worker or runner is treated as leaving, whatever its state in the platform's list.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ragworttiller.exceptions import InvalidField, NotReady
from ragworttiller.services.directory import Listing
from ragworttiller.version.registry import Item, Registry

CELL_WORKSPACE = "cell"
DRAIN_KINDS = {
    "workers": "drain-worker",
    "upstreams": "drain-runner",
    "instances": "drain-instance",
}
LEAVING = "leaving"


def check_drain(body: dict[str, Any]) -> None:
    """Check the body of a drain item, which has no fields; raise `InvalidField` if it has any."""
    for name in body:
        raise InvalidField(field=name, problem="unknown field", allowed="no fields")


class Drains:
    """Drains in force.

    Parameters
    ----------
    registry : Registry
        Current configuration.
    listing : callable
        Returns the platform's list as last read, None before the first read.
    """

    def __init__(self, registry: Registry, listing: Callable[[], Listing | None]) -> None:
        self._registry = registry
        self._listing = listing
        self._offset = -1
        self._names: dict[str, frozenset[str]] = dict.fromkeys(DRAIN_KINDS, frozenset())
        self._unmarked_listing: Listing | None = None
        self._marked_listing: Listing | None = None

    def names(self, collection: str) -> frozenset[str]:
        """Return the drained names of ``workers``, ``upstreams`` (runners) or ``instances``."""
        if self._registry.offset != self._offset:
            self._refresh()
        return self._names[collection]

    def listing(self) -> Listing | None:
        """Return the platform's list with drained workers and runners marked as leaving."""
        listing = self._listing()
        workers, runners = self.names("workers"), self.names("upstreams")
        if listing is None or not (workers or runners):
            return listing
        if listing is not self._unmarked_listing:
            self._unmarked_listing = listing
            self._marked_listing = Listing(
                listing.entries,
                [r._replace(state=LEAVING) if r.runner in runners else r for r in listing.runners],
                [w._replace(state=LEAVING) if w.worker in workers else w for w in listing.workers],
            )
        return self._marked_listing

    async def drain(self, collection: str, name: str, author: str) -> Item:
        """Drain a worker, runner or instance, or return its drain if there is one.

        Raises
        ------
        VersionConflict
            Another operator changed the same drain first.
        """
        for item in self._items(collection):
            if item.name == name:
                return item
        kind = DRAIN_KINDS[collection]
        return await self._registry.publish(CELL_WORKSPACE, kind, name, 0, {}, author)

    async def restore(self, collection: str, name: str, author: str) -> Item:
        """End a drain.

        Raises
        ------
        NotFound
            The name is not drained.
        VersionConflict
            Another operator changed the same drain first.
        """
        kind = DRAIN_KINDS[collection]
        base = self._registry.get(CELL_WORKSPACE, kind, name).version
        return await self._registry.publish(CELL_WORKSPACE, kind, name, base, None, author)

    def _items(self, collection: str) -> list[Item]:
        return self._registry.items(CELL_WORKSPACE, DRAIN_KINDS[collection])

    def _refresh(self) -> None:
        try:
            names = {
                collection: frozenset(item.name for item in self._items(collection))
                for collection in DRAIN_KINDS
            }
        except NotReady:
            return
        self._offset = self._registry.offset
        if names != self._names:
            self._names = names
            self._unmarked_listing = None
