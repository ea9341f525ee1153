"""Counts and times the calls of one process to the placement advisor."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from ragworttiller.exceptions import PlatformUnavailable, Unreadable
from ragworttiller.metrics import Distribution
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.timers import TimerService


class AdviceOutcome(StrEnum):
    """Outcome of one call to the advisor.

    A call is ``refused`` if the answer has an error status, ``unreachable`` if no byte of it was
    sent, ``unanswered`` if no complete answer arrived in time, and ``cancelled`` if this process
    gave it up.
    """

    OK = "ok"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNANSWERED = "unanswered"
    UNREADABLE = "unreadable"
    CANCELLED = "cancelled"


# Only these show that the advisor has served the call, and has begun with the next one.
SERVED = frozenset({AdviceOutcome.OK, AdviceOutcome.UNREADABLE})


class AdvisorMeter:
    """Counts and times the calls of one process to the advisor, which serves them in turn.

    Load pattern: more calls than the advisor serves, or calls that fail; the wait for earlier calls
    and the duration by outcome tell which.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Attributes
    ----------
    durations : dict
        Duration of calls without their wait, by outcome.
    waits : Distribution
        What calls waited until the earlier ones of this process were answered.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._last_served_at = -math.inf
        self.durations: dict[tuple[str, ...], Distribution] = defaultdict(Distribution)
        self.waits = Distribution()

    @contextmanager
    def call(self) -> Iterator[None]:
        """Time one call, made in the context; its exceptions tell the outcome."""
        began_at = self._timers.now()
        outcome = AdviceOutcome.CANCELLED
        try:
            yield
            outcome = AdviceOutcome.OK
        except (NotSent, ExchangeBroken, Unreadable, PlatformUnavailable) as exc:
            outcome = _outcome(exc)
            raise
        finally:
            self._record(began_at, outcome)

    def _record(self, began_at: float, outcome: AdviceOutcome) -> None:
        now = self._timers.now()
        turn_at = max(began_at, self._last_served_at)
        self.waits.record(turn_at - began_at)
        self.durations[(str(outcome),)].record(now - turn_at)
        if outcome in SERVED:
            self._last_served_at = now


def _outcome(exc: Exception) -> AdviceOutcome:
    if isinstance(exc, NotSent):
        return AdviceOutcome.UNREACHABLE
    if isinstance(exc, ExchangeBroken):
        return AdviceOutcome.UNANSWERED
    if isinstance(exc, Unreadable):
        return AdviceOutcome.UNREADABLE
    return AdviceOutcome.REFUSED
