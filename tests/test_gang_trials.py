"""Tests of gangs of which a runner has crashed."""

from __future__ import annotations

from ragworttiller.scheduling.records.formats import Blame, Claim, JobState, Withdrawn
from ragworttiller.scheduling.state.orders import StartOrder
from ragworttiller.scheduling.state.runs import Stage
from tests.scheduling_rig import JOB, LEASE_SECONDS, CellRig, job_id, step, task

OTHER = job_id(9)
MEMBERS = 8
# Time for which a task may wait beside room for it.
MAX_WAIT_SECONDS = 3.0


def stage_of(rig: CellRig, job: str = JOB) -> Stage:
    return rig.cell.jobs[job].stages[task(job=job).stage]


def members_by_runner(orders: list[StartOrder]) -> dict[str, list[int]]:
    """Return the members of the gang that start on each runner."""
    rows: dict[str, list[int]] = {}
    for order in orders:
        if order.run.task.stage.job == JOB:
            rows.setdefault(order.run.runner, []).append(order.run.task.ordinal)
    return rows


def crash_under_gang(rig: CellRig, runner: str) -> None:
    """Crash a runner under the gang, and let an empty one answer in its place.

    The platform ends the runs of the other members, and the others go on answering.
    """
    rig.cell.pool.record_no_answer(rig.cell.runners[runner], rig.now, refused=True)
    rig.now += 1.0
    for name, state in list(rig.cell.runners.items()):
        if name != runner:
            gang = [run for run in state.runs.values() if run.task.stage.job == JOB]
            state.grant_lease(rig.now, LEASE_SECONDS)
            rig.hold(name, *[(run.task, run.number, "broken") for run in gang])
    rig.end_boot(runner)
    rig.add_runner(f"{runner}-next")


def start_gang(rig: CellRig, limit: float = 10.0) -> tuple[float, dict[str, list[int]]]:
    """Return after how many seconds the gang starts, and its members by runner."""
    began = rig.now
    while rig.now < began + limit:
        rows = members_by_runner(rig.start_all())
        if rows:
            return rig.now - began, rows
        rig.pass_time(0.25)
    return limit, {}


def crash_first_runner(rig: CellRig, members: int = MEMBERS, **fields: object) -> list[int]:
    """Start a gang, let it work for two seconds, and crash the runner with the most members."""
    rig.submit(step(members, gang=True, estimate_ms=60_000, **fields))
    _, rows = start_gang(rig)
    rig.pass_time(2.0)
    crashed = max(rows, key=lambda name: len(rows[name]))
    crash_under_gang(rig, crashed)
    return rows[crashed]


class TestGangAfterACrash:
    def test_a_gang_starts_again_though_more_of_it_is_suspected_than_there_are_runners(self):
        """Guards against a gang that waits for ever for a runner for each suspected member."""
        rig = CellRig(3)
        assert len(crash_first_runner(rig)) == 4
        seconds, rows = start_gang(rig)
        assert seconds < MAX_WAIT_SECONDS
        assert sum(map(len, rows.values())) == MEMBERS

    def test_suspected_members_share_a_runner_that_other_members_avoid(self):
        rig = CellRig(4)
        suspected = crash_first_runner(rig)
        _, rows = start_gang(rig)
        assert sorted(suspected) in map(sorted, rows.values())

    def test_a_gang_that_fills_its_runners_starts_again_beside_its_suspected_members(self):
        """Guards against a gang that fits whole only if other members join a trial."""
        rig = CellRig(2)
        crash_first_runner(rig, 6)
        seconds, rows = start_gang(rig)
        assert seconds < MAX_WAIT_SECONDS
        assert sum(map(len, rows.values())) == 6

    def test_a_lasting_gang_starts_again_too(self):
        rig = CellRig(3)
        crash_first_runner(rig, daemon=True)
        assert start_gang(rig)[0] < MAX_WAIT_SECONDS

    def test_a_gang_starts_again_on_the_only_runner_that_suits_it(self):
        rig = CellRig(2)
        rig.add_runner("w3", 8000, labels=("b",))
        crash_first_runner(rig, requires="b")
        rig.add_runner("w4", 8000, labels=("b",))
        assert start_gang(rig)[0] < MAX_WAIT_SECONDS


class TestTrialOfAGang:
    def test_no_other_task_starts_beside_the_trial(self):
        rig = CellRig(3)
        crash_first_runner(rig, 2)
        _, rows = start_gang(rig)
        rig.submit(step(10), job=OTHER)
        assert {order.run.runner for order in rig.start_all()}.isdisjoint(rows)

    def test_the_trial_counts_as_one_for_the_share_of_runners(self):
        rig = CellRig(8)
        crash_first_runner(rig, 4)
        start_gang(rig)
        assert rig.cell.pool.on_trial(rig.now) == 1

    def test_members_tried_together_are_proved_together(self):
        rig = CellRig(6)
        suspected = crash_first_runner(rig)
        rig.pass_time(25.0)
        _, rows = start_gang(rig)
        tried = next(name for name, indices in rows.items() if set(indices) == set(suspected))
        rig.pass_time(0.5)
        crash_under_gang(rig, tried)
        stage = stage_of(rig)
        blames = {stage.crashes[index][-1].blame for index in suspected}
        assert blames == {str(Blame.TRIAL)}

    def test_a_gang_that_crashes_each_runner_is_given_up(self):
        """Guards against a gang that crashes runner after runner, which no trial would show."""
        rig = CellRig(6)
        deadly = crash_first_runner(rig)[0]
        for _ in range(2):
            rig.pass_time(25.0)
            _, rows = start_gang(rig)
            rig.pass_time(0.5)
            crash_under_gang(rig, next(n for n, indices in rows.items() if deadly in indices))
        rig.cell.take_changes()
        assert rig.cell.jobs[JOB].state == JobState.FAILED

    def test_a_gang_that_outlives_its_crash_is_cleared(self):
        rig = CellRig(3)
        crash_first_runner(rig)
        start_gang(rig)
        rig.pass_time(5.0)
        assert not stage_of(rig).crashes


class TestChangeOfOwner:
    def test_members_tried_together_explain_the_crash_to_the_tasks_beside_them(self):
        """Guards against blame for a task that had run beside the trial of a gang."""
        beside = str(task(job=OTHER))
        names = [str(task(0)), str(task(1)), beside]
        lost = Withdrawn("w1", names, True, True, "w1:1", 2, [0.1, 0.1, 5.0])
        claim = Claim("e1", 1, 1, 0, ["w1"], [lost], {})
        rig = CellRig(0, claim, accepted_before=100)
        rig.submit(step(1), job=OTHER)
        rig.submit(step(2, gang=True))
        stage = stage_of(rig)
        stage.trials = {0: "w1", 1: "w1"}
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert set(stage.crashes) == {0, 1}
        assert not stage_of(rig, OTHER).crashes
