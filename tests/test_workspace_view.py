"""Tests of what operators see of workspaces, and of the refusal of gangs beyond a cap."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import GangExceedsCap
from ragworttiller.metrics import Metrics
from ragworttiller.platform.configuration import Configuration
from ragworttiller.resources import Resources
from ragworttiller.scheduling.entry.acceptance import Target
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.stage_waits import WaitReason
from ragworttiller.scheduling.state.workspace_view import REST, largest_and_rest, workspaces
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.entry_rig import EntryRig, with_entry
from tests.scheduling_rig import JOB, QUEUE, CellRig, job_body, job_id, step


def workspace(name: str, cpu: int = 0, weight: float = 100.0) -> Workspace:
    """Return a workspace with a cap; 0 is no limit."""
    return Workspace(name, frozenset(), weight, Resources(cpu))


def wait(rig: CellRig, job: str = JOB) -> str:
    """Return the wait reason of the first stage of a job."""
    return CellView(rig.cell).stages(job, rig.now, rig.now)[0]["wait"]


class TestWaitReasons:
    def test_a_stage_held_by_its_cap(self):
        rig = CellRig(2)
        rig.configure(workspace("a", 1000))
        rig.submit(step(2), workspace="a")
        rig.start_all()
        assert wait(rig) == WaitReason.CAP

    def test_no_room_for_a_workspace_above_its_share(self):
        rig = CellRig(1)
        rig.configure(workspace("a"), workspace("b"))
        rig.submit(step(5), workspace="a")
        rig.submit(step(1), job=job_id(1), workspace="b")
        rig.start_all()
        rig.plan()
        assert wait(rig) == WaitReason.SHARE
        assert wait(rig, job_id(1)) == WaitReason.NO_ROOM

    def test_no_room_for_a_job_beyond_the_weight(self):
        rig = CellRig(1)
        rig.configure(workspace("a", weight=1.0), workspace("b", weight=0.01))
        rig.submit(step(4), job=job_id(1), workspace="a")
        rig.submit(step(1), workspace="a")
        rig.start_all()
        assert wait(rig) == WaitReason.SHARE


class TestWorkspaces:
    def test_use_share_and_waiting_jobs(self):
        rig = CellRig(2)
        rig.configure(workspace("a", 2000, 1.0), workspace("b"))
        rig.submit(step(3), workspace="a")
        rig.submit(step(1), job=job_id(1), workspace="a")
        rig.start_all()
        first, second = workspaces(rig.cell)
        assert first["workspace"] == "a" and second["workspace"] == "b"
        assert first["used"] == Resources(2000, 200)
        assert first["unseen"] == Resources()
        assert first["cap"] == Resources(2000)
        assert first["share"] == 0.25
        assert (first["waiting"], first["beyond"]) == (2, 1)
        assert second["waiting"] == 0


class TestMetrics:
    def test_labels_are_bounded(self):
        values = {f"w{n:03d}": float(n) for n in range(200)}
        shown = largest_and_rest(values)
        assert len(shown) == 11
        assert shown["w199"] == 199.0
        assert sum(shown.values()) == sum(values.values())
        assert REST in shown

    def test_the_page_has_a_line_for_each_label(self):
        metrics = Metrics()
        metrics.gauge_by_label("use", "Use.", "workspace", lambda: {"a": 2.0})
        assert b'ragworttiller_use{workspace="a"} 2.0' in metrics.exposition()


class TestGangsAtSubmission:
    def test_a_gang_larger_than_the_cap_is_refused_and_not_stored(self):
        async def body(rig: EntryRig):
            rows = (workspace("a", 2000),)
            rig.config.put_in_force(Configuration(9, (QUEUE,), 10_000, rows))
            gang = job_body(step(3, gang=True))
            with pytest.raises(GangExceedsCap) as caught:
                await rig.acceptance.submit(Target(QUEUE, JOB, "a"), gang, 1.0)
            assert caught.value.status == 422
            assert rig.stored() == []
            await rig.acceptance.submit(Target(QUEUE, JOB, "b"), gang, 1.0)
            assert rig.stored() == [JOB]

        with_entry(body)

    def test_a_large_task_is_accepted(self):
        async def body(rig: EntryRig):
            rows = (workspace("a", 2000),)
            rig.config.put_in_force(Configuration(9, (QUEUE,), 10_000, rows))
            await rig.acceptance.submit(Target(QUEUE, JOB, "a"), job_body(step(4, 3000)), 1.0)
            assert rig.stored() == [JOB]

        with_entry(body)
