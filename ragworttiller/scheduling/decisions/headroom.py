"""Keeps room free for urgent tasks that are about to arrive, at the expense of patient ones."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.scheduling.decisions.queue_order import OrderInputs

RATE_WINDOW_SECONDS = 3.0
# Time for which the room kept free lasts at the observed rate of urgent arrivals.
COVER_SECONDS = 0.3
MAX_CAPACITY_SHARE = 0.25
MAX_HOLD_SECONDS = 4.0
# Share of its objective for which a stage waits at most.
MAX_OBJECTIVE_SHARE = 0.15


class UpstreamRoom(NamedTuple):
    """Free processor time and capacity of an upstream's runners, in thousandths of a core."""

    upstream: str
    free: int
    capacity: int


class HeadroomPolicy(ABC):
    """Limits what a stage that fits now may take, for the sake of more urgent ones."""

    @abstractmethod
    def allowance(
        self, inputs: OrderInputs, waited: float, room: UpstreamRoom, now: float
    ) -> float:
        """Return the processor time that tasks of a stage may reserve now, infinity for any.

        Parameters
        ----------
        inputs : OrderInputs
            Inputs of the queue order for the stage.
        waited : float
            Seconds since the stage became ready.
        room : UpstreamRoom
            Room on its upstream.
        now : float
            Time in seconds.
        """

    def record_arrival(  # noqa: B027
        self, upstream: str, priority: int, cpu: int, now: float
    ) -> None:
        """Record that tasks became ready that reserve ``cpu`` thousandths of a core in all."""


class NoHeadroom(HeadroomPolicy):
    """Start whatever fits; the baseline."""

    @override
    def allowance(
        self, inputs: OrderInputs, waited: float, room: UpstreamRoom, now: float
    ) -> float:
        return math.inf


class ArrivalHeadroom(HeadroomPolicy):
    """Keep the room that more urgent tasks will need within a fraction of a second.

    Load pattern: a burst of patient tasks of several seconds fills the runners, and short urgent
    ones, whose objective leaves them no time to wait, find no room until some of these end. A
    patient stage waits a small share of its objective, and only while the urgent arrivals of the
    last seconds would use up what is free.
    """

    def __init__(self) -> None:
        self._rates: dict[str, dict[int, tuple[float, float]]] = {}

    @override
    def allowance(
        self, inputs: OrderInputs, waited: float, room: UpstreamRoom, now: float
    ) -> float:
        if inputs.lasts or waited > min(MAX_HOLD_SECONDS, MAX_OBJECTIVE_SHARE * inputs.objective):
            return math.inf
        rates = self._rates.get(room.upstream, {})
        urgent = sum(self._decayed(row, now) for p, row in rates.items() if p < inputs.priority)
        if not urgent:
            return math.inf
        headroom = min(COVER_SECONDS * urgent, MAX_CAPACITY_SHARE * room.capacity)
        return max(room.free - headroom, 0.0)

    @override
    def record_arrival(self, upstream: str, priority: int, cpu: int, now: float) -> None:
        rates = self._rates.setdefault(upstream, {})
        rate = self._decayed(rates.get(priority, (0.0, now)), now)
        rates[priority] = (rate + cpu / RATE_WINDOW_SECONDS, now)

    def _decayed(self, row: tuple[float, float], now: float) -> float:
        """Return a rate of arrivals, in thousandths of a core per second, at a later time."""
        rate, at = row
        return rate * math.exp(-(now - at) / RATE_WINDOW_SECONDS)
