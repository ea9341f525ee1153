"""Tests of the line that shows an owner that falls behind."""

from __future__ import annotations

import logging

from ragworttiller.scheduling.ownership.pace_log import PaceLog
from ragworttiller.timers import ManualTimers
from tests.scheduling_rig import QUEUE, CellRig, step


class TestPaceLog:
    def test_a_line_has_passes_lag_and_waiting_jobs_by_queue(self, caplog):
        rig = CellRig(1)
        rig.submit(step(9, 1000))
        rig.start_all()
        pace_log = PaceLog(rig.cell, ManualTimers())
        pace_log.record_pass(0.3)
        pace_log.record_pass(0.1)
        with caplog.at_level(logging.INFO):
            pace_log.record_delay(0.25)
            pace_log.record_delay(0.1)
            pace_log.write(2.0)
        (record,) = [row for row in caplog.records if row.message == "owner pace"]
        assert (record.passes, record.planning, record.longest) == (2, 0.2, 0.3)
        assert (record.lag, record.waiting) == (0.25, {QUEUE.key: 1})

    def test_a_line_tells_a_full_cell_from_one_in_which_work_waits_for_something_else(self, caplog):
        rig = CellRig(1)
        rig.submit(step(9, 1000))
        rig.start_all()
        pace_log = PaceLog(rig.cell, ManualTimers(rig.now))
        pace_log.write(2.0)
        assert pace_log.pace.cores == {QUEUE.key: 1.0}
        assert pace_log.pace.ready == {QUEUE.key: 1.25}

    def test_a_paused_process_does_not_count_as_one_that_lags_for_seconds(self):
        pace_log = PaceLog(CellRig(1).cell, ManualTimers())
        pace_log.record_delay(6.0)
        assert pace_log.lag <= 1.0

    def test_each_line_counts_the_passes_since_the_last_one(self):
        pace_log = PaceLog(CellRig(1).cell, ManualTimers())
        pace_log.record_pass(0.3)
        pace_log.write(2.0)
        pace_log.write(2.0)
        assert pace_log.pace.passes == 0
