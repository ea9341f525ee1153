"""Tests of the time that an owner leaves between its planning passes."""

from __future__ import annotations

import pytest

from ragworttiller.scheduling.decisions.pass_pace import (
    MIN_INTERVAL_SECONDS,
    FixedPause,
    ProportionalPause,
)


class TestProportionalPause:
    @pytest.mark.parametrize("seconds", [0.01, 0.1, 0.3])
    def test_a_pass_takes_half_of_the_time_at_most(self, seconds):
        assert ProportionalPause().pause_after(seconds) == pytest.approx(seconds)
        assert FixedPause().pause_after(seconds) < seconds

    def test_short_passes_do_not_follow_each_other_at_once(self):
        assert ProportionalPause().pause_after(0.0) == MIN_INTERVAL_SECONDS

    def test_an_owner_that_was_paused_in_a_pass_does_not_wait_for_as_long_again(self):
        assert ProportionalPause().pause_after(5.0) < 0.5
