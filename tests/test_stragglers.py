"""Tests of runs that are much slower than others of their stage."""

from __future__ import annotations

import pytest

from ragworttiller.platform.runners import EndedRun, HoldAnswer, RunningTask
from ragworttiller.scheduling.decisions.cell_policies import default_policies
from ragworttiller.scheduling.decisions.stragglers import KeepStragglers
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runs import Run
from tests.scheduling_rig import LEASE_SECONDS, CellRig, step

SLOWNESS = 7.0
JOBS = 12


def job(number: int) -> str:
    return f"{number:016x}"


class SlowRig(CellRig):
    """A cell whose first runner works several times slower than the others."""

    def advance(self, seconds: float) -> list[Run]:
        """Let time pass; runners report progress and ends. Return the runs that are done."""
        self.now += seconds
        done: list[Run] = []
        for name, state in self.cell.runners.items():
            slowness = SLOWNESS if name == "w1" else 1.0
            running, ended = [], []
            for run in list(state.runs.values()):
                percent = 100 * (self.now - run.started_at) / (run.spec.estimate * slowness)
                stopped = run.state == "stopping"
                if percent < 100 and not stopped:
                    running.append(RunningTask(run.task, run.number, "", percent, 0.0))
                    continue
                number = self.last_end_numbers[name] = self.last_end_numbers.get(name, 0) + 1
                how = "stopped" if stopped else "done"
                ended.append(EndedRun(number, run.task, run.number, how, ""))
                done += [] if stopped else [run]
            answer = HoldAnswer(self.now, running, ended, 0)
            self.cell.apply_hold_answer(state, answer, self.now)
        return done


@pytest.fixture()
def rig() -> SlowRig:
    return SlowRig(3)


def without_restarts(rig: SlowRig) -> SlowRig:
    policies = default_policies()._replace(stragglers=KeepStragglers())
    takeover = rig.cell.takeover
    rig.cell = Cell(1, rig.jobs, rig.config, rig.listed, takeover, LEASE_SECONDS, policies=policies)
    rig.cell.refresh(rig.now, rig.now)
    for name in rig.cell.runners:
        rig.hold(name)
    rig.enroll(*rig.cell.runners)
    return rig


def longest_job(rig: SlowRig) -> float:
    """Return the longest time of short jobs that arrive one after the other, in seconds."""
    began: dict[str, float] = {}
    longest, number = 0.0, 0
    for tick in range(120):
        if tick % 6 == 0 and number < JOBS:
            number += 1
            rig.submit(step(4, 1000, estimate_ms=700), job=job(number))
            began[job(number)] = rig.now
        rig.start_all()
        rig.advance(0.1)
        open_jobs = {name for name, work in rig.cell.jobs.items() if work.open}
        for name in set(began) - open_jobs:
            longest = max(longest, rig.now - began.pop(name))
    assert not began
    return longest


class TestSlowRunner:
    def test_short_jobs_do_not_wait_for_its_runs(self, rig: SlowRig):
        assert longest_job(rig) < 2.5

    def test_the_baseline_waits_for_them(self, rig: SlowRig):
        assert longest_job(without_restarts(rig)) > 4.0

    def test_nothing_is_restarted_without_room_on_a_faster_runner(self, rig: SlowRig):
        rig.submit(step(12, 1000, estimate_ms=3000))
        rig.start_all()
        stops = []
        for _ in range(25):
            rig.advance(0.1)
            stops += rig.plan().stops
        assert stops == []

    def test_gangs_and_lasting_tasks_are_left_alone(self, rig: SlowRig):
        rig.submit(step(2, 2000, estimate_ms=3000, gang=True))
        rig.submit(step(2, 1000, estimate_ms=3000, daemon=True), job=job(1))
        rig.start_all()
        stops = []
        for _ in range(25):
            rig.advance(0.1)
            stops += rig.plan().stops
        assert stops == []
