"""Base class of routing policies, and baseline policies."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar, NamedTuple

from typing_extensions import override

from ragworttiller.routing.runner import Runner

LISTED_CANDIDATES = 4


class RoutingChoice(NamedTuple):
    """Chosen runner; ``candidates`` pairs the compared runners with their scores, best first."""

    runner: Runner
    candidates: list[tuple[str, float]]


class RoutingPolicy(ABC):
    """Chooses the runner of a request.

    Parameters
    ----------
    rng : random.Random
        Random numbers for sampling and tie-breaking.
    """

    name: ClassVar[str]

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def max_in_flight(self, runner: Runner) -> int:
        """Return the maximum number of requests of this entry in flight at a runner."""
        return runner.connections

    @abstractmethod
    def choose(self, runners: Sequence[Runner]) -> RoutingChoice:
        """Choose among the runners that may get a request now, at least one."""


class RandomRouting(RoutingPolicy):
    """Chooses a random runner."""

    name = "random"

    @override
    def choose(self, runners: Sequence[Runner]) -> RoutingChoice:
        runner = self._rng.choice(runners)
        return RoutingChoice(runner, [(runner.name, 0.0)])


class RoundRobinRouting(RoutingPolicy):
    """Chooses the runners in a fixed rotation."""

    name = "round_robin"

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1 << 16)

    @override
    def choose(self, runners: Sequence[Runner]) -> RoutingChoice:
        self._next += 1
        runner = runners[self._next % len(runners)]
        return RoutingChoice(runner, [(runner.name, 0.0)])
