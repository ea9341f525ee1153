"""Tests that a lasting task runs again whenever there is room for it, whatever else waits."""

from __future__ import annotations

from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.scheduling_rig import CellRig, job_id, step

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
