"""Tests of the room kept free for urgent tasks."""

from __future__ import annotations

import math

import pytest

from ragworttiller.scheduling.decisions.cell_policies import default_policies
from ragworttiller.scheduling.decisions.headroom import (
    MAX_HOLD_SECONDS,
    ArrivalHeadroom,
    NoHeadroom,
    UpstreamRoom,
)
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.state.owned_cell import Cell
from tests.scheduling_rig import LEASE_SECONDS, QUEUE, CellRig, job_id, step

PATIENT = QUEUE._replace(
    name="patient", prefix="/p/", priority=2, slack_factor=4.0, target_latency=3.0
)
ROOM = UpstreamRoom("desk", 8000, 16000)
STEADY_SECONDS = 6.0


def urgent_wait(rig: CellRig) -> float:
    """Return the longest wait of urgent stages while a burst of patient tasks arrives."""
    ends: list[tuple[float, str, tuple]] = []
    waiting: dict[str, float] = {}
    longest, number, began = 0.0, 1, rig.now
    while rig.now < began + STEADY_SECONDS + 4.0:
        number += 1
        if number % 5 == 0:
            rig.submit(step(2, 1000, estimate_ms=350), job=job_id(number))
            waiting[job_id(number)] = rig.now
        if rig.now > began + STEADY_SECONDS:
            name = f"f{number:015x}"
            rig.submit(step(4, 1000, estimate_ms=8000), job=name, queue=PATIENT)
        for order in rig.start_all():
            run = order.run
            ends.append((rig.now + run.spec.estimate, run.runner, (run.task, run.number, "done")))
            if run.task.stage.job in waiting:
                longest = max(longest, rig.now - waiting.pop(run.task.stage.job))
        rig.now += 0.1
        for row in [row for row in ends if row[0] <= rig.now]:
            ends.remove(row)
            rig.hold(row[1], row[2])
        for name in rig.cell.runners:
            rig.hold(name)
    return max([longest, *(rig.now - since for since in waiting.values())])


class TestBurstOfPatientTasks:
    def test_urgent_tasks_find_room(self):
        rig = CellRig(4)
        assert urgent_wait(rig) < 0.5

    def test_the_baseline_lets_them_wait(self):
        rig = CellRig(4)
        policies = default_policies()._replace(headroom=NoHeadroom())
        takeover = rig.cell.takeover
        rig.cell = Cell(
            1, rig.jobs, rig.config, rig.listed, takeover, LEASE_SECONDS, policies=policies
        )
        rig.cell.refresh(rig.now, rig.now)
        for name in rig.cell.runners:
            rig.hold(name)
        rig.enroll(*rig.cell.runners)
        assert urgent_wait(rig) > 1.0


class TestArrivalHeadroom:
    INPUTS = OrderInputs(2, 100.0, 60.0, 10.0)

    @pytest.fixture()
    def policy(self) -> ArrivalHeadroom:
        policy = ArrivalHeadroom()
        for tenth in range(60):
            policy.record_arrival("desk", 0, 1000, 94.0 + tenth / 10)
        return policy

    def test_patient_tasks_leave_what_urgent_ones_need_soon(self, policy):
        assert policy.allowance(self.INPUTS, 0.0, ROOM, 100.0) == pytest.approx(5500, rel=0.1)

    def test_urgent_tasks_take_any_room(self, policy):
        urgent = self.INPUTS._replace(priority=0)
        assert policy.allowance(urgent, 0.0, ROOM, 100.0) == math.inf

    def test_lasting_tasks_take_any_room(self, policy):
        lasting = self.INPUTS._replace(lasts=True)
        assert policy.allowance(lasting, 0.0, ROOM, 100.0) == math.inf

    def test_no_stage_waits_longer_than_a_share_of_its_objective(self, policy):
        assert policy.allowance(self.INPUTS, MAX_HOLD_SECONDS + 0.1, ROOM, 100.0) == math.inf
        short = self.INPUTS._replace(objective=10.0)
        assert policy.allowance(short, 1.6, ROOM, 100.0) == math.inf

    def test_nothing_is_kept_where_no_urgent_task_arrives(self, policy):
        other = ROOM._replace(upstream="other")
        assert policy.allowance(self.INPUTS, 0.0, other, 100.0) == math.inf
        assert policy.allowance(self.INPUTS, 0.0, ROOM, 160.0) == pytest.approx(ROOM.free)

    def test_a_flood_of_urgent_tasks_keeps_a_bounded_share(self, policy):
        policy.record_arrival("desk", 0, 1_000_000, 100.0)
        assert policy.allowance(self.INPUTS, 0.0, ROOM, 100.0) == 4000
