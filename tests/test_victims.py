"""Tests of the choice of runs that are stopped for more urgent tasks."""

from __future__ import annotations

import pytest

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.decisions.victims import Beneficiary, Candidate, CheckpointedVictims
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.state.runs import Run, RunState
from tests.scheduling_rig import JOB

STOP_SECONDS, RESTORE_SECONDS = 0.9, 0.6


class TestVictims:
    POLICY = CheckpointedVictims(STOP_SECONDS, RESTORE_SECONDS)
    SIZE = Resources(1000, 0, 4)
    URGENT = Beneficiary(OrderInputs(1, 100.0, 6.0, 5.0), SIZE, fits_at=110.0)

    def candidate(self, index: int = 0, preemptions: int = 0, **fields: object) -> Candidate:
        """Return a run of a job with much time to spare, started 5 s ago."""
        inputs = OrderInputs(2, 95.0, 60.0, 10.0)._replace(
            **{name: value for name, value in fields.items() if name in OrderInputs._fields}
        )
        spec = StepSpec(9, Resources(1000, 0, 1), estimate=10.0, checkpoints=True)._replace(
            **{name: value for name, value in fields.items() if name in StepSpec._fields}
        )
        run = Run(TaskId(StageId(JOB, 0, 0), index), 1, "w1", spec, 95.0)
        run.state = RunState.RUNNING
        return Candidate(run, inputs, preemptions)

    def chosen(self, *candidates: Candidate, free: int = 0) -> list[Run]:
        return self.POLICY.choose(self.URGENT, Resources(9000, 0, free), candidates, 100.0)

    def test_no_more_runs_are_stopped_than_needed(self):
        assert len(self.chosen(*(self.candidate(n) for n in range(6)), free=2)) == 2

    def test_nothing_is_stopped_if_it_does_not_suffice(self):
        assert self.chosen(self.candidate(0), self.candidate(1), free=1) == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"checkpoints": False},
            {"gang": True},
            {"daemon": True},
            {"priority": 1},
            {"objective": 12.0},
            {"estimate": 6.0},
            {"preemptions": 2},
        ],
        ids=lambda fields: next(iter(fields)),
    )
    def test_a_run_is_kept_that_would_lose_too_much(self, fields: dict):
        others = [self.candidate(n) for n in range(3)]
        assert self.chosen(*others, self.candidate(3, **fields)) == []
        assert len(self.chosen(*others, self.candidate(3))) == 4

    def test_a_job_that_is_on_time_anyway_stops_nothing(self):
        patient = self.URGENT._replace(inputs=OrderInputs(1, 100.0, 60.0, 5.0))
        assert self.POLICY.helps(self.URGENT, 100.0)
        assert not self.POLICY.helps(patient, 100.0)

    def test_a_job_that_room_comes_for_soon_stops_nothing(self):
        soon = self.URGENT._replace(fits_at=101.0)
        assert not self.POLICY.helps(soon, 100.0)
