"""Tests that the checker finds a breach of each promise and none in a clean run."""

from __future__ import annotations

import pytest

from ragworttiller.resources import Resources
from standins.agent import TaskEvent, Violation
from standins.checker import (
    AcceptedChange,
    CallerAnswer,
    ObservedVersion,
    PlannedStop,
    Promise,
    ReportedOutcome,
    RunHistory,
    RunnerDrain,
    check,
)
from standins.runner import ServedRequest

SMALL = Resources(1000, 1024, 0)
SERVED = ServedRequest("m-0", "r1", "k1", "POST", "/grade", "d1", 10.0, 10.1, 200)
CALLER_ANSWER = CallerAnswer(
    "r1", "k1", "POST", "d1", "e0", 9.9, 10.2, ReportedOutcome.ANSWER, 200, "", "r1", "k1", "d1"
)
START = TaskEvent(1.0, "w1", "j/0", 1, "start", SMALL)
END = TaskEvent(5.0, "w1", "j/0", 1, "done", SMALL)
CLEAN = RunHistory(
    served=[SERVED],
    events=[START, END, TaskEvent(5.0, "w2", "j/0", 2, "start", SMALL)],
    capacities={"w1": Resources(1500, 4096, 1), "w2": Resources(1500, 4096, 1)},
    answers=[CALLER_ANSWER],
    drains=[RunnerDrain("m-0", 6.0)],
    stops=[PlannedStop("e0", 10.0, 11.0, 0)],
    accepted=[AcceptedChange("ws/t", 7, 10.0)],
    observed=[
        ObservedVersion("e0", 1, "ws/t", 3, 13.0),
        ObservedVersion("e0", 1, "ws/t", 7, 14.5),
        ObservedVersion("e0", 2, "ws/t", 0, 13.0),
    ],
)


def second_task(limit):
    return [*CLEAN.events, TaskEvent(2.0, "w1", "j/1", 1, "start", limit)]


BREACHES = [
    (Promise.NO_OVERBOOKING, {"events": second_task(Resources(600, 1, 0))}),
    (Promise.NO_OVERBOOKING, {"events": second_task(Resources(1, 4000, 0))}),
    (Promise.NO_OVERBOOKING, {"events": second_task(Resources(1, 1, 2))}),
    (
        Promise.NO_OVERBOOKING,
        {"events": [*CLEAN.events, TaskEvent(6.0, "w2", "j/0", 2, "throttle", Resources(2000))]},
    ),
    (
        Promise.NO_OVERBOOKING,
        {"violations": [Violation(1.0, "w1", "j/0", 1, "2 allocated, 1 available")]},
    ),
    (Promise.ONE_PLACE, {"events": [START, TaskEvent(4.9, "w2", "j/0", 2, "start", SMALL), END]}),
    (Promise.ONE_PLACE, {"violations": [Violation(1.0, "w1", "j/0", 1, "already runs on w2")]}),
    (Promise.OWN_ANSWER, {"answers": [CALLER_ANSWER._replace(echo_request_id="r2")]}),
    (Promise.OWN_ANSWER, {"answers": [CALLER_ANSWER._replace(echo_key="k2", replayed=True)]}),
    (Promise.OWN_ANSWER, {"answers": [CALLER_ANSWER._replace(echo_digest="d2")]}),
    (Promise.NOT_RUN, {"answers": [CALLER_ANSWER._replace(reported=ReportedOutcome.NOT_RUN)]}),
    (Promise.AT_MOST_ONCE, {"served": [SERVED, SERVED._replace(request_id="r2", runner="m-1")]}),
    (Promise.LEAVING, {"drains": [RunnerDrain("m-0", 4.9)]}),
    (Promise.GRACEFUL_STOP, {"answers": [CALLER_ANSWER._replace(reported=ReportedOutcome.BROKEN)]}),
    (Promise.GRACEFUL_STOP, {"stops": [PlannedStop("e0", 10.0, 11.0, None)]}),
    (Promise.CONFIGURATION, {"observed": [ObservedVersion("e1", 1, "ws/t", 3, 14.1)]}),
    (
        Promise.CONFIGURATION,
        {
            "observed": [
                ObservedVersion("e1", 1, "ws/t", 9, 11.0),
                ObservedVersion("e1", 1, "ws/t", 8, 12.0),
            ]
        },
    ),
]


class TestChecker:
    def test_clean_run_has_no_breach(self):
        assert check(CLEAN) == []

    @pytest.mark.parametrize(("promise", "change"), BREACHES)
    def test_breach_is_found(self, promise, change):
        assert {breach.promise for breach in check(CLEAN._replace(**change))} == {promise}

    def test_every_promise_has_a_breach(self):
        assert {promise for promise, _ in BREACHES} == set(Promise)

    @pytest.mark.parametrize("reported", [ReportedOutcome.UNKNOWN, ReportedOutcome.BROKEN])
    def test_unknown_outcome_breaks_no_promise(self, reported):
        history = CLEAN._replace(answers=[CALLER_ANSWER._replace(reported=reported, entry="e1")])
        assert check(history) == []
