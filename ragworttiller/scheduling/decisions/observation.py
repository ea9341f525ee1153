"""Decides when a runner is asked for its ended runs beside the long poll that is open to it."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import RunState

# Time after the expected end of a run by which an intact long poll has usually reported it.
CALM_MARGIN_SECONDS = 0.25
DISTURBED_MARGIN_SECONDS = 0.06
# The same while no long poll is possible, because earlier ends are not stored yet.
RECORDING_MARGIN_SECONDS = 0.03
DISTURBED_SECONDS = 10.0
MIN_LOOK_INTERVAL_SECONDS = 0.1
# An overdue run is looked at again after this share of the time that it is overdue.
OVERDUE_INTERVAL_SHARE = 0.25


class ObservationPolicy(ABC):
    """Chooses when to look at a runner whose long poll may not report an ended run in time."""

    @abstractmethod
    def look_due(self, runner: RunnerState, now: float) -> bool:
        """Return whether the runner is to be asked now, without waiting for an end.

        Parameters
        ----------
        runner : RunnerState
            Runner that no other look is in flight to.
        now : float
            Time in seconds.
        """

    def record_unanswered(self, now: float) -> None:  # noqa: B027
        """Record that some runner has not answered an order in time."""


class LongPollOnly(ObservationPolicy):
    """Rely on the long polls; the baseline."""

    @override
    def look_due(self, runner: RunnerState, now: float) -> bool:
        return False


class ExpectedEnds(ObservationPolicy):
    """Look at a runner shortly after a run on it should have ended without being reported.

    Load pattern: a burst of short runs while some orders stay unanswered or the store is slow. A
    long poll that is lost reports nothing until its timeout, and none can be opened while ends
    wait to be stored, so that short runs would be noticed in batches. Looks cost a call each; they
    follow the expected ends, and come sooner only while orders were seen to go unanswered.
    """

    def __init__(self) -> None:
        self._unanswered_at = float("-inf")

    @override
    def look_due(self, runner: RunnerState, now: float) -> bool:
        if not runner.has_answered or runner.lost:
            return False
        end = next_expected_end(runner)
        if end is None:
            runner.next_look_at = float("inf")
            return False
        # No margin is shorter, so the runs are not looked at again before.
        runner.next_look_at = end + RECORDING_MARGIN_SECONDS
        overdue = max(now - end, 0.0)
        interval = max(MIN_LOOK_INTERVAL_SECONDS, OVERDUE_INTERVAL_SHARE * overdue)
        last_asked_at = max(runner.last_answer_at, runner.last_look_at)
        return now >= max(end + self._margin(runner, now), last_asked_at + interval)

    @override
    def record_unanswered(self, now: float) -> None:
        self._unanswered_at = now

    def _margin(self, runner: RunnerState, now: float) -> float:
        if runner.has_unrecorded_ends:
            return RECORDING_MARGIN_SECONDS
        if now - self._unanswered_at < DISTURBED_SECONDS:
            return DISTURBED_MARGIN_SECONDS
        return CALM_MARGIN_SECONDS


def next_expected_end(runner: RunnerState) -> float | None:
    """Return the earliest time at which a run of a runner should end, None if none should."""
    ends = [
        run.expected_end
        for run in runner.runs.values()
        if run.state is RunState.RUNNING and not run.spec.daemon
    ]
    return min(ends, default=None)
