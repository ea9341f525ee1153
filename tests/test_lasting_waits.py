"""Tests of the lines and figures about lasting tasks that wait for their next run."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.metrics import Metrics
from ragworttiller.scheduling.ownership.wait_log import WaitLog
from ragworttiller.scheduling.state.lasting_waits import long_waits
from ragworttiller.timers import ManualTimers
from tests.scheduling_rig import JOB, CellRig, step


def lines(caplog: pytest.LogCaptureFixture) -> list[logging.LogRecord]:
    records = [*caplog.get_records("setup"), *caplog.records]
    return [row for row in records if row.message == "lasting task runs"]


class TestLastingWaits:
    @pytest.fixture()
    def rig(self, caplog: pytest.LogCaptureFixture) -> CellRig:
        """Return a cell with one lasting task that runs since 2 s after it was ready."""
        caplog.set_level(logging.INFO)
        rig = CellRig(1)
        rig.cell.runners["w1"].enrolled = False
        rig.submit(step(1, daemon=True))
        rig.plan()
        rig.pass_time(2.0)
        rig.enroll("w1")
        rig.start_all()
        return rig

    def end(self, rig: CellRig) -> None:
        (run,) = rig.cell.runners["w1"].runs.values()
        rig.hold("w1", (run.task, run.number, "stopped"))

    def test_a_line_says_how_long_a_task_waited_and_for_what(self, rig: CellRig, caplog):
        """Guards against a wait that only the log of runs shows, without its cause."""
        wait_log = WaitLog(rig.cell, ManualTimers())
        self.end(rig)
        rig.cell.runners["w1"].suspend(rig.now)
        for _ in range(2):
            rig.pass_time(1.0)
            wait_log.sample(rig.now, rig.now)
        rig.pass_time(1.5)
        rig.start_all()
        first, second = lines(caplog)
        assert (first.after, first.waited, first.task) == ("ready", 2.0, f"{JOB}.0.0.0")
        assert (second.after, second.waited, second.run) == ("end", 3.5, 2)
        assert (second.waited_for, second.refused) == ({"not_usable": 2.0}, 0)

    def test_a_refused_start_does_not_end_the_wait(self, rig: CellRig, caplog):
        self.end(rig)
        rig.pass_time(1.0)
        (order,) = rig.plan().starts
        rig.cell.mark_start_refused(order.run, "ticket", rig.now)
        rig.pass_time(2.5)
        assert long_waits(rig.cell.jobs.values(), rig.now) == 1
        rig.start_all()
        assert (lines(caplog)[-1].waited, lines(caplog)[-1].refused) == (3.5, 1)
        assert long_waits(rig.cell.jobs.values(), rig.now) == 0

    def test_the_metrics_page_shows_the_waits(self, rig: CellRig):
        metrics = Metrics()
        metrics.durations("waits", "Waits.", (), lambda: {(): rig.cell.lasting_waits.durations})
        page = metrics.exposition().decode()
        assert "ragworttiller_waits_count 1.0" in page
        assert 'ragworttiller_waits_quantile{quantile="0.99"} 2.0' in page
