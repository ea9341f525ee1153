"""Time that an owner leaves between its planning passes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

MIN_INTERVAL_SECONDS = 0.004
# Share of the owner's time that planning passes may take.
MAX_PLANNING_SHARE = 0.5
# A pass that seems to have taken longer was interrupted by a pause of the process.
MAX_PAUSE_SECONDS = 0.4


class PassPace(ABC):
    """Chooses when the next planning pass may begin."""

    @abstractmethod
    def pause_after(self, pass_seconds: float) -> float:
        """Return the seconds to wait after a pass that took ``pass_seconds``."""


class FixedPause(PassPace):
    """Wait equally long after each pass; the baseline."""

    @override
    def pause_after(self, pass_seconds: float) -> float:
        return MIN_INTERVAL_SECONDS


class ProportionalPause(PassPace):
    """Leave as much time to all other work as the pass took.

    Load pattern: a burst makes the passes long and each answer of a runner asks for another one.
    One after the other, they would hold back orders, answers and renewals, which makes the queue
    longer and the passes with it. With less frequent passes, each places more tasks at once.
    """

    @override
    def pause_after(self, pass_seconds: float) -> float:
        pause = pass_seconds * (1 - MAX_PLANNING_SHARE) / MAX_PLANNING_SHARE
        return min(max(pause, MIN_INTERVAL_SECONDS), MAX_PAUSE_SECONDS)
