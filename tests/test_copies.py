"""Tests of copies of stragglers."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.copies import NoCopies, StragglerCopies
from ragworttiller.scheduling.decisions.straggler_policy import (
    LearntDurations,
    RunOutlook,
    sibling_median,
)
from ragworttiller.scheduling.records.formats import JobState
from ragworttiller.scheduling.state.jobs import StepSpec, TaskId
from ragworttiller.scheduling.state.runs import Run
from tests.copies_rig import CopyRig
from tests.scheduling_rig import JOB, QUEUE, job_id, step, task

SLOW = "w1"
SLOW_SECONDS = 40.0


def quick(count: int = 4, **fields: object) -> dict[str, object]:
    return step(count, **{"speculative": True, **fields})


def rig_with_straggler(copies: str = "stragglers", **fields: object) -> CopyRig:
    """Return a rig on which three of four tasks were done, and one hangs on a slow runner."""
    rig = CopyRig(copies=copies)
    rig.machines[SLOW].seconds = SLOW_SECONDS
    rig.submit(quick(anti_affinity=1, **fields))
    rig.advance(0.2)
    # Placement takes runners with the most free room in the order of their list.
    assert SLOW in straggler_runs(rig).values()
    return rig


def straggler_runs(rig: CopyRig) -> dict[int, str]:
    return rig.runs_of(straggler(rig))


def straggler(rig: CopyRig) -> TaskId:
    return next(key[0] for key in rig.machines[SLOW].work)


def state(rig: CopyRig, job: str = JOB) -> JobState:
    return rig.jobs.jobs[job].state


def seconds_until_complete(rig: CopyRig, limit: float = 60.0) -> float:
    began = rig.now
    while state(rig) != JobState.COMPLETED and rig.now - began < limit:
        rig.advance(0.1)
    return round(rig.now - began, 1)


def outlook(seconds: float, siblings: tuple[float, ...]) -> RunOutlook:
    """Return the outlook on a run that began at 0 and does a twentieth of its work in a second."""
    run = Run(task(), 1, "w1", StepSpec(4, Resources(1000, 0, 0), estimate=1.0), 0.0)
    run.observe(5.0 * seconds, "", 0.0, seconds)
    return RunOutlook(run, sibling_median(siblings), None, False)


class TestStragglerCopies:
    policy = StragglerCopies()

    @pytest.mark.parametrize(
        ("seconds", "siblings", "slow_after", "straggles"),
        [
            (2.1, (1.0, 1.0, 1.0), None, True),
            (1.9, (1.0, 1.0, 1.0), None, False),
            (9.0, (1.0, 1.0), None, False),
            (9.0, (), None, False),
            (3.1, (), 3.0, True),
            (2.9, (), 3.0, False),
        ],
    )
    def test_a_straggler_exceeds_its_siblings_or_the_learnt_percentile(
        self, seconds, siblings, slow_after, straggles
    ):
        median = sibling_median(siblings)
        assert (seconds > self.policy.straggles_after(median, slow_after)) == straggles
        assert seconds < NoCopies().straggles_after(median, slow_after)

    def test_a_copy_of_a_run_on_a_silent_runner_pays_whatever_its_progress(self):
        row = outlook(19.5, (1.0, 1.0, 1.0))
        assert self.policy.pays(row._replace(silent=True), 1.0, 19.5)

    @pytest.mark.parametrize(("seconds", "ratio", "pays"), [(5, 1, True), (5, 15, False)])
    def test_a_copy_pays_only_if_it_should_end_first(self, seconds, ratio, pays):
        row = outlook(seconds, (1.0, 1.0, 1.0))
        assert self.policy.pays(row, ratio, seconds) == pays

    def test_a_run_about_to_end_is_not_copied(self):
        row = outlook(19.5, (1.0, 1.0, 1.0))
        assert not self.policy.pays(row, 1.0, 19.5)


class TestLoad:
    def test_a_task_on_a_slow_runner_ends_on_a_free_one(self):
        # Without copies, the job takes as long as its slowest runner.
        assert seconds_until_complete(rig_with_straggler("none")) > SLOW_SECONDS - 1
        rig = rig_with_straggler()
        assert seconds_until_complete(rig) < 4.0
        rig.advance(1.0)
        assert (rig.cell.copies.started, rig.cell.copies.won, rig.cell.copies.wasted) == (1, 1, 0)
        assert rig.machines[SLOW].work == {}
        assert rig.violations == []

    def test_a_step_without_speculative_never_has_two_runs(self):
        rig = CopyRig()
        rig.machines[SLOW].seconds = 10.0
        rig.submit(step(4, anti_affinity=1))
        assert seconds_until_complete(rig) > 9.0
        assert rig.cell.copies.started == 0

    @pytest.mark.parametrize("fields", [{"gang": True}, {"daemon": True}, {"fills": True}])
    def test_no_copies_of_gangs_lasting_and_filling_tasks(self, fields):
        rig = CopyRig()
        rig.machines[SLOW].seconds = 10.0
        rig.submit(quick(8, **fields))
        rig.advance(8.0)
        assert rig.cell.copies.started == 0

    def test_copies_stay_within_their_share_of_the_capacity(self):
        # Half of the runners are slow: an unbounded policy would copy a dozen tasks at once.
        rig = CopyRig()
        for number in range(1, 13):
            rig.machines[f"w{number}"].seconds = 20.0
        rig.submit(quick(48, anti_affinity=2))
        rig.advance(10.0)
        assert rig.cell.copies.started > 4
        assert 0 < rig.peak_copies <= 0.05 * 24 * 4000
        assert rig.violations == []

    def test_no_copy_starts_while_a_task_of_the_same_priority_waits_for_room(self):
        rig = rig_with_straggler()
        rig.submit(step(200, estimate_ms=60_000), job=job_id(2))
        for name, machine in rig.machines.items():
            if name != SLOW:
                machine.seconds = max(machine.seconds, 20.0) if not machine.work else 1.0
        rig.advance(6.0)
        assert any(stage.waiting for stage in rig.cell.jobs[job_id(2)].stages.values())
        assert rig.cell.copies.started == 0

    def test_a_waiting_task_of_a_lower_priority_does_not_keep_a_copy_from_starting(self):
        rig = rig_with_straggler()
        patient = QUEUE._replace(name="patient", prefix="/p/", priority=QUEUE.priority + 1)
        rig.submit(step(200, 3000, estimate_ms=1000), job=job_id(2), queue=patient)
        rig.advance(5.0)
        assert state(rig) == JobState.COMPLETED
        assert rig.cell.copies.started == 1

    def test_a_copy_keeps_to_anti_affinity(self):
        # One task on each of the runners: no other runner may take a second one of the stage.
        rig = CopyRig(runners=24)
        rig.machines[SLOW].seconds = 10.0
        for number in range(2, 21):
            rig.machines[f"w{number}"].seconds = 6.0
        rig.submit(quick(24, anti_affinity=1))
        rig.advance(9.0)
        assert rig.violations == []

    def test_a_copy_needs_a_ticket_that_is_held(self):
        rig = CopyRig()
        rig.cell.set_entries(["e1"])
        rig.machines[SLOW].seconds = SLOW_SECONDS
        rig.submit(quick(anti_affinity=1), queue=QUEUE._replace(advice=AdviceCost(0.1, 0.0, 3.0)))
        stage = next(iter(rig.cell.jobs[JOB].stages.values()))
        names = [f"w{number}" for number in range(1, 5)]
        tickets = {name: f"t-{name}" for name in names}
        stage.tickets.record_advice(names, tickets, rig.now, 2.0)
        rig.advance(6.0)
        assert SLOW in straggler_runs(rig).values()
        assert rig.cell.copies.started == 0
        stage.tickets.record_advice(names, tickets, rig.now, 2.0)
        rig.advance(2.0)
        assert rig.cell.copies.started == 1
        assert state(rig) == JobState.COMPLETED

    def test_the_learnt_percentile_replaces_siblings(self):
        class Learnt(LearntDurations):
            def ninetieth_percentile(self, queue: str, spec: StepSpec) -> float | None:
                return 1.5 if spec.image == "known" else None

        for image, copies in (("known", 1), ("other", 0)):
            rig = CopyRig(durations=Learnt())
            rig.machines[SLOW].seconds = 10.0
            rig.submit(quick(1, image=image))
            rig.advance(4.0)
            assert rig.cell.copies.started == copies


class TestEnds:
    def with_copy(self) -> tuple[CopyRig, TaskId, dict[int, str]]:
        """Return a rig right after the start of a copy, with the task and its runs."""
        rig = rig_with_straggler()
        name = straggler(rig)
        for _ in range(60):
            if rig.cell.copies.started:
                break
            rig.advance(0.1)
        runs = rig.runs_of(name)
        assert len(runs) == 2
        return rig, name, runs

    def end(self, rig: CopyRig, name: TaskId, number: int, how: str) -> None:
        rig.machines[rig.runs_of(name)[number]].end((name, number), how)

    def test_both_runs_end_at_once(self):
        rig, name, runs = self.with_copy()
        for number in runs:
            self.end(rig, name, number, "done")
        rig.advance(2.0)
        assert state(rig) == JobState.COMPLETED
        assert rig.runs_of(name) == {}
        assert list(rig.cell.copies.live) == []
        assert rig.cell.copies.won + rig.cell.copies.wasted == 1

    def test_the_copy_is_stopped_when_the_main_run_is_done(self, caplog):
        rig, name, runs = self.with_copy()
        with caplog.at_level(logging.INFO):
            self.end(rig, name, min(runs), "done")
            rig.advance(0.5)
        assert state(rig) == JobState.COMPLETED
        assert rig.runs_of(name) == {}
        copies = rig.cell.copies
        assert (copies.won, copies.wasted) == (0, 1)
        assert 0 < copies.wasted_core_seconds < 1.0
        [line] = [row for row in caplog.records if row.message == "copy wasted"]
        assert line.run == max(runs) and line.how == "stopped"

    def test_a_failed_copy_counts_as_a_failed_run_and_leaves_the_main_run(self):
        rig, name, runs = self.with_copy()
        self.end(rig, name, max(runs), "failed")
        rig.advance(4.0)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.failed_runs == {name.ordinal: [max(runs)]}
        assert stage.waiting == []
        # Another start, after a failure of the main run too, would be one too many.
        assert rig.runs_of(name) == {min(runs): SLOW}
        assert rig.cell.copies.started == 1

    def test_the_job_fails_when_both_runs_have_failed(self):
        rig, name, runs = self.with_copy()
        for number in runs:
            self.end(rig, name, number, "failed")
        rig.advance(2.0)
        assert QUEUE.attempts == 2
        assert state(rig) == JobState.FAILED
        assert rig.runs_of(name) == {}

    def test_a_failed_main_run_promotes_the_copy(self):
        rig, name, runs = self.with_copy()
        self.end(rig, name, min(runs), "failed")
        rig.advance(0.3)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.active_runs[name.ordinal].number == max(runs)
        assert stage.copies == {}
        assert stage.waiting == []

    def test_a_task_with_no_second_attempt_left_gets_no_copy(self):
        rig = CopyRig()
        rig.machines[SLOW].seconds = 10.0
        rig.submit(quick(anti_affinity=1), queue=QUEUE._replace(attempts=1))
        rig.advance(6.0)
        assert SLOW in straggler_runs(rig).values()
        assert rig.cell.copies.started == 0

    def test_a_stopped_copy_leaves_the_main_run(self):
        rig, name, runs = self.with_copy()
        self.end(rig, name, max(runs), "stopped")
        rig.advance(0.1)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.active_runs[name.ordinal].number == min(runs)
        assert stage.waiting == []

    def test_the_lost_runner_of_the_main_run_promotes_the_copy(self):
        rig, name, runs = self.with_copy()
        for machine in rig.machines.values():
            machine.seconds = SLOW_SECONDS
        rig.machines[SLOW].silent = True
        rig.advance(7.0)
        assert rig.cell.runners[SLOW].lost
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.active_runs[name.ordinal].number == max(runs)
        assert name not in [TaskId(name.stage, index) for index in stage.waiting]

    def test_the_lost_runner_of_the_copy_leaves_the_main_run(self):
        rig, name, runs = self.with_copy()
        for machine in rig.machines.values():
            machine.seconds = SLOW_SECONDS
        rig.machines[runs[max(runs)]].silent = True
        rig.advance(7.0)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.active_runs[name.ordinal].number == min(runs)
        assert stage.waiting == []

    def test_a_silent_runner_makes_its_run_a_straggler(self):
        # Without a copy, the task waits for the end of the lease, 4.5 s.
        rig = CopyRig()
        for machine in rig.machines.values():
            machine.seconds = 3.0
        rig.submit(quick(1))
        rig.advance(0.2)
        [name] = [key[0] for machine in rig.machines.values() for key in machine.work]
        [runner] = rig.runs_of(name).values()
        rig.machines[runner].silent = True
        assert seconds_until_complete(rig) < 4.5

    def test_a_cancelled_job_stops_both_runs(self):
        rig, name, _ = self.with_copy()
        rig.cancel()
        rig.advance(0.5)
        assert rig.runs_of(name) == {}


class TestOrders:
    def unanswered(self, delay: float) -> tuple[CopyRig, TaskId]:
        """Return a rig on which the start of a copy was ordered but not answered."""
        rig = rig_with_straggler()
        name = straggler(rig)
        rig.advance(1.5)
        for machine in rig.machines.values():
            machine.start_delay = delay
        for _ in range(60):
            if rig.cell.copies.started:
                return rig, name
            rig.advance(0.1)
        raise AssertionError("no copy")

    def test_a_start_that_is_never_carried_out_expires_and_is_tried_again(self):
        rig, name = self.unanswered(99.0)
        rig.advance(6.0)
        assert 2 <= rig.cell.copies.started <= 3
        assert set(rig.runs_of(name).values()) == {SLOW}
        assert len(rig.cell.jobs[JOB].stages[name.stage].active_runs) == 1

    def test_a_start_carried_out_late_is_known_as_the_copy(self):
        rig, name = self.unanswered(0.5)
        rig.advance(0.8)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert len(rig.runs_of(name)) == 2
        assert rig.runs_of(name)[stage.copies[name.ordinal].number] != SLOW
        assert seconds_until_complete(rig) < 2.0
        assert rig.violations == []

    def test_no_copy_starts_long_after_the_main_run_was_done(self):
        rig, name = self.unanswered(0.9)
        rig.machines[SLOW].end((name, min(rig.runs_of(name))), "done")
        rig.advance(3.0)
        assert rig.violations == []
        assert rig.runs_of(name) == {}

    def test_an_unanswered_start_is_not_repeated_once_the_task_is_done(self):
        rig, name = self.unanswered(99.0)
        [copy] = rig.cell.copies.live
        assert rig.cell.awaits_start(copy)
        rig.machines[SLOW].end((name, min(rig.runs_of(name))), "done")
        rig.advance(0.1)
        assert not rig.cell.awaits_start(copy)


class TestTakeover:
    def test_a_successor_adopts_both_runs(self):
        rig, name, runs = TestEnds().with_copy()
        rig.replace_owner()
        rig.advance(0.1)
        stage = rig.cell.jobs[JOB].stages[name.stage]
        assert stage.active_runs[name.ordinal].number == max(runs)
        assert stage.copies[name.ordinal].number == min(runs)
        assert rig.runs_of(name) == runs
        assert seconds_until_complete(rig) < 3.0
        rig.advance(0.5)
        assert rig.runs_of(name) == {}

    def test_an_owner_killed_before_the_first_answer_of_a_copy_leaves_both_runs(self):
        # The runner begins it before a hold of the successor fences the order.
        rig, name = TestOrders().unanswered(0.05)
        rig.replace_owner()
        rig.advance(0.6)
        assert len(rig.runs_of(name)) == 2
        for machine in rig.machines.values():
            machine.start_delay = None
        assert seconds_until_complete(rig) < 4.0
        assert rig.violations == []

    def test_a_successor_starts_no_copy_while_one_may_be_out_of_its_sight(self):
        rig, name, runs = TestEnds().with_copy()
        hidden = rig.machines[runs[max(runs)]]
        hidden.silent, hidden.seconds = True, 30.0
        rig.replace_owner()
        rig.advance(4.0)
        assert rig.runs_of(name) == runs
        assert rig.cell.copies.started == 0

    def test_a_second_run_of_another_step_is_stopped_as_before(self):
        rig = CopyRig()
        rig.machines[SLOW].seconds = 30.0
        rig.submit(step(1))
        rig.advance(0.2)
        [(key, work)] = [row for m in rig.machines.values() for row in m.work.items()]
        [runner] = rig.runs_of(key[0]).values()
        other = "w9" if runner != "w9" else "w8"
        rig.machines[other].work[key[0], key[1] + 1] = work
        rig.machines[other].seconds = rig.machines[runner].seconds = 30.0
        rig.machines[other].lease_end = rig.now + 4.5
        rig.advance(0.3)
        assert rig.runs_of(key[0]) == {key[1]: runner}
