"""Tests that an error in the work on one runner, job, stage or record ends no owner."""

from __future__ import annotations

import logging
from types import SimpleNamespace

import msgspec
import pytest

from ragworttiller.exceptions import AppendFenced
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.fair_order import NoShares, WeightedShares
from ragworttiller.scheduling.decisions.stage_planner import StagePlanner
from ragworttiller.scheduling.ownership.claim_encoding import encode_claim
from ragworttiller.scheduling.ownership.pace_log import PaceLog
from ragworttiller.scheduling.ownership.renewal_log import RenewalLog
from ragworttiller.scheduling.ownership.wait_log import WaitLog
from ragworttiller.scheduling.records import progress_parts
from ragworttiller.scheduling.records.formats import Claim, Progress, Withdrawn, decode, encode
from ragworttiller.scheduling.records.retention import Retention
from ragworttiller.scheduling.state import contained_errors, runner_pool
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.run_tracker import RunTracker
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.work_items import items_in, job_item, stage_item
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.owners_rig import Entry, OwnersRig, start_entries, with_rig
from tests.scheduling_rig import JOB, CellRig, job_id, step, task

BAD = job_id(7)


class Fault:
    """Makes a method fail for one object, as long as it is `on`, and counts the errors.

    ``left`` is how often it still fails, negative for no limit.
    """

    def __init__(self, monkeypatch, owner, name: str, key: str):
        self.on = True
        self.errors = 0
        self.left = -1
        original, fault = getattr(owner, name), self

        def fail(self, *args, **kwargs):
            if fault.on and fault.left and getattr(self, "id", key) == key:
                fault.errors += 1
                fault.left -= 1
                raise ZeroDivisionError
            return original(self, *args, **kwargs)

        monkeypatch.setattr(owner, name, fail)


async def check_works(rig: OwnersRig, epoch: int = 1):
    """Check that a job completes, and that the first owner still acts."""
    await rig.submit(JOB, step(6))
    await rig.wait_completed(JOB, within=20.0)
    assert rig.owner is not None
    assert rig.owner.host.claims.claim.epoch == epoch
    assert not rig.monitor.violations


def contained(rig: OwnersRig) -> dict[str, float]:
    """Return the errors that the owner has contained, by what was put aside."""
    assert rig.owner is not None
    return rig.owner.host.figures.contained_errors


class TestRunners:
    def test_a_runner_that_cannot_be_connected_ends_no_owner(self, monkeypatch):
        connect = Entry.connect

        def fail_for_w1(self, runner, address):
            if runner == "w1":
                raise ValueError(address)
            return connect(self, runner, address)

        monkeypatch.setattr(Entry, "connect", fail_for_w1)

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await check_works(rig)
            assert contained(rig)["runner"] <= 6

        with_rig(body)

    @pytest.mark.parametrize("name", ["update", "accepts_tasks", "grant_start", "suspect"])
    def test_a_runner_that_cannot_be_worked_on_ends_no_owner(self, monkeypatch, name: str):
        Fault(monkeypatch, RunnerState, name, "w1")

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await check_works(rig)
            assert contained(rig)

        with_rig(body)

    def test_a_runner_to_which_each_call_fails_does_not_keep_the_tasks_of_a_job(self, monkeypatch):
        start = RunnerClient.start

        async def fail_at_w1(self, *args):
            if self._runner == "w1":
                raise ValueError
            return await start(self, *args)

        monkeypatch.setattr(RunnerClient, "start", fail_at_w1)

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await check_works(rig)
            assert contained(rig)["runner"]

        with_rig(body)

    def test_a_runner_whose_looks_fail_keeps_no_other_from_being_looked_at(self, monkeypatch):
        rig = CellRig(2)
        rig.submit(step(8))
        rig.start_all()
        rig.now += 0.9
        monkeypatch.setattr(
            type(rig.cell._observation),
            "look_due",
            lambda self, runner, now: 1 / (runner.id != "w1"),
        )
        assert [runner.id for runner in rig.plan().looks] == ["w2"]

    def test_a_runner_that_fails_for_a_while_is_used_again(self, monkeypatch):
        fault = Fault(monkeypatch, RunnerState, "accepts_tasks", "w1")

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.timers.sleep(3.0)
            fault.on = False
            await rig.timers.sleep(5.0)
            await rig.submit(JOB, step(12))
            await rig.wait_completed(JOB, within=20.0)
            assert "w1" in {runner for _, _, runner in rig.monitor.starts}

        with_rig(body)

    def test_a_lost_runner_whose_runs_cannot_be_counted_keeps_no_task(self, monkeypatch):
        Fault(monkeypatch, CopyTally, "end", "")
        rig = CellRig(2)
        rig.submit(step(8))
        rig.start_all()
        rig.end_boot("w1")
        rig.pass_time(1.0)
        starts = rig.plan().starts
        assert {order.run.runner for order in starts} <= {"w2"}
        stage = rig.cell.jobs[JOB].stages[task().stage]
        assert sorted([*stage.waiting, *stage.active_runs]) == list(range(8))

    @pytest.mark.parametrize("outcome", ["done", "failed"])
    def test_an_end_that_cannot_be_applied_frees_its_room(self, monkeypatch, outcome: str):
        rig = CellRig(1)
        rig.submit(step(2))
        rig.start_all()
        Fault(monkeypatch, RunTracker, "_remove_run", "")
        rig.hold("w1", (task(0), 1, outcome))
        runner, stage = rig.cell.runners["w1"], rig.cell.jobs[JOB].stages[task().stage]
        assert runner.free == Resources(3000, 7900, 0)
        assert (stage.done, stage.waiting) == (({0}, []) if outcome == "done" else (set(), [0]))

    def test_an_end_that_cannot_be_remembered_counts(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(1))
        rig.start_all()
        Fault(monkeypatch, RunnerState, "record_end", "w1")
        rig.hold("w1", (task(0), 1, "done"))
        assert rig.cell.jobs[JOB].complete

    def test_an_end_that_can_only_be_dropped_keeps_no_other_from_counting(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(1), job=BAD)
        rig.submit(step(1))
        rig.start_all()
        mark_done = Stage.mark_done

        def fail(self, index):
            if self.id.job == BAD:
                raise ZeroDivisionError
            mark_done(self, index)

        monkeypatch.setattr(Stage, "mark_done", fail)
        rig.hold("w1", (task(0, job=BAD), 1, "done"), (task(0), 1, "done"))
        assert rig.cell.jobs[JOB].complete
        assert rig.cell.runners["w1"].free == Resources(4000, 8000, 0)

    @pytest.mark.parametrize("name", ["silent_seconds", "remove", "_update_usage"])
    def test_a_runner_that_can_hardly_be_worked_on_keeps_no_task(self, monkeypatch, name: str):
        fault = Fault(monkeypatch, RunnerState, name, "w1")

        async def body(rig: OwnersRig):
            fault.on = False
            await start_entries(rig)
            fault.on = True
            await rig.submit(BAD, step(6))
            await check_works(rig)
            await rig.wait_completed(BAD, within=30.0)

        with_rig(body)

    def test_a_trial_that_cannot_be_judged_ends_no_pass(self, monkeypatch):
        rig = CellRig(2)
        rig.submit(step(1))
        order = rig.plan().starts[0]
        runner = rig.cell.runners[order.run.runner]
        rig.cell.pool.begin_trial(runner, order.run, rig.now + 60.0)
        Fault(monkeypatch, RunnerState, "on_trial", runner.id)
        rig.submit(step(1), job=BAD)
        for _ in range(3):
            rig.pass_time(0.6)
            rig.plan()
        assert rig.cell.jobs[BAD].has_started

    def test_an_error_that_does_not_recur_is_counted(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(1))
        fault = Fault(monkeypatch, JobWork, "ready", JOB)
        fault.left = 1
        assert rig.plan().starts
        assert rig.cell.errors.counts.total() == 1

    @pytest.mark.parametrize("name", ["step_spec", "workspace"])
    def test_a_found_run_that_cannot_be_looked_up_is_not_started_again(self, monkeypatch, name):
        claim = Claim("e", 1, 1, 0, ["w1"], [], {})
        rig = CellRig(0, claim=claim, accepted_before=100)
        rig.submit(step(2))
        rig.list_runner("w1")
        Fault(monkeypatch, ActiveJobs, name, "")
        rig.hold("w1", running=((task(0), 1), (task(0, job=BAD), 1)))
        rig.enroll("w1")
        plan = rig.plan()
        assert [order.run.task for order in plan.starts] == [task(1)]
        assert [order.run.task for order in plan.stops] == [task(0, job=BAD)]
        rig.hold("w1", (task(0), 1, "done"))
        assert rig.cell.jobs[JOB].stages[task().stage].done == {0}

    def test_a_runner_of_which_nothing_can_be_learnt_is_used(self, monkeypatch):
        rig = CellRig(1)
        for name in ("record_answer", "record_report", "record_end"):
            Fault(monkeypatch, type(rig.cell.separation), name, "")
        rig.submit(step(1))
        rig.start_all()
        rig.hold("w1")
        rig.hold("w1", (task(0), 1, "done"))
        assert rig.cell.jobs[JOB].complete


class TestStages:
    def test_an_error_after_the_first_start_of_a_stage_leaves_no_task_or_room_behind(
        self, monkeypatch
    ):
        rig = CellRig(1)
        rig.submit(step(3), job=BAD)
        rig.submit(step(1))
        self._fail_second_start(monkeypatch)
        orders = rig.plan().starts
        assert [order.run.task for order in orders] == [task(0, job=BAD), task(0)]
        stage, runner = rig.cell.jobs[BAD].stages[task(job=BAD).stage], rig.cell.runners["w1"]
        assert sorted([*stage.waiting, *stage.active_runs]) == [0, 1, 2]
        assert set(runner.runs) == {order.run.key for order in orders}
        assert runner.free == Resources(2000, 7800, 0)
        assert rig.cell.usage.known("").runs == 2
        assert not rig.plan().starts
        rig.pass_time(1.0)
        assert [order.run.task.ordinal for order in rig.plan().starts] == [1, 2]

    def test_an_error_in_the_start_of_a_gang_starts_none_of_it(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(3, gang=True), job=BAD)
        rig.submit(step(1))
        self._fail_second_start(monkeypatch)
        assert [order.run.task for order in rig.plan().starts] == [task(0)]
        assert rig.cell.runners["w1"].free == Resources(3000, 7900, 0)
        rig.pass_time(1.0)
        assert len(rig.plan().starts) == 3

    def _fail_second_start(self, monkeypatch):
        grant, calls = RunnerState.grant_start, []

        def fail_once(self, now, duration):
            calls.append(now)
            if len(calls) == 2:
                raise ZeroDivisionError
            return grant(self, now, duration)

        monkeypatch.setattr(RunnerState, "grant_start", fail_once)

    def test_a_job_that_fails_each_pass_is_tried_ever_more_rarely(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(1), job=BAD)
        rig.submit(step(1))
        fault = Fault(monkeypatch, JobWork, "order_inputs", BAD)
        assert [order.run.task for order in rig.plan().starts] == [task(0)]
        for _ in range(240):
            rig.pass_time(0.5)
            rig.plan()
        assert 6 <= fault.errors <= 24

    def test_an_error_at_a_runner_is_not_blamed_on_each_stage_that_may_run_there(self, monkeypatch):
        rig = CellRig(2)
        Fault(monkeypatch, RunnerState, "grant_start", "w1")
        for number in range(1, 6):
            rig.submit(step(1, cpu=500), job=job_id(number))
        started = []
        for _ in range(4):
            started += [order.run.task.stage.job for order in rig.plan().starts]
            rig.pass_time(0.3)
        assert sorted(started) == [job_id(number) for number in range(1, 6)]

    @pytest.mark.parametrize("name", ["_record_arrivals", "_place", "_allowed_by_cap"])
    def test_a_stage_that_fails_at_any_step_keeps_no_other_waiting(self, monkeypatch, name: str):
        rig = CellRig(1)
        rig.configure(Workspace("a", frozenset(), 1.0, Resources(2000, 0, 0)))
        rig.submit(step(1), job=BAD, workspace="a")
        rig.submit(step(1), workspace="a")
        original = getattr(StagePlanner, name)

        def fail(self, *args):
            rows = [row for arg in args for row in (arg if isinstance(arg, list) else [arg])]
            if stage_item(rig.cell.jobs[BAD].stages[task(job=BAD).stage]) in items_in(rows):
                raise ZeroDivisionError
            return original(self, *args)

        monkeypatch.setattr(StagePlanner, name, fail)
        assert [order.run.task for order in rig.plan().starts] == [task(0)]

    def test_planning_that_nothing_can_be_blamed_for_ends_the_owner(self, monkeypatch):
        rig = CellRig(1)
        rig.submit(step(1))
        monkeypatch.setattr(type(rig.cell.caps), "begin", lambda self: 1 // 0)
        with pytest.raises(ZeroDivisionError):
            rig.plan()

    def test_planning_that_never_ends_ends_the_owner(self, monkeypatch):
        rig = CellRig(1)
        for number in range(40):
            rig.submit(step(1), job=job_id(number))

        def fail(self, ready, order, capacity, now):
            for work, _, _ in ready:
                raise ZeroDivisionError(work.id)

        monkeypatch.setattr(NoShares, "arrange", fail)
        monkeypatch.setattr(WeightedShares, "arrange", fail)
        with pytest.raises(ZeroDivisionError):
            for _ in range(200):
                rig.plan()


class TestJobs:
    @pytest.mark.parametrize("name", ["set_widths", "ready"])
    def test_a_job_that_fails_for_a_while_is_worked_on_later(self, monkeypatch, name: str):
        fault = Fault(monkeypatch, JobWork, name, BAD)
        rig = CellRig(1)
        rig.submit(step(1), job=BAD)
        rig.submit(step(1))
        assert [order.run.task for order in rig.plan().starts] == [task(0)]
        fault.on = False
        rig.pass_time(1.0)
        rig.cell.refresh(rig.now, rig.now)
        assert [order.run.task for order in rig.plan().starts] == [task(0, job=BAD)]

    def test_a_job_whose_end_cannot_be_decided_ends_later(self, monkeypatch):
        fault = Fault(monkeypatch, JobWork, "update_final_state", JOB)
        rig = CellRig(1)
        rig.submit(step(1))
        rig.start_all()
        rig.hold("w1", (task(0), 1, "done"))
        rig.cell.mark_recorded(rig.cell.take_changes())
        assert JOB in rig.cell.jobs
        fault.on = False
        rig.pass_time(1.0)
        rig.cell.refresh(rig.now, rig.now)
        assert rig.cell.take_changes().progress[JOB].state == "completed"


class TestRecords:
    def test_progress_that_cannot_be_collected_keeps_no_other_from_being_stored(self, monkeypatch):
        fault = Fault(monkeypatch, JobWork, "progress", BAD)
        self._check(fault)

    def test_progress_that_cannot_be_encoded_keeps_no_other_from_being_stored(self, monkeypatch):
        fault = SimpleNamespace(on=True)

        def fail(progress: Progress):
            if fault.on and len(progress.stages[0].done) == 3:
                raise OverflowError
            return encode(progress)

        monkeypatch.setattr(progress_parts, "encode", fail)
        self._check(fault)

    def _check(self, fault: Fault | SimpleNamespace):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.submit(BAD, step(17))
            await check_works(rig)
            fault.on = False
            await rig.wait_completed(BAD, within=40.0)
            assert rig.owner.host.claims.claim.epoch == 1

        with_rig(body)

    @pytest.mark.parametrize(
        ("owner", "name"),
        [
            (WaitLog, "sample"),
            (WaitLog, "write"),
            (PaceLog, "write"),
            (RenewalLog, "observe"),
            (Retention, "expired"),
        ],
    )
    def test_an_error_in_a_log_or_in_the_retention_ends_no_owner(self, monkeypatch, owner, name):
        fault = Fault(monkeypatch, owner, name, "")

        async def body(rig: OwnersRig):
            await start_entries(rig)
            await rig.timers.sleep(12.0)
            await check_works(rig)
            assert fault.errors
            assert contained(rig)

        with_rig(body)


class TestClaims:
    @pytest.mark.parametrize(
        ("owner", "name", "key"),
        [(runner_pool, "latest_tasks", "w1"), (JobWork, "has_started", BAD)],
    )
    def test_a_claim_is_written_without_what_cannot_be_counted(
        self, monkeypatch, owner, name: str, key: str
    ):
        rig = CellRig(2)
        rig.submit(step(1), job=BAD)
        rig.submit(step(1))
        rig.list_runner("w1", state="draining")
        rig.list_runner("w2", state="draining")
        original = vars(owner)[name]

        def fail(item, *args):
            if item.id == key:
                raise ZeroDivisionError
            return original.fget(item) if isinstance(original, property) else original(item, *args)

        monkeypatch.setattr(owner, name, property(fail) if isinstance(original, property) else fail)
        claim = rig.cell.claim("e", 1, 0, rig.now)
        assert claim.roster == ["w1", "w2"]
        assert rig.cell.errors.counts.total() == 1

    def test_a_claim_is_written_without_what_cannot_be_encoded(self):
        odd = "w\ud800"
        rows = [Withdrawn("w1", [], address=odd), Withdrawn(odd, []), Withdrawn("w2", [odd])]
        claim = Claim("e", 1, 1, 0, ["w1", "w2", odd], rows, {"q": 1, odd: 2})
        written, value = encode_claim(claim)
        assert decode(value, Claim) == written
        assert (written.roster, written.pending) == (["w1", "w2"], {"q": 1})
        assert written.withdrawn == [Withdrawn("w1", [])]


class TestClaimPauses:
    def test_owners_that_end_by_the_same_error_follow_each_other_ever_more_slowly(
        self, monkeypatch, caplog
    ):
        def fail(self, now, wall):
            runner = self.runners["w1"]
            raise ZeroDivisionError(runner.id)

        monkeypatch.setattr(Cell, "plan", fail)

        async def body(rig: OwnersRig):
            for name in ("e1", "e2", "e3"):
                rig.add_entry(name)
            await rig.timers.sleep(60.0)
            assert 4 <= rig.entries["e1"].host.claims.claim.epoch <= 10

        with caplog.at_level(logging.ERROR):
            with_rig(body)
        lines = [r for r in caplog.records if r.message == "owner ended by an unexpected error"]
        assert [line.failures for line in lines] == list(range(1, len(lines) + 1))
        assert {line.runner for line in lines} == {"w1"}
        assert max(line.claim_pause for line in lines) == 16.0

    @pytest.mark.parametrize("planned", [True, False])
    def test_an_owner_after_failed_ones_is_followed_at_once(self, monkeypatch, planned: bool):
        plan = Cell.plan

        def fail_at_first(self, now, wall):
            if self.epoch <= 4:
                raise ZeroDivisionError
            return plan(self, now, wall)

        monkeypatch.setattr(Cell, "plan", fail_at_first)

        async def body(rig: OwnersRig):
            for name in ("e1", "e2", "e3"):
                rig.add_entry(name)
            await rig.timers.sleep(20.0)
            first = rig.owner
            assert first is not None
            if planned:
                first.stop(next(name for name in rig.entries if name != first.name))
            else:
                rig.kill(first.name)
            await rig.timers.sleep(0.5 if planned else 2.5)
            assert rig.owner not in (None, first)

        with_rig(body)

    def test_a_claim_of_an_earlier_version_counts_no_failures(self):
        earlier = list(Claim("e", 1, 1, 0, [], [], {}))[:-1]
        assert decode(msgspec.msgpack.encode(earlier), Claim).failures == 0


class TestContainedErrors:
    def test_a_later_owner_is_no_error_to_contain(self):
        errors = CellRig(1).cell.errors
        with pytest.raises(AppendFenced):
            errors.attempt("step", 0.0, self._fence)
        with pytest.raises(AppendFenced):
            errors.note(AppendFenced(stream="jobs", epoch=1), 0.0, "step")

    def test_many_failing_items_keep_memory_and_log_bounded(self, caplog):
        errors = contained_errors.ContainedErrors()
        for number in range(3000):
            errors.put_aside(job_item(job_id(number)), ZeroDivisionError(), 0.0, "step")
        assert len(errors._failures) == contained_errors.MAX_ITEMS
        assert len(caplog.records) == contained_errors.MAX_LINES_PER_INTERVAL
        assert errors.counts["job"] == 3000

    def _fence(self):
        raise AppendFenced(stream="jobs", epoch=1)
