"""Tests that the line of a job that ends as failed names the cause."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.scheduling.decisions.crash_rules import MAX_STARTS
from ragworttiller.scheduling.records.formats import Blame, Crash
from tests.scheduling_rig import JOB, QUEUE, CellRig, step


class TestJobEnded:
    """Guards against a job shown as failed of which no line says which task failed it."""

    def row(self, caplog: pytest.LogCaptureFixture) -> logging.LogRecord:
        (row,) = [row for row in caplog.records if row.message == "job ended"]
        return row

    def test_failed_runs_are_named(self, caplog):
        caplog.set_level(logging.INFO)
        rig = CellRig(2)
        rig.submit(step(1), queue=QUEUE._replace(attempts=2))
        for _ in range(2):
            (order,) = rig.start_all()
            rig.hold(order.run.runner, (order.run.task, order.run.number, "failed"))
        row = self.row(caplog)
        assert (row.state, row.task, row.why) == ("failed", f"{JOB}.0.0.0", "failed runs")
        assert (row.failed_runs, row.attempts, row.crashes) == ((1, 2), 2, [])

    def test_crashes_of_a_lasting_task_are_shown(self, caplog):
        caplog.set_level(logging.INFO)
        rig = CellRig(1)
        rig.submit(step(2, daemon=True))
        other = rig.start_all()[0].run
        (stage,) = rig.cell.jobs[JOB].stages.values()
        rows = [Crash(f"w{number}", 0.2, str(Blame.TRIAL)) for number in range(MAX_STARTS)]
        stage.crashes[1] = rows
        rig.hold("w1", (other.task, other.number, "stopped"))
        row = self.row(caplog)
        assert (row.task, row.why, row.failed_runs) == (f"{JOB}.0.0.1", "crashes", ())
        assert row.crashes == [crash._asdict() for crash in rows]

    def test_a_completed_job_has_no_cause(self, caplog):
        caplog.set_level(logging.INFO)
        rig = CellRig(1)
        rig.submit(step(1))
        (order,) = rig.start_all()
        rig.hold("w1", (order.run.task, order.run.number, "done"))
        assert not hasattr(self.row(caplog), "why")
