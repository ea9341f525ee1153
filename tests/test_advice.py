"""Tests of the entries that call the advisor and of the runners that the calls name."""

from __future__ import annotations

import itertools

import pytest

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.decisions.advice import (
    MAX_RUNNERS_PER_CALL,
    AdviceCall,
    AllCandidates,
    UsefulCandidates,
    call_duration,
)
from ragworttiller.scheduling.decisions.entry_loads import EntryLoads
from ragworttiller.scheduling.state.jobs import StageId, StepSpec
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.tickets import Tickets
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

COST = AdviceCost(0.3, 0.01, 2.5)
ADVISED = QUEUE._replace(advice=COST)


def stage(rig: CellRig, tasks: int = 2, cpu: int = 1000) -> Stage:
    return Stage(StageId(JOB, 0, 0), StepSpec(tasks, rig.size(cpu)))


class TestEntryLoads:
    def test_calls_are_distributed_over_the_entries(self):
        loads = EntryLoads()
        loads.set_entries(["a", "b", "c"])
        assert sorted(loads.assign(0.1, 0.0) for _ in range(3)) == ["a", "b", "c"]

    def test_short_calls_do_not_wait_behind_long_ones(self):
        loads = EntryLoads()
        loads.set_entries([f"e{n}" for n in range(7)])
        while loads.assign(0.7, 0.0) is not None:
            pass
        assert loads.assign(0.03, 0.0) in ("e0", "e1")

    def test_no_long_call_waits_behind_another(self):
        loads = EntryLoads()
        loads.set_entries(["a", "b"])
        chosen = [loads.assign(0.7, 0.0) for _ in range(3)]
        assert chosen == ["a", "b", None]
        loads.end_call("a", 0.7)
        assert loads.assign(0.7, 0.7) == "a"

    def test_a_long_call_may_follow_short_ones(self):
        loads = EntryLoads()
        loads.set_entries(["a"])
        assert loads.assign(0.03, 0.0) == "a"
        assert loads.assign(0.7, 0.0) == "a"

    def test_an_urgent_long_call_queues_up_behind_short_ones_but_not_behind_a_long_one(self):
        """Guards against answers that name runners which have filled up meanwhile."""
        loads = EntryLoads()
        loads.set_entries(["a"])
        for _ in range(10):
            assert loads.assign(0.1, 0.0) == "a"
        assert loads.assign(0.2, 0.0) is None
        assert loads.assign(0.2, 0.0, urgent=True) == "a"
        assert loads.assign(0.2, 0.0, urgent=True) is None
        loads.end_call("a", 0.2)
        assert loads.assign(0.2, 0.2, urgent=True) == "a"

    def test_the_backlog_includes_all_calls_in_flight(self):
        loads = EntryLoads()
        loads.set_entries(["a"])
        loads.assign(0.7, 0.0)
        assert loads.backlog("a") == pytest.approx(0.7)
        loads.assign(0.1, 0.0)
        assert loads.backlog("a") == pytest.approx(0.8)
        loads.end_call("a", 0.7)
        assert loads.backlog("a") == pytest.approx(0.1)

    def test_an_entry_whose_calls_have_all_ended_counts_as_idle(self):
        """Guards against sums of durations that do not come back to exactly 0."""
        loads = EntryLoads()
        names = [f"e{n}" for n in range(7)]
        loads.set_entries(names)
        durations = (0.01, 0.02, 0.04)
        for seconds in durations:
            assert sorted(loads.assign(seconds, 0.0) for _ in names) == names
        for name, seconds in itertools.product(names, durations):
            loads.end_call(name, seconds)
        assert {loads.backlog(name) for name in names} == {0.0}
        assert loads.calls_at_once(0.0) == 2

    def test_failed_entries_do_not_reduce_those_reserved_for_short_calls(self):
        loads = EntryLoads()
        loads.set_entries([f"e{n}" for n in range(7)])
        for name in ("e0", "e2", "e3", "e4"):
            loads.mark_failed(name, 0.0)
        while loads.assign(0.7, 1.0) is not None:
            pass
        assert loads.assign(0.03, 1.0) == "e1"
        assert loads.backlog("e1") == pytest.approx(0.03)

    def test_long_calls_go_to_reserved_entries_while_all_others_fail(self):
        """Guards against a queue whose calls nobody makes although entries are left."""
        loads = EntryLoads()
        loads.set_entries([f"e{n}" for n in range(7)])
        for name in ("e2", "e3", "e4", "e5", "e6"):
            loads.mark_failed(name, 0.0)
        assert [loads.assign(0.7, 1.0) for _ in range(3)] == ["e0", "e1", None]
        assert loads.calls_at_once(1.0) == 1

    def test_an_entry_that_fails_while_others_answer_is_tried_ever_more_rarely(self):
        loads = EntryLoads()
        loads.set_entries(["a", "b"])
        now, waits = 0.0, []
        for _ in range(4):
            loads.mark_failed("a", now)
            loads.mark_answered("b", now + 0.1)
            failed_at = now
            while loads.assign(0.0, now) != "a":
                now += 0.5
            waits.append(now - failed_at)
        assert waits == [2.0, 4.0, 8.0, 8.0]

    def test_a_failure_of_all_entries_does_not_count_against_each_of_them(self):
        """Guards against calls of one entry alone for long after an outage of the advisor."""
        loads = EntryLoads()
        loads.set_entries(["a", "b"])
        for at in (0.0, 1.0, 2.0, 3.0):
            for name in ("a", "b"):
                loads.mark_failed(name, at)
        loads.mark_answered("a", 4.0)
        assert {loads.assign(0.1, 5.0) for _ in range(4)} == {"a", "b"}

    def test_one_entry_alone_takes_long_and_short_calls(self):
        loads = EntryLoads()
        loads.set_entries(["a"])
        assert loads.assign(0.7, 0.0) == "a"
        assert loads.assign(0.03, 0.0) == "a"

    @pytest.mark.parametrize(("entries", "busy", "expected"), [(1, 0, 1), (6, 2, 1), (42, 0, 4)])
    def test_one_stage_takes_half_of_the_idle_entries_at_the_most(
        self, entries: int, busy: int, expected: int
    ):
        loads = EntryLoads()
        loads.set_entries([f"e{n}" for n in range(entries)])
        for _ in range(busy):
            loads.assign(0.7, 0.0)
        assert loads.calls_at_once(0.0) == expected

    def test_a_failed_entry_gets_no_calls_for_a_while(self):
        loads = EntryLoads()
        loads.set_entries(["a", "b"])
        loads.mark_failed("a", 0.0)
        assert {loads.assign(0.1, 1.0) for _ in range(4)} == {"b"}
        assert "a" in {loads.assign(0.1, 3.0) for _ in range(8)}


class TestCandidates:
    def test_runners_with_a_known_answer_are_not_asked_about_again(self):
        rig = CellRig(6)
        runners = list(rig.cell.runners.values())
        waiting = stage(rig)
        useful = UsefulCandidates()
        first = useful.choose_runners(waiting, runners, rig.now, False)
        assert sorted(first) == sorted(rig.cell.runners)
        waiting.tickets.record_advice(first, {"w1": "t", "w2": "t"}, rig.now, 2.5)
        assert useful.choose_runners(waiting, runners, rig.now, False) == []
        later = useful.choose_runners(waiting, runners, rig.now + 3.0, False)
        assert sorted(later) == ["w1", "w2"]
        baseline = AllCandidates().choose_runners(waiting, runners, rig.now + 3.0, False)
        assert call_duration(COST, len(later)) < call_duration(COST, len(baseline))

    def test_runners_without_room_are_asked_about_only_ahead(self):
        rig = CellRig(2)
        waiting = stage(rig, cpu=4000)
        waiting.tickets.record_advice(["w1", "w2"], {"w1": "t", "w2": "t"}, rig.now - 10, 2.5)
        rig.submit(step(2, 4000), job="fedcba9876543210")
        rig.start_all()
        runners = list(rig.cell.runners.values())
        assert UsefulCandidates().choose_runners(waiting, runners, rig.now, False) == []
        assert len(UsefulCandidates().choose_runners(waiting, runners, rig.now, True)) == 2

    def test_a_call_names_no_more_runners_than_the_advisor_accepts(self):
        """Wide stages whose tickets have all expired would name over a hundred."""
        rig = CellRig(130)
        rig.cell.set_entries(["e1"])
        rig.submit(step(120, 3000, daemon=True), queue=ADVISED)
        names = [f"w{n}" for n in range(1, 131)]
        tickets = rig.cell.jobs[JOB].stages[StageId(JOB, 0, 0)].tickets
        tickets.record_advice(names, dict.fromkeys(names, "t"), rig.now - 10.0, 2.5)
        (call,) = rig.plan().calls
        assert len(call.runners) == MAX_RUNNERS_PER_CALL


class TestTickets:
    def test_a_ticket_is_not_used_just_before_it_expires(self):
        tickets = Tickets()
        tickets.record_advice(["w1"], {"w1": "t"}, 10.0, 2.5)
        assert tickets.valid_ticket("w1", 12.0) == "t"
        assert tickets.valid_ticket("w1", 12.45) == ""

    def test_a_stage_with_one_of_two_calls_in_flight_does_not_count_as_without_one(self):
        tickets = Tickets()
        tickets.awaits_call = True
        tickets.begin_call("e1", 10.0, 11.0, 13.0)
        assert not tickets.lacks_call(10.5)
        tickets.end_call("e1")
        assert tickets.lacks_call(10.5)


class TestAdvisedStages:
    @pytest.fixture()
    def rig(self) -> CellRig:
        rig = CellRig(4)
        rig.cell.set_entries(["e1", "e2"])
        return rig

    def test_nothing_starts_without_a_ticket(self, rig: CellRig):
        rig.submit(step(2), queue=ADVISED)
        plan = rig.plan()
        assert plan.starts == []
        (call,) = plan.calls
        assert rig.plan().calls == []
        rig.cell.apply_advice(call, {"w2": "t2"}, rig.now)
        starts = rig.plan().starts
        assert {(order.run.runner, order.ticket) for order in starts} == {("w2", "t2")}

    def test_a_late_answer_shortens_the_validity_of_its_tickets(self, rig: CellRig):
        """The platform counts from the grant, however long the answer takes to come back."""
        rig.submit(step(2), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.pass_time(call.duration + COST.validity - 0.05)
        rig.cell.apply_advice(call, {"w2": "t2"}, rig.now)
        assert rig.plan().starts == []

    def test_the_first_call_names_all_runners_also_of_stages_further_back(self, rig: CellRig):
        """After a takeover many stages wait; one call each must show where they may run."""
        rig.cell.set_entries([f"e{n}" for n in range(9)])
        for number in range(1, 6):
            rig.submit(step(1, 3000), job=job_id(number), queue=ADVISED)
        assert {len(call.runners) for call in rig.plan().calls} == {4}
        rig.submit(step(1, 2000), job="fedcba9876543210")
        rig.start_all()
        rig.submit(step(1, 3000), job=JOB, queue=ADVISED)
        (call,) = rig.plan().calls
        assert (call.stage.job, len(call.runners)) == (JOB, 4)

    def test_a_failed_call_is_retried_by_another_entry(self, rig: CellRig):
        rig.submit(step(2), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.cell.mark_advice_failed(call, rig.now)
        (again,) = rig.plan().calls
        assert again.entry != call.entry

    def test_a_refused_ticket_is_requested_again(self, rig: CellRig):
        rig.submit(step(1), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {"w2": "t2"}, rig.now)
        (only,) = rig.plan().starts
        rig.cell.mark_start_refused(only.run, "ticket", rig.now)
        (again,) = rig.plan().calls
        assert again.runners == ("w2",)

    def test_the_advisor_is_called_before_the_predecessors_have_ended(self, rig: CellRig):
        rig.submit(step(1), step(1, after=[0]), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {"w1": "t1"}, rig.now)
        (only,) = rig.start_all()
        rig.now += 0.5
        only.run.percent, only.run.progressed_at = 60.0, rig.now
        (ahead,) = rig.plan().calls
        assert ahead.stage == StageId(JOB, 0, 1)

    def test_no_call_is_made_for_what_follows_a_run_on_a_silent_runner(self, rig: CellRig):
        """It seems about to end for as long as nothing is heard of it."""
        rig.submit(step(1), step(1, after=[0]), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {"w1": "t1"}, rig.now)
        rig.start_all()
        rig.now += 0.9
        rig.cell.pool.record_no_answer(rig.cell.runners["w1"], rig.now)
        assert rig.plan().calls == []


class TestWideStages:
    """A stage with more tasks than the runners of one call can take."""

    WIDE = QUEUE._replace(advice=AdviceCost(0.6, 0.01, 2.0))
    TASKS = 40

    def rig(self, entries: int) -> CellRig:
        rig = CellRig(120)
        rig.cell.set_entries([f"e{n}" for n in range(entries)])
        rig.submit(step(self.TASKS, 4000, daemon=True), queue=self.WIDE)
        return rig

    def seconds_until_started(self, rig: CellRig) -> float:
        """Return the seconds until all tasks have started; every third runner is allowed."""
        began_at, started, answers = rig.now, 0, []
        while started < self.TASKS and rig.now < began_at + 20.0:
            for at, call in [row for row in answers if row[0] <= rig.now]:
                answers.remove((at, call))
                allowed = [name for name in call.runners if int(name[1:]) % 3 == 0]
                rig.cell.apply_advice(call, dict.fromkeys(allowed, "t"), rig.now)
            plan = rig.plan()
            for order in plan.starts:
                rig.cell.mark_started(order.run, rig.now)
            started += len(plan.starts)
            answers += [(rig.now + call.wait + call.duration, call) for call in plan.calls]
            rig.pass_time(0.05)
        return rig.now - began_at

    def test_its_runners_are_asked_about_by_several_entries_at_once(self):
        """One call after the other kept the last of its tasks waiting for seconds."""
        assert self.seconds_until_started(self.rig(9)) < 2.5
        assert self.seconds_until_started(self.rig(1)) > 3.5

    def test_the_calls_name_each_runner_once(self):
        calls = self.rig(42).plan().calls
        names = [name for call in calls for name in call.runners]
        assert len(calls) == 3
        assert len(set(names)) == len(names) > 60

    def test_no_further_call_is_made_until_all_have_ended(self):
        rig = self.rig(42)
        first, *others = rig.plan().calls
        rig.cell.apply_advice(first, {}, rig.now)
        assert rig.plan().calls == []
        for call in others:
            rig.cell.mark_advice_failed(call, rig.now)
        assert rig.plan().calls


class TestRunnersThatCanTakeATask:
    """A call names runners on which a task of the stage can start, before any others.

    There are more runners than tickets that calls for one task can keep valid.
    """

    RUNNERS = 30
    QUEUE = QUEUE._replace(advice=AdviceCost(0.6, 0.01, 2.0))

    @pytest.fixture()
    def rig(self) -> CellRig:
        rig = CellRig(self.RUNNERS)
        rig.cell.set_entries(["e1", "e2"])
        return rig

    def start_allowed(self, rig: CellRig, seconds: float) -> list[str]:
        """Return the runners of the starts while the advisor allows all that it is asked about.

        Its answers take as long as the calls; runs end after their estimate, lasting ones never.
        """
        starts: list[str] = []
        answers: list[tuple[float, AdviceCall]] = []
        end = rig.now + seconds
        while rig.now < end:
            for at, call in [row for row in answers if row[0] <= rig.now]:
                answers.remove((at, call))
                rig.cell.apply_advice(call, dict.fromkeys(call.runners, "t"), rig.now)
            self.end_runs(rig)
            plan = rig.plan()
            for order in plan.starts:
                rig.cell.mark_started(order.run, rig.now)
                starts.append(order.run.runner)
            answers += [(rig.now + call.wait + call.duration, call) for call in plan.calls]
            rig.pass_time(0.1)
        return starts

    def end_runs(self, rig: CellRig) -> None:
        """End the runs that have taken as long as estimated."""
        for name, runner in rig.cell.runners.items():
            for run in list(runner.runs.values()):
                if not run.spec.daemon and rig.now >= run.started_at + run.spec.estimate:
                    rig.hold(name, (run.task, run.number, "done"))

    def replace_runner(self, rig: CellRig) -> None:
        """Let a runner of the lasting job leave, and a new one come, long after all tickets."""
        rig.pass_time(5.0)
        (left,) = rig.cell.runners["w1"].runs.values()
        rig.list_runner("w1", state="draining")
        rig.hold("w1", (left.task, left.number, "stopped"))
        rig.add_runner("new")

    def test_a_lasting_task_runs_again_though_all_known_runners_are_at_its_limit(
        self, rig: CellRig
    ):
        rig.submit(step(self.RUNNERS, daemon=True, anti_affinity=1), queue=self.QUEUE)
        assert len(self.start_allowed(rig, 1.0)) == self.RUNNERS
        self.replace_runner(rig)
        assert self.start_allowed(rig, 2.0) == ["new"]

    def test_a_lasting_task_runs_again_though_all_known_runners_are_full(self, rig: CellRig):
        rig.submit(step(self.RUNNERS, 4000, daemon=True), queue=self.QUEUE)
        assert len(self.start_allowed(rig, 1.0)) == self.RUNNERS
        self.replace_runner(rig)
        assert self.start_allowed(rig, 2.0) == ["new"]

    def test_runners_on_which_a_lasting_stage_is_at_its_limit_are_not_asked_about(
        self, rig: CellRig
    ):
        rig.submit(step(self.RUNNERS + 1, daemon=True, anti_affinity=1), queue=self.QUEUE)
        assert len(self.start_allowed(rig, 1.0)) == self.RUNNERS
        rig.pass_time(5.0)
        assert rig.plan().calls == []

    def test_an_urgent_task_gets_a_runner_that_turns_over(self, rig: CellRig):
        """All others are full of lasting tasks, and less urgent ones take each room at once."""
        rig.submit(step(self.RUNNERS, 4000, daemon=True), job="00000000000000aa")
        rig.start_all()
        rig.submit(step(1, 4000), queue=self.QUEUE)
        self.start_allowed(rig, 4.0)
        patient = QUEUE._replace(name="patient", prefix="/p/", priority=2)
        rig.submit(step(200, 4000, estimate_ms=3500), job="00000000000000bb", queue=patient)
        rig.add_runner("turning")
        self.start_allowed(rig, 8.0)
        assert not rig.cell.jobs[JOB].stages[StageId(JOB, 0, 0)].waiting

    def test_new_runners_are_asked_about_by_the_share_that_was_allowed(self, rig: CellRig):
        """One in five was allowed; of these one is free, the others are full for a while."""
        waiting = stage(rig, tasks=2, cpu=3000)
        known = [f"w{n}" for n in range(1, 16)]
        waiting.tickets.record_advice(known, dict.fromkeys(known[:3], "t"), rig.now - 10.0, 2.5)
        for name in ("w1", "w2"):
            rig.list_runner(name, labels=("x",))
        rig.submit(step(2, 4000, requires="x"))
        assert len(rig.start_all()) == 2
        runners = list(rig.cell.runners.values())
        named = UsefulCandidates().choose_runners(waiting, runners, rig.now, True)
        assert named[:3] == ["w3", "w1", "w2"]
        assert len(named) == 3 + 3 * 5
        assert not set(named[3:]) & set(known)
