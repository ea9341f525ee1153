"""Tests that a lasting task runs again whenever there is room for it, whatever else waits."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.records.formats import Blame, Crash
from ragworttiller.scheduling.state.orders import Plan
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.scheduling_rig import QUEUE, CellRig, job_id, step

LASTING = QUEUE._replace(name="lasting", prefix="/l/", priority=2)
SHORT_COST = AdviceCost(0.018, 0.0003, 2.0)
LONG_COST = AdviceCost(0.45, 0.0065, 2.0)
ADVISED = QUEUE._replace(name="advised", prefix="/a/", advice=AdviceCost(0.9, 0.01, 2.0))
MAX_WAIT_SECONDS = 3.0


def seconds_until_start(rig: CellRig, job: str, limit: float = 10.0) -> float:
    """Return the seconds until a task of a job starts, while no other run ends."""
    began = rig.now
    while rig.now < began + limit:
        if any(order.run.task.stage.job == job for order in rig.start_all()):
            break
        rig.pass_time(0.25)
    return rig.now - began


class TestReservations:
    def test_the_cap_reserved_for_a_large_stage_holds_no_lasting_task(self):
        """Guards against a restart that waits until a gang of its workspace has started."""
        rig = CellRig(2)
        rig.configure(Workspace("a", frozenset(), 100.0, Resources(6000, 0)))
        rig.submit(step(2, daemon=True), job=job_id(1), workspace="a")
        rig.submit(step(1, 1000, estimate_ms=60_000), job=job_id(2), workspace="a")
        lasting, _, _ = rig.start_all()
        rig.submit(step(4, gang=True), workspace="a")
        rig.start_all()
        rig.pass_time(2.5)
        rig.start_all()
        rig.hold(lasting.run.runner, (lasting.run.task, lasting.run.number, "failed"))
        assert seconds_until_start(rig, job_id(1)) < MAX_WAIT_SECONDS

    def test_room_reserved_for_stages_without_tickets_holds_no_lasting_task(self):
        """Guards against a wait for room that idles, while an advisor answers late."""
        rig = CellRig(1)
        for number in range(2, 7):
            rig.add_runner(f"w{number}", labels=("b",))
        rig.cell.set_entries(["e1"])
        rig.submit(step(4, requires="a"), queue=ADVISED)
        (call,) = rig.plan().calls
        rig.pass_time(1.0)
        rig.cell.apply_advice(call, {"w1": "t"}, rig.now - 10.0)
        rig.submit(step(1, daemon=True, requires="a"), job=job_id(1), queue=LASTING)
        assert seconds_until_start(rig, job_id(1)) < MAX_WAIT_SECONDS


class TestRunnersThatHaveFailed:
    @pytest.fixture()
    def rig(self) -> CellRig:
        """Return a cell of which only the first runner has the label "a"."""
        rig = CellRig(1)
        rig.add_runner("w2", labels=("b",))
        return rig

    def test_a_long_probe_keeps_no_lasting_task_from_a_runner_on_probation(self, rig: CellRig):
        """Guards against a wait for a probe that takes as long as its task."""
        rig.cell.runners["w1"].suspend(rig.now)
        rig.pass_time(3.5)
        rig.submit(step(1, requires="a", estimate_ms=60_000))
        assert len(rig.start_all()) == 1
        rig.submit(step(1, daemon=True, requires="a"), job=job_id(1))
        assert seconds_until_start(rig, job_id(1)) < MAX_WAIT_SECONDS

    def test_a_lasting_task_starts_though_all_runners_that_suit_are_suspended(self, rig: CellRig):
        """Guards against a wait for the end of suspensions, which take up to 12 s."""
        for seconds in (0.0, 3.5, 6.5):
            rig.pass_time(seconds)
            rig.cell.runners["w1"].suspend(rig.now)
        rig.submit(step(2, daemon=True, requires="a"), job=job_id(1))
        assert 1.0 < seconds_until_start(rig, job_id(1)) < MAX_WAIT_SECONDS

    def test_nothing_starts_on_a_runner_that_is_suspended_since_it_refuses(self, rig: CellRig):
        rig.submit(step(1, daemon=True, requires="a"), job=job_id(1))
        (order,) = rig.plan().starts
        rig.cell.mark_start_refused(order.run, "unhealthy", rig.now)
        assert seconds_until_start(rig, job_id(1)) >= MAX_WAIT_SECONDS

    def test_a_refused_start_is_tried_again_while_the_suspension_lasts(self, rig: CellRig):
        """Guards against a wait of up to 12 s for a runner that has become healthy meanwhile."""
        for seconds in (0.0, 3.5, 6.5):
            rig.pass_time(seconds)
            rig.cell.runners["w1"].suspend(rig.now, refused=True)
        rig.submit(step(1, daemon=True, requires="a"), job=job_id(1))
        assert seconds_until_start(rig, job_id(1)) < 4.0

    def test_other_tasks_wait_for_the_end_of_a_suspension(self, rig: CellRig):
        rig.pass_time(1.0)
        rig.cell.runners["w1"].suspend(rig.now)
        rig.submit(step(1, requires="a"), job=job_id(1))
        assert seconds_until_start(rig, job_id(1)) >= MAX_WAIT_SECONDS


class TestTrials:
    def test_a_suspected_lasting_task_does_not_wait_for_the_trials_of_others(self):
        """Guards against a wait for one trial after another, of up to 5 s each."""
        rig = CellRig(4)
        rig.submit(step(3))
        rig.submit(step(2, daemon=True), job=job_id(1), queue=LASTING)
        for work in rig.cell.jobs.values():
            (stage,) = work.stages.values()
            for index in stage.waiting:
                stage.add_crash(index, Crash("w9", 4.0, str(Blame.LATEST)))
        assert 1.0 < seconds_until_start(rig, job_id(1)) < MAX_WAIT_SECONDS
        assert sum(runner.on_trial(rig.now) for runner in rig.cell.runners.values()) == 2


class AdvisorLoad:
    """Jobs that come all the time and end at once, and entries that make one call at a time."""

    def __init__(self, entries: int, jobs_per_pass: int, queue: Queue) -> None:
        self.rig = CellRig(20)
        self.rig.cell.set_entries([f"e{number}" for number in range(entries)])
        self._jobs, self._queue = jobs_per_pass, queue
        self._answers: list[tuple[float, AdviceCall]] = []
        self._free_at: dict[str, float] = {}
        self._number = 100

    def tick(self) -> Plan:
        """Advance the time and return the plan; short tasks end as they start."""
        for _ in range(self._jobs):
            self._number += 1
            self.rig.submit(step(1), job=job_id(self._number), queue=self._queue)
        self._answer()
        plan = self.rig.plan()
        for order in plan.starts:
            self.rig.cell.mark_started(order.run, self.rig.now)
            if not order.run.spec.daemon:
                end = (order.run.task, order.run.number, "done")
                self.rig.hold(order.run.runner, end)
        for call in plan.calls:
            until = max(self.rig.now, self._free_at.get(call.entry, 0.0)) + call.duration
            self._free_at[call.entry] = until
            self._answers.append((until, call))
        self.rig.cell.mark_recorded(self.rig.cell.take_changes())
        self.rig.pass_time(0.1)
        return plan

    def seconds_until_lasting(self, tasks: int, limit: float = 10.0) -> float:
        """Return the seconds until as many lasting tasks run."""
        began = self.rig.now
        while tasks > 0 and self.rig.now < began + limit:
            tasks -= sum(order.run.spec.daemon for order in self.tick().starts)
        return self.rig.now - began

    def _answer(self) -> None:
        for row in [row for row in self._answers if row[0] <= self.rig.now]:
            self._answers.remove(row)
            tickets = dict.fromkeys(row[1].runners[::2], "t")
            self.rig.cell.apply_advice(row[1], tickets, self.rig.now)


class TestAdvice:
    CALL_SECONDS = 0.9

    def test_a_lasting_task_is_asked_for_while_urgent_jobs_keep_the_advisor_busy(self):
        """Guards against a lasting task that waits in an empty cell, for a ticket alone."""
        rig = CellRig(20)
        rig.cell.set_entries(["e1", "e2", "e3"])
        lasting = LASTING._replace(advice=ADVISED.advice)
        answers: list[tuple[float, AdviceCall]] = []
        began = rig.now
        for number in range(100, 200):
            rig.submit(step(1), job=job_id(number), queue=ADVISED)
            if number == 130:
                began = rig.now
                rig.submit(step(1, daemon=True), job=job_id(1), queue=lasting)
            for row in [row for row in answers if row[0] <= rig.now]:
                answers.remove(row)
                rig.cell.apply_advice(row[1], dict.fromkeys(row[1].runners[::2], "t"), rig.now)
            plan = rig.plan()
            if any(order.run.spec.daemon for order in plan.starts):
                break
            for order in plan.starts:
                rig.cell.mark_started(order.run, rig.now)
                rig.hold(order.run.runner, (order.run.task, order.run.number, "done"))
            answers += [(rig.now + self.CALL_SECONDS, call) for call in plan.calls]
            rig.pass_time(0.1)
        assert 1.0 < rig.now - began < MAX_WAIT_SECONDS

    @pytest.mark.parametrize(
        ("entries", "jobs_per_pass", "stages", "cost"),
        [(2, 10, 1, SHORT_COST), (2, 2, 6, LONG_COST)],
        ids=["short calls", "several stages"],
    )
    def test_lasting_tasks_are_asked_for_while_calls_keep_all_entries_busy(
        self, entries: int, jobs_per_pass: int, stages: int, cost: AdviceCost
    ):
        """Guards against waits for an almost idle entry, and for 1.5 s before each call."""
        load = AdvisorLoad(entries, jobs_per_pass, ADVISED._replace(advice=cost))
        for _ in range(30):
            load.tick()
        for number in range(stages):
            queue = LASTING._replace(advice=LONG_COST)
            load.rig.submit(step(1, daemon=True), job=job_id(number), queue=queue)
        assert load.seconds_until_lasting(stages) < MAX_WAIT_SECONDS

    def test_a_failed_call_does_not_keep_a_lasting_task_from_the_only_entry(self):
        """Guards against 2 s without any call, after which another one may fail."""
        rig = CellRig(4)
        rig.cell.set_entries(["e1"])
        rig.submit(step(1, daemon=True), job=job_id(1), queue=ADVISED)
        began, calls = rig.now, rig.plan().calls
        rig.pass_time(0.9)
        rig.cell.mark_advice_failed(calls.pop(), rig.now)
        while not calls:
            rig.pass_time(0.1)
            calls = rig.plan().calls
        assert 0.4 < rig.now - began - 0.9 < 1.0
