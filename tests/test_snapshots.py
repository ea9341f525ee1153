"""Tests of writing snapshots of a stream while its owners change."""

from __future__ import annotations

import anyio

from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.snapshots import Retention, SnapshotWriter
from ragworttiller.process.stream import Stream
from ragworttiller.records import Publish
from ragworttiller.timers import DrivenTimers
from ragworttiller.version.config_fold import ConfigFold
from standins.memory import MemoryLog

RETENTION = Retention(seconds=1600.0)


class TestSnapshotWriter:
    def test_snapshot_is_written_in_time_though_owners_change_often(self):
        async def main():
            timers = DrivenTimers()
            log = MemoryLog(timers)
            for number in range(4):
                stream = Stream("s", log, ConfigFold(), timers, AppendBudget(timers), f"o@{number}")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(stream.run)
                    tasks.start_soon(SnapshotWriter(stream, timers, RETENTION).run)
                    if number == 0:
                        record = Publish("r", "ws", "template", "t", 0, b"{}", "ann", 0.0)
                        tasks.start_soon(stream.commit, record, 5.0)
                    await timers.advance(RETENTION.seconds / 5)
                    written = stream.snapshot_as_of
                    tasks.cancel_scope.cancel()
            assert written > 1

        anyio.run(main)
