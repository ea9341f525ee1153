"""Tests of the spread of configuration between instances, on a simulated clock."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import NotReady
from ragworttiller.process.snapshots import Retention
from tests.config_cell import IN_FORCE_SECONDS, NAMES, ConfigCell


async def publish_then_cut_log(cell, name, base=0, size=1):
    """Publish a change on one instance that no other can read from the log."""
    for other, instance in cell.instances.items():
        instance.log.down = other != name
    item = await cell.publish(name, size, base, wait=0.05)
    cell.log.down = True
    return item


class TestConfigSpread:
    def test_log_down_right_after_acceptance(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                item = await publish_then_cut_log(cell, "a")
                assert item.version == 1
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert set(cell.shown().values()) == {1}
                assert all(instance.registry.current for instance in cell.instances.values())

        anyio.run(main)

    def test_publisher_is_killed_after_acceptance_with_the_log_down(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                for other in ("b", "c"):
                    cell.network.cut("a", other)
                item = await publish_then_cut_log(cell, "a")
                cell.kill("a")
                assert item.version == 1
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert set(cell.shown().values()) == {1}

        anyio.run(main)

    def test_instance_cut_from_the_publisher_gets_the_change_through_others(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                cell.network.cut("a", "d")
                await publish_then_cut_log(cell, "a")
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert set(cell.shown().values()) == {1}

        anyio.run(main)

    def test_instance_that_missed_entries_fetches_them(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                cell.instances["d"].log.down = True
                for other in "abc":
                    cell.network.cut(other, "d")
                first = await cell.publish("a", 1)
                second = await cell.publish("a", 2, first.version)
                assert cell.shown()["d"] == 0
                cell.network.heal()
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert set(cell.shown().values()) == {second.version}

        anyio.run(main)

    def test_new_instance_in_an_outage_gets_the_state_from_a_peer(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                first = await cell.publish("a", 1)
                second = await cell.publish("a", 2, first.version)
                cell.log.down = True
                await cell.timers.advance(6)
                new = cell.start("e").registry
                with pytest.raises(NotReady):
                    new.items()
                assert not new.ready
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert new.get("ws", "template", "t") == second
                assert new.current
                cell.log.down = False
                third = await cell.publish("e", 3, second.version, wait=2)
                assert set(cell.shown().values()) == {third.version}

        anyio.run(main)

    def test_lone_instance_cannot_prove_that_it_is_current(self):
        async def main():
            cell = ConfigCell()
            async with cell.running("a"):
                assert cell.registry("a").current
                cell.log.down = True
                await cell.timers.advance(20)
                assert not cell.registry("a").current
                assert cell.registry("a").ready

        anyio.run(main)

    def test_every_instance_replaced_one_by_one(self):
        async def main():
            cell = ConfigCell(keep=12, retention=Retention(records=12, seconds=40.0))
            async with cell.running(*NAMES):
                version = 0
                for number in range(8):
                    oldest = next(iter(cell.instances))
                    version = (await cell.publish(oldest, number, version)).version
                    cell.start(f"new-{number}")
                    await cell.timers.advance(3)
                    cell.kill(oldest)
                    await cell.timers.advance(3)
                    assert set(cell.shown().values()) == {version}
                assert not set(NAMES) & set(cell.instances)

        anyio.run(main)
