"""Counts and times the calls of one process to the platform's store."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import NamedTuple

from ragworttiller.exceptions import AppendUndecided, LogUnavailable, RagworttillerError
from ragworttiller.metrics import Distribution
from ragworttiller.timers import TimerService


class AppendOutcome(StrEnum):
    """Outcome of one append call.

    A call is ``rejected`` if the partition's end, the epoch or the sequence number stands against
    it, and ``cancelled`` if another call of the same append was answered first.
    """

    OK = "ok"
    REFUSED = "refused"
    REJECTED = "rejected"
    UNDECIDED = "undecided"
    CANCELLED = "cancelled"


class AppendNumber(NamedTuple):
    """Sequence number of an append; calls with the same one are repetitions."""

    producer: str
    epoch: int
    sequence: int


class StoreMeter:
    """Counts and times the calls of one process to the store, whatever they carry.

    Load pattern: a slow or refusing store; the duration by topic and outcome tells which.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Attributes
    ----------
    durations : dict
        Duration of append calls, by topic and outcome.
    repeated : Counter
        Append calls that repeated an earlier one, by topic.
    reads_refused, reads_unanswered : Counter
        Reads that the store refused, and those without an answer, by topic.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._next_call = 0
        self._in_flight: dict[int, tuple[str, float]] = {}
        self._last_numbers: dict[tuple[str, str], AppendNumber] = {}
        self.durations: dict[tuple[str, ...], Distribution] = defaultdict(Distribution)
        self.repeated = Counter[str]()
        self.reads_refused = Counter[str]()
        self.reads_unanswered = Counter[str]()

    def in_flight_seconds(self) -> dict[str, float]:
        """Return for how long the oldest append call of each topic has had no result."""
        now = self._timers.now()
        seconds = {labels[0]: 0.0 for labels in self.durations}
        for topic, began_at in self._in_flight.values():
            seconds[topic] = max(seconds.get(topic, 0.0), now - began_at)
        return seconds

    @contextmanager
    def append(self, topic: str, number: AppendNumber | None) -> Iterator[None]:
        """Time one append call, made in the context; its exceptions tell the outcome."""
        self._count_repetition(topic, number)
        call, began_at = self._next_call, self._timers.now()
        self._next_call += 1
        self._in_flight[call] = topic, began_at
        outcome = AppendOutcome.CANCELLED
        try:
            yield
            outcome = AppendOutcome.OK
        except RagworttillerError as exc:
            outcome = _outcome(exc)
            raise
        finally:
            del self._in_flight[call]
            self.durations[topic, str(outcome)].record(self._timers.now() - began_at)

    def _count_repetition(self, topic: str, number: AppendNumber | None) -> None:
        if number is None:
            return
        if self._last_numbers.get((topic, number.producer)) == number:
            self.repeated[topic] += 1
        self._last_numbers[topic, number.producer] = number


def _outcome(exc: RagworttillerError) -> AppendOutcome:
    if isinstance(exc, LogUnavailable):
        return AppendOutcome.REFUSED
    if isinstance(exc, AppendUndecided):
        return AppendOutcome.UNDECIDED
    return AppendOutcome.REJECTED
