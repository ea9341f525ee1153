"""Tests of the refusal of jobs while the cell is full."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import pytest

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.exceptions import CellFull, StoreDown, SubmissionUndecided
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.platform.submissions import decode_job
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.admission import (
    MAX_SUMMARY_AGE_SECONDS,
    SLACK_SHARE,
    AcceptAll,
    AdmissionPolicy,
    NewJob,
    PressureAdmission,
    Refusal,
    RefusalReason,
)
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.decisions.pressure import WaitingWork, is_full
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.entry.callers import LocalCallers
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.formats import (
    JOBS,
    Accepted,
    Claim,
    Pressure,
    PressureRow,
    decode,
    encode,
)
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.pressure_meter import MAX_ROWS, MAX_WORKSPACES
from ragworttiller.scheduling.state.submission_windows import SubmissionWindows
from ragworttiller.timers import ManualTimers
from tests.entry_rig import BODY, EntryRig, with_entry
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_body, job_id, step

PATIENT = QUEUE._replace(name="patient", prefix="/p/", priority=2)
GREEDY, MODEST = "greedy", "modest"
JOB_SECONDS = 1.0
GREEDY_WEIGHT, MODEST_WEIGHT = 2.0, 12.0


def configuration(weight: float = GREEDY_WEIGHT, *more: dict[str, Any]) -> bytes:
    """Return a configuration with two queues, and two workspaces, of which one has a weight."""
    routes = [
        {"host": q.host, "path_prefix": q.prefix, "service": q.upstream, "priority": q.priority}
        for q in (QUEUE, PATIENT)
    ]
    workspaces = [{"name": GREEDY, "weight": weight}, {"name": MODEST, "weight": MODEST_WEIGHT}]
    fields = {"version": 1, "routes": routes, "tenants": [*workspaces, *more]}
    return json.dumps(fields).encode()


class Outcome(NamedTuple):
    """Jobs of one workspace after a load."""

    sent: int
    refused: int
    on_time: int


class Load:
    """A cell of four runners with four cores, and jobs of one core that take a second each.

    The owner publishes its claim each half second, and an entry decides by the last one.
    """

    def __init__(self, policy: AdmissionPolicy):
        # The order by shares alone would protect the modest workspace, and hide a missing refusal.
        policies = choose_policies(EntryPolicies(shares="none"), EntryBounds())
        self.rig = CellRig(4, measures_pressure=True, policies=policies)
        self.rig.config.adopt(configuration())
        self.clock = ManualTimers(self.rig.now)
        self.claims = ClaimFold()
        self.windows = SubmissionWindows(self.rig.config)
        self.rig.jobs.on_accepted = self.windows.record
        self.published = True
        self.gate = AdmissionGate(policy, self.claims, lambda: 0.0, self.windows, self.clock)
        self.refusals: list[tuple[str, Refusal]] = []
        self.accepted: dict[str, tuple[str, float]] = {}
        self.ended: dict[str, float] = {}
        self._number = 0

    def send(self, workspace: str):
        """Submit a job."""
        self._number += 1
        name, spec = job_id(self._number), decode_job(job_body(step()))
        refusal = self.gate.refusal(QUEUE, spec, workspace)
        if refusal is not None:
            self.refusals.append((workspace, refusal))
            return
        self.accepted[name] = (workspace, self.rig.now)
        self.rig.submit(step(), job=name, workspace=workspace)

    def play(self, seconds: float, rates: dict[str, float]):
        """Let time pass while workspaces send jobs at some rates a second."""
        due = dict.fromkeys(rates, self.rig.now)
        end = self.rig.now + seconds
        next_claim_at = self.rig.now
        while self.rig.now < end:
            for name, rate in rates.items():
                while due[name] <= self.rig.now:
                    self.send(name)
                    due[name] += 1 / rate
            if self.published and self.rig.now >= next_claim_at:
                self.publish()
                next_claim_at += 0.5
            self._work()
            self.rig.now += 0.05
            self.clock._now = self.rig.now

    def publish(self):
        """Publish a claim of the owner."""
        now = self.rig.now
        self.claims.claim = self.rig.cell.claim("e", 1, 0, now, wall=now)

    def _work(self):
        """End the runs that are done, and start others."""
        now, cell = self.rig.now, self.rig.cell
        for name, runner in cell.runners.items():
            done = [r for r in runner.runs.values() if now >= r.started_at + JOB_SECONDS]
            self.ended |= {r.task.stage.job: now for r in done}
            self.rig.hold(name, *((r.task, r.number, "done") for r in done))
        cell.mark_recorded(cell.take_changes())
        cell.refresh(now, now)
        self.rig.start_all()

    def outcome(self, workspace: str) -> Outcome:
        """Return what became of the jobs of a workspace."""
        objective = QUEUE.slack_factor * JOB_SECONDS + QUEUE.target_latency
        names = [job for job, (owner, _) in self.accepted.items() if owner == workspace]
        late = [self.ended.get(job, 1e9) - self.accepted[job][1] > objective + 0.1 for job in names]
        refused = sum(name == workspace for name, _ in self.refusals)
        return Outcome(len(names) + refused, refused, late.count(False))


def pressure_admission() -> PressureAdmission:
    return PressureAdmission(lambda: 0.5)


class TestLoad:
    def test_a_workspace_that_sends_seven_times_its_weight_does_not_delay_another(self):
        """Guards against one queue in which what is owed waits behind what is not."""
        outcomes: list[tuple[Outcome, Outcome]] = []
        for policy in (pressure_admission(), AcceptAll()):
            load = Load(policy)
            load.play(20.0, {GREEDY: 14.0, MODEST: 11.0})
            load.play(6.0, {})
            outcomes.append((load.outcome(MODEST), load.outcome(GREEDY)))
        (modest, greedy), (modest_before, _) = outcomes
        assert modest.refused == 0
        assert modest.on_time >= 0.85 * modest.sent
        assert modest_before.on_time < 0.5 * modest_before.sent
        assert greedy.refused > 0.5 * greedy.sent
        assert greedy.on_time >= 20.0 * GREEDY_WEIGHT

    def test_refusals_end_with_the_load(self):
        load = Load(pressure_admission())
        load.play(10.0, {GREEDY: 28.0})
        refused = len(load.refusals)
        load.play(5.0, {MODEST: 0.2})
        load.play(5.0, {GREEDY: 3.0})
        assert refused > 0
        assert len(load.refusals) == refused

    def test_a_burst_into_free_room_is_accepted(self):
        load = Load(pressure_admission())
        load.play(2.0, {MODEST: 1.0})
        for _ in range(100):
            load.send(GREEDY)
        assert load.refusals == []

    def test_a_burst_that_has_filled_the_cell_is_refused_beyond_its_weight(self):
        load = Load(pressure_admission())
        load.play(1.0, {MODEST: 1.0})
        for _ in range(100):
            load.send(GREEDY)
        load.play(0.1, {MODEST: 1.0})
        load.publish()
        for _ in range(10):
            load.send(GREEDY)
        reasons = {refusal.reason for _, refusal in load.refusals}
        assert RefusalReason.BEYOND_WEIGHT in reasons

    def test_nothing_is_refused_by_a_summary_a_minute_old(self):
        """Guards against refusals long after the load has ended."""
        load = Load(pressure_admission())
        load.play(10.0, {GREEDY: 28.0})
        assert load.refusals
        load.refusals.clear()
        load.published = False
        load.play(60.0, {MODEST: 0.1})
        load.refusals.clear()
        for _ in range(100):
            load.send(GREEDY)
        assert load.refusals == []

    def test_an_owner_without_a_summary_refuses_nothing(self):
        """The first claim of another owner has none."""
        load = Load(pressure_admission())
        load.play(10.0, {GREEDY: 28.0})
        load.refusals.clear()
        load.claims.claim = Claim("e2", 2, 2, 0, [], [], {})
        for _ in range(100):
            load.send(GREEDY)
        assert load.refusals == []


FULL = PressureRow(QUEUE.upstream, QUEUE.priority, 10.0, 10.0)


def refusal(
    row: PressureRow = FULL,
    *steps: dict[str, Any],
    age: float = 0.0,
    beyond_weight: bool = False,
    beyond_share: Sequence[str] = (),
    **fields: Any,
) -> Refusal | None:
    """Return the refusal of a job, by default of one core for a second."""
    spec = decode_job(job_body(*(steps or (step(),)), **fields))
    job = NewJob(QUEUE, spec, GREEDY, beyond_weight)
    return pressure_admission().refusal(job, Pressure(0.0, [row], list(beyond_share)), age)


class TestPressureAdmission:
    def test_a_job_that_would_end_after_three_times_its_objective_is_refused(self):
        found = refusal()
        assert found.reason is RefusalReason.TOO_LATE
        assert found.excess == pytest.approx(11.0 - 3 * 1.75)
        assert found.retry_after == pytest.approx(1.5 * found.excess)

    def test_an_owed_job_that_would_only_be_late_is_accepted(self):
        assert refusal(FULL._replace(wait=3.0, wait_within=3.0)) is None

    def test_a_job_that_is_not_owed_and_would_be_late_is_refused(self):
        row = FULL._replace(wait=3.0, wait_within=0.0)
        found = refusal(row, beyond_weight=True)
        assert found.reason is RefusalReason.BEYOND_WEIGHT
        assert found.excess == pytest.approx(3.0 - SLACK_SHARE * 0.75)

    def test_a_job_that_is_not_owed_but_can_be_on_time_is_accepted(self):
        usable = SLACK_SHARE * 0.75
        assert refusal(FULL._replace(wait=usable), beyond_weight=True) is None
        assert refusal(FULL._replace(wait=usable + 0.1), beyond_weight=True) is not None

    def test_a_workspace_within_its_share_does_not_wait_for_those_beyond(self):
        row = FULL._replace(wait_within=0.0)
        assert refusal(row) is None
        assert refusal(row, beyond_share=[GREEDY]).reason is RefusalReason.TOO_LATE

    def test_a_job_that_fits_where_no_waiting_task_does_is_accepted(self):
        room = Resources(1000, 100, 0)
        assert refusal(FULL._replace(room=room)) is None
        assert refusal(FULL._replace(room=room), step(cpu=1001)) is not None
        assert refusal(FULL._replace(room=room), step(cpu=9000), step(cpu=10)) is None

    def test_other_queues_are_not_refused(self):
        assert refusal(FULL._replace(priority=1)) is None
        assert refusal(FULL._replace(upstream="other")) is None

    def test_an_old_summary_refuses_nothing(self):
        assert refusal(age=MAX_SUMMARY_AGE_SECONDS) is not None
        assert refusal(age=MAX_SUMMARY_AGE_SECONDS + 0.1) is None

    def test_long_running_and_timed_jobs_are_never_refused(self):
        assert refusal(FULL, step(daemon=True), beyond_weight=True) is None
        timed = {"times": 2, "first_run_ms": 1.0, "interval_ms": 1000}
        assert refusal(FULL, step(), beyond_weight=True, **timed) is None

    def test_retries_are_spread(self):
        spec = decode_job(job_body(step()))
        job = NewJob(QUEUE, spec, GREEDY, False)
        pressure = Pressure(0.0, [FULL], [])
        found = [PressureAdmission(lambda n=n: n).refusal(job, pressure, 0.0) for n in (0.0, 1.0)]
        assert found[1].retry_after == pytest.approx(2 * found[0].retry_after)
        assert found[0].retry_after == pytest.approx(found[0].excess)


class TestSummary:
    def rig(self, waiting: int = 0, **kwargs: Any) -> CellRig:
        """Return a cell of one runner with four cores, full, and with more tasks that wait."""
        rig = CellRig(1, measures_pressure=True)
        rig.config.adopt(configuration(2.0, **kwargs))
        rig.submit(step(4), job=job_id(1), workspace=GREEDY)
        rig.start_all()
        if waiting:
            rig.submit(step(waiting), job=job_id(2), workspace=MODEST)
        return rig

    def summary(self, rig: CellRig) -> Pressure:
        return rig.cell.claim("e", 1, 0, rig.now, wall=rig.now).pressure

    def test_a_cell_with_free_room_is_not_full(self):
        rig = CellRig(1, measures_pressure=True)
        rig.config.adopt(configuration())
        rig.submit(step(3), workspace=GREEDY)
        assert self.summary(rig) == Pressure(rig.now, [], [])

    def test_a_cell_in_which_nothing_waits_is_not_full(self):
        assert self.summary(self.rig()).rows == []

    def test_the_wait_is_the_waiting_work_over_the_capacity(self):
        rows = self.summary(self.rig(8)).rows
        assert {(row.priority, row.wait) for row in rows} == {(0, 2.0), (2, 2.0)}

    def test_less_urgent_work_delays_no_urgent_job(self):
        rig = self.rig()
        rig.submit(step(8), job=job_id(2), queue=PATIENT, workspace=MODEST)
        assert [row.priority for row in self.summary(rig).rows] == [2]

    def test_work_beyond_the_share_delays_only_what_is_beyond_as_well(self):
        rig = self.rig(2)
        rig.submit(step(8), job=job_id(3), workspace=GREEDY)
        found = self.summary(rig)
        row = next(row for row in found.rows if row.priority == QUEUE.priority)
        assert found.beyond_share == [GREEDY]
        assert (row.wait, row.wait_within) == (2.5, 0.5)

    def test_tasks_that_wait_for_the_cap_of_their_workspace_do_not_count(self):
        rig = CellRig(1, measures_pressure=True)
        capped = {"name": "capped", "cap": {"cpu": 4000}}
        rig.config.adopt(configuration(2.0, capped))
        rig.submit(step(4), job=job_id(1), workspace="capped")
        rig.start_all()
        rig.submit(step(8), job=job_id(2), workspace="capped")
        assert self.summary(rig).rows == []

    def test_hopeless_jobs_do_not_count(self):
        """They come after every other job, so they delay none."""
        rig = self.rig(8)
        rig.now += 60.0
        assert self.summary(rig).rows == []

    def test_an_upstream_without_runners_is_left_out(self):
        rig = CellRig(0, measures_pressure=True)
        rig.config.adopt(configuration())
        rig.submit(step(4), workspace=GREEDY)
        assert self.summary(rig).rows == []

    def test_an_owner_that_does_not_measure_publishes_none(self):
        rig = CellRig(1)
        assert self.summary(rig) is None

    def test_its_size_is_bounded(self):
        routes = [{"host": "h", "path_prefix": f"/{n}/", "service": "desk"} for n in range(200)]
        for number, route in enumerate(routes):
            route["priority"] = number
        names = [{"name": f"w{n}", "weight": 1.0} for n in range(200)]
        fields = {"version": 2, "routes": routes, "tenants": names}
        rig = CellRig(200, measures_pressure=True)
        rig.config.adopt(json.dumps(fields).encode())
        for number in range(200):
            rig.submit(step(4 + number % 2 * 4), job=job_id(number), workspace=f"w{number}")
        rig.start_all()
        rig.submit(step(99), job=job_id(200), workspace="w0")
        found = self.summary(rig)
        assert len(found.rows) <= MAX_ROWS
        assert len(found.beyond_share) <= MAX_WORKSPACES
        assert len(encode(found)) < 8000

    def test_claims_of_before_are_still_read(self):
        earlier = list(Claim("e", 1, 1, 0, [], [], {}))[:-1]
        assert decode(encode(tuple(earlier)), Claim).pressure is None

    def test_room_that_the_smallest_waiting_task_cannot_use_is_not_free_for_it(self):
        work = [WaitingWork("desk", 0, "", 1, Resources(1000, 100, 0), 1.0)]
        assert is_full(work, [Resources(900, 5000, 0)] * 100)
        assert not is_full(work, [Resources(900, 5000, 0)] * 100 + [Resources(1001, 5000, 0)])


class TestSubmissionWindows:
    def windows(self, weight: float = 2.0) -> SubmissionWindows:
        config = QueueFold()
        config.adopt(configuration(weight))
        return SubmissionWindows(config)

    def record(self, windows: SubmissionWindows, *walls: float, workspace: str = GREEDY):
        for wall in walls:
            spec = decode_job(job_body(step()))
            windows.record(Accepted(QUEUE, spec, wall, workspace))

    def test_the_weight_is_owed_in_any_second(self):
        windows = self.windows()
        self.record(windows, 10.0, 10.4)
        assert windows.is_beyond_weight(GREEDY, 10.9)
        assert not windows.is_beyond_weight(MODEST, 10.9)
        assert not windows.is_beyond_weight(GREEDY, 11.1)

    def test_jobs_that_are_not_owed_do_not_count(self):
        """Guards against a workspace that is owed nothing as long as it sends too much."""
        windows = self.windows()
        self.record(windows, *(10.0 + 0.1 * n for n in range(50)))
        assert not windows.is_beyond_weight(GREEDY, 15.05)

    def test_history_read_at_the_start_does_not_count(self):
        windows = self.windows()
        self.record(windows, 50.0, 10.0, 11.0, 12.0)
        assert not windows.is_beyond_weight(GREEDY, 50.1)

    def test_anonymous_calls_have_no_weight(self):
        windows = self.windows(0.0)
        self.record(windows, 10.0, 10.0, workspace="")
        assert not windows.is_beyond_weight("", 10.0)
        assert windows.is_beyond_weight(GREEDY, 10.0)


class TestSubmissions:
    def refusing(self, rig: EntryRig):
        """Let an entry refuse all jobs that are not stored."""
        rig.claims.claim = Claim("e", 1, 1, 0, [], [], {})._replace(
            pressure=Pressure(rig.timers.wall(), [FULL], [])
        )
        windows = SubmissionWindows(rig.config)
        self.gate = AdmissionGate(
            pressure_admission(), rig.claims, lambda: 0.0, windows, rig.timers
        )
        rig.acceptance = Acceptance(
            rig.config,
            rig.jobs,
            rig.feed,
            rig.claims,
            rig.writer,
            rig.timers,
            "e1",
            admission=self.gate,
        )
        rig.callers = LocalCallers(rig.acceptance)

    def test_a_refused_job_is_told_when_to_retry_and_never_stored(
        self, caplog: pytest.LogCaptureFixture
    ):
        caplog.set_level(logging.INFO)

        async def body(rig: EntryRig):
            self.refusing(rig)
            with pytest.raises(CellFull) as caught:
                await rig.call("POST")
            assert (caught.value.status, caught.value.body()["ran"]) == (429, "not_run")
            assert caught.value.retry_after == pytest.approx(1.5 * (11.0 - 0.0 - 3.0), abs=3.0)
            await rig.timers.sleep(10.0)
            assert rig.stored() == []
            assert self.gate.refused == {RefusalReason.TOO_LATE: 1}
            line = next(r for r in caplog.records if r.getMessage().startswith("job refused"))
            assert (line.job, line.why, line.wait, line.age) == (JOB, "too_late", 10.0, 0.0)

        with_entry(body)

    def test_a_stored_job_is_never_refused(self):
        async def body(rig: EntryRig):
            assert (await rig.call("POST")).status == 200
            await rig.timers.sleep(0.5)
            self.refusing(rig)
            assert (await rig.call("POST")).status == 200
            assert (await rig.call("GET")).status == 200

        with_entry(body)

    def test_a_job_that_another_entry_has_just_stored_is_not_refused(self):
        """Guards against a refusal by an entry that has not read the record yet."""

        async def body(rig: EntryRig):
            rig.feed.min_interval = 60.0
            await rig.call("POST", "00000000000000bb")
            await rig.timers.sleep(0.5)
            self.refusing(rig)
            queue = rig.config.find(QUEUE.host, QUEUE.prefix)
            record = KeyedRecord(JOB, encode(Accepted(queue, decode_job(BODY), 0.0)))
            await Store("", 1.0, rig.link).append(JOBS, [record], Producer("other", 1), 1)
            assert rig.jobs.get(JOB) is None
            assert (await rig.call("POST")).status == 200

        with_entry(body)

    def test_a_repeat_of_a_submission_without_result_is_not_refused(self):
        """The append may be in flight and be stored after the refusal."""

        async def body(rig: EntryRig):
            self.refusing(rig)
            refusing, rig.claims.claim = rig.claims.claim, None
            rig.link.cut = True
            with pytest.raises(SubmissionUndecided):
                await rig.call("POST")
            rig.claims.claim = refusing._replace(
                pressure=refusing.pressure._replace(computed_at=rig.timers.wall())
            )
            rig.link.lift_faults()
            with pytest.raises(StoreDown):
                await rig.call("POST")
            await rig.timers.sleep(2.0)
            assert rig.stored() == [JOB]

        with_entry(body)

    def test_nothing_is_refused_while_the_store_cannot_be_read(self):
        """A refusal could not be known to be true."""

        async def body(rig: EntryRig):
            self.refusing(rig)
            rig.service.down = True
            with pytest.raises(Exception) as caught:
                await rig.call("POST")
            assert caught.value.code == "store_down"

        with_entry(body)

    def test_a_decision_takes_under_200_microseconds(self):
        names = [{"name": f"w{n}"} for n in range(200)]
        config = QueueFold()
        config.adopt(configuration(2.0, *names))
        claims = ClaimFold()
        rows = [FULL._replace(upstream=f"u{n}") for n in range(MAX_ROWS - 1)]
        pressure = Pressure(1000.0, [*rows, FULL], [f"w{n}" for n in range(MAX_WORKSPACES)])
        claims.claim = Claim("e", 1, 1, 0, [], [], {}, pressure=pressure)
        windows, clock = SubmissionWindows(config), ManualTimers(1000.0)
        gate = AdmissionGate(pressure_admission(), claims, lambda: 0.0, windows, clock)
        spec, took = decode_job(BODY), []
        for _ in range(20):
            began_at = time.perf_counter()
            for number in range(100):
                assert gate.refusal(QUEUE, spec, f"w{number}") is not None
            took.append((time.perf_counter() - began_at) / 100)
        assert min(took) < 200e-6
