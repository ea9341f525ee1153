"""Tests of how reports of a slow store spread among the entries."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ragworttiller.scheduling.entry.slow_store_reports import SPARE_RELAYS, SlowStoreReports
from ragworttiller.timers import ManualTimers

ENTRIES = 37


class SlowWriter:
    """Writer whose last append was slow."""

    slow = True


class Peers:
    """Connections of one entry; what is posted waits in a list that all entries share."""

    def __init__(self, instance: str, posted: list[tuple[str, str]]):
        self.instance = instance
        self._posted = posted

    def handle(self, message_type: type, handler: Any) -> None:
        self.receive = handler

    def post(self, name: str, message: Any) -> None:
        self._posted.append((self.instance, name))


class TestSlowStoreReports:
    def spread(self, owner: str, reporters: int, lost: set[str]) -> tuple[int, int]:
        """Let entries report at once; return the number of messages and of entries that know."""
        names = {f"e{number:02}" for number in range(ENTRIES)}
        posted: list[tuple[str, str]] = []
        peers = {name: Peers(name, posted) for name in names}
        reports = {
            name: SlowStoreReports(
                peers[name], lambda: names, lambda: owner, SlowWriter(), ManualTimers()
            )
            for name in names
        }

        async def deliver():
            count = 0
            for name in sorted(names - lost)[-reporters:]:
                reports[name].pace.record_report()
                reports[name]._report()
            while posted:
                sender, receiver = posted.pop(0)
                count += 1
                if receiver not in lost:
                    await peers[receiver].receive(sender, None)
            return count

        count = anyio.run(deliver)
        known = [not reports[name].pace.record_report() for name in names - lost]
        return count, sum(known)

    @pytest.mark.parametrize("owner", ["e20", ""])
    def test_messages_do_not_grow_with_the_square_of_the_number_of_entries(self, owner: str):
        """Guards against a flood of messages when all entries find the store slow at once."""
        messages, known = self.spread(owner, ENTRIES, set())
        assert messages <= 2 * (SPARE_RELAYS + 1) * ENTRIES
        assert known == ENTRIES

    def test_one_report_reaches_all_entries_though_the_owner_is_lost(self):
        messages, known = self.spread("e20", 1, {"e20", "e00"})
        assert known == ENTRIES - 2
