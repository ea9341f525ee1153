"""Tests of what tells an owner whose advisor is full from one whose entries fail calls."""

from __future__ import annotations

import logging

import anyio
import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.ownership.advisor_load_log import AdvisorLoadLog
from ragworttiller.scheduling.state.advice_meter import AdviceMeter
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.timers import ManualTimers
from standins.virtual_time import LoopTimers, run_virtual
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

ADVISED = QUEUE._replace(advice=AdviceCost(0.7, 0.01, 2.5))
ENTRIES = ["e1", "e2", "e3"]


def call(entry: str, asked_at: float) -> AdviceCall:
    return AdviceCall(StageId(JOB, 0, 0), ("w1",), entry, 0.0, 0.5, 2.5, asked_at)


class TestAdviceMeter:
    def test_an_entry_with_calls_that_queue_up_counts_once(self):
        meter = AdviceMeter(0.0)
        first, second = call("a", 0.0), call("a", 0.1)
        meter.begin_call(first)
        meter.begin_call(second)
        meter.end_call(first, 0.4)
        meter.end_call(second, 0.6)
        assert meter.take_load(2, 1.0) == pytest.approx(0.3)
        assert meter.take_load(2, 2.0) == 0.0

    def test_a_call_that_goes_on_counts_in_each_interval(self):
        meter = AdviceMeter(0.0)
        meter.begin_call(call("a", 0.5))
        assert meter.take_load(1, 1.0) == pytest.approx(0.5)
        assert meter.take_load(1, 2.0) == 1.0
        assert (meter.calls, meter.oldest_seconds(2.0)) == (1, 1.5)

    def test_a_call_of_an_entry_that_has_left_does_not_exceed_the_whole(self):
        meter = AdviceMeter(0.0)
        for entry in ("a", "b"):
            meter.begin_call(call(entry, 0.0))
        assert meter.take_load(1, 1.0) == 1.0
        assert meter.take_load(0, 2.0) == 0.0


class LoadRig:
    """A cell with stages that need the advisor, and the log of its load."""

    def __init__(self, caplog: pytest.LogCaptureFixture, stages: int):
        caplog.set_level(logging.INFO)
        self._caplog = caplog
        self.cell_rig = CellRig(4)
        self.cell = self.cell_rig.cell
        self.cell.set_entries(ENTRIES)
        self.log = AdvisorLoadLog(self.cell, ManualTimers())
        for number in range(1, stages + 1):
            self.cell_rig.submit(step(1), job=job_id(number), queue=ADVISED)

    @property
    def lines(self) -> list[logging.LogRecord]:
        return [row for row in self._caplog.records if row.message == "advisor load changed"]

    def measure(self, seconds: float = 1.0):
        self.cell_rig.pass_time(seconds)
        self.log.measure(self.cell_rig.now)
        return self.log.load


class TestAdvisorLoadLog:
    def test_a_full_advisor_shows_its_load_and_the_stages_that_wait(self, caplog):
        rig = LoadRig(caplog, stages=8)
        assert len(rig.cell_rig.plan().calls) == 3
        load = rig.measure()
        assert load == (1.0, 3, 0, 3, 1.0, 5)
        (line,) = rig.lines
        assert (line.load, line.avoided, line.names, line.waiting) == (1.0, 0, [], 5)

    def test_entries_that_fail_calls_are_named_while_the_load_is_low(self, caplog):
        rig = LoadRig(caplog, stages=1)
        (made,) = rig.cell_rig.plan().calls
        rig.cell.mark_advice_failed(made, rig.cell_rig.now)
        load = rig.measure()
        assert (load.load, load.avoided, load.calls, load.waiting) == (0.0, 1, 0, 0)
        (line,) = rig.lines
        assert (line.avoided, line.names) == (1, [made.entry])
        rig.measure(2.0)
        assert [row.avoided for row in rig.lines] == [1, 0]

    def test_a_load_that_moves_around_a_level_writes_one_line(self, caplog):
        """Guards against a line in each interval of a steady load."""
        rig = LoadRig(caplog, stages=0)
        for busy in (0.65, 0.55, 0.63, 0.57):
            made = [call(entry, rig.cell_rig.now) for entry in ("e1", "e2")]
            for row in made:
                rig.cell.advice_meter.begin_call(row)
            for row in made:
                rig.cell.advice_meter.end_call(row, rig.cell_rig.now + busy)
            rig.measure()
        assert len(rig.lines) == 1

    def test_lines_are_a_second_apart_however_often_an_entry_fails(self, caplog):
        rig = LoadRig(caplog, stages=0)
        loads = rig.cell.entry_loads

        async def fail_by_turns(timers: LoopTimers):
            while True:
                loads.mark_failed("e1", timers.now())
                await timers.sleep(0.35)
                loads.mark_answered("e1", timers.now())
                await timers.sleep(0.35)

        async def main():
            timers = LoopTimers()
            with anyio.move_on_after(3.5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(AdvisorLoadLog(rig.cell, timers).run)
                    tasks.start_soon(fail_by_turns, timers)

        run_virtual(main)
        assert [row.avoided for row in rig.lines] == [1, 0, 1]
