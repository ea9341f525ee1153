"""Tests of runners that start again under the identifier that they had."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.records.formats import JobState
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import job_id, step

EARLIER, LATER = job_id(1), job_id(2)


async def restart(rig: OwnersRig, machine: str, seconds: float):
    """Crash a runner; it returns under its identifier, knows nothing, and counts from 1 again."""
    rig.machines[machine].refuses = True
    rig.machines[machine].crash()
    await rig.timers.sleep(seconds)
    rig.boot(machine, machine)


async def run_ends(rig: OwnersRig, job: str, count: int):
    """Run a job, so that its runner counts some ends."""
    await rig.submit(job, step(count))
    await rig.wait_completed(job)
    await rig.timers.sleep(1.0)


class TestEndsAfterARestart:
    """The first boot has counted more ends than the second one will."""

    @pytest.mark.parametrize("seconds", [0.05, 0.3, 1.0, 3.0, 8.0])
    def test_the_end_of_a_run_is_not_taken_for_one_of_the_boot_before(self, seconds: float):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await run_ends(rig, EARLIER, 8)
            await restart(rig, "w1", seconds)
            await rig.timers.sleep(2.0)
            await rig.submit(LATER, step(3))
            await rig.wait_completed(LATER, within=20.0)
            assert rig.monitor.violations == []

        with_rig(body, runners=1, keeps_ids=True)

    @pytest.mark.parametrize("seconds", [0.05, 1.0, 3.0])
    def test_a_task_that_has_ended_is_not_started_again_by_the_next_owner(self, seconds: float):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await run_ends(rig, EARLIER, 8)
            await restart(rig, "w1", seconds)
            await rig.timers.sleep(2.0)
            await rig.submit(LATER, step(3))
            await rig.timers.sleep(3.0)
            owner = rig.owner
            assert owner is not None
            rig.kill(owner.name)
            await rig.wait_completed(LATER, within=30.0)
            assert rig.monitor.violations == []

        with_rig(body, runners=1, keeps_ids=True)

    @pytest.mark.parametrize("seconds", [0.0, 0.05, 0.12, 0.5])
    def test_a_task_in_progress_at_the_restart_runs_once_more(self, seconds: float):
        async def body(rig: OwnersRig):
            await start_entries(rig)
            await run_ends(rig, EARLIER, 8)
            rig.work_by_job[LATER] = 2.0
            await rig.submit(LATER, step(2))
            await rig.timers.sleep(0.7)
            await restart(rig, "w1", seconds)
            await rig.wait_completed(LATER, within=40.0)
            assert rig.monitor.violations == []
            assert await rig.states([LATER]) == [JobState.COMPLETED]

        with_rig(body, runners=2, keeps_ids=True)


class TestForgottenFence:
    def test_a_replaced_owner_starts_nothing_on_a_runner_that_has_forgotten_the_next_one(self):
        """Cut off from the store and from all else, it acts for its term on what it last knew."""

        async def body(rig: OwnersRig):
            await start_entries(rig)
            rig.peers_cut = True
            rig.work_by_job = {EARLIER: 2.6, LATER: 6.0}
            await rig.submit(EARLIER, step(8))
            await rig.timers.sleep(0.5)
            await rig.submit(LATER, step(3))
            await rig.timers.sleep(0.5)
            first = rig.owner
            assert first is not None
            for link in [first.store_link, *map(first.link, rig.machines)]:
                link.cut = True
            await rig.timers.sleep(2.6)
            second = next(e for e in rig.entries.values() if e is not first and e.host.owner)
            second.link("w1").cut = True
            rig.machines["w1"].refuses = True
            rig.machines["w1"].crash()
            rig.boot("w1", "w1")
            first.link("w1").cut = False
            await rig.timers.sleep(6.0)
            second.link("w1").cut = False
            assert rig.monitor.violations == []
            await rig.wait_completed(EARLIER, LATER, within=60.0)
            assert rig.monitor.violations == []

        with_rig(body, runners=2, keeps_ids=True)
