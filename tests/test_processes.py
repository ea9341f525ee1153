"""Tests of the cell of real processes."""

from __future__ import annotations

from pathlib import Path

import anyio

from standins.checker import check
from tools.plan import CellPlan, planned_workers
from tools.processes import Cell

PLAN = CellPlan(entries=0, workers=planned_workers(24), runners={"marking": 2, "booking": 2})


class TestCell:
    def test_no_process_or_file_is_left_behind(self):
        async def scenario():
            async with Cell(PLAN) as cell:
                await cell.drain_runner("marking-0")
                await cell.runner_faults("booking-1", slow=2.0)
                await cell.worker_faults("lg-00", fail_all=True)
                await cell.log_faults(lose_answers=1)
                history = await cell.history()
                assert check(history) == []
                assert len(history.capacities) == 48
                assert [drain.runner for drain in history.drains] == ["marking-0"]
                pids = [child.pid for child in cell._children]
                assert len(pids) == 4
            assert not any(Path(f"/proc/{pid}").exists() for pid in pids)
            assert not cell.directory.exists()

        anyio.run(scenario)
