"""One attempt at a runner, and what the routing to every upstream shares."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from ragworttiller.connection.runner_lanes import Delivery, RunnerLanes
from ragworttiller.decisions import DecisionLog
from ragworttiller.routing.runner import Runner
from ragworttiller.timers import TimerService


class RoutingContext(NamedTuple):
    """What the routing to every upstream shares; ``lanes`` gives the connections to a runner."""

    timers: TimerService
    decisions: DecisionLog
    rng: random.Random
    lanes: Callable[[Runner], RunnerLanes]


class Attempt(NamedTuple):
    """Exchange in progress at a runner; ``started`` is in monotonic seconds."""

    runner: Runner
    delivery: Delivery
    started: float
