"""Tests of what a new owner believes of tasks whose runners have crashed."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.records.formats import (
    PROGRESS_SUFFIX,
    Blame,
    JobState,
    Loss,
    Progress,
    StageProgress,
    Withdrawn,
    decode,
    encode,
)
from ragworttiller.scheduling.state.runs import Stage
from tests.crashes_rig import (
    answer_in_place_of,
    crash,
    crash_runner,
    progress_with,
    second_owner,
    stage_of,
)
from tests.scheduling_rig import JOB, LEASE_SECONDS, TERM_SECONDS, CellRig, job_id, step, task

OTHER = job_id(9)


class TestChangeOfOwner:
    @pytest.mark.parametrize("listed", [False, True])
    def test_a_trial_whose_runner_is_gone_counts_as_a_crash_once_another_boot_answers(
        self, listed: bool
    ):
        rig = second_owner(trials={0: "w1"})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0"]
        assert stage_of(rig).trials != {0: "w1"}
        if listed:
            rig.end_boot("w1")
        else:
            rig.drop_runner("w1")
            answer_in_place_of(rig, "w1")
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]

    def test_a_trial_whose_runner_answers_after_its_leases_is_no_crash(self):
        rig = second_owner(trials={0: "w1"})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
        rig.plan()
        rig.hold("w1", running=())
        rig.end_boot("w1")
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0"]

    @pytest.mark.parametrize("answers", [False, True])
    def test_tasks_of_a_runner_out_of_reach_before_are_not_blamed_unless_it_has_ended(
        self, answers: bool
    ):
        row = Withdrawn("w1", [str(task())], renewed=True, silent=True)
        rig = second_owner(row, trials={})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0"]
        if answers:
            rig.hold("w1", running=())
        rig.end_boot("w1")
        assert len(stage_of(rig).crashes[0]) == (1 if answers else 2)

    @pytest.mark.parametrize("trial", [False, True])
    def test_a_crash_counts_though_its_runner_was_no_longer_listed_at_the_change_of_owner(
        self, trial: bool
    ):
        """The successor could not tell that a later boot answered at its address."""
        row = Withdrawn("w1", [str(task())], renewed=True, silent=True, address="w1:1")
        rig = second_owner(*([] if trial else [row]), trials={0: "w1"} if trial else {})
        stage_of(rig).trial_addresses = {0: "w1:1"} if trial else {}
        rig.add_runner("w2")
        answer_in_place_of(rig, "w1")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0)
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]

    def test_a_task_waits_for_the_proof_before_a_sixth_start_after_a_change_of_owner_too(self):
        rig = second_owner(trials={0: "w1"})
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, f"v{n}") for n in range(3)]
        stage_of(rig).crashes[0] += [crash(Blame.BESIDE, "v3")]
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
        assert not rig.start_all()
        assert stage_of(rig).losses
        rig.pass_time(15.1, "w1")
        assert rig.start_all()

    def test_a_trial_is_stored_with_the_address_of_its_runner(self):
        rig = CellRig(1)
        rig.submit(step(1))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST)]
        rig.plan()
        restored = Stage(task().stage, rig.cell.jobs[JOB].spec.steps[0])
        restored.restore(stage_of(rig).progress())
        assert (restored.trials, restored.trial_addresses) == ({0: "w1"}, {0: "w1:1"})

    @pytest.mark.parametrize("answers", [False, True])
    def test_a_loss_without_proof_outlives_a_change_of_owner(self, answers: bool):
        rig = second_owner(trials={}, losses=[Loss("w1", "w1:1", 0.1, str(Blame.BESIDE))])
        rig.add_runner("w2")
        rig.plan()
        assert stage_of(rig).losses
        if answers:
            rig.add_runner("w1")
        else:
            answer_in_place_of(rig, "w1")
        assert not stage_of(rig).losses
        crashes = [row.runner for row in stage_of(rig).crashes[0]]
        assert crashes == (["w0"] if answers else ["w0", "w1"])

    def test_rows_of_an_older_record_count_only_once_they_are_proved(self):
        """Earlier versions recorded crashes of runners that were only out of reach."""
        rig = second_owner(trials={})
        rows = [crash(Blame.LATEST, "w1"), crash(Blame.TRIAL, "w2"), crash(Blame.LATEST, "w3")]
        older = StageProgress(0, 0, b"\0", {}, {}, {0: rows}, {})[:-1]
        row = decode(encode(Progress("", [older])), Progress).stages[0]
        stage = Stage(task().stage, rig.cell.jobs[JOB].spec.steps[0])
        stage.restore(row)
        assert [row.runner for row in stage.crashes[0]] == ["w2"]
        assert [row.runner for row in stage.losses[0]] == ["w1", "w3"]
        restored = Stage(task().stage, rig.cell.jobs[JOB].spec.steps[0])
        restored.restore(stage.progress())
        assert (restored.crashes, restored.losses) == (stage.crashes, stage.losses)

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

    @pytest.mark.parametrize("tried_before", [False, True])
    @pytest.mark.parametrize("lapsed", [False, True])
    def test_a_trial_that_a_claim_names_as_started_last_explains_the_crash_to_the_others(
        self, lapsed: bool, tried_before: bool
    ):
        """Guards against giving up an innocent task, on whose runner a deadly one was tried.

        The trial of the innocent one was over, but its runner had not yet told that it is at work.
        """
        names = [str(task()), str(task(job=OTHER))]
        row = Withdrawn("w1", names, True, True, "w1:1", 1, [0.01, 3.1])
        rig = second_owner(row, trials={0: "w1"})
        rig.store(
            OTHER + PROGRESS_SUFFIX, progress_with(rig, {0: "w1"} if tried_before else {}, [])
        )
        rig.submit(step(1), job=OTHER)
        other = stage_of(rig, OTHER)
        rig.list_runner("w1")
        rig.add_runner("w2")
        if lapsed:
            rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
            rig.plan()
        rig.end_boot("w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]
        assert [row.runner for row in other.crashes[0]] == ["w0"]
        assert other.trials.get(0) != "w1"

    @pytest.mark.parametrize("seconds", [[], [0.5, 0.5], [0.5, 0.52]])
    def test_a_trial_that_may_not_have_started_last_alone_explains_no_crash_to_others(
        self, seconds: list[float]
    ):
        """Guards against acquitting the task that did it: adopted ones have no order."""
        names = [str(task()), str(task(job=OTHER))]
        rig = second_owner(Withdrawn("w1", names, True, True, "w1:1", 1, seconds), trials={0: "w1"})
        rig.submit(step(1), job=OTHER)
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert [row.runner for row in stage_of(rig).crashes[0]] == ["w0", "w1"]
        assert [row.runner for row in stage_of(rig, OTHER).crashes[0]] == ["w1"]

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
        names = [str(task()), str(task(job=OTHER))]
        assert row == Withdrawn("w1", names, True, True, "w1:1", 1, [0.0, 0.2])
        assert not rig.cell.pool.awaits_withdrawal

    def test_a_claim_tells_which_tasks_started_last_together(self):
        """Guards against blame for the first by name only, while the deadly one beside it is not.

        A task that was adopted has outlived its start.
        """
        rig = second_owner(trials={})
        rig.list_runner("w1")
        rig.hold("w1", running=((task(), 1),))
        rig.enroll("w1")
        rig.list_runner("w2")
        rig.hold("w2")
        rig.submit(step(2), job=OTHER)
        assert len(rig.start_all()) == 2
        rig.cell.pool.record_no_answer(rig.cell.runners["w1"], rig.now, refused=True)
        (row,) = [row for row in rig.cell.claim("e1", 1, 0, rig.now).withdrawn if row.tasks]
        assert row.tasks == [str(task(0, job=OTHER)), str(task(1, job=OTHER)), str(task())]
        assert row.latest == 2

    def test_all_tasks_that_a_claim_names_as_started_last_are_blamed(self):
        row = Withdrawn("w1", [str(task(job=OTHER)), str(task())], True, True, latest=2)
        rig = second_owner(row, trials={})
        rig.list_runner("w1")
        rig.add_runner("w2")
        rig.end_boot("w1")
        rig.plan()
        assert [row.blame for row in stage_of(rig).crashes[0]] == [Blame.LATEST, Blame.LATEST]

    @pytest.mark.parametrize("lapsed", [False, True])
    def test_a_crash_that_a_claim_tells_of_has_the_seconds_that_the_task_had_run(
        self, lapsed: bool
    ):
        """Guards against clearing a task that crashes late, since it had run for 0 s at others."""
        names = [str(task()), str(task(job=OTHER))]
        row = Withdrawn("w1", names, True, True, "w1:1", 1, [1.0, 10.1])
        rig = second_owner(row, trials={0: "w1"})
        rig.submit(step(1), job=OTHER)
        rig.list_runner("w1")
        rig.add_runner("w2")
        if lapsed:
            rig.pass_time(TERM_SECONDS + LEASE_SECONDS + 1.0, "w1")
            rig.plan()
        rig.end_boot("w1")
        rig.plan()
        blame = Blame.BESIDE if lapsed else Blame.LATEST
        assert stage_of(rig).crashes[0][1:] == [crash(blame, "w1", 1.0)._replace(address="w1:1")]
        assert not stage_of(rig, OTHER).crashes, "it had run for long"

    def test_the_job_of_a_task_that_is_given_up_has_failed(self):
        rig = CellRig(1)
        rig.submit(step(2))
        stage_of(rig).crashes[0] = [crash(Blame.LATEST, "v1"), crash(Blame.TRIAL, "v2")]
        rig.start_all()
        crash_runner(rig, "w1")
        assert rig.cell.jobs[JOB].state == JobState.FAILED
        progress = rig.cell.take_changes().progress[JOB]
        assert progress.state == JobState.FAILED
