"""Tests of the line that has the steps of a takeover."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.scheduling.records.formats import JOBS, OWNER
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import job_id, step

ENTRIES = ("e1", "e2", "e3", "e4")


def takeover_lines(caplog: pytest.LogCaptureFixture, epoch: int) -> list[logging.LogRecord]:
    rows = [row for row in caplog.records if row.message.startswith("takeover ")]
    return [row for row in rows if row.message.endswith("completed") and row.epoch == epoch]


def stop_owner(rig: OwnersRig):
    """Stop the owner as planned, in favour of another entry."""
    first = rig.owner
    first.stop("e4" if first.name != "e4" else "e3")


class TestTakeoverLog:
    def test_a_line_has_each_step_up_to_the_first_start(self, caplog):
        """Guards against a slow takeover of which nobody knows what it waited for."""

        async def body(rig: OwnersRig):
            caplog.set_level(logging.INFO)
            await start_entries(rig, ENTRIES)
            await rig.submit(job_id(1), step(20))
            await rig.timers.sleep(1.0)
            first = rig.owner.name
            rig.store.queue_seconds = {OWNER.topic: 0.3, JOBS.topic: 2.4}
            rig.kill(first)
            await rig.timers.sleep(14.0)
            (row,) = takeover_lines(caplog, epoch=2)
            assert (getattr(row, "from"), row.released) == (first, False)
            assert (row.message, row.why) == ("takeover completed", "first start")
            assert 0.5 < row.claim_sent < 3.0
            assert 0.25 < row.claim_stored - row.claim_sent < 0.4
            assert 2.4 < row.fenced - row.claim_sent < 3.0
            assert row.fenced <= row.jobs_read < row.acting_claim_stored
            assert row.acting_claim_stored <= row.first_start == row.seconds
            assert row.adopted + row.lapsed == 12
            assert row.settled + row.unsettled == 3

        with_rig(body, work=8.0)

    def test_a_line_is_written_when_no_task_waits(self, caplog):
        async def body(rig: OwnersRig):
            caplog.set_level(logging.INFO)
            await start_entries(rig, ENTRIES)
            stop_owner(rig)
            await rig.timers.sleep(5.0)
            (row,) = takeover_lines(caplog, epoch=2)
            assert (row.message, row.why) == ("takeover completed", "no task waits")
            assert not hasattr(row, "first_start")

        with_rig(body)

    def test_a_takeover_that_is_not_completed_says_how_far_it_came(self, caplog):
        async def body(rig: OwnersRig):
            caplog.set_level(logging.INFO)
            await start_entries(rig, ENTRIES)
            await rig.submit(job_id(1), step(20))
            rig.store.queue_seconds[JOBS.topic] = 3.5
            rig.kill(rig.owner.name)
            await rig.timers.sleep(3.0)
            for entry in rig.entries.values():
                entry.stop("e1")
            await rig.timers.sleep(3.0)
            (row,) = takeover_lines(caplog, epoch=2)
            assert (row.message, row.why) == ("takeover not completed", "ownership ended")
            assert row.claim_stored < 3.0
            assert not hasattr(row, "fenced")

        with_rig(body, work=8.0)
