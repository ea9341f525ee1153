"""Routing policies based on the load of runners."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from typing_extensions import override

from ragworttiller.routing.policy import LISTED_CANDIDATES, RoutingChoice, RoutingPolicy
from ragworttiller.routing.runner import Runner

RUNNER_QUEUE_LENGTH = 2
MIN_LATENCY_SECONDS = 0.0005


class _ScoredRouting(RoutingPolicy):
    """Base of policies that choose the runner with the lowest score.

    ``choices`` is the number of runners compared, 0 for all.
    """

    choices: ClassVar[int] = 0

    @override
    def choose(self, runners: Sequence[Runner]) -> RoutingChoice:
        compared = runners
        if 0 < self.choices < len(runners):
            compared = self._rng.sample(runners, self.choices)
        scored = [(self._score(runner), self._rng.random(), runner) for runner in compared]
        scored.sort()
        listed = [(runner.name, score) for score, _, runner in scored[:LISTED_CANDIDATES]]
        return RoutingChoice(scored[0][2], listed)

    @abstractmethod
    def _score(self, runner: Runner) -> float:
        """Return the score of a runner; the lowest is chosen."""


class LeastLoadedRouting(_ScoredRouting):
    """Chooses the runner with the fewest requests of this entry in flight per slot."""

    name = "least_loaded"

    @override
    def _score(self, runner: Runner) -> float:
        return runner.in_flight / runner.slots


class TwoChoicesRouting(_ScoredRouting):
    """Chooses the less loaded of two random runners, counting the loads of all entries."""

    name = "two_choices"
    choices = 2

    @override
    def max_in_flight(self, runner: Runner) -> int:
        return _unused_slots(runner)

    @override
    def _score(self, runner: Runner) -> float:
        return (runner.in_flight + runner.remote_in_flight) / runner.slots


class _SlotShareRouting(_ScoredRouting):
    """Base of policies that use this entry's share of slots and those borrowed from others."""

    @override
    def max_in_flight(self, runner: Runner) -> int:
        return runner.share + runner.borrowed


class SlotSharesRouting(_SlotShareRouting):
    """Chooses the runner with the most unused slots of this entry's share."""

    name = "slot_shares"

    @override
    def _score(self, runner: Runner) -> float:
        return (runner.in_flight - runner.share) / runner.slots


class ExpectedWaitRouting(_SlotShareRouting):
    """Chooses the runner with the shortest expected wait: load of this entry times latency."""

    name = "expected_wait"

    @override
    def _score(self, runner: Runner) -> float:
        return (runner.in_flight + 1) / runner.slots * max(runner.latency, MIN_LATENCY_SECONDS)


def _unused_slots(runner: Runner) -> int:
    """Return the slots of a runner and places in its short queue that other entries leave free."""
    unused = runner.slots + RUNNER_QUEUE_LENGTH - round(runner.remote_in_flight)
    return max(1, min(unused, runner.connections))
