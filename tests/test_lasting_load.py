"""Seeded test that no lasting task is lost behind an advisor, in a cell that is nearly full."""

from __future__ import annotations

import pytest

from tests.lasting_load import LastingLoad

# 100 seconds of a hundred seeds and more are run by hand.
SECONDS = 45.0


class TestLastingLoad:
    @pytest.mark.parametrize("seed", [4, 14, 72])
    def test_no_lasting_task_waits_while_there_is_room_for_it_twice_over(self, seed: int):
        """Guards against entries that no call uses, or that other calls always take first."""
        load = LastingLoad(seed)
        load.run(SECONDS)
        assert load.judge.lost == {}
        assert load.jobs_failed_without_cause() == []
