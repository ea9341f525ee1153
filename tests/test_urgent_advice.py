"""Tests that calls to the advisor for lasting tasks keep their place among calls that can wait."""

from __future__ import annotations

import itertools

import pytest

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.decisions.lasting_stages import LASTING_ADVICE_PATIENCE_SECONDS
from ragworttiller.scheduling.state.runs import Stage
from tests.lasting_load import LASTING, LONG, SHORT
from tests.scheduling_rig import CellRig, job_id, step

RUNNERS = 40
PASS_SECONDS = 0.05
FLOOD_SECONDS = 4.0
# Stages that wait for a call, for each entry.
WAITING_PER_ENTRY = 2
# The longest calls that count as short, so that a few keep an entry busy.
SLOW_SHORT = SHORT._replace(advice=AdviceCost(0.12, 0.0006, 2.0))
# Long calls leave the entries reserved for short ones idle.
MIN_LOAD = 0.6
LASTING_JOB = "00000000000000aa"
# Others come first in the order of queues, so that only the urgency of lasting tasks helps.
LASTING_LAST = LASTING._replace(priority=3)


class FullAdvisor:
    """A cell in which other stages keep all entries busy, and as many again wait twice over."""

    def __init__(self, entries: int, queues: tuple[Queue, ...]):
        self.rig = CellRig(RUNNERS)
        self.rig.cell.set_entries([f"e{number}" for number in range(entries)])
        self._waiting_stages = WAITING_PER_ENTRY * entries
        self._queues = itertools.cycle(queues)
        self._number = itertools.count(1000)
        self._free_at = dict.fromkeys((f"e{number}" for number in range(entries)), 0.0)
        self._answers: list[tuple[float, AdviceCall]] = []
        self.longest_call = 0.0

    def run(self, seconds: float) -> float | None:
        """Return the seconds until a call for the lasting job was assigned, None without one."""
        began_at = self.rig.now
        while self.rig.now < began_at + seconds:
            self._submit_others()
            self._end_answered()
            calls = self.rig.plan().calls
            if any(call.stage.job == LASTING_JOB for call in calls):
                return self.rig.now - began_at
            for call in calls:
                self._make(call)
            self.rig.pass_time(PASS_SECONDS)
        return None

    @property
    def lacking(self) -> int:
        """Number of stages for which a call was due and not made."""
        stages = self._stages()
        return sum(stage.tickets.lacks_call(self.rig.now) for stage in stages if stage.waiting)

    def _stages(self) -> list[Stage]:
        jobs = self.rig.cell.jobs.values()
        return [stage for work in jobs for stage in work.stages.values()]

    def _make(self, call: AdviceCall) -> None:
        self.longest_call = max(self.longest_call, call.duration)
        ended = max(self._free_at[call.entry], self.rig.now) + call.duration
        self._free_at[call.entry] = ended
        self._answers.append((ended, call))

    def _submit_others(self) -> None:
        unasked = sum(stage.tickets.asked_at is None for stage in self._stages())
        for _ in range(self._waiting_stages - unasked):
            job = job_id(next(self._number))
            self.rig.submit(step(2, 3000), job=job, queue=next(self._queues))

    def _end_answered(self) -> None:
        for at, call in [row for row in self._answers if row[0] <= self.rig.now]:
            self._answers.remove((at, call))
            self.rig.cell.apply_advice(call, {}, self.rig.now)
            self.rig.cancel(call.stage.job)
        self.rig.cell.mark_recorded(self.rig.cell.take_changes())


class TestLastingTasks:
    @pytest.mark.parametrize("entries", [1, 3, 6, 12])
    @pytest.mark.parametrize("queues", [(LONG,), (SLOW_SHORT,), (LONG, SLOW_SHORT)])
    def test_a_call_is_assigned_within_the_duration_of_one(
        self, entries: int, queues: tuple[Queue, ...]
    ):
        """Guards against lasting tasks without a run for as long as a burst of others lasts."""
        advisor = FullAdvisor(entries, queues)
        advisor.run(FLOOD_SECONDS)
        load = advisor.rig.cell.advice_meter.take_load(entries, advisor.rig.now)
        lacking = advisor.lacking
        advisor.rig.submit(step(2, 1000, daemon=True), job=LASTING_JOB, queue=LASTING_LAST)
        seconds = advisor.run(FLOOD_SECONDS)
        assert seconds is not None
        limit = LASTING_ADVICE_PATIENCE_SECONDS + advisor.longest_call + PASS_SECONDS
        assert load >= MIN_LOAD
        assert lacking >= entries
        assert seconds <= limit
