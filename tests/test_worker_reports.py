"""Tests of reports of workers whose states this version does not know."""

from __future__ import annotations

from typing import Any

import pytest

from ragworttiller.services.directory import Listing
from ragworttiller.services.worker import TaskReport
from tests.cell_rig import Rig, scenario


def rename_running(rig: Rig, state: str) -> None:
    """Make all workers report running tasks in another state."""
    for worker in rig.fleet.workers.values():
        renew = worker.agent.renew

        def renamed(lease: float, renew: Any = renew) -> list[TaskReport]:
            reports = renew(lease)
            return [r._replace(state=state) if r.state == "running" else r for r in reports]

        worker.agent.renew = renamed  # type: ignore[method-assign]


class TestUnknownStates:
    @pytest.mark.parametrize("state", ["stopping", "paused", ""])
    @scenario
    async def test_an_unknown_state_does_not_prove_that_a_task_has_ended(self, state):
        async with Rig(workers=2).running() as rig:
            rename_running(rig, state)
            job = await rig.submit("job", tasks=2, run_time=10.0)
            assert (await rig.finished(job))["state"] == "done"
            assert len(rig.starts) == 2
            assert rig.violations == []


class TestListing:
    @scenario
    async def test_a_list_that_was_not_read_does_not_prove_that_a_worker_is_gone(self):
        async with Rig(workers=2).running() as rig:
            await rig.submit("job", idempotent=False, run_time=100.0)
            await rig.advance(1.0)
            rig.fleet.workers[rig.starts[0].worker].down = True
            rig.listing = Listing([], [], [])
            await rig.advance(60.0)
            rig.list_workers()
            await rig.advance(5.0)
            assert len(rig.starts) == 1

    @scenario
    async def test_a_list_that_omits_a_worker_once_does_not_prove_that_it_is_gone(self):
        async with Rig(workers=2).running() as rig:
            await rig.submit("job", idempotent=False, run_time=100.0)
            await rig.advance(1.0)
            worker = rig.starts[0].worker
            rig.fleet.workers[worker].down = True
            await rig.advance(30.0)
            state = rig.states.pop(worker)
            rig.list_workers()
            await rig.advance(5.0)
            rig.states[worker] = state
            rig.list_workers()
            await rig.advance(5.0)
            assert len(rig.starts) == 1

    @scenario
    async def test_a_task_runs_elsewhere_once_its_worker_is_declared_gone(self):
        async with Rig(workers=2).running() as rig:
            await rig.submit("job", idempotent=False, run_time=100.0)
            await rig.advance(1.0)
            rig.remove_worker(rig.starts[0].worker)
            await rig.advance(40.0)
            assert len(rig.starts) == 2
            assert rig.violations == []
