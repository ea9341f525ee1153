"""Tests of reports of workers whose states this version does not know."""

from __future__ import annotations

from typing import Any

import pytest

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
