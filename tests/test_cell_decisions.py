"""Tests of the decisions of the owner of a cell."""

from __future__ import annotations

import pytest

from ragworttiller.platform.store import Record
from ragworttiller.scheduling.records.formats import (
    PROGRESS_SUFFIX,
    Claim,
    JobState,
    Withdrawn,
    encode,
)
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.speeds import Speeds
from tests.scheduling_rig import JOB, LEASE_SECONDS, QUEUE, TERM_SECONDS, CellRig, step, task

LATER = QUEUE._replace(name="later", prefix="/l/", priority=1)
OTHER_JOB = "fedcba9876543210"


@pytest.fixture()
def rig() -> CellRig:
    return CellRig()


class TestStarts:
    def test_tasks_start_where_they_fit(self, rig: CellRig):
        rig.submit(step(10, 1000))
        starts = rig.start_all()
        assert len(starts) == 8
        assert all(runner.free.cpu == 0 for runner in rig.cell.runners.values())

    def test_a_stopping_run_still_takes_room(self, rig: CellRig):
        rig.submit(step(8, 1000))
        rig.start_all()
        rig.cancel()
        assert len(rig.plan().stops) == 8
        rig.submit(step(1, 1000), job=OTHER_JOB)
        assert rig.plan().starts == []

    def test_a_step_starts_after_its_predecessors_have_ended(self, rig: CellRig):
        rig.submit(step(2), step(1, after=[0]))
        first, second = rig.start_all()
        rig.hold(first.run.runner, (first.run.task, 1, "done"))
        assert rig.plan().starts == []
        rig.hold(second.run.runner, (second.run.task, 1, "done"))
        assert [order.run.task for order in rig.plan().starts] == [task(0, 1)]

    def test_a_required_label_is_respected(self, rig: CellRig):
        rig.add_runner("b1", labels=("b",))
        rig.submit(step(1, requires="b"))
        assert [order.run.runner for order in rig.plan().starts] == ["b1"]

    def test_anti_affinity_limits_the_tasks_on_a_runner(self, rig: CellRig):
        rig.submit(step(6, 100, anti_affinity=1))
        assert sorted(order.run.runner for order in rig.plan().starts) == ["w1", "w2"]

    def test_nothing_starts_on_a_draining_runner(self, rig: CellRig):
        rig.list_runner("w1", state="draining")
        rig.submit(step(8))
        assert {order.run.runner for order in rig.plan().starts} == {"w2"}

    def test_nothing_starts_on_a_runner_that_is_not_enrolled(self, rig: CellRig):
        rig.list_runner("w3")
        rig.hold("w3")
        rig.submit(step(12))
        assert {order.run.runner for order in rig.plan().starts} == {"w1", "w2"}

    def test_an_occurrence_starts_when_it_is_due(self, rig: CellRig):
        first = (rig.now + 5.0) * 1000
        rig.submit(step(1), times=2, first_run_ms=first, interval_ms=10_000)
        assert rig.plan().starts == []
        rig.pass_time(5.5)
        assert [str(order.run.task) for order in rig.plan().starts] == [f"{JOB}.0.0.0"]
        rig.pass_time(10.0)
        assert [str(order.run.task) for order in rig.plan().starts] == [f"{JOB}.1.0.0"]


class TestEnds:
    def test_the_end_of_a_job_is_recorded_while_an_append_is_in_flight(self, rig: CellRig):
        rig.submit(step(2))
        first, second = rig.start_all()
        rig.hold(first.run.runner, (first.run.task, 1, "done"))
        in_flight = rig.cell.take_changes()
        rig.hold(second.run.runner, (second.run.task, 1, "done"))
        rig.cell.mark_recorded(in_flight)
        assert rig.cell.take_changes().progress[JOB].state == JobState.COMPLETED

    def test_progress_is_restored_from_the_store(self, rig: CellRig):
        rig.submit(step(2))
        first, second = rig.start_all()
        rig.hold(first.run.runner, (first.run.task, 1, "done"))
        progress = rig.cell.take_changes().progress[JOB]
        later = CellRig(2, Claim("e1", 1, 1, 0, [], [], {}), 100)
        later.jobs.apply(Record(90, JOB + PROGRESS_SUFFIX, encode(progress)))
        later.submit(step(2))
        assert later.jobs.jobs[JOB].state == JobState.RUNNING
        assert [order.run.task for order in later.plan().starts] == [second.run.task]

    def test_an_ended_job_does_not_start_again(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        rig.hold(only.run.runner, (only.run.task, 1, "done"))
        rig.cell.mark_recorded(rig.cell.take_changes())
        rig.jobs.touched.add(JOB)
        rig.cell.refresh(rig.now, rig.now)
        assert rig.plan().starts == []

    def test_an_end_is_acknowledged_only_after_it_is_stored(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        rig.hold(only.run.runner, (only.run.task, 1, "done"))
        runner = rig.cell.runners[only.run.runner]
        assert runner.last_end_recorded == 0
        changes = rig.cell.take_changes()
        rig.cell.restore_changes(changes)
        assert runner.last_end_recorded == 0
        rig.cell.mark_recorded(rig.cell.take_changes())
        assert runner.last_end_recorded == 1

    def test_a_job_fails_when_the_attempts_of_a_task_are_exhausted(self, rig: CellRig):
        rig.submit(step(1))
        for run in (1, 2):
            (only,) = rig.start_all()
            assert only.run.number == run
            rig.hold(only.run.runner, (only.run.task, run, "failed"))
        assert rig.cell.take_changes().progress[JOB].state == JobState.FAILED
        assert rig.plan().starts == []

    def test_the_second_attempt_starts_on_another_runner(self, rig: CellRig):
        rig.submit(step(1))
        (first,) = rig.start_all()
        rig.hold(first.run.runner, (first.run.task, 1, "failed"))
        (second,) = rig.start_all()
        assert second.run.runner != first.run.runner

    def test_a_failure_that_is_reported_again_counts_once(self, rig: CellRig):
        """A new owner gets the ends that the earlier owner had not acknowledged to the runner."""
        rig.submit(step(1))
        (only,) = rig.start_all()
        rig.hold(only.run.runner, (only.run.task, 1, "failed"))
        progress = rig.cell.take_changes().progress[JOB]
        claim = Claim("e1", 1, 1, 0, [only.run.runner], [], {})
        later = CellRig(0, claim, 100)
        later.jobs.apply(Record(90, JOB + PROGRESS_SUFFIX, encode(progress)))
        later.submit(step(1))
        later.list_runner(only.run.runner)
        later.hold(only.run.runner, (only.run.task, 1, "failed"), running=())
        assert later.cell.take_changes().progress[JOB].state == ""

    def test_a_daemon_task_has_no_attempt_limit(self, rig: CellRig):
        rig.submit(step(1, daemon=True))
        for _ in range(4):
            (only,) = rig.start_all()
            rig.hold(only.run.runner, (only.run.task, only.run.number, "failed"))
            rig.pass_time(4.0)
        assert rig.cell.jobs[JOB].open

    def test_a_late_end_of_an_earlier_run_stops_the_new_run(self, rig: CellRig):
        rig.submit(step(1))
        (first,) = rig.start_all()
        lost, other = first.run.runner, "w2" if first.run.runner == "w1" else "w1"
        rig.pass_time(LEASE_SECONDS * 1.1 + 1, lost)
        (second,) = rig.start_all()
        assert second.run.runner == other
        rig.hold(lost, (first.run.task, 1, "done"), running=())
        assert [order.run for order in rig.plan().stops] == [second.run]


class TestUnanswered:
    def test_an_unanswered_start_keeps_its_reservation_until_its_deadline(self, rig: CellRig):
        rig.submit(step(1, 4000))
        (only,) = rig.plan().starts
        rig.now += 0.5
        rig.hold(only.run.runner, running=())
        assert rig.plan().starts == []
        rig.now = only.deadline + 0.2
        for name in ("w1", "w2"):
            rig.hold(name, running=())
        (again,) = rig.plan().starts
        assert again.run.number == 2

    def test_a_start_that_is_executed_late_is_not_repeated(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.plan().starts
        rig.now += 0.5
        rig.hold(only.run.runner, running=())
        rig.now += 0.5
        rig.hold(only.run.runner)
        rig.pass_time(5.0)
        assert rig.plan().starts == []

    def test_tasks_of_a_silent_runner_restart_only_after_its_lease_has_expired(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        runner = only.run.runner
        rig.cell.runners[runner].grant_lease(rig.now, LEASE_SECONDS)
        rig.pass_time(LEASE_SECONDS - 0.5, runner)
        assert rig.plan().starts == []
        rig.pass_time(1.5, runner)
        (again,) = rig.plan().starts
        assert again.run.runner != runner

    def test_a_lost_runner_gets_tasks_only_after_it_is_enrolled_again(self, rig: CellRig):
        rig.cell.runners["w1"].grant_lease(rig.now, LEASE_SECONDS)
        rig.pass_time(LEASE_SECONDS + 1.0, "w1")
        rig.plan()
        rig.hold("w1")
        rig.submit(step(8))
        assert {order.run.runner for order in rig.plan().starts} == {"w2"}

    def test_a_lease_is_assumed_to_last_longer_on_a_slow_clock(self, rig: CellRig):
        state = rig.cell.runners["w1"]
        state.grant_lease(rig.now, 10.0)
        assert not state.lease_expired(rig.now + 10.1)
        assert state.lease_expired(rig.now + 10.3)

    def test_another_boot_at_the_address_frees_the_tasks_at_once(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.start_all()
        rig.end_boot(only.run.runner)
        assert len(rig.plan().starts) == 1

    def test_an_ended_boot_is_not_added_again_from_a_stale_list(self, rig: CellRig):
        rig.end_boot("w1")
        rig.cell.refresh(rig.now, rig.now)
        assert list(rig.cell.runners) == ["w2"]

    def test_a_refused_start_is_retried_on_another_runner(self, rig: CellRig):
        rig.submit(step(1))
        (only,) = rig.plan().starts
        rig.cell.mark_start_refused(only.run, "unhealthy", rig.now)
        (again,) = rig.plan().starts
        assert again.run.runner != only.run.runner


class TestGangs:
    def test_a_gang_starts_whole_or_not_at_all(self, rig: CellRig):
        rig.submit(step(9, 1000, gang=True))
        assert rig.plan().starts == []
        rig.submit(step(8, 1000, gang=True), job=OTHER_JOB)
        starts = rig.plan().starts
        assert len(starts) == 8
        assert {order.run.number for order in starts} == {1}

    def waiting_gang(self, rig: CellRig) -> None:
        """Let a gang that does not fit wait until it reserves room."""
        rig.submit(step(4, 1000))
        rig.start_all()
        rig.submit(step(8, 1000, gang=True, estimate_ms=9000), job=OTHER_JOB)
        for _ in range(5):
            assert rig.plan().starts == []
            rig.pass_time(0.5)

    def test_a_waiting_gang_holds_later_stages_back(self, rig: CellRig):
        self.waiting_gang(rig)
        rig.submit(step(1), job="00000000000000aa", queue=LATER)
        assert rig.plan().starts == []

    def test_a_waiting_gang_holds_no_lasting_task_back(self, rig: CellRig):
        self.waiting_gang(rig)
        rig.submit(step(1, daemon=True), job="00000000000000aa", queue=LATER)
        assert len(rig.plan().starts) == 1

    def test_a_waiting_gang_holds_nothing_back_on_another_upstream(self, rig: CellRig):
        rig.list_runner("x1", service="archive")
        rig.hold("x1")
        rig.enroll("x1")
        self.waiting_gang(rig)
        archive = LATER._replace(name="archive", prefix="/a/", upstream="archive")
        rig.submit(step(1), job="00000000000000aa", queue=archive)
        assert [order.run.runner for order in rig.plan().starts] == ["x1"]

    @pytest.mark.parametrize(
        "gang",
        [step(3, gang=True, anti_affinity=1), step(9, 1000, gang=True), step(5, 2000, gang=True)],
        ids=["limit", "cell", "fragments"],
    )
    def test_a_gang_that_cannot_start_holds_nothing_back(self, rig: CellRig, gang: dict):
        rig.submit({**gang, "estimate_ms": 9000}, job=OTHER_JOB)
        for _ in range(5):
            assert rig.plan().starts == []
            rig.pass_time(0.5)
        rig.submit(step(1), job="00000000000000aa", queue=LATER)
        assert len(rig.plan().starts) == 1

    def test_one_done_member_completes_the_gang(self, rig: CellRig):
        rig.submit(step(2, gang=True))
        first, second = rig.start_all()
        rig.hold(first.run.runner, (first.run.task, 1, "done"))
        assert rig.cell.take_changes().progress[JOB].state == JobState.COMPLETED
        assert rig.plan().stops == []

    def test_members_start_again_when_all_have_ended(self, rig: CellRig):
        rig.submit(step(2, gang=True))
        first, second = rig.start_all()
        rig.cell.mark_start_refused(first.run, "ticket", rig.now)
        plan = rig.plan()
        assert plan.starts == []
        assert [order.run for order in plan.stops] == [second.run]
        rig.hold(second.run.runner, (second.run.task, 1, "stopped"))
        assert {order.run.number for order in rig.plan().starts} == {2}


class TestTakeover:
    def claim(self, *withdrawn: Withdrawn) -> Claim:
        return Claim("e1", 1, 1, 0, ["w1", "w2"], list(withdrawn), {})

    def test_running_tasks_are_adopted(self):
        rig = CellRig(0, self.claim(), 100)
        rig.submit(step(2))
        rig.list_runner("w1")
        rig.list_runner("w2")
        rig.hold("w1", running=((task(0), 1),))
        rig.hold("w2", running=())
        rig.enroll("w1", "w2")
        (only,) = rig.plan().starts
        assert only.run.task == task(1)
        assert only.run.number > 10_000

    def test_an_old_job_waits_for_a_runner_that_has_not_answered(self):
        rig = CellRig(0, self.claim(), 100)
        rig.submit(step(1))
        rig.add_runner("w1")
        assert rig.plan().starts == []
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS)
        assert rig.plan().starts == []
        rig.pass_time(1.0)
        assert len(rig.plan().starts) == 1

    def test_a_new_job_does_not_wait(self):
        rig = CellRig(0, self.claim(), 0)
        rig.submit(step(1))
        rig.add_runner("w1")
        assert len(rig.plan().starts) == 1

    def test_only_the_tasks_on_a_withdrawn_runner_wait(self):
        row = Withdrawn("w2", [str(task(0))])
        rig = CellRig(0, self.claim(row), 100)
        rig.submit(step(2))
        rig.add_runner("w1")
        assert [order.run.task for order in rig.plan().starts] == [task(1)]
        rig.pass_time(LEASE_SECONDS + 1.0)
        assert [order.run.task for order in rig.plan().starts] == [task(0)]

    def test_a_draining_runner_is_waited_for_as_long_as_its_lease_may_be_renewed(self):
        row = Withdrawn("w2", [str(task(0))], renewed=True)
        rig = CellRig(0, self.claim(row), 100)
        rig.submit(step(2))
        rig.add_runner("w1")
        assert [order.run.task for order in rig.plan().starts] == [task(1)]
        rig.pass_time(LEASE_SECONDS + 1.0)
        assert rig.plan().starts == []
        rig.pass_time(TERM_SECONDS)
        assert [order.run.task for order in rig.plan().starts] == [task(0)]

    def test_a_withdrawn_runner_gets_tasks_only_after_it_is_enrolled_again(self, rig: CellRig):
        """A task started there before the next claim would be unknown to the owner's successor."""
        state = rig.cell.runners["w1"]
        rig.now += 1.0
        rig.cell.pool.record_no_answer(state, rig.now)
        assert [row.runner for row in rig.cell.pool.withdraw(rig.now)] == ["w1"]
        for name in ("w1", "w2"):
            rig.hold(name)
        rig.submit(step(8))
        assert {order.run.runner for order in rig.plan().starts} == {"w2"}
        rig.cell.pool.enroll(Claim("e", 1, 1, 0, ["w1", "w2"], [], {}))
        assert "w1" in {order.run.runner for order in rig.plan().starts}

    def test_a_run_of_a_cancelled_job_is_stopped(self):
        rig = CellRig(0, self.claim(), 100)
        rig.submit(step(1))
        rig.cancel()
        rig.list_runner("w1")
        rig.hold("w1", running=((task(0), 1),))
        assert [str(order.run.task) for order in rig.plan().stops] == [str(task(0))]
        assert rig.cell.runners["w1"].free.cpu == 3000

    def test_a_runner_that_answers_late_gets_tasks_only_once_a_claim_names_it_again(self):
        """Guards against a run that the next owner does not know of, and starts again."""
        rig = CellRig(1, Claim("e", 1, 1, 0, ["w2"], [], {}))
        rig.list_runner("w2")
        rig.enroll("w1", "w2")
        rig.pass_time(TERM_SECONDS + 2 * LEASE_SECONDS, "w2")
        rig.plan()
        claim = rig.cell.claim("e", 1, 0, rig.now)
        assert claim.roster == ["w1"]
        rig.hold("w2")
        rig.submit(step(8))
        assert {order.run.runner for order in rig.plan().starts} == {"w1"}
        rig.cell.pool.enroll(rig.cell.claim("e", 1, 0, rig.now))
        assert {order.run.runner for order in rig.plan().starts} == {"w2"}


class TestSharing:
    def test_a_filling_task_is_not_placed_beside_a_serving_one(self, rig: CellRig):
        rig.submit(step(2, 100, daemon=True, target_ms=50, anti_affinity=1))
        rig.start_all()
        rig.submit(step(1, 100, fills=True), job=OTHER_JOB)
        assert rig.plan().starts == []

    def test_a_filling_task_is_stopped_beside_a_serving_one(self, rig: CellRig):
        rig.submit(step(2, 100, fills=True, anti_affinity=1))
        filling = rig.start_all()
        rig.submit(step(1, 100, daemon=True, target_ms=50), job=OTHER_JOB)
        (serving,) = rig.start_all()
        stopped = [order.run.runner for order in rig.plan().stops]
        assert stopped == [serving.run.runner]
        assert len(filling) == 2

    def test_the_processors_of_a_filling_task_are_not_reserved(self, rig: CellRig):
        rig.submit(step(2, 4000, fills=True))
        rig.start_all()
        rig.submit(step(8, 1000), job=OTHER_JOB)
        assert len(rig.plan().starts) == 8


class TestSpeeds:
    def test_a_slow_runner_is_avoided_and_tried_again_later(self):
        speeds = Speeds()
        for number in range(6):
            stage = StageId(JOB, 0, number)
            speeds.record_duration("fast", stage, 1.0, 0.0)
            speeds.record_duration("slow", stage, 6.0, 0.0)
        assert speeds.time_ratio("slow", 0.0) > 2.5
        assert speeds.time_ratio("slow", 60.0) < 1.1

    def test_work_goes_to_the_faster_runner(self, rig: CellRig):
        rig.cell._tracker._speeds._ratios["w1"] = (3.0, rig.now)
        rig.submit(step(2))
        assert {order.run.runner for order in rig.plan().starts} == {"w2"}


class TestPending:
    def test_started_jobs_do_not_count(self, rig: CellRig):
        rig.submit(step(1, 4000))
        rig.submit(step(1, 4000), job=OTHER_JOB)
        rig.submit(step(1, 4000), job="00000000000000aa")
        rig.start_all()
        assert rig.cell.pending() == {f"{QUEUE.host} {QUEUE.prefix}": 1}

    @pytest.mark.parametrize("reason", ["room", "ticket", "late", "unhealthy"])
    def test_a_job_whose_start_was_refused_is_pending(self, rig: CellRig, reason: str):
        """Guards against a job that is not counted though no runner has begun it (review/10)."""
        rig.submit(step(1))
        (order,) = rig.plan().starts
        assert rig.cell.pending() == {f"{QUEUE.host} {QUEUE.prefix}": 1}
        rig.cell.mark_start_refused(order.run, reason, rig.now)
        assert rig.cell.pending() == {f"{QUEUE.host} {QUEUE.prefix}": 1}

    @pytest.mark.parametrize("outcome", ["stopped", "lapsed", "failed"])
    @pytest.mark.parametrize("answered", [True, False])
    def test_a_job_that_a_runner_has_begun_is_not_pending(
        self, rig: CellRig, outcome: str, answered: bool
    ):
        rig.submit(step(1))
        (order,) = rig.start_all() if answered else rig.plan().starts
        run = order.run
        rig.hold(run.runner, (run.task, run.number, outcome))
        assert rig.cell.pending() == {f"{QUEUE.host} {QUEUE.prefix}": 0}
