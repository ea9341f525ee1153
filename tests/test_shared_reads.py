"""Tests that questions about what an entry has not read yet share one read of the store."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import LogUnavailable
from ragworttiller.scheduling.records.shared_read import SharedRead
from standins.platform.bandwidth import Bandwidth
from standins.virtual_time import LoopTimers, run_virtual
from tests.entry_rig import EntryRig
from tests.scheduling_rig import job_id

SLOW_BYTES_PER_SECOND = 625_000
RECORDS, RECORD_BYTES = 100, 10_000
# Twice the time that the link takes for the records alone.
CAUGHT_UP_SECONDS = 2 * RECORDS * RECORD_BYTES / SLOW_BYTES_PER_SECOND


class TestSlowLinks:
    def test_questions_do_not_keep_an_entry_from_catching_up(self):
        """Guards against a read for each question, given up after a second and made again."""

        async def main():
            timers = LoopTimers()
            rig = EntryRig(timers=timers, bandwidth=Bandwidth(timers, SLOW_BYTES_PER_SECOND))
            for number in range(RECORDS):
                rig.service.put("keyed.jobs", job_id(number), b"x" * RECORD_BYTES)
            await rig.feed.load()
            async with anyio.create_task_group() as tasks:
                rig.link.cut = True
                tasks.start_soon(rig.feed.run)
                await timers.sleep(3.0)
                for number in range(RECORDS):
                    rig.service.put("keyed.jobs", job_id(number), b"y" * RECORD_BYTES)
                rig.link.cut = False
                began = timers.now()

                async def ask(number: int):
                    with timers.move_on_after(1.0):
                        await rig.feed.catch_up()

                while timers.now() < began + CAUGHT_UP_SECONDS:
                    tasks.start_soon(ask, 0)
                    await timers.sleep(0.05)
                assert rig.feed.position == 2 * RECORDS
                tasks.cancel_scope.cancel()

        run_virtual(main)


class TestSharedRead:
    def test_a_read_that_fails_fails_for_all_that_wait(self):
        async def read():
            await anyio.sleep(0.1)
            raise LogUnavailable(stream="s")

        async def main():
            shared, failed = SharedRead("s", read), []

            async def wait():
                with pytest.raises(LogUnavailable):
                    await shared.wait()
                failed.append(1)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shared.run)
                await anyio.sleep(0.0)
                async with anyio.create_task_group() as callers:
                    for _ in range(3):
                        callers.start_soon(wait)
                tasks.cancel_scope.cancel()
            assert len(failed) == 3

        run_virtual(main)

    def test_nobody_waits_for_a_reader_that_has_ended(self):
        async def main():
            shared = SharedRead("s", lambda: anyio.sleep(10.0))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shared.run)
                await anyio.sleep(0.0)

                async def wait():
                    with pytest.raises(LogUnavailable):
                        await shared.wait()

                async with anyio.create_task_group() as callers:
                    callers.start_soon(wait)
                    await anyio.sleep(0.1)
                    tasks.cancel_scope.cancel()

        run_virtual(main)
