"""Tests of drains by operators."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import InvalidField, NotFound, NotReady
from ragworttiller.resources import Resources
from ragworttiller.services.directory import ListedRunner, ListedWorker, Listing
from ragworttiller.version.drains import CELL_WORKSPACE, DRAIN_KINDS, Drains, check_drain
from ragworttiller.version.registry import Item

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeRegistry:
    """In-memory items; ``offset`` increases with each change."""

    def __init__(self):
        self.offset = 1
        self.ready = True
        self.stored = {}

    def items(self, workspace, kind):
        if not self.ready:
            raise NotReady(instance="a", reason="not read")
        return [
            item
            for item in self.stored.values()
            if (item.workspace, item.kind) == (workspace, kind)
        ]

    def get(self, workspace, kind, name):
        if (kind, name) not in self.stored:
            raise NotFound(kind=kind, name=name)
        return self.stored[kind, name]

    async def publish(self, workspace, kind, name, base, body, author):
        self.offset += 1
        item = Item(workspace, kind, name, self.offset, body or {}, author, 0.0)
        if body is None:
            del self.stored[kind, name]
        else:
            self.stored[kind, name] = item
        return item


def listing():
    workers = [
        ListedWorker(name, "", Resources(1, 1, 0), "fd", "r", [], "live") for name in ("w1", "w2")
    ]
    runners = [ListedRunner("marking", n, "", "fd", 8, 64, "live") for n in ("r1", "w1")]
    return Listing([], runners, workers)


class TestDrains:
    async def test_drained_worker_is_leaving_until_restored(self):
        registry, read = FakeRegistry(), listing()
        drains = Drains(registry, lambda: read)
        assert drains.listing() is read
        await drains.drain("workers", "w1", "op")
        assert [row.state for row in drains.listing().workers] == ["leaving", "live"]
        assert [row.state for row in drains.listing().runners] == ["live", "live"]
        assert drains.listing() is drains.listing()
        await drains.restore("workers", "w1", "op")
        assert drains.listing() is read

    async def test_drain_twice_is_one_drain(self):
        registry = FakeRegistry()
        drains = Drains(registry, listing)
        first = await drains.drain("upstreams", "r1", "op")
        assert await drains.drain("upstreams", "r1", "other") == first
        assert list(registry.stored) == [(DRAIN_KINDS["upstreams"], "r1")]
        assert first.workspace == CELL_WORKSPACE

    async def test_restore_without_a_drain_raises_not_found(self):
        with pytest.raises(NotFound):
            await Drains(FakeRegistry(), listing).restore("instances", "e", "op")

    async def test_drains_stay_in_force_while_the_configuration_is_read_again(self):
        registry, read = FakeRegistry(), listing()
        drains = Drains(registry, lambda: read)
        await drains.drain("workers", "w1", "op")
        assert drains.names("workers") == {"w1"}
        registry.ready, registry.offset = False, 99
        assert drains.listing().workers[0].state == "leaving"

    def test_body_has_no_fields(self):
        with pytest.raises(InvalidField):
            check_drain({"reason": "x"})
