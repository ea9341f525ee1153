"""Tests that a configuration reaches entries whose links take long for it."""

from __future__ import annotations

import json
import random
import zlib
from operator import le
from typing import Any

import anyio
import pytest

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.store import CONFIG_KEY, CONFIG_TOPIC
from ragworttiller.scheduling.entry.callers import CallerRequest
from ragworttiller.scheduling.entry.configuration_pieces import (
    PIECE_BYTES,
    ConfigurationNotice,
    ConfigurationPiece,
    ConfigurationPieceQuery,
    PieceBuffer,
)
from standins.platform.bandwidth import Bandwidth
from tests.entry_rig import BODY
from tests.scheduling_rig import JOB, QUEUE
from tests.workspace_keys_rig import (
    BLUE,
    CONFIG_APPLY_SECONDS,
    RED,
    RED_KEY,
    KeyedCell,
    KeyedEntry,
    with_cell,
)

SLOW_BYTES_PER_SECOND = 625_000
FAST_BYTES_PER_SECOND = 12_500_000
# A record in an answer of the store, to its value.
BASE64_RATIO = 4 / 3
# Calls of other parts of an entry that share its link.
SHORT_CALL_BYTES = 2_000
SHORT_CALL_SECONDS = 0.3
# Of the configurations below.
COMPRESSED_SHARE = 0.1
# A read that was cut off, and two transfers of the longest of them over a slow link.
CALM_SECONDS = 8.0


def long_configuration(version: int, routes: int, has_workspaces: bool = True) -> bytes:
    """Return a configuration of about 220 bytes a route."""
    route = {"host": QUEUE.host, "service": "desk", "priority": 1, "attempts": 3}
    route |= {"slack_factor": 1.5, "target_latency_ms": 250.0, "timeout_ms": 30_000}
    route |= {"placement_advisor": {"decision_ms": 29.9, "per_worker_ms": 0.4, "validity_ms": 2500}}
    first = {**route, "name": "q", "path_prefix": QUEUE.prefix}
    names = random.Random(version)
    rows = [
        {**route, "name": names.randbytes(8).hex(), "path_prefix": f"/{names.randbytes(8).hex()}/"}
        for _ in range(routes)
    ]
    fields: dict[str, Any] = {"version": version, "routes": [first, *rows]}
    if has_workspaces:
        fields["tenants"] = [RED, BLUE]
    return json.dumps(fields).encode()


class SlowCell:
    """Entries with links of limited bandwidth: a few fast ones, and slow ones."""

    def __init__(self, cell: KeyedCell, fast: int, slow: int, **options: Any):
        self.cell = cell
        self.entries: list[KeyedEntry] = []
        self.links: dict[str, Bandwidth] = {}
        for number in range(fast + slow):
            rate = FAST_BYTES_PER_SECOND if number < fast else SLOW_BYTES_PER_SECOND
            name = f"e{number}"
            self.links[name] = cell.network.links[name] = Bandwidth(cell.timers, rate)
            self.entries.append(cell.add(name, bandwidth=self.links[name], **options))
            cell.run(self.entries[-1])

    def configure(self, version: int, routes: int) -> int:
        """Write a long configuration and return its length in bytes."""
        value = long_configuration(version, routes)
        self.cell.service.put(CONFIG_TOPIC, CONFIG_KEY, value)
        return len(value)

    def versions(self) -> list[int]:
        """Return the version that each entry has in force."""
        return [entry.config.version for entry in self.entries]

    async def short_call_seconds(self, name: str) -> float:
        """Return the time that a short transfer takes on the link of an entry, in seconds."""
        began = self.cell.timers.now()
        await self.links[name].carry(SHORT_CALL_BYTES)
        return self.cell.timers.now() - began


class TestTransfers:
    def test_a_transfer_goes_on_with_another_entry(self):
        """Guards against a transfer that begins anew whenever its source is lost."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=2, slow=1)
            await cell.timers.sleep(2.0)
            length = rig.configure(2, 12_600)
            link, before = rig.links["e2"], rig.links["e2"].carried
            while link.carried < before + COMPRESSED_SHARE * length / 2:
                await cell.timers.sleep(0.01)
            asked = [name for name, kind in cell.network.asked if kind is ConfigurationPieceQuery]
            cell.network.silent.add(asked[-1])
            await cell.timers.sleep(CONFIG_APPLY_SECONDS)
            assert rig.entries[2].config.version == 2
            assert link.carried - before < 1.3 * COMPRESSED_SHARE * length

        with_cell(body)

    def test_a_version_that_arrives_from_the_store_meanwhile_ends_a_transfer(
        self, caplog: pytest.LogCaptureFixture
    ):
        """Guards against a source that is avoided, since it has nothing later any more."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=1, slow=1)
            await cell.timers.sleep(2.0)
            value, link = long_configuration(2, 12_600), rig.links["e1"]
            before = link.carried
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, value)
            while link.carried < before + COMPRESSED_SHARE * len(value) / 2:
                await cell.timers.sleep(0.01)
            rig.entries[1].config.adopt(value)
            await cell.timers.sleep(1.0)
            assert "unreadable" not in caplog.text

        with_cell(body)

    def test_a_source_that_has_started_again_without_the_store_holds_nobody_up(self):
        """Guards against entries that ask for ever the one that once had a version."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=1, slow=2)
            await cell.timers.sleep(2.0)
            rig.entries[0].transfer.announce = lambda: None
            for entry in rig.entries[1:]:
                await entry.transfer._take_notice("e0", ConfigurationNotice(2))
            rig.entries[0].link.refused = True
            await cell.timers.sleep(2.0)
            rig.configure(2, 4200)
            await cell.timers.sleep(2 * CONFIG_APPLY_SECONDS)
            assert rig.versions() == [2, 2, 2]

        with_cell(body)

    def test_entries_that_do_not_answer_hold_nobody_up(self):
        """Guards against a read of the store that waits for the slowest of those asked."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=0, slow=10)
            await cell.timers.sleep(2.0)
            cell.network.silent = {"e0", "e1", "e2"}
            rig.configure(2, 4200)
            await cell.timers.sleep(CONFIG_APPLY_SECONDS)
            assert rig.versions()[3:] == [2] * 7

        with_cell(body)

    def test_positions_of_versions_that_were_not_taken_are_not_skipped(self):
        """Guards against an entry that skips a version it does not have."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=1, slow=1)
            await cell.timers.sleep(2.0)
            fast = cell.network.handlers["e0"]
            serve = fast[ConfigurationPieceQuery]

            async def serve_garbage(sender, query):
                return (await serve(sender, query))._replace(data=b"x")

            fast[ConfigurationPieceQuery] = serve_garbage
            rig.configure(2, 4200)
            await cell.timers.sleep(2 * CONFIG_APPLY_SECONDS)
            assert rig.versions() == [2, 2]

        with_cell(body)

    def test_entries_that_read_a_long_configuration_tell_the_others(self):
        """Guards against entries that have to find by chance who has it."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=1, slow=40)
            await cell.timers.sleep(2.0)
            rig.configure(2, 1400)
            await cell.timers.sleep(0.5)
            notices = [kind for _, kind in cell.network.posted].count(ConfigurationNotice)
            assert 0 < notices < 41

        with_cell(body)

    @pytest.mark.parametrize("routes", [200, 1400])
    def test_requests_passed_on_do_not_carry_a_configuration_each(self, routes: int):
        """Guards against a link that is full of one configuration for each request."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=1, slow=1)
            await cell.timers.sleep(2.0)
            slow = rig.entries[1]
            slow.link.refused = True
            await cell.timers.sleep(3.0)
            length, before = rig.configure(2, routes), rig.links["e1"].carried
            request = CallerRequest("POST", QUEUE.host, QUEUE.prefix + JOB, BODY, 2.0, key=RED_KEY)
            statuses = []

            async def ask():
                statuses.append((await slow.relaying.answer(request)).status)

            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(ask)
                    await cell.timers.sleep(0.02)
            assert statuses == [200] * 10
            assert slow.config.version == 2
            assert rig.links["e1"].carried - before < length

        with_cell(body)

    @pytest.mark.parametrize("data", [b"", b"x", zlib.compress(bytes(PIECE_BYTES + 1))])
    def test_a_malformed_piece_is_not_taken(self, data: bytes):
        buffer = PieceBuffer(2, 2)
        with pytest.raises(Unreadable):
            buffer.add(0, ConfigurationPiece(2, 5, 2, data))
        assert buffer.next_missing == 0

    def test_a_wrong_number_of_pieces_does_not_close_a_version(self):
        """Guards against correct entries that are avoided after one wrong answer."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=2, slow=1)
            await cell.timers.sleep(2.0)
            slow = rig.entries[2]
            slow.transfer._buffer = PieceBuffer(2, 77)
            slow.link.refused = True
            rig.configure(2, 4200)
            await cell.timers.sleep(2 * CONFIG_APPLY_SECONDS)
            assert slow.config.version == 2

        with_cell(body)


class TestSlowLinks:
    @pytest.mark.parametrize("routes", [1400, 4200, 12_600])
    def test_each_entry_has_a_long_configuration_in_time(self, routes: int):
        """Guards against reads and questions that are given up, and repeated from the start."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=2, slow=10)
            await cell.timers.sleep(2.0)
            for version in (2, 3, 4):
                rig.configure(version, routes)
                await cell.timers.sleep(CONFIG_APPLY_SECONDS)
                assert rig.versions() == [version] * 12

        with_cell(body)

    def test_a_long_configuration_leaves_room_on_a_slow_link(self):
        """Guards against claims, requests and calls that wait behind configurations."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=2, slow=10)
            await cell.timers.sleep(2.0)
            length = rig.configure(2, 4200)
            carried = {name: link.carried for name, link in rig.links.items()}
            slow = [entry.name for entry in rig.entries[2:]]
            waits, end = [], cell.timers.now() + 6.0
            while cell.timers.now() < end:
                waits.append(await rig.short_call_seconds(slow[len(waits) % len(slow)]))
                await cell.timers.sleep(0.05)
            assert max(waits) < SHORT_CALL_SECONDS
            assert max(rig.links[name].carried - carried[name] for name in slow) < 2 * length

        with_cell(body)

    def test_entries_with_slow_links_only_have_it_after_one_transfer(self):
        """Guards against a transfer that no attempt has the time for, without a faster entry."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=0, slow=4)
            await cell.timers.sleep(2.0)
            length = rig.configure(2, 12_600)
            await cell.timers.sleep(2 * length / SLOW_BYTES_PER_SECOND)
            assert rig.versions() == [2] * 4

        with_cell(body)

    def test_an_entry_of_a_cell_without_workspaces_has_it_after_one_transfer(self):
        """Guards against a read of the store that ends before a long answer can be whole."""

        async def body(cell: KeyedCell):
            rig = SlowCell(cell, fast=0, slow=1, has_workspaces=False)
            await cell.timers.sleep(2.0)
            length = rig.configure(2, 12_600)
            await cell.timers.sleep(2 * length / SLOW_BYTES_PER_SECOND)
            assert rig.versions() == [2]

        with_cell(body)


class TestStart:
    """Guards against entries that are not ready for seconds after all have started again."""

    @pytest.mark.parametrize("unknown_seconds", [0.0, 0.3])
    def test_entries_that_start_together_have_a_long_configuration_soon(
        self, unknown_seconds: float
    ):
        async def body(cell: KeyedCell):
            value = long_configuration(2, 4200)
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, value)
            rig = SlowCell(cell, fast=2, slow=10)
            names = set(cell.names)
            cell.names.clear()
            await cell.timers.sleep(unknown_seconds)
            cell.names |= names
            await cell.timers.sleep(1.0)
            assert rig.versions() == [2] * 12
            assert all(entry.watch.ready for entry in rig.entries)
            assert all(rig.links[f"e{i}"].carried < len(value) / 2 for i in range(2, 12))

        with_cell(body)

    @pytest.mark.parametrize("seed", range(6))
    def test_entries_that_are_not_connected_yet_hold_no_start_up(self, seed: int):
        """Guards against a start that asks only entries that start as well."""

        async def body(cell: KeyedCell):
            random.seed(seed)
            value = long_configuration(2, 4200)
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, value)
            rig = SlowCell(cell, fast=6, slow=0)
            await cell.timers.sleep(1.0)
            cell.names |= {f"absent{number}" for number in range(35)}
            rig.links["late"] = Bandwidth(cell.timers, SLOW_BYTES_PER_SECOND)
            cell.network.links["late"] = rig.links["late"]
            late = cell.add("late", bandwidth=rig.links["late"])
            cell.run(late)
            await cell.timers.sleep(0.4)
            assert late.config.version == 2
            assert rig.links["late"].carried < len(value) / 2

        with_cell(body)

    def test_an_entry_that_starts_alone_reads_the_store(self):
        async def body(cell: KeyedCell):
            value = long_configuration(2, 4200)
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, value)
            rig = SlowCell(cell, fast=0, slow=1)
            await cell.timers.sleep(0.25 + BASE64_RATIO * len(value) / SLOW_BYTES_PER_SECOND)
            assert rig.versions() == [2]
            assert rig.entries[0].watch.ready

        with_cell(body)

    @pytest.mark.parametrize("has_workspaces", [True, False])
    @pytest.mark.parametrize("others", [1, 2, 4])
    def test_an_older_version_of_another_entry_does_not_make_one_ready(
        self, others: int, has_workspaces: bool
    ):
        """Guards against an entry that answers by the version of those that are cut off."""

        async def body(cell: KeyedCell):
            random.seed(others)
            old, new = (long_configuration(v, 4200, has_workspaces) for v in (2, 3))
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, old)
            rig = SlowCell(cell, fast=others, slow=0, has_workspaces=has_workspaces)
            await cell.timers.sleep(1.0)
            rig.entries[0].link.refused = True
            # Reads in progress end.
            await cell.timers.sleep(2.0)
            cell.service.put(CONFIG_TOPIC, CONFIG_KEY, new)
            await cell.timers.sleep(0.4)
            rig.links["late"] = Bandwidth(cell.timers, SLOW_BYTES_PER_SECOND)
            cell.network.links["late"] = rig.links["late"]
            late = cell.add("late", bandwidth=rig.links["late"], has_workspaces=has_workspaces)
            cell.run(late)
            while not late.watch.ready:
                await cell.timers.sleep(0.01)
            assert late.config.version == 3

        with_cell(body)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_all_entries_have_the_last_version_once_faults_have_ended(self, seed: int):
        """Guards against an entry that stays behind, or that skips a version it does not have."""

        async def body(cell: KeyedCell):
            rng = random.Random(seed)
            rig = SlowCell(cell, rng.randint(0, 2), rng.randint(1, 5), has_workspaces=seed % 2 > 0)
            version, before = 1, rig.versions()
            for _ in range(rng.randint(4, 10)):
                await cell.timers.sleep(rng.uniform(0.0, 1.5))
                if rng.random() < 0.6:
                    version += 1
                    rig.configure(version, rng.choice([1, 300, 1400, 4200]))
                entry = rng.choice(rig.entries)
                entry.link.refused = rng.random() < 0.3
                entry.link.cut = rng.random() < 0.2
                cell.network.silent = {e.name for e in rig.entries if rng.random() < 0.2}
                assert max(rig.versions()) <= version
                assert all(map(le, before, rig.versions()))
                before = rig.versions()
            cell.network.silent = set()
            for entry in rig.entries:
                entry.link.lift_faults()
            await cell.timers.sleep(CALM_SECONDS)
            assert set(rig.versions()) == {version}

        with_cell(body)
