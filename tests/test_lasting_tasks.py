"""Tests that a lasting task runs again whenever there is room for it, whatever else waits."""

from __future__ import annotations

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.scheduling_rig import QUEUE, CellRig, job_id, step

LASTING = QUEUE._replace(name="lasting", prefix="/l/", priority=2)
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
