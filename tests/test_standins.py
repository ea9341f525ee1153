"""Tests of the stand-ins for the platform."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import AppendUndecided, LogUnavailable
from ragworttiller.timers import ManualTimers
from standins.memory import MemoryLog


class TestMemoryLog:
    def test_faults_take_effect_as_named(self):
        async def scenario():
            platform_log = MemoryLog(ManualTimers())
            assert await platform_log.append("s", [b"a", b"b"]) == 1
            platform_log.lose_answers = 1
            with pytest.raises(AppendUndecided):
                await platform_log.append("s", [b"c"])
            platform_log.hold_next = 1
            with pytest.raises(AppendUndecided):
                await platform_log.append("s", [b"late"])
            platform_log.duplicate = 1
            assert await platform_log.append("s", [b"d"]) == 4
            platform_log.down = True
            with pytest.raises(LogUnavailable):
                await platform_log.append("s", [b"e"])
            with pytest.raises(LogUnavailable):
                await platform_log.read("s", 1)
            platform_log.down = False
            platform_log.release()
            assert (await platform_log.read("s", 3)).entries == [b"c", b"d", b"d", b"late"]

        anyio.run(scenario)

    def test_retention_keeps_the_newest(self):
        async def scenario():
            platform_log = MemoryLog(ManualTimers(), keep=2)
            for data in (b"a", b"b", b"c"):
                await platform_log.append("s", [data])
            assert await platform_log.read("s", 1) == (1, [], 2, 4)
            assert await platform_log.read("s", 2) == (2, [b"b", b"c"], 2, 4)

        anyio.run(scenario)

    def test_long_poll_ends_with_an_append_or_its_timeout(self):
        async def scenario():
            timers = ManualTimers()
            platform_log = MemoryLog(timers)
            slices = []

            async def read():
                slices.append(await platform_log.read("s", 1, 5.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await anyio.wait_all_tasks_blocked()
                await platform_log.append("s", [b"a"])
                await anyio.wait_all_tasks_blocked()
                assert slices[0].entries == [b"a"]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(platform_log.read, "s", 2, 5.0)
                await anyio.wait_all_tasks_blocked()
                await timers.advance(5.0)

        anyio.run(scenario)
