"""One attempt to send a request to a runner, and the services that attempts use."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from ragworttiller.connection.connection_pool import Delivery, RunnerConnectionPool
from ragworttiller.decisions import DecisionLog
from ragworttiller.routing.runner import Runner
from ragworttiller.timers import TimerService


class RoutingContext(NamedTuple):
    """Services that the routers of all upstreams share.

    ``connection_pool`` returns the pool of connections to a runner.
    """

    timers: TimerService
    decisions: DecisionLog
    rng: random.Random
    connection_pool: Callable[[Runner], RunnerConnectionPool]


class Attempt(NamedTuple):
    """Exchange in flight at a runner; ``started`` is in monotonic seconds."""

    runner: Runner
    delivery: Delivery
    started: float
