"""Crashes of runners in a cell, and what is recorded of them under tasks."""

from __future__ import annotations

from collections.abc import Sequence

from ragworttiller.scheduling.records.formats import (
    PROGRESS_SUFFIX,
    Blame,
    Claim,
    Crash,
    Loss,
    Withdrawn,
    decode_bitmap,
    encode,
)
from ragworttiller.scheduling.state.runs import Stage
from tests.scheduling_rig import JOB, LEASE_SECONDS, CellRig, step, task


def crash(blame: Blame, runner: str = "w1", seconds: float = 0.01) -> Crash:
    """Return a crash under a task that had run for some seconds."""
    return Crash(runner, seconds, str(blame))


def stage_of(rig: CellRig, job: str = JOB) -> Stage:
    """Return the first stage of a job."""
    return rig.cell.jobs[job].stages[task(job=job).stage]


def crash_runner(rig: CellRig, runner: str) -> None:
    """Apply that a runner refuses calls, and that another boot answers three seconds later."""
    rig.cell.pool.record_no_answer(rig.cell.runners[runner], rig.now, refused=True)
    rig.now += 3.0
    for name in list(rig.cell.runners):
        if name != runner:
            rig.cell.runners[name].grant_lease(rig.now, LEASE_SECONDS)
            rig.hold(name)
    rig.end_boot(runner)


def answer_in_place_of(rig: CellRig, runner: str) -> None:
    """Apply the first answer of another boot at the address of a runner."""
    rig.list_runner(f"{runner}-again", address=f"{runner}:1")
    rig.hold(f"{runner}-again")


def progress_with(rig: CellRig, trials: dict[int, str], losses: list[Loss]) -> bytes:
    """Return the stored progress of a job whose task was tried by an earlier owner."""
    stage = Stage(task().stage, rig.cell.jobs[JOB].spec.steps[0])
    stage.crashes[0] = [crash(Blame.LATEST, "w0")]
    row = stage.progress()._replace(trials=trials, losses={0: losses} if losses else {})
    assert decode_bitmap(row.done) == set()
    return encode(rig.cell.jobs[JOB].progress()._replace(stages=[row]))


def second_owner(
    *withdrawn: Withdrawn, trials: dict[int, str], losses: Sequence[Loss] = ()
) -> CellRig:
    """Return the cell of a second owner with one older job, whose task may have been tried."""
    claim = Claim("e1", 1, 1, 0, ["w1", "w2"], list(withdrawn), {})
    rig = CellRig(0, claim, accepted_before=100)
    rig.submit(step(1))
    value = progress_with(rig, trials, list(losses))
    rig = CellRig(0, claim, accepted_before=100)
    rig.store(JOB + PROGRESS_SUFFIX, value)
    rig.submit(step(1))
    return rig
