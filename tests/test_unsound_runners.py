"""Tests that runners which crash of themselves give no task up."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.records.formats import Blame, Crash, JobState
from ragworttiller.scheduling.state.runs import Stage
from tests.scheduling_rig import JOB, LEASE_SECONDS, CellRig, job_id, step, task

# The platform allows so many starts of a task that crashes its runners.
MAX_STARTS = 5


def stage_of(rig: CellRig, job: str = JOB) -> Stage:
    return rig.cell.jobs[job].stages[task(job=job).stage]


def crash_machine(rig: CellRig, machine: str, boot: str, later: str, after: float) -> None:
    """Crash a boot some time after a start; a later one answers 0.7 s after that."""
    if after > 0.1:
        rig.pass_time(after)
    else:
        rig.now += after
    rig.cell.pool.record_no_answer(rig.cell.runners[boot], rig.now, refused=True)
    rig.now += 0.7
    for name, state in list(rig.cell.runners.items()):
        if name != boot:
            state.grant_lease(rig.now, LEASE_SECONDS)
            rig.hold(name)
    rig.end_boot(boot)
    rig.drop_runner(boot)
    rig.list_runner(later, labels=("a", machine), address=f"{machine}:1")
    rig.hold(later)
    rig.enroll(later)


def play_crashes(rig: CellRig, machine: str, crashes: int, after: float) -> int:
    """Crash each boot of a machine after the start of the job's task, and return its starts."""
    starts, boot = 0, f"{machine}-0"
    rig.list_runner(boot, labels=("a", machine), address=f"{machine}:1")
    rig.hold(boot)
    rig.enroll(boot)
    for number in range(1, crashes + 1):
        began = rig.now
        while not rig.start_all() and rig.now < began + 10.0:
            rig.pass_time(0.1)
        if not rig.cell.runners[boot].runs:
            break
        starts += 1
        crash_machine(rig, machine, boot, f"{machine}-{number}", after)
        boot = f"{machine}-{number}"
    return starts


class TestOneMachine:
    @pytest.mark.parametrize("daemon", [False, True])
    def test_a_task_on_a_machine_that_goes_down_and_up_is_not_given_up(self, daemon: bool):
        """Guards against a job shown as failed though no run of it has failed."""
        rig = CellRig(3)
        rig.submit(step(1, daemon=daemon, requires="m1", estimate_ms=60_000))
        assert play_crashes(rig, "m1", 8, 1.4) == 8
        assert rig.cell.jobs[JOB].state == ""

    def test_a_task_that_crashes_its_only_machine_at_each_start_is_given_up(self):
        """Guards against a task that crashes a machine again and again, for ever."""
        rig = CellRig(3)
        rig.submit(step(1, requires="m1"))
        assert play_crashes(rig, "m1", 8, 0.01) <= MAX_STARTS
        assert rig.cell.jobs[JOB].state == JobState.FAILED


def trial(rig: CellRig) -> str:
    """Start the trial of a task under which one runner has crashed, and return its runner."""
    rig.submit(step(1, estimate_ms=60_000))
    stage_of(rig).add_crash(0, Crash("w9", 2.0, str(Blame.LATEST), False, "w9:1"))
    (order,) = rig.start_all()
    assert order.run.trial
    return order.run.runner


class TestStorm:
    def test_a_crash_amid_crashes_of_other_machines_is_no_proof_against_a_trial(self):
        """Guards against giving up a task that met three of many crashes."""
        rig = CellRig(4)
        rig.submit(step(1), job=job_id(7))
        (order,) = rig.start_all()
        other = order.run.runner
        crash_machine(rig, other, other, f"{other}-1", 0.5)
        rig.pass_time(3.0)
        chosen = trial(rig)
        crash_machine(rig, chosen, chosen, f"{chosen}-1", 2.1)
        assert stage_of(rig).crashes[0][-1].blame == str(Blame.LATEST)

    def test_a_crash_long_after_those_of_other_machines_is_proof(self):
        rig = CellRig(4)
        rig.submit(step(1), job=job_id(7))
        (order,) = rig.start_all()
        other = order.run.runner
        crash_machine(rig, other, other, f"{other}-1", 0.5)
        rig.pass_time(25.0)
        chosen = trial(rig)
        crash_machine(rig, chosen, chosen, f"{chosen}-1", 2.1)
        assert stage_of(rig).crashes[0][-1].blame == str(Blame.TRIAL)

    def test_the_crash_of_another_machine_under_the_same_task_takes_no_proof_away(self):
        rig = CellRig(4)
        rig.submit(step(1, estimate_ms=60_000))
        for blame in (Blame.LATEST, Blame.TRIAL):
            (order,) = rig.start_all()
            name = order.run.runner
            crash_machine(rig, name, name, f"{name}-1", 2.1)
            assert stage_of(rig).crashes[0][-1].blame == str(blame)
            rig.pass_time(0.2)
