"""Tests that a lasting task runs again whenever there is room for it, whatever else waits."""

from __future__ import annotations

import pytest

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.records.formats import Blame, Crash
from ragworttiller.scheduling.state.orders import Plan
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

LASTING = QUEUE._replace(name="lasting", prefix="/l/", priority=2)
SHORT_COST = AdviceCost(0.018, 0.0003, 2.0)
LONG_COST = AdviceCost(0.45, 0.0065, 2.0)
ADVISED = QUEUE._replace(name="advised", prefix="/a/", advice=AdviceCost(0.9, 0.01, 2.0))
ADVISED_LASTING = LASTING._replace(advice=ADVISED.advice)
MAX_WAIT_SECONDS = 3.0
CALL_SECONDS = 0.9


def answer_due(rig: CellRig, answers: list[tuple[float, AdviceCall]], every: int = 1) -> None:
    """Apply the answers that are due, which allow one of ``every`` so many named runners."""
    for row in [row for row in answers if row[0] <= rig.now]:
        answers.remove(row)
        rig.cell.apply_advice(row[1], dict.fromkeys(row[1].runners[::every], "t"), rig.now)


def seconds_until_start(
    rig: CellRig, job: str, limit: float = 10.0, advised: bool = False
) -> float:
    """Return the seconds until a task of a job starts, while no other run ends.

    Calls to the advisor, if it is ``advised``, are answered after their usual duration.
    """
    began = rig.now
    answers: list[tuple[float, AdviceCall]] = []
    while rig.now < began + limit:
        answer_due(rig, answers)
        plan = rig.plan()
        if any(order.run.task.stage.job == job for order in plan.starts):
            break
        for order in plan.starts:
            rig.cell.mark_started(order.run, rig.now)
        if advised:
            answers += [(rig.now + CALL_SECONDS, call) for call in plan.calls]
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


class TestOverdueStages:
    def test_a_task_is_overdue_though_others_of_its_stage_start(self):
        """Guards against a task that waits beside a suspended runner while its sisters start."""
        rig = CellRig(2)
        rig.cell.runners["w2"].suspended_until = rig.now + 12.0
        rig.submit(step(5, 4000, daemon=True))
        (order,) = rig.start_all()
        began = rig.now
        while order.run.runner == "w1" and rig.now < began + 10.0:
            rig.pass_time(1.0)
            rig.hold("w1", (order.run.task, order.run.number, "stopped"))
            order, *others = rig.start_all()
            if others:
                break
        assert rig.now - began <= MAX_WAIT_SECONDS

    def test_a_stage_is_not_overdue_after_all_its_tasks_that_waited_for_long_have_started(self):
        rig = CellRig(2)
        rig.submit(step(2, 4000, daemon=True))
        rig.start_all()
        rig.cell.runners["w2"].suspended_until = rig.now + 12.0
        for name in ("w1", "w2"):
            (run,) = rig.cell.runners[name].runs.values()
            rig.hold(name, (run.task, run.number, "stopped"))
        assert [order.run.runner for order in rig.start_all()] == ["w1"]
        rig.pass_time(1.25)
        assert rig.start_all() == []

    def test_sisters_close_one_runner_after_the_other_for_their_trials(self):
        """Guards against overdue trials of one stage that keep all other tasks from starting."""
        rig = CellRig(4)
        rig.submit(step(3, daemon=True))
        (stage,) = rig.cell.jobs[JOB].stages.values()
        for index in stage.waiting:
            stage.add_crash(index, Crash("w9", 4.0, str(Blame.LATEST)))
        for _ in range(12):
            rig.start_all()
            rig.pass_time(0.25)
        assert sum(runner.on_trial(rig.now) for runner in rig.cell.runners.values()) == 2


class TestOrderOfWaits:
    def test_the_task_that_has_waited_for_the_longest_starts_first(self):
        """Guards against a task that waits for as long as others of its stage end."""
        rig = CellRig(1)
        rig.submit(step(4, 2000, daemon=True))
        started: list[int] = []
        for _ in range(6):
            started += [order.run.task.ordinal for order in rig.start_all()]
            rig.pass_time(0.25)
            first = next(iter(rig.cell.runners["w1"].runs.values()))
            rig.hold("w1", (first.task, first.number, "stopped"))
        assert started == [0, 1, 2, 3, 0, 1, 2]

    def test_a_refused_start_does_not_end_the_wait_of_a_task(self):
        """Guards against a task that waits behind all others after a start that never ran."""
        rig = CellRig(2)
        rig.submit(step(3, 4000, daemon=True))
        first, second = rig.start_all()
        rig.hold(second.run.runner, (second.run.task, second.run.number, "stopped"))
        rig.pass_time(0.5)
        rig.cell.mark_start_refused(first.run, "ticket", rig.now)
        orders = rig.plan().starts
        assert [order.run.task.ordinal for order in orders] == [0, 2]


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

    def test_the_advisor_is_asked_about_a_suspended_runner_that_alone_has_room(self, rig: CellRig):
        """Guards against a wait for the end of a suspension, for want of a ticket alone."""
        rig.cell.set_entries(["e1"])
        for seconds in (0.0, 3.5, 6.5):
            rig.pass_time(seconds)
            rig.cell.runners["w1"].suspend(rig.now)
        rig.submit(step(2, daemon=True, requires="a"), job=job_id(1), queue=ADVISED_LASTING)
        assert 1.0 < seconds_until_start(rig, job_id(1), advised=True) < MAX_WAIT_SECONDS

    def test_runners_that_have_not_failed_are_named_before_suspended_ones(self):
        rig = CellRig(3)
        rig.cell.set_entries(["e1"])
        rig.cell.runners["w1"].suspend(rig.now)
        rig.submit(step(1, daemon=True), queue=ADVISED_LASTING)
        (call,) = rig.plan().calls
        rig.cell.apply_advice(call, {"w2": "t", "w3": "t"}, rig.now - 10.0)
        rig.pass_time(1.75)
        (call,) = rig.plan().calls
        assert set(call.runners) == {"w2", "w3"}


class TestRunnersThatAnswerAgain:
    @pytest.mark.parametrize("cut_seconds", [2.0, 4.5, 8.0])
    def test_lasting_tasks_run_soon_on_a_runner_that_was_cut_off(self, cut_seconds: float):
        """Guards against a runner closed for a trial, since its silence was taken for a crash."""

        async def play(rig: OwnersRig) -> None:
            rig.work = 1000.0
            await start_entries(rig)
            await rig.submit(JOB, step(2, daemon=True))
            await rig.timers.sleep(2.0)
            await rig.cut_off("w1", cut_seconds)
            await rig.timers.sleep(1.0)
            assert len(rig.runners["w1"].running) == 2, rig.monitor.starts

        with_rig(play, runners=1)


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

    def __init__(self, entries: int, jobs_per_pass: int, queue: Queue, runners: int = 20) -> None:
        self.rig = CellRig(runners)
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
        answer_due(self.rig, self._answers, every=2)
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


class TestAdvice:
    def test_a_lasting_task_is_asked_for_while_urgent_jobs_keep_the_advisor_busy(self):
        """Guards against a lasting task that waits in an empty cell, for a ticket alone."""
        rig = CellRig(20)
        rig.cell.set_entries(["e1", "e2", "e3"])
        answers: list[tuple[float, AdviceCall]] = []
        began = rig.now
        for number in range(100, 200):
            rig.submit(step(1), job=job_id(number), queue=ADVISED)
            if number == 130:
                began = rig.now
                rig.submit(step(1, daemon=True), job=job_id(1), queue=ADVISED_LASTING)
            answer_due(rig, answers, every=2)
            plan = rig.plan()
            if any(order.run.spec.daemon for order in plan.starts):
                break
            for order in plan.starts:
                rig.cell.mark_started(order.run, rig.now)
                rig.hold(order.run.runner, (order.run.task, order.run.number, "done"))
            answers += [(rig.now + CALL_SECONDS, call) for call in plan.calls]
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

    @pytest.mark.parametrize("stages", [20, 60])
    def test_lasting_tasks_that_no_call_helps_keep_the_advisor_from_no_others(self, stages: int):
        """Guards against searches for stages at their limit of each runner that end all calls."""
        load = AdvisorLoad(4, 0, ADVISED, runners=4)
        for number in range(100, 100 + stages):
            load.rig.submit(step(5, 10, daemon=True, anti_affinity=1), job=job_id(number))
            assert len(load.rig.start_all()) == 4
            work = load.rig.cell.jobs[job_id(number)]
            work.queue = ADVISED_LASTING
            (stage,) = work.stages.values()
            stage.tickets.allowed |= load.rig.cell.runners.keys()
        for _ in range(20):
            load.tick()
        load.rig.submit(step(1, daemon=True), job=job_id(1), queue=ADVISED_LASTING)
        load.rig.submit(step(1), job=job_id(2), queue=ADVISED)
        jobs: set[str] = set()
        for _ in range(30):
            jobs |= {order.run.task.stage.job for order in load.tick().starts}
        assert {job_id(1), job_id(2)} <= jobs

    def test_no_entry_is_called_again_for_tasks_that_have_just_got_their_tickets(self):
        """Guards against two calls for each lasting stage while others wait for their first."""
        rig = CellRig(60)
        rig.cell.set_entries(["e1", "e2", "e3"])
        for number in range(4):
            rig.submit(step(5, daemon=True), job=job_id(number), queue=ADVISED_LASTING)
        calls = rig.plan().calls
        assert len(calls) == 3
        rig.pass_time(1.0)
        for call in calls:
            rig.cell.apply_advice(call, dict.fromkeys(call.runners[::2], "t"), rig.now)
        plan = rig.plan()
        assert len(plan.starts) == 15
        assert {call.stage.job for call in plan.calls} == {job_id(3)}

    def test_no_entry_is_called_for_lasting_tasks_that_their_cap_holds(self):
        """Guards against calls, ahead of all others, for tickets that expire unused."""
        rig = CellRig(4)
        rig.configure(Workspace("a", frozenset(), 100.0, Resources(1000, 0)))
        rig.cell.set_entries([f"e{number}" for number in range(6)])
        rig.submit(step(1, daemon=True), job=job_id(1), workspace="a")
        assert len(rig.start_all()) == 1
        for number in range(2, 6):
            rig.submit(
                step(1, daemon=True), job=job_id(number), queue=ADVISED_LASTING, workspace="a"
            )
        for _ in range(10):
            assert not rig.plan().calls
            rig.pass_time(0.25)

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
