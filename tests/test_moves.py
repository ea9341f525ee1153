"""Tests of stragglers that are stopped at a checkpoint to go on elsewhere."""

from __future__ import annotations

import pytest

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.moves import CheckpointedMoves
from ragworttiller.scheduling.decisions.straggler_policy import RunOutlook
from ragworttiller.scheduling.records.formats import JobState
from ragworttiller.scheduling.state.jobs import StepSpec, TaskId
from ragworttiller.scheduling.state.runs import Run
from tests.copies_rig import CopyRig
from tests.scheduling_rig import JOB, job_id, step, task

SLOW_SECONDS = 40.0
USUAL_SECONDS = 2.0


def saving(count: int = 4, **fields: object) -> dict[str, object]:
    """Return a step of tasks that save checkpoints."""
    fields = {"anti_affinity": 1, "checkpoints": True, "estimate_ms": 2000, **fields}
    return step(count, **fields)


def rig_with_slow(slow: int = 1, moves: str = "checkpointed", **fields: object) -> CopyRig:
    """Return a rig with lasting tasks on all runners, of which the first are slow."""
    rig = CopyRig(moves=moves)
    for number, machine in enumerate(rig.machines.values()):
        machine.seconds = SLOW_SECONDS if number < slow else USUAL_SECONDS
    # At 2% of the running tasks, moves need 50 of them.
    rig.submit(step(72, daemon=True, anti_affinity=3), job=job_id(9))
    rig.advance(0.2)
    rig.submit(saving(**fields))
    return rig


def moved(rig: CopyRig) -> list[tuple[float, TaskId]]:
    """Return the time and task of each first stop order of a move."""
    rows = {(s.run.task, s.run.number): at for at, s in reversed(rig.stops) if "moves" in s.reason}
    return sorted((at, key[0]) for key, at in rows.items())


def seconds_until_complete(rig: CopyRig, limit: float = 60.0) -> float:
    began = rig.now
    while rig.jobs.jobs[JOB].state != JobState.COMPLETED and rig.now - began < limit:
        rig.advance(0.1)
    return round(rig.now - began, 1)


class TestLoad:
    def test_a_straggler_goes_on_from_its_checkpoint_elsewhere(self):
        # Left alone, the task on the slow runner takes 40 s.
        assert seconds_until_complete(rig_with_slow(moves="none", count=6)) > 39.0
        rig = rig_with_slow(count=6)
        stage = rig.cell.jobs[JOB].stages[task().stage]
        assert seconds_until_complete(rig) < 12.0
        assert sum(stage.moves.values()) == 1
        assert rig.violations == []

    def test_few_runs_move_at_a_time(self):
        # A dozen stragglers at once: more than 2% of the runs in 5 s must not be stopped.
        rig = rig_with_slow(slow=12, count=24)
        running = 72 + 24
        rig.advance(20.0)
        times = [at for at, _ in moved(rig)]
        assert len(times) > 1
        most = max(sum(at <= other < at + 5.0 for other in times) for at in times)
        assert most <= 0.02 * running

    def test_no_run_moves_while_fifty_tasks_run(self):
        rig = CopyRig()
        rig.machines["w1"].seconds = SLOW_SECONDS
        rig.submit(saving())
        rig.advance(10.0)
        assert moved(rig) == []

    def test_a_task_moves_at_most_once(self):
        rig = rig_with_slow(slow=4, count=10)
        rig.advance(5.0)
        for machine in rig.machines.values():
            machine.seconds = SLOW_SECONDS
        rig.advance(30.0)
        tasks = [name for _, name in moved(rig)]
        assert tasks
        assert len(tasks) == len(set(tasks))

    @pytest.mark.parametrize(
        "fields",
        [
            {"checkpoints": False},
            {"daemon": True},
            {"gang": True},
            {"fills": True},
            {"speculative": True},
        ],
    )
    def test_other_tasks_are_never_moved(self, fields):
        rig = rig_with_slow(slow=4, count=10, **fields)
        rig.advance(12.0)
        assert moved(rig) == []

    def test_a_run_stays_while_others_wait_for_room(self):
        rig = rig_with_slow(slow=4, count=10)
        rig.advance(1.0)
        rig.submit(step(200, 1000, estimate_ms=60_000), job=job_id(2))
        rig.advance(0.2)
        assert any(stage.waiting for stage in rig.cell.jobs[job_id(2)].stages.values())
        for machine in rig.machines.values():
            machine.seconds = max(machine.seconds, 30.0)
        rig.advance(8.0)
        assert moved(rig) == []

    def test_a_successor_lets_a_moving_task_go_on(self):
        rig = rig_with_slow(slow=4, count=10)
        for _ in range(100):
            if not moved(rig):
                rig.advance(0.1)
        assert moved(rig)
        rig.replace_owner()
        assert seconds_until_complete(rig) < 45.0
        assert rig.violations == []


class TestCheckpointedMoves:
    @pytest.mark.parametrize(("seconds", "pays"), [(5.0, True), (19.0, False)])
    def test_a_move_pays_only_with_enough_left_to_do(self, seconds, pays):
        # The run does a twentieth of its work in a second; stop and restore take 1.15 s.
        run = Run(task(), 1, "w1", StepSpec(4, Resources(1000, 0, 0), estimate=2.0), 0.0)
        run.observe(5 * seconds, "c", 0.0, seconds)
        outlook = RunOutlook(run, 2.0, None, False)
        assert CheckpointedMoves(0.9, 0.25).pays(outlook, 1.0, seconds) == pays
