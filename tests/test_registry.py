"""Tests of publishing configuration and keeping it in force, on a simulated clock."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import (
    AppendUndecided,
    InvalidField,
    LogUnavailable,
    NotFound,
    VersionConflict,
)
from ragworttiller.process.snapshots import Retention
from ragworttiller.process.stream import Stream
from ragworttiller.records import (
    CONFIG_STREAM,
    RECORD_CODEC,
    Publish,
    PurgeTombstones,
    SnapshotPart,
)
from ragworttiller.version.config_fold import ConfigFold
from tests.config_cell import IN_FORCE_SECONDS, NAMES, ConfigCell


def publish_record(id_, base, body=b"{}", at=0.0):
    return Publish(id_, "ws", "template", "t", base, body, "ann", at)


class TestConfigFold:
    def test_first_of_two_records_with_one_base_wins(self):
        fold = ConfigFold()
        assert fold.apply(1, publish_record("x", 0)).valid
        verdict = fold.apply(2, publish_record("y", 0))
        assert (verdict.valid, verdict.detail) == (False, 1)
        assert fold.apply(3, publish_record("z", 1, None)).valid
        assert not fold.apply(4, publish_record("late", 0)).valid

    def test_state_from_a_dump_equals_state_from_the_start(self):
        fold, copy = ConfigFold(), ConfigFold()
        for offset in range(1, 9):
            fold.apply(offset, publish_record(str(offset), offset - 1))
        copy.load(fold.dump())
        for each in (fold, copy):
            each.apply(9, publish_record("9", 8, None, at=5.0))
            each.apply(10, PurgeTombstones("p", 6.0))
        assert copy.dump() == fold.dump()
        assert copy.items == fold.items == {}

    def test_late_record_from_before_a_purge_is_invalid(self):
        fold = ConfigFold()
        fold.apply(1, publish_record("x", 0, at=10.0))
        fold.apply(2, publish_record("y", 1, None, at=11.0))
        assert fold.apply(3, PurgeTombstones("p", 12.0)).valid
        assert not fold.apply(4, publish_record("late", 0, at=9.0)).valid
        assert fold.apply(5, publish_record("new", 0, at=13.0)).valid
        assert not fold.apply(6, PurgeTombstones("q", 12.0)).valid


class TestRegistry:
    def test_change_is_in_force_everywhere_and_listed(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                first = await cell.publish("a", 1)
                second = await cell.publish("b", 2, first.version)
                assert set(cell.shown().values()) == {second.version}
                registry = cell.registry("c")
                assert registry.get("ws", "template", "t") == second
                assert [row.body for row in registry.history("ws", "template", "t")] == [
                    {"size": 1},
                    {"size": 2},
                ]
                assert registry.items("other") == registry.items(None, "quota") == []
                assert registry.current

        anyio.run(main)

    def test_loser_of_a_race_gets_the_version_of_the_winner(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                first = await cell.publish("a", 1)
                cell.log.append_delay = 0.1
                results = []

                async def race(name, size):
                    registry = cell.registry(name)
                    try:
                        args = ("ws", "template", "t", first.version, {"size": size}, name)
                        results.append(await registry.publish(*args))
                    except VersionConflict as exc:
                        results.append(exc)

                for size, name in enumerate(NAMES):
                    cell.tasks.start_soon(race, name, size)
                await cell.timers.advance(2)
                lost = [r for r in results if isinstance(r, VersionConflict)]
                won = [r for r in results if not isinstance(r, VersionConflict)]
                assert (len(won), len(lost)) == (1, 3)
                assert {exc.fields["current"] for exc in lost} == {won[0].version}
                assert set(cell.shown().values()) == {won[0].version}
                late = await cell.publish("a", 9, first.version)
                assert late.fields == {"name": "t", "current": won[0].version, "base": 2 - 1}

        anyio.run(main)

    def test_invalid_input_is_rejected_without_an_append(self):
        async def main():
            cell = ConfigCell()
            async with cell.running("a"):
                registry = cell.registry("a")
                for args in (
                    ("ws", "shoe", "t", 0, {}),
                    ("", "template", "t", 0, {}),
                    ("ws", "template", "a/b", 0, {}),
                    ("ws", "template", "t", 0, {"x": "y" * 70000}),
                ):
                    with pytest.raises(InvalidField):
                        await registry.publish(*args, "ann")
                with pytest.raises(NotFound):
                    await registry.publish("ws", "template", "t", 0, None, "ann")
                with pytest.raises(NotFound):
                    registry.history("ws", "template", "t")
                assert cell.log.records == 0

        anyio.run(main)

    def test_deleted_item_can_be_recreated_but_not_by_a_late_record(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                cell.log.hold_next = 1
                assert await cell.publish("a", 1, wait=0.1) is None
                created = await cell.publish("b", 2)
                deleted = await cell.publish("b", 0, created.version, has_body=False)
                cell.log.release()
                await cell.timers.advance(6)
                assert set(cell.shown().values()) == {0}
                again = await cell.publish("c", 3)
                assert again.version > deleted.version
                assert set(cell.shown().values()) == {again.version}

        anyio.run(main)

    def test_undecided_publish_is_reported_and_shown_once_appended(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                cell.log.hold_next = 1
                assert isinstance(await cell.publish("a", 1, wait=6), AppendUndecided)
                assert set(cell.shown().values()) == {0}
                cell.log.release()
                await cell.timers.advance(IN_FORCE_SECONDS)
                assert set(cell.shown().values()) == {1}
                cell.log.lose_answers, cell.log.duplicate = 1, 1
                second = await cell.publish("b", 2, 1)
                assert set(cell.shown().values()) == {second.version}

        anyio.run(main)

    def test_log_down_before_publish_changes_nothing(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                cell.log.down = True
                assert isinstance(await cell.publish("a", 1, wait=6), LogUnavailable)
                cell.log.down = False
                await cell.timers.advance(6)
                assert cell.log.records == 0

        anyio.run(main)


def fold_any_snapshot(stream, offset, data):
    """Fold an entry, loading any snapshot even if it is older than the current state."""
    record = RECORD_CODEC.decode_one(data)
    if isinstance(record, SnapshotPart):
        stream.fold.load(record.data)
    else:
        stream._apply(offset, record)


async def append_stale_snapshot(cell):
    """Append a snapshot after a newer version than it contains."""
    first = await cell.publish("a", 1)
    cell.log.hold_next = 1
    cell.instances["a"].stream.post_snapshot()
    await cell.timers.advance(0.1)
    second = await cell.publish("b", 2, first.version)
    cell.log.release()
    await cell.timers.advance(1)
    late = cell.start("late")
    await cell.timers.advance(3)
    assert late.stream.snapshot_as_of == second.version
    assert set(cell.shown().values()) == {second.version}


class TestStaleState:
    def test_late_snapshot_does_not_override_a_newer_version(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                await append_stale_snapshot(cell)

        anyio.run(main)

    def test_reader_that_loads_any_snapshot_is_caught(self, monkeypatch):
        monkeypatch.setattr(Stream, "_fold_entry", fold_any_snapshot)

        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                with pytest.raises(AssertionError):
                    await append_stale_snapshot(cell)

        anyio.run(main)

    def test_state_of_a_lagging_instance_is_not_loaded(self):
        async def main():
            cell = ConfigCell()
            async with cell.running(*NAMES):
                first = await cell.publish("a", 1)
                stream = cell.instances["b"].stream
                old = stream.fold.dump()
                second = await cell.publish("a", 2, first.version)
                assert not stream.load_newer_state(second.version, old)
                assert not stream.load_newer_state(second.version + 1, old)
                stream._begin_search(1)
                assert not stream.load_newer_state(second.version, old)
                assert cell.shown()["b"] == second.version

        anyio.run(main)


class TestRetention:
    def test_live_items_survive_the_retention_of_the_log(self):
        async def main():
            cell = ConfigCell(keep=8, retention=Retention(records=8, seconds=60.0))
            async with cell.running(*NAMES[:2]):
                kept = await cell.publish("a", 1, item="kept")
                version = 0
                for size in range(30):
                    version = (await cell.publish("b", size, version, wait=2.5)).version
                assert len(cell.log.entries(CONFIG_STREAM)) == 8
                fresh = cell.start("z").registry
                await cell.timers.advance(3)
                assert fresh.get("ws", "template", "kept") == kept
                assert fresh.get("ws", "template", "t").version == version

        anyio.run(main)

    def test_owner_that_never_saw_a_snapshot_writes_one_soon(self):
        async def main():
            cell = ConfigCell(retention=Retention(seconds=160.0))
            async with cell.running("a"):
                await cell.publish("a", 1)
                assert cell.log.records == 1
                for number in range(3):
                    cell.start(f"b{number}")
                    cell.kill("a" if number == 0 else f"b{number - 1}")
                    await cell.timers.advance(20)
                assert cell.log.records >= 4

        anyio.run(main)

    def test_instance_cut_off_past_retention_never_shows_an_older_state(self):
        async def main():
            cell = ConfigCell(keep=6, retention=Retention(records=6, seconds=60.0))
            async with cell.running(*NAMES[:2]):
                version = (await cell.publish("a", 0)).version
                lagging = cell.instances["b"]
                lagging.log.down = True
                cell.network.cut("a", "b")
                seen = [version]
                for size in range(1, 12):
                    version = (await cell.publish("a", size, version, wait=2)).version
                lagging.log.down, lagging.log.delay = False, 0.25
                for _ in range(40):
                    await cell.timers.advance(0.1)
                    seen.append(cell.shown()["b"])
                assert seen == sorted(seen)
                assert seen[-1] == version

        anyio.run(main)
