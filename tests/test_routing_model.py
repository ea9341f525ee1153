"""Routing targets, tested on the seeded queueing model of the benchmark."""

from __future__ import annotations

import pytest

from bench.routing_model import CAPACITY, Scenario, simulate

SECONDS = 1.0


@pytest.fixture(scope="module")
def healthy():
    return simulate(Scenario("expected_wait", 0.8, seconds=SECONDS))


class TestTargets:
    @pytest.mark.parametrize("fault", ["slow", "paused", "entry lost"])
    def test_p99_with_a_fault_is_within_twice_the_healthy_one(self, healthy, fault):
        run = simulate(Scenario("expected_wait", 0.8, fault, once_share=0.1, seconds=SECONDS))
        assert run.p99 <= 2 * healthy.p99
        assert run.crossed == 0

    def test_goodput_in_overload_is_within_five_percent_of_capacity(self):
        run = simulate(Scenario("expected_wait", 1.5, seconds=SECONDS))
        assert run.goodput >= 0.95 * CAPACITY
        assert run.refused_p99 <= 10

    def test_retries_add_less_than_a_tenth_of_traffic(self):
        run = simulate(Scenario("expected_wait", 0.5, "third failing", seconds=SECONDS))
        assert 0 < run.attempts - run.requests < 0.1 * run.requests
