"""Tests that a lasting task on a draining runner runs until its successor is certain."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.state.runs import Run
from tests.release_load import ReleaseLoad
from tests.scheduling_rig import JOB, QUEUE, CellRig, step

ADVISED = QUEUE._replace(advice=AdviceCost(0.45, 0.0065, 2.0))
SECONDS = 40.0
MAX_GAP_SECONDS = 3.0


def drain(rig: CellRig, name: str, remaining: float = 6.0) -> None:
    """List a runner as draining, for a minimum of some seconds more."""
    rig.list_runner(name, state="draining", remaining_ms=remaining * 1000)


@pytest.fixture
def rig() -> CellRig:
    """Return a cell whose lasting task runs on one of three runners, behind an advisor."""
    rig = CellRig(3)
    rig.cell.set_entries(["e1", "e2"])
    rig.submit(step(1, daemon=True), queue=ADVISED)
    (call,) = rig.plan().calls
    rig.cell.apply_advice(call, dict.fromkeys(call.runners, "t"), rig.now)
    rig.start_all()
    rig.pass_time(4.0)
    return rig


def run_of(rig: CellRig) -> Run:
    """Return the only run of the lasting task."""
    (stage,) = rig.cell.jobs[JOB].stages.values()
    (run,) = stage.active_runs.values()
    return run


class TestWithoutAdvice:
    def test_a_run_is_not_stopped_while_no_ticket_is_at_hand(self, rig: CellRig):
        """Guards against a task without a run for as long as the advisor takes."""
        drain(rig, run_of(rig).runner)
        for _ in range(8):
            assert not rig.plan().stops
            rig.pass_time(0.5)


class TestRelease:
    @pytest.mark.parametrize("seed", [3, 17, 28])
    def test_no_lasting_task_waits_while_runners_are_replaced(self, seed: int):
        """Guards against stops for a successor that nobody can start yet."""
        load = ReleaseLoad(seed)
        load.run(SECONDS)
        assert load.longest_gap <= MAX_GAP_SECONDS, load.gaps
        assert not load.doubled
