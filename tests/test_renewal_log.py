"""Tests of the lines that tell a lease that was not renewed from a runner that was silent."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.scheduling.ownership.renewal_log import RenewalLog
from ragworttiller.scheduling.state.orders import run_fields
from tests.scheduling_rig import CellRig, step


def only(caplog: pytest.LogCaptureFixture, message: str) -> logging.LogRecord:
    (row,) = [row for row in caplog.records if row.message == message]
    return row


class TestRenewalLog:
    @pytest.fixture()
    def rig(self, caplog: pytest.LogCaptureFixture) -> CellRig:
        caplog.set_level(logging.INFO)
        return CellRig(2)

    def claim(self, rig: CellRig, renewals: RenewalLog, stored: bool = True) -> None:
        """Let the owner write a claim, as it does each 0.5 s."""
        claim = rig.cell.claim("e1", 1, 0, rig.now)
        renewals.observe(rig.now)
        if stored:
            rig.cell.pool.enroll(claim)
            renewals.observe(rig.now)

    def test_a_runner_that_answers_but_is_not_renewed_is_told_from_a_silent_one(self, rig, caplog):
        """Guards against a lapse of which nobody knows who let the lease expire."""
        renewals = RenewalLog(rig.cell.pool)
        rig.pass_time(1.0, "w1")
        for _ in range(3):
            self.claim(rig, renewals)
        row = only(caplog, "lease renewals withheld")
        assert (row.runner, row.why, row.heard) == ("w1", "it does not answer", 1.0)
        for _ in range(4):
            rig.pass_time(0.5)
            self.claim(rig, renewals, stored=False)
        self.claim(rig, renewals)
        row = only(caplog, "lease renewals granted again")
        assert (row.runner, row.seconds, row.answering, row.heard) == ("w1", 2.0, 1.5, 0.0)

    def test_a_lapsed_run_says_since_when_its_runner_was_silent(self, rig, caplog):
        rig.submit(step(1, daemon=True))
        (order,) = rig.start_all()
        name = order.run.runner
        rig.pass_time(1.0)
        rig.pass_time(6.0, name)
        rig.hold(name, (order.run.task, order.run.number, "lapsed"))
        row = only(caplog, "run ended")
        assert (row.task, row.how) == (run_fields(order.run)["task"], "lapsed")
        assert (row.heard, row.granted, row.known) == (6.0, 6.0, True)
