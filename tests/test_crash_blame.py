"""Tests of what is believed of tasks when a runner is lost under them."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.decisions.crash_rules import (
    exclusive_seconds,
    gives_up,
    is_suspect,
    trial_seconds,
)
from ragworttiller.scheduling.decisions.trials import Trials
from ragworttiller.scheduling.records.formats import (
    PROGRESS_SUFFIX,
    Blame,
    Claim,
    Crash,
    JobState,
    Withdrawn,
    decode_bitmap,
    encode,
)
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from tests.scheduling_rig import JOB, LEASE_SECONDS, TERM_SECONDS, CellRig, job_id, step, task

OTHER = job_id(9)


def crash(blame: Blame, runner: str = "w1", seconds: float = 0.01) -> Crash:
    return Crash(runner, seconds, str(blame))


def stage_of(rig: CellRig, job: str = JOB) -> Stage:
    return rig.cell.jobs[job].stages[task(job=job).stage]


def crash_runner(rig: CellRig, runner: str) -> None:
    """Apply that a runner refuses calls, and that another boot answers three seconds later."""
    rig.cell.pool.record_no_answer(rig.cell.runners[runner], rig.now, refused=True)
    rig.now += 3.0
    for name in list(rig.cell.runners):
        if name != runner:
            rig.cell.runners[name].grant_lease(rig.now, LEASE_SECONDS)
            rig.hold(name)
    rig.end_boot(runner)


def add_free_runner(rig: CellRig, name: str) -> RunnerState:
    rig.add_runner(name)
    return rig.cell.runners[name]


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

    def test_a_task_that_started_last_is_suspected_at_once_and_others_the_second_time(self):
        assert is_suspect([crash(Blame.LATEST)])
        assert not is_suspect([crash(Blame.BESIDE)])
        assert is_suspect([crash(Blame.BESIDE)] * 2)

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
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.LATEST]

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


def progress_with(rig: CellRig, trials: dict[int, str]) -> bytes:
    """Return the stored progress of a job whose task was tried by an earlier owner."""
    stage = Stage(task().stage, rig.cell.jobs[JOB].spec.steps[0])
    stage.crashes[0] = [crash(Blame.LATEST, "w0")]
    row = stage.progress()._replace(trials=trials)
    assert decode_bitmap(row.done) == set()
    return encode(rig.cell.jobs[JOB].progress()._replace(stages=[row]))


def second_owner(*withdrawn: Withdrawn, trials: dict[int, str]) -> CellRig:
    """Return the cell of a second owner with one older job, whose task may have been tried."""
    claim = Claim("e1", 1, 1, 0, ["w1", "w2"], list(withdrawn), {})
    rig = CellRig(0, claim, accepted_before=100)
    rig.submit(step(1))
    value = progress_with(rig, trials)
    rig = CellRig(0, claim, accepted_before=100)
    rig.store(JOB + PROGRESS_SUFFIX, value)
    rig.submit(step(1))
    return rig


class TestChangeOfOwner:
    def test_a_trial_whose_runner_is_gone_counts_as_a_crash(self):
        rig = second_owner(trials={0: "w1"})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]

    def test_a_trial_whose_runner_answers_without_it_does_not(self):
        rig = second_owner(trials={0: "w1"})
        rig.add_runner("w1")
        rig.add_runner("w2")
        starts = rig.plan().starts
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0"]
        assert [order.trial for order in starts] == [True]

    def test_a_trial_that_is_found_goes_on(self):
        rig = second_owner(trials={0: "w1"})
        rig.list_runner("w1")
        rig.hold("w1", running=((task(), 1),))
        rig.enroll("w1")
        rig.plan()
        assert stage_of(rig).trials == {0: "w1"}
        assert rig.cell.runners["w1"].on_trial(rig.now)

    def test_no_task_starts_while_its_trial_may_still_run(self):
        rig = second_owner(Withdrawn("w1", [], renewed=True, silent=True), trials={0: "w1"})
        rig.add_runner("w2")
        assert rig.plan().starts == []

    def test_tasks_of_a_runner_that_fell_silent_before_are_suspected(self):
        row = Withdrawn("w1", [str(task())], renewed=True, silent=True)
        rig = second_owner(row, trials={})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]

    def test_a_trial_weighs_more_than_the_claim_that_names_its_task_behind_others(self):
        row = Withdrawn("w1", [str(task(job=OTHER)), str(task())], renewed=True, silent=True)
        rig = second_owner(row, trials={0: "w1"})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.LATEST]

    def test_an_unreadable_task_of_a_claim_harms_nothing(self):
        row = Withdrawn("w1", ["no task", str(task())], renewed=True, silent=True)
        rig = second_owner(row, trials={})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert len(stage_of(rig).crashes[0]) == 2

    def test_a_claim_names_the_tasks_of_a_runner_that_refuses_calls_the_last_first(self):
        rig = CellRig(1)
        rig.submit(step(1), job=OTHER)
        rig.start_all()
        rig.now += 0.2
        rig.submit(step(1))
        rig.start_all()
        rig.cell.pool.record_no_answer(rig.cell.runners["w1"], rig.now, refused=True)
        assert rig.cell.pool.awaits_withdrawal
        (row,) = rig.cell.claim("e1", 1, 0, rig.now).withdrawn
        assert row == Withdrawn("w1", [str(task()), str(task(job=OTHER))], True, True)
        assert not rig.cell.pool.awaits_withdrawal

    def test_the_job_of_a_task_that_is_given_up_has_failed(self):
        rig = CellRig(1)
        rig.submit(step(2))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "v1"), crash(Blame.TRIAL, "v2")]
        rig.start_all()
        crash_runner(rig, "w1")
        assert rig.cell.jobs[JOB].state == JobState.FAILED
        progress = rig.cell.take_changes().progress[JOB]
        assert progress.state == JobState.FAILED


@pytest.mark.parametrize("blame", list(Blame))
def test_what_speaks_for_a_crash_is_stored_as_it_is(blame: Blame):
    assert str(blame) == blame


class TestGangOfSuspects:
    def test_a_gang_that_cannot_be_tried_leaves_its_runners_to_others(self):
        """Runners that were closed for its trials took no other task for as long as it waited."""
        rig = CellRig(2)
        rig.submit(step(3, gang=True), job=OTHER)
        stage_of(rig, OTHER).crashes = {n: [crash(Blame.LATEST)] for n in range(3)}
        rig.submit(step(8))
        assert len(rig.start_all()) == 8
