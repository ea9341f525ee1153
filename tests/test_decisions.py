"""Tests of the decision log and its metrics."""

from __future__ import annotations

import logging

import pytest

from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.metrics import Distribution, Metrics

CHOSEN = Decision("place", "j/0", "ws", [("w1", 1.0)], "w1", "best", 7, 0.5)


class TestDecisionLog:
    def test_each_decision_has_one_line_with_all_fields(self, caplog):
        decisions = DecisionLog(kept=2)
        with caplog.at_level(logging.INFO):
            for _ in range(3):
                decisions.record(CHOSEN)
        assert len(caplog.records) == decisions.count == 3
        assert all(vars(caplog.records[0])[k] == v for k, v in CHOSEN._asdict().items())
        assert decisions.recent == [CHOSEN, CHOSEN]

    def test_duration_of_a_decision_is_in_the_metrics(self):
        metrics = Metrics()
        decisions = DecisionLog(on_duration=metrics.record_decision)
        with decisions.measure_duration("place"):
            pass
        assert metrics.decisions["place"].count == 1
        assert b'ragworttiller_decision_seconds_count{kind="place"} 1.0' in metrics.exposition()


class TestDistribution:
    def test_quantiles_are_those_of_the_durations(self):
        distribution = Distribution()
        assert distribution.quantiles([0.5, 0.99]) == [0.0, 0.0]
        for milliseconds in range(1, 1001):
            distribution.record(milliseconds / 1000)
        assert distribution.quantiles([0.99, 0.5]) == pytest.approx([0.99, 0.5], rel=0.02)
