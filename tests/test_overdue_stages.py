"""Tests that no rule which protects the cell keeps a job from running for long in a quiet cell."""

from __future__ import annotations

import pytest

from tests.scheduling_rig import JOB, QUEUE, CellRig, job_id, step

# Time for which a job may have nothing running while there is room for it.
MAX_IDLE_SECONDS = 3.0
OTHER, THIRD = job_id(8), job_id(9)


def put_on_probation(rig: CellRig) -> None:
    """Let a job fail on each runner, and the suspensions that follow from it pass."""
    for runner in list(rig.cell.runners.values()):
        runner.suspend(rig.now)
    rig.pass_time(3.5)
    assert all(runner.on_probation for runner in rig.cell.runners.values())


def seconds_until_whole(rig: CellRig, job: str, tasks: int, limit: float = 30.0) -> float:
    """Return after how many seconds as many tasks of a job have started."""
    began, started = rig.now, 0
    while started < tasks and rig.now < began + limit:
        started += sum(order.run.task.stage.job == job for order in rig.start_all())
        if started < tasks:
            rig.pass_time(0.25)
    return rig.now - began


def fail_on_all_runners(rig: CellRig, job: str) -> None:
    """Play a job whose tasks fail until it is given up, as a job that can never be done."""
    rig.submit(step(3 * len(rig.cell.runners)), job=job)
    began = rig.now
    while not rig.cell.jobs[job].state and rig.now < began + 20.0:
        for order in rig.start_all():
            rig.now += 0.01
            rig.hold(order.run.runner, (order.run.task, order.run.number, "failed"))
        rig.cell.take_changes()
        rig.cell.jobs[job].update_final_state()
        rig.pass_time(0.25)
    assert rig.cell.jobs[job].state == "failed"


class TestProbation:
    def test_a_gang_wider_than_the_cell_starts_though_all_runners_are_on_probation(self):
        """Guards against a gang that waits for ever for probes that nothing starts."""
        rig = CellRig(3)
        put_on_probation(rig)
        rig.submit(step(5, gang=True))
        assert seconds_until_whole(rig, JOB, 5) < MAX_IDLE_SECONDS

    def test_a_gang_starts_after_a_job_that_can_never_be_done(self):
        """Guards against a gang that waits for ever on runners that have failed nothing else."""
        rig = CellRig(3)
        fail_on_all_runners(rig, OTHER)
        rig.submit(step(5, gang=True))
        assert seconds_until_whole(rig, JOB, 5) < 14.0

    def test_long_probes_keep_no_short_job_from_their_runners(self):
        """Guards against a short job that waits for the end of a long batch in an empty cell."""
        rig = CellRig(3)
        put_on_probation(rig)
        rig.submit(step(3, estimate_ms=90_000), job=OTHER)
        assert len(rig.start_all()) == 3
        rig.submit(step(1))
        assert seconds_until_whole(rig, JOB, 1) < MAX_IDLE_SECONDS

    def test_a_long_probe_that_works_on_ends_the_probation(self):
        rig = CellRig(1)
        put_on_probation(rig)
        rig.submit(step(4, estimate_ms=90_000))
        assert len(rig.start_all()) == 1
        rig.pass_time(3.0)
        assert rig.start_all() == []
        assert seconds_until_whole(rig, JOB, 3) < MAX_IDLE_SECONDS

    def test_a_probe_has_to_outlive_the_runs_that_failed_there(self):
        """Guards against a runner that fails each task late, and gets many at once again."""
        rig = CellRig(1)
        rig.submit(step(2, estimate_ms=90_000), job=OTHER)
        orders = rig.start_all()
        rig.pass_time(6.0)
        rig.hold("w1", *[(order.run.task, order.run.number, "failed") for order in orders])
        rig.cancel(OTHER)
        rig.pass_time(3.5)
        rig.submit(step(4, estimate_ms=90_000))
        assert len(rig.start_all()) == 1
        rig.pass_time(11.0)
        assert rig.start_all() == []
        rig.pass_time(2.0)
        assert len(rig.start_all()) == 3

    def test_a_probe_without_progress_ends_no_probation(self, monkeypatch: pytest.MonkeyPatch):
        rig = CellRig(1)
        put_on_probation(rig)
        monkeypatch.setattr(rig, "percent", lambda name, run: 0.0)
        rig.submit(step(4, estimate_ms=900_000))
        assert len(rig.start_all()) == 1
        rig.pass_time(10.0)
        assert rig.cell.runners["w1"].on_probation

    def test_a_failed_task_tries_a_runner_on_probation_while_a_long_run_fills_the_others(self):
        """Guards against a task that waits for the end of a long run beside an empty runner."""
        rig = CellRig(2)
        rig.submit(step(1, 4000, estimate_ms=90_000), job=OTHER)
        (long,) = rig.start_all()
        (free,) = {"w1", "w2"} - {long.run.runner}
        rig.submit(step(1))
        (order,) = rig.start_all()
        rig.hold(free, (order.run.task, order.run.number, "failed"))
        rig.cell.runners[free].suspend(rig.now)
        rig.pass_time(3.5)
        assert seconds_until_whole(rig, JOB, 1) < 10.5

    def test_a_gang_joins_probes_in_a_busy_cell_too_but_later(self):
        rig = CellRig(4)
        rig.submit(step(4, 2500, estimate_ms=90_000), job=OTHER)
        rig.start_all()
        put_on_probation(rig)
        rig.submit(step(5, gang=True, cpu=500))
        assert 5.0 < seconds_until_whole(rig, JOB, 5) < 14.0

    def test_a_busy_cell_keeps_to_one_probe_at_a_time(self):
        """Guards against a load that goes to runners which fail all that they start."""
        rig = CellRig(4)
        rig.submit(step(9, estimate_ms=90_000), job=OTHER)
        rig.start_all()
        rig.cell.runners["w4"].suspend(rig.now)
        rig.pass_time(3.5)
        rig.submit(step(8, 2500), job=THIRD)
        started = rig.start_all()
        rig.pass_time(2.5)
        started += rig.start_all()
        assert [order.run.runner for order in started].count("w4") <= 1


class TestQuietCell:
    @pytest.mark.parametrize(("memory", "quiet"), [(100, True), (5000, False)])
    def test_a_cell_is_quiet_for_a_job_only_if_all_that_it_needs_is(self, memory: int, quiet: bool):
        """Guards against jobs that wait for memory and take what is kept for others."""
        rig = CellRig(3)
        rig.submit(step(3, 100, mem_mb=memory, anti_affinity=1, estimate_ms=90_000), job=OTHER)
        assert len(rig.start_all()) == 3
        put_on_probation(rig)
        rig.submit(step(5, gang=True))
        assert (seconds_until_whole(rig, JOB, 5) < MAX_IDLE_SECONDS) == quiet


class TestHeldBack:
    def test_a_gang_that_cannot_start_holds_back_no_job_of_a_quiet_cell(self):
        """Guards against jobs that wait for as long as one gang after the other waits."""
        rig = CellRig(4)
        rig.add_runner("w5", labels=("b",))
        rig.submit(step(1, 3500, requires="b", estimate_ms=90_000), job=OTHER)
        rig.start_all()
        rig.submit(step(8, gang=True, requires="b", cpu=500, estimate_ms=60_000), job=THIRD)
        rig.pass_time(0.25)
        rig.plan()
        rig.pass_time(2.25)
        rig.plan()
        rig.submit(step(1), queue=QUEUE._replace(prefix="/p/", priority=1))
        assert seconds_until_whole(rig, JOB, 1) < MAX_IDLE_SECONDS
