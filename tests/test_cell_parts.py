"""Tests of single parts of the owner of a cell shard."""

from __future__ import annotations

import random

import pytest

from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.placement.rules import NO_RULES
from ragworttiller.process.backfill import Release, WaitingJob, count_fitting, find_reservation
from ragworttiller.process.cell_rows import JobRow
from ragworttiller.process.gangs import RESERVATION_PHASE_SECONDS
from ragworttiller.process.learning import Learner
from ragworttiller.process.quarantine import QUARANTINE_SECONDS, Quarantine, WorkerMode
from ragworttiller.process.worker_keeper import (
    LAPSE_MARGIN_SECONDS,
    REPORT_BYTES,
    REPORT_BYTES_PER_SECOND,
    lease_timing,
)
from ragworttiller.resources import Resources
from tests.cell_rig import Rig, scenario
from tests.test_cell_fold import job

LARGEST = Resources(8000, 8192, 0)
A, B, C = ("ws", "a"), ("ws", "b"), ("ws", "c")


class TestLearner:
    def row(self, number: int) -> JobRow:
        return JobRow(job(f"j000-{number}"), number)

    def run(self, learner: Learner, number: int, usage: Resources, ran: float = 1.0) -> None:
        row = self.row(number)
        learner.record_usage(row, f"j000-{number}/0", 1, usage)
        learner.record_end(row, f"j000-{number}/0", 1, ran, True)

    def test_higher_use_is_booked_at_once_within_the_largest_worker(self):
        learner = Learner()
        learner.record_usage(self.row(1), "j000-1/0", 1, Resources(4000, 1024, 0))
        assert learner.need(self.row(2), LARGEST) == Resources(4000, 1024, 0)
        learner.record_usage(self.row(1), "j000-1/0", 1, Resources(12000, 1024, 0))
        assert learner.need(self.row(2), LARGEST) == Resources(8000, 1024, 0)

    def test_lower_use_lowers_the_booking_slowly(self):
        learner = Learner()
        booked = [1000]
        for number in range(60):
            self.run(learner, number, Resources(250, 256, 0))
            booked.append(learner.need(self.row(0), LARGEST).cpu)
        assert booked[5] == 1000 or booked[5] >= 900
        assert all(after >= before * 0.9 for before, after in zip(booked, booked[1:], strict=False))
        assert 275 <= booked[-1] < 300

    @pytest.mark.parametrize("seed", range(5))
    def test_booking_is_never_below_what_running_and_recent_tasks_use(self, seed):
        rng, learner = random.Random(seed), Learner()
        recent: list[int] = []
        learner.record_usage(self.row(999), "j000-999/0", 1, Resources(600, 100, 0))
        for number in range(200):
            cpu = rng.choice([100, 200, 400, 900])
            self.run(learner, number, Resources(cpu, 100, 0))
            recent = [*recent, cpu][-20:]
            assert learner.need(self.row(0), LARGEST).cpu >= max(600, *recent)

    def test_reports_without_usage_change_nothing(self):
        learner = Learner()
        for number in range(20):
            self.run(learner, number, Resources())
        assert learner.need(self.row(0), LARGEST) == Resources(1000, 1024, 0)

    def test_run_times_ten_times_off_are_learnt(self):
        learner = Learner()
        self.run(learner, 1, Resources(), ran=10.0)
        assert learner.run_time(self.row(2)) == 10.0
        for number in range(40):
            self.run(learner, number, Resources(), ran=0.1)
        assert learner.run_time(self.row(2)) < 0.2


class TestQuarantine:
    def test_failures_of_different_templates_quarantine_a_worker(self):
        quarantine = Quarantine()
        assert [quarantine.record_failure("w", t, 0.0) for t in (A, A, B)] == [False, False, True]
        assert quarantine.mode("w") is WorkerMode.QUARANTINED
        assert not quarantine.accepts_task("w")

    def test_failures_of_one_bad_template_quarantine_no_worker(self):
        quarantine = Quarantine()
        for worker in ("v", "w", "x", "y"):
            for _ in range(4):
                assert not quarantine.record_failure(worker, A, 0.0)
        assert not quarantine.record_failure("y", B, 0.0)

    def test_failures_of_a_template_that_succeeds_elsewhere_quarantine_the_worker(self):
        quarantine = Quarantine()
        quarantine.record_success("good", A)
        assert [quarantine.record_failure("w", A, 0.0) for _ in range(3)][-1]

    def test_probe_clears_the_worker_or_doubles_its_quarantine(self):
        quarantine = Quarantine()
        for template in (A, B, C):
            quarantine.record_failure("w", template, 0.0)
        quarantine.start_probes(QUARANTINE_SECONDS)
        assert quarantine.accepts_task("w")
        quarantine.record_placement("w", "t")
        assert not quarantine.accepts_task("w")
        quarantine.record_failure("w", A, QUARANTINE_SECONDS)
        quarantine.start_probes(2 * QUARANTINE_SECONDS)
        assert not quarantine.accepts_task("w")
        quarantine.start_probes(3 * QUARANTINE_SECONDS)
        quarantine.record_placement("w", "u")
        quarantine.record_success("w", A)
        assert quarantine.mode("w") is WorkerMode.GOOD


class TestBackfill:
    def index(self, *cpus: int) -> RoomIndex:
        index = RoomIndex(random.Random(1))
        for number, cpu in enumerate(cpus):
            room = Resources(cpu, 8192, 0)
            index.add(WorkerRoom(f"w{number}", LARGEST, room, "fd", "rack", state="up"))
        return index

    def test_count_is_bounded_by_the_scarcest_resource(self):
        assert count_fitting(Resources(1000, 1024, 0), Resources(3500, 2048, 0)) == 2
        assert count_fitting(Resources(1000, 1024, 0), Resources(3500, 8192, 0), limit=1) == 1
        assert count_fitting(Resources(1000, 1024, 1), Resources(3500, 8192, 0)) == 0
        assert count_fitting(Resources(1000, 0, 0), Resources(-5, 0, 0)) == 0

    def test_reservation_starts_with_the_release_that_completes_it(self):
        need = Resources(1000, 512, 0)
        releases = [Release(at, "w0", need) for at in (30.0, 10.0, 20.0)]
        found = find_reservation(
            WaitingJob("j", need, NO_RULES, 4), self.index(0, 2000), releases, 5.0
        )
        assert found is not None
        assert found.starts_at == 20.0
        assert found.spare["w1"].cpu == 0

    @scenario
    async def test_short_work_runs_before_a_waiting_gang_without_delaying_it(self):
        starts = []
        for later in (0, 12):
            async with Rig(workers=2).running() as rig:
                await rig.submit("long", tasks=2, cpu=2000, run_time=20.0)
                gang = await rig.submit("gang", kind="gang", tasks=8, run_time=2.0)
                for n in range(later):
                    await rig.submit(f"short{n}", run_time=3.0)
                    await rig.submit(f"endless{n}", run_time=300.0)
                assert (await rig.finished(gang))["state"] == "done"
                starts.append(min(e.at for e in rig.starts if e.task.startswith(gang)))
                early = [e for e in rig.starts if e.at < starts[-1]]
                assert len(early) == 2 + later
                assert rig.violations == []
        assert starts[1] - starts[0] < 1.0

    @scenario
    async def test_job_that_never_gets_its_room_does_not_block_others_for_ever(self):
        async with Rig(workers=2).running() as rig:
            await rig.submit("service", kind="service", run_time=None, tasks=4)
            gang = await rig.submit("gang", kind="gang", tasks=8, run_time=2.0)
            job = await rig.submit("endless", run_time=900.0)
            await rig.advance(RESERVATION_PHASE_SECONDS / 2)
            assert await rig.state(job) == "pending"
            await rig.advance(RESERVATION_PHASE_SECONDS)
            assert await rig.state(job) == "running"
            assert await rig.state(gang) == "pending"


class TestLeaseTiming:
    @pytest.mark.parametrize("tasks", [0, 100, 1000, 2400])
    def test_reports_stay_within_their_budget(self, tasks):
        timing = lease_timing(tasks)
        assert tasks * REPORT_BYTES <= timing.period * REPORT_BYTES_PER_SECOND
        assert timing.lease >= 3 * timing.period + LAPSE_MARGIN_SECONDS
