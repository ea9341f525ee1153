"""Tests of the views of the cell for operators."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.clock import LeaseClock
from ragworttiller.scheduling.ownership.wait_log import WaitLog
from ragworttiller.scheduling.records.formats import Blame, Claim, Crash, Loss
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.stage_waits import StageWait, WaitReason
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

ADVISED = QUEUE._replace(advice=AdviceCost(0.3, 0.01, 2.5))


@pytest.fixture
def rig() -> CellRig:
    return CellRig(2)


def waits(rig: CellRig) -> list[str]:
    """Return the wait reason of each stage of the job, empty for one without waiting tasks."""
    stages = CellView(rig.cell).stages(JOB, rig.now, rig.now)
    return [stage["wait"] for stage in stages]


class TestWaitReasons:
    def test_other_jobs_use_all_room(self, rig: CellRig):
        rig.submit(step(2, 4000), job="00000000000000aa")
        rig.start_all()
        rig.submit(step(1, 4000))
        rig.plan()
        assert waits(rig) == [WaitReason.NO_ROOM]

    def test_a_size_that_fits_no_runner(self, rig: CellRig):
        rig.submit(step(1, 5000))
        rig.plan()
        assert waits(rig) == [WaitReason.NO_RUNNER_SUITS]

    def test_incomplete_predecessors(self, rig: CellRig):
        rig.submit(step(1), step(1, after=[0]))
        rig.start_all()
        assert waits(rig) == ["", WaitReason.PREDECESSORS]

    def test_no_answer_and_denial_of_the_advisor(self, rig: CellRig):
        rig.cell.set_entries(["e1"])
        rig.submit(step(1), queue=ADVISED)
        (call,) = rig.plan().calls
        assert waits(rig) == [WaitReason.ADVICE]
        rig.cell.apply_advice(call, {}, rig.now)
        assert waits(rig) == [WaitReason.DENIED]

    def test_all_runners_with_room_are_at_the_limit_of_the_stage(self, rig: CellRig):
        rig.submit(step(3, anti_affinity=1))
        rig.start_all()
        assert waits(rig) == [WaitReason.LIMIT]

    def test_the_only_runner_with_room_is_on_probation(self, rig: CellRig):
        rig.submit(step(1, 4000), job="00000000000000aa")
        (blocking,) = rig.start_all()
        (other,) = {"w1", "w2"} - {blocking.run.runner}
        rig.cell.runners[other].suspend(rig.now)
        rig.pass_time(3.5)
        rig.submit(step(2))
        assert len(rig.start_all()) == 1
        assert waits(rig) == [WaitReason.PROBATION]

    def test_unresolved_runners_of_an_earlier_owner(self):
        rig = CellRig(1, Claim("e0", 1, 1, 0, ["w1", "gone"], [], {}), accepted_before=1000)
        rig.submit(step(1))
        rig.plan()
        assert waits(rig) == [WaitReason.TAKEOVER]

    def test_an_occurrence_that_is_not_due(self, rig: CellRig):
        rig.submit(step(1), times=1, first_run_ms=(rig.now + 60) * 1000, interval_ms=1000)
        rig.plan()
        assert waits(rig) == [WaitReason.NOT_DUE]


class TestObstacles:
    """Guards against a `no_room` that hides runners with room that take no task."""

    def row(self, rig: CellRig) -> StageWait:
        (row,) = CellView(rig.cell).long_waits(rig.now, rig.now, 0.0, 1)
        return row

    def test_each_runner_with_room_counts_under_what_keeps_it_from_the_task(self):
        rig = CellRig(5)
        rig.submit(step(1, daemon=True))
        runners = rig.cell.runners
        runners["w1"].suspend(rig.now)
        rig.cell.pool.record_no_answer(runners["w2"], rig.now)
        runners["w3"].enrolled = False
        rig.list_runner("w4", state="draining")
        runners["w5"].lost = True
        assert rig.plan().starts == []
        row = self.row(rig)
        assert row["why"] == WaitReason.NOT_USABLE
        assert (row["suitable"], row["with_room"], row["usable"]) == (5, 5, 0)
        assert row["obstacles"] == dict.fromkeys(
            ("suspended", "silent", "not_enrolled", "draining", "lost"), 1
        )

    def test_an_overdue_stage_may_use_a_suspended_runner_but_for_its_ticket(self, rig: CellRig):
        for name in ("w1", "w2"):
            rig.cell.runners[name].suspend(rig.now)
        rig.submit(step(1, daemon=True), queue=ADVISED)
        rig.plan()
        rig.pass_time(1.8)
        rig.plan()
        row = self.row(rig)
        assert (row["lasting"], row["overdue"], row["queue"]) == (True, True, ADVISED.key)
        assert (row["why"], row["usable"]) == (WaitReason.ADVICE, 0)
        assert row["obstacles"] == {"no_ticket": 2, "suspended": 2}
        assert (row["advice_in_flight"], row["advice_age"]) == (False, -1.0)

    def test_a_call_in_flight_and_the_longest_wait_are_shown(self, rig: CellRig):
        rig.cell.set_entries(["e1"])
        rig.submit(step(2, daemon=True), queue=ADVISED)
        assert rig.plan().calls
        rig.pass_time(0.5)
        row = self.row(rig)
        assert (row["advice_in_flight"], row["advice_age"]) == (True, 0.5)
        (stage,) = rig.cell.jobs[JOB].stages.values()
        stage.requeued_at[1] = rig.now - 5.0
        assert (self.row(rig)["longest"], self.row(rig)["seconds"]) == (f"{JOB}.0.0.1", 5.0)

    def test_room_reserved_for_others_is_told_from_free_room(self, rig: CellRig):
        rig.submit(step(1, 4000), job="00000000000000aa")
        rig.submit(step(1, 4000, daemon=True))
        rig.cell.runners["w2"].lost = True
        (other,) = rig.cell.jobs["00000000000000aa"].stages.values()
        other.reserved_on, other.blocked_since = {"w1"}, rig.now
        (stage,) = rig.cell.jobs[JOB].stages.values()
        stage.ready_since = rig.now
        assert self.row(rig)["why"] == WaitReason.RESERVED
        assert self.row(rig)["obstacles"] == {"lost": 1, "reserved": 1}
        stage.overdue = True
        assert self.row(rig)["why"] == WaitReason.PLANNED

    def test_the_reservation_of_the_stage_itself_tells_how_long_it_counts(self, rig: CellRig):
        rig.submit(step(1, 4000, daemon=True))
        (stage,) = rig.cell.jobs[JOB].stages.values()
        stage.reserved_on, stage.reserved_since = {"w1"}, rig.now
        rig.pass_time(1.0)
        assert (self.row(rig)["reserved_on"], self.row(rig)["reserved_left"]) == (1, 3.0)

    def test_a_gang_shows_its_suspected_members_and_runners_on_probation(self, rig: CellRig):
        """Guards against a wait that names neither, with room for the gang on all runners."""
        rig.submit(step(6, gang=True))
        (stage,) = rig.cell.jobs[JOB].stages.values()
        for index in range(5):
            stage.add_crash(index, Crash("w9", 1.0, str(Blame.LATEST)))
        stage.losses[5] = [Loss(f"w{n}", "", 1.0, str(Blame.BESIDE)) for n in range(5)]
        stage.add_crash(5, Crash("w9", 1.0, str(Blame.LATEST)))
        stage.lost_at[5] = rig.now
        rig.cell.runners["w1"].suspend(rig.now)
        rig.pass_time(3.5)
        rig.plan()
        row = self.row(rig)
        assert (row["why"], row["suspected"], row["unproved"]) == (WaitReason.GANG, 6, 1)
        assert (row["usable"], row["places"], row["on_probation"]) == (2, 8, 1)


class TestLongWaits:
    def test_a_stage_that_waits_for_long_shows_its_runners_with_room(self, rig: CellRig):
        rig.cell.set_entries(["e1"])
        rig.submit(step(1), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {}, rig.now)
        rig.add_runner("w3")
        rig.plan()
        rig.pass_time(3.0)
        (row,) = CellView(rig.cell).long_waits(rig.now, rig.now, 2.0, 5)
        assert (row["why"], row["seconds"]) == (WaitReason.ADVICE, pytest.approx(3.0))
        assert (row["with_room"], row["not_asked"]) == (3, 1)

    def test_lasting_tasks_come_first_and_others_are_left_out(self, rig: CellRig):
        for job in ("00000000000000aa", "00000000000000bb"):
            rig.submit(step(1, 9000), job=job)
        rig.submit(step(1, 9000, daemon=True))
        rig.plan()
        rig.pass_time(3.0)
        rows = CellView(rig.cell).long_waits(rig.now, rig.now, 2.0, 2)
        assert [row["stage"][:16] for row in rows] == [JOB, "00000000000000aa"]
        assert CellView(rig.cell).long_waits(rig.now, rig.now, 4.0, 2) == []

    def test_a_task_that_ended_waits_since_its_end(self, rig: CellRig):
        rig.submit(step(1, daemon=True))
        (order,) = rig.start_all()
        rig.pass_time(5.0)
        rig.hold(order.run.runner, (order.run.task, order.run.number, "stopped"))
        rig.pass_time(2.5)
        (row,) = CellView(rig.cell).long_waits(rig.now, rig.now, 2.0, 5)
        assert row["seconds"] == pytest.approx(2.5)


class TestWaitLog:
    def test_there_are_at_most_five_lines_at_a_time(
        self, rig: CellRig, caplog: pytest.LogCaptureFixture
    ):
        for number in range(7):
            rig.submit(step(1, 9000), job=job_id(number))
        rig.plan()
        rig.pass_time(3.0)
        with caplog.at_level("INFO"):
            WaitLog(rig.cell, LeaseClock()).write(rig.now, rig.now)
        lines = [row for row in caplog.records if row.message == "tasks wait"]
        assert [row.why for row in lines] == [WaitReason.NO_RUNNER_SUITS] * 5


class TestLists:
    def test_jobs_show_their_tasks_and_slack(self, rig: CellRig):
        rig.submit(step(9, 1000))
        rig.start_all()
        (job,) = CellView(rig.cell).jobs(rig.now, rig.now)
        assert (job["job"], job["waiting"], job["live"], job["done"]) == (JOB, 1, 8, 0)
        assert job["wait"] == WaitReason.NO_ROOM
        assert job["slack"] == pytest.approx(1.5 * 1.0 + 0.25 - 1.0)

    def test_runners_show_their_state(self, rig: CellRig):
        rig.list_runner("w3")
        rig.cell.pool.record_no_answer(rig.cell.runners["w2"], rig.now)
        rows = CellView(rig.cell).runners(rig.now)
        assert [(row["runner"], row["state"]) for row in rows] == [
            ("w1", "open"),
            ("w2", "unreached"),
            ("w3", "not_enrolled"),
        ]
        assert rows[2]["heard"] == -1.0

    def test_an_inactive_job_has_no_stages(self, rig: CellRig):
        assert CellView(rig.cell).stages(JOB, rig.now, rig.now) == []
