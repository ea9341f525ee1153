"""Tests of what is believed of tasks when a runner is lost under them."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.decisions.crash_rules import (
    exclusive_seconds,
    gives_up,
    is_suspect,
    proof_wait_seconds,
    trial_seconds,
)
from ragworttiller.scheduling.decisions.trials import Trials
from ragworttiller.scheduling.records.formats import Blame
from ragworttiller.scheduling.state.runs import Run
from tests.crashes_rig import answer_in_place_of, crash, crash_runner, second_owner, stage_of
from tests.scheduling_rig import JOB, CellRig, job_id, step, task

OTHER = job_id(9)


class TestRules:
    def test_a_task_is_given_up_after_two_trials_and_three_crashes(self):
        latest, trial = crash(Blame.LATEST), crash(Blame.TRIAL)
        assert not gives_up([latest, trial])
        assert not gives_up([trial, trial])
        assert gives_up([latest, trial, trial])

    def test_a_task_is_given_up_before_a_sixth_start_whatever_is_known_of_its_crashes(self):
        latest, trial, beside = crash(Blame.LATEST), crash(Blame.TRIAL), crash(Blame.BESIDE)
        assert gives_up([beside, latest, trial, latest])
        assert gives_up([latest] * 4)
        assert not gives_up([beside, beside, latest, latest])
        assert gives_up([beside, beside, latest, latest, latest])

    def test_a_task_that_runs_beside_others_is_never_given_up_for_it(self):
        assert not gives_up([crash(Blame.BESIDE)] * 20)

    def test_losses_proved_after_the_leases_count_against_a_task_that_was_alone(self):
        """Guards against a task that crashes silent runners for ever."""
        beside, alone = crash(Blame.BESIDE), crash(Blame.BESIDE)._replace(alone=True)
        assert not gives_up([alone] * 3)
        assert gives_up([alone] * 4)
        assert not gives_up([beside, beside, alone, alone])
        assert gives_up([beside, beside, beside, beside, alone])

    def test_a_task_that_started_last_is_suspected_at_once_and_others_the_second_time(self):
        assert is_suspect([crash(Blame.LATEST)])
        assert not is_suspect([crash(Blame.BESIDE)])
        assert is_suspect([crash(Blame.BESIDE)] * 2)

    def test_a_runner_out_of_reach_makes_a_task_a_suspect_only_beside_a_crash(self):
        assert is_suspect([crash(Blame.BESIDE)], losses=1)
        assert not is_suspect([], losses=5)

    def test_a_trial_lasts_longer_than_it_took_the_slowest_crash(self):
        rows = [crash(Blame.BESIDE, seconds=2.0), crash(Blame.BESIDE, seconds=1.0)]
        assert trial_seconds(rows) > 2.0
        assert exclusive_seconds(rows) > 2.0

    def test_a_trial_does_not_keep_a_runner_for_as_long_as_a_task_lasts(self):
        assert exclusive_seconds([crash(Blame.BESIDE, seconds=9.0)]) <= 5.0


class TestBlame:
    def test_the_task_that_started_last_is_blamed_before_those_beside_it(self):
        rig = CellRig(1)
        rig.submit(step(1), job=OTHER)
        rig.start_all()
        rig.now += 1.0
        rig.submit(step(1))
        rig.start_all()
        crash_runner(rig, "w1")
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST]
        assert [row.blame for row in stage_of(rig, OTHER).crashes[0]] == [Blame.BESIDE]

    def test_tasks_of_a_runner_that_leaves_as_planned_are_not_blamed(self):
        rig = CellRig(1)
        rig.submit(step(1))
        rig.start_all()
        rig.list_runner("w1", state="draining")
        crash_runner(rig, "w1")
        assert stage_of(rig).crashes == {}

    def test_a_run_that_was_adopted_is_not_blamed_as_the_last_to_start(self):
        rig = second_owner(trials={})
        rig.list_runner("w1")
        rig.hold("w1", running=((task(), 1),))
        rig.now += 0.2
        crash_runner(rig, "w1")
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.BESIDE]

    def test_a_task_that_has_run_for_long_is_not_blamed(self):
        rig = CellRig(1)
        rig.submit(step(1, daemon=True))
        rig.start_all()
        rig.pass_time(20.0)
        crash_runner(rig, "w1")
        assert stage_of(rig).crashes == {}

    def test_a_runner_out_of_reach_is_no_proof_against_a_trial(self):
        rig = CellRig(2)
        rig.submit(step(1))
        (first,) = rig.start_all()
        crash_runner(rig, first.run.runner)
        (second,) = rig.start_all()
        assert second.trial
        rig.pass_time(8.0, second.run.runner)
        rig.plan()
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST]
        rig.end_boot(second.run.runner)
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.BESIDE]

    def test_a_runner_that_crashes_again_of_itself_is_no_proof_against_a_trial(self):
        rig = CellRig(1)
        crash_runner(rig, "w1")
        rig.list_runner("w1-again")
        rig.cell.runners["w1-again"].unsound_until = rig.now + 20.0
        rig.hold("w1-again")
        rig.enroll("w1-again")
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        (order,) = rig.start_all()
        assert order.trial
        rig.now += 0.2
        crash_runner(rig, "w1-again")
        assert stage_of(rig).crashes[0][-1].blame == Blame.LATEST

    def test_a_crash_right_after_the_start_of_a_trial_is_proof_on_any_runner(self):
        rig = CellRig(1)
        rig.cell.runners["w1"].unsound_until = rig.now + 20.0
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        rig.start_all()
        rig.now += 0.05
        crash_runner(rig, "w1")
        assert stage_of(rig).crashes[0][-1].blame == Blame.TRIAL

    def test_a_boot_that_was_listed_before_the_end_of_the_last_one_is_unsound_too(self):
        rig = CellRig(0)
        rig.add_runner("w1@1")
        rig.list_runner("w1@2")
        later = rig.cell.runners["w1@2"]
        later.entry = later.entry._replace(address=rig.cell.runners["w1@1"].entry.address)
        crash_runner(rig, "w1@1")
        assert later.unsound_until > rig.now

    def test_runners_that_crash_at_the_same_moment_are_no_proof_against_a_trial(self):
        rig = CellRig(2)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        (order,) = rig.start_all()
        (other,) = set(rig.cell.runners) - {order.run.runner}
        rig.now += 0.2
        for name in (other, order.run.runner):
            rig.cell.pool.record_no_answer(rig.cell.runners[name], rig.now)
        rig.now += 3.0
        rig.end_boot(other)
        rig.end_boot(order.run.runner)
        assert stage_of(rig).crashes[0][-1].blame == Blame.LATEST

    def test_a_call_that_another_runner_missed_at_the_same_moment_takes_no_proof_away(self):
        rig = CellRig(2)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        (order,) = rig.start_all()
        (other,) = set(rig.cell.runners) - {order.run.runner}
        rig.now += 0.2
        rig.cell.pool.record_no_answer(rig.cell.runners[other], rig.now)
        rig.hold(other)
        crash_runner(rig, order.run.runner)
        assert stage_of(rig).crashes[0][-1].blame == Blame.TRIAL

    def test_an_address_is_unsound_after_a_crash_that_no_trial_explains(self):
        rig = CellRig(1)
        address = rig.cell.runners["w1"].entry.address
        crash_runner(rig, "w1")
        rig.list_runner("w2")
        assert rig.cell.runners["w2"].unsound_until < rig.now, "it has another address"
        assert rig.cell.pool._unsound_until[address] > rig.now


class TestSilence:
    """A runner whose lease has expired may only be out of reach."""

    @pytest.mark.parametrize("daemon", [False, True])
    @pytest.mark.parametrize("silent", [0.0, 0.5, 3.0])
    def test_a_task_whose_runners_answer_again_is_not_given_up(self, daemon: bool, silent: float):
        rig = CellRig(5)
        rig.submit(step(1, daemon=daemon, estimate_ms=60000))
        for number in range(5):
            rig.pass_time(1.0)
            (order,) = rig.start_all()
            assert not order.trial
            self.lapse(rig, order.run, silent)
            assert rig.cell.jobs[JOB].state == ""
            if number < 4:
                rig.hold(order.run.runner, (order.run.task, order.run.number, "lapsed"))
        assert not stage_of(rig).crashes
        assert len(stage_of(rig).losses[0]) == 1

    @pytest.mark.parametrize("daemon", [False, True])
    def test_a_task_is_not_given_up_before_its_silent_runners_are_known_to_have_crashed(
        self, daemon: bool
    ):
        rig = CellRig(8)
        rig.submit(step(1, daemon=daemon, estimate_ms=60000))
        silent: list[str] = []
        for _ in range(6):
            (order,) = rig.start_all()
            self.lapse(rig, order.run, 0.0, *silent)
            silent.append(order.run.runner)
        assert len(stage_of(rig).losses[0]) == 6
        assert not stage_of(rig).crashes
        assert rig.cell.jobs[JOB].state == ""

    def test_the_loss_counts_once_another_boot_answers_there(self):
        rig = CellRig(2)
        rig.submit(step(1))
        (order,) = rig.start_all()
        self.lapse(rig, order.run)
        rig.drop_runner(order.run.runner)
        assert order.run.runner not in rig.cell.runners
        assert not stage_of(rig).crashes
        answer_in_place_of(rig, order.run.runner)
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.BESIDE]
        assert not stage_of(rig).losses

    def test_an_earlier_boot_at_its_address_is_no_proof_that_a_silent_runner_has_crashed(self):
        rig = CellRig(1)
        rig.list_runner("w2", address="w1:1")
        rig.now += 0.1
        rig.hold("w2")
        rig.enroll("w2")
        rig.submit(step(1))
        rig.cell.runners["w1"].suspend(rig.now)
        (order,) = rig.start_all()
        assert order.run.runner == "w2"
        rig.pass_time(5.5, "w1", "w2")
        rig.end_runs()
        assert stage_of(rig).losses
        assert not stage_of(rig).crashes

    def test_a_later_boot_that_is_listed_proves_the_end_of_a_runner(self):
        rig = CellRig(0)
        rig.add_runner("w1@1")
        rig.submit(step(1))
        (order,) = rig.start_all()
        rig.list_runner("w1@2")
        self.lapse(rig, order.run, 0.0, "w1@2")
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.BESIDE]

    def test_a_trial_that_fell_silent_at_its_start_is_proved_by_a_late_answer_of_another_boot(self):
        rig = CellRig(2)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        (order,) = rig.start_all()
        rig.cell.pool.record_no_answer(rig.cell.runners[order.run.runner], rig.now + 0.05)
        self.lapse(rig, order.run)
        assert len(stage_of(rig).crashes[0]) == 1
        rig.end_boot(order.run.runner)
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.TRIAL]

    @pytest.mark.parametrize("refused", [False, True])
    def test_a_runner_that_refused_calls_before_its_leases_ended_crashed_under_its_tasks(
        self, refused: bool
    ):
        rig = CellRig(2)
        rig.submit(step(1))
        (order,) = rig.start_all()
        runner = rig.cell.runners[order.run.runner]
        rig.cell.pool.record_no_answer(runner, rig.now + 1.0, refused=refused)
        self.lapse(rig, order.run)
        assert not stage_of(rig).crashes
        rig.end_boot(runner.id)
        blame = Blame.LATEST if refused else Blame.BESIDE
        assert [row.blame for row in stage_of(rig).crashes[0]] == [blame]

    @pytest.mark.parametrize("beside", [False, True])
    def test_a_loss_tells_whether_the_task_was_alone_also_once_it_is_proved(self, beside: bool):
        rig = CellRig(1)
        rig.submit(step(1))
        if beside:
            rig.submit(step(1), job=OTHER)
        order = rig.start_all()[0]
        self.lapse(rig, order.run)
        assert [row.alone for row in stage_of(rig).losses[0]] == [not beside]
        rig.end_boot("w1")
        assert [row.alone for row in stage_of(rig).crashes[0]] == [not beside]

    def test_a_trial_is_alone_whatever_was_on_its_runner_before(self):
        rig = CellRig(1)
        rig.submit(step(1, daemon=True), job=OTHER)
        rig.start_all()
        rig.pass_time(1.0)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        (order,) = rig.start_all()
        self.lapse(rig, order.run, 0.5)
        rig.end_boot("w1")
        assert stage_of(rig).crashes[0][-1].alone
        assert not stage_of(rig, OTHER).crashes

    def test_an_end_that_was_proved_after_the_leases_is_no_proof_though_no_plan_was_made_between(
        self,
    ):
        """The owner may have had no contact to the store when the leases expired."""
        rig = CellRig(2)
        rig.submit(step(1))
        (order,) = rig.start_all()
        rig.pass_time(8.0, order.run.runner)
        rig.end_boot(order.run.runner)
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.BESIDE]

    def test_a_task_that_runs_on_elsewhere_is_cleared_of_its_losses(self):
        rig = CellRig(2)
        rig.submit(step(1, daemon=True))
        (order,) = rig.start_all()
        self.lapse(rig, order.run)
        rig.start_all()
        rig.pass_time(3.0, order.run.runner)
        rig.end_boot(order.run.runner)
        assert not stage_of(rig).crashes
        assert not stage_of(rig).losses

    def test_a_loss_of_which_nothing_is_heard_is_dropped_in_the_end(self):
        rig = CellRig(1)
        rig.submit(step(1))
        (order,) = rig.start_all()
        self.lapse(rig, order.run)
        rig.pass_time(61.0, order.run.runner)
        rig.plan()
        assert not stage_of(rig).losses

    @pytest.mark.parametrize(("daemon", "seconds"), [(True, 3.0), (False, 15.0)])
    def test_a_task_waits_for_the_proof_before_a_sixth_start_but_not_for_ever(
        self, daemon: bool, seconds: float
    ):
        assert proof_wait_seconds([], 5, daemon) == 0.0
        assert proof_wait_seconds([crash(Blame.BESIDE)], 3, daemon) == 0.0
        assert proof_wait_seconds([crash(Blame.BESIDE)] * 5, 0, daemon) == 0.0
        rig = CellRig(2)
        rig.submit(step(1, daemon=daemon))
        stage_of(rig).crashes[0] = [crash(Blame.BESIDE, f"v{n}") for n in range(4)]
        (order,) = rig.start_all()
        self.lapse(rig, order.run)
        assert not rig.start_all()
        rig.pass_time(seconds - 0.1, order.run.runner)
        assert not rig.start_all()
        rig.pass_time(0.2, order.run.runner)
        assert rig.start_all()

    def lapse(self, rig: CellRig, run: Run, after: float = 0.0, *others: str) -> None:
        """Let the runner of a run fall silent some time after its start until its lease expires.

        Other runners are silent too.
        """
        rig.pass_time(after, *others)
        rig.pass_time(5.5, run.runner, *others)
        rig.end_runs()
        assert run.key not in rig.cell.runners[run.runner].runs


class TestTrialsOfTasks:
    def test_nothing_starts_beside_a_trial_until_it_is_over(self):
        rig = CellRig(1)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        rig.submit(step(1), job=OTHER)
        (order,) = rig.start_all()
        assert order.run.task.stage.job == JOB
        rig.now += 0.35
        rig.hold("w1")
        assert [o.run.task.stage.job for o in rig.start_all()] == [OTHER]

    def test_a_task_that_outlives_its_crashes_is_cleared(self):
        rig = CellRig(1)
        rig.submit(step(1, daemon=True))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, seconds=0.4)]
        rig.start_all()
        rig.now += 0.5
        rig.hold("w1")
        assert stage_of(rig).crashes
        rig.now += 0.5
        rig.hold("w1")
        assert not stage_of(rig).crashes
        assert not stage_of(rig).trials

    def test_a_trial_starts_where_the_least_work_is_lost(self):
        rig = CellRig(2)
        rig.submit(step(1, daemon=True), job=OTHER)
        (lasting,) = rig.start_all()
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        (order,) = rig.start_all()
        assert order.run.runner != lasting.run.runner

    @pytest.mark.parametrize(("busy", "returned"), [(1, False), (3, True)])
    def test_a_trial_avoids_a_runner_that_was_out_of_reach_lately_unless_much_work_is_lost(
        self, busy: int, returned: bool
    ):
        """Guards against trials on runners that are empty since they were just silent."""
        rig = CellRig(2)
        rig.pass_time(6.0, "w1")
        rig.end_runs()
        rig.submit(step(busy, daemon=True), job=OTHER)
        assert {order.run.runner for order in rig.start_all()} == {"w2"}
        rig.now += 0.1
        rig.hold("w1")
        rig.enroll("w1")
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "w0")]
        (order,) = rig.start_all()
        assert (order.run.runner == "w1") == returned

    @pytest.mark.parametrize("answered", [False, True])
    def test_a_trial_starts_beside_no_task_that_starts_at_the_same_moment(self, answered: bool):
        """Guards against blame for tasks that a deadly one, tried in the same pass, crashes."""
        rig = CellRig(1)
        rig.submit(step(2), job=OTHER)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        orders = rig.start_all() if answered else rig.plan().starts
        assert {order.run.task.stage.job for order in orders} == {OTHER}
        rig.now += 0.1
        orders = rig.start_all()
        assert [order.run.task.stage.job for order in orders] == ([JOB] if answered else [])

    def test_only_a_share_of_the_runners_has_a_trial_at_a_time(self):
        trials = Trials()
        rig = CellRig(8)
        runners = list(rig.cell.runners.values())
        trials.begin(8, 0, rig.now)
        assert [trials.choose(runners) is not None for _ in range(3)] == [True, True, False]
        assert trials.choose(runners, must_start=True) is not None

    def test_a_task_that_waits_for_its_trial_holds_back_no_task_of_its_stage(self):
        rig = CellRig(4)
        rig.submit(step(3))
        stage_of(rig).crashes |= {0: [crash(Blame.LATEST)], 1: [crash(Blame.LATEST)]}
        started = [order.run.task.ordinal for order in rig.start_all()]
        assert len(started) == 2
        assert 2 in started

    def test_a_start_that_was_refused_is_no_trial_any_more(self):
        rig = CellRig(1)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        (order,) = rig.plan().starts
        assert stage_of(rig).trials == {0: "w1"}
        rig.cell.mark_start_refused(order.run, "late", rig.now)
        assert stage_of(rig).trials == {}


@pytest.mark.parametrize("blame", list(Blame))
def test_what_speaks_for_a_crash_is_stored_as_it_is(blame: Blame):
    assert str(blame) == blame


class TestGangOfSuspects:
    def test_a_gang_that_cannot_be_tried_leaves_its_runners_to_others(self):
        """Runners that were closed for its trials took no other task for as long as it waited."""
        rig = CellRig(2)
        rig.submit(step(9, gang=True), job=OTHER)
        stage_of(rig, OTHER).crashes = {n: [crash(Blame.LATEST)] for n in range(9)}
        rig.submit(step(8))
        assert len(rig.start_all()) == 8
