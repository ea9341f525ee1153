"""Routing policies by their names in the configuration of upstreams."""

from __future__ import annotations

from ragworttiller.routing.load_policies import (
    ExpectedWaitRouting,
    LeastLoadedRouting,
    SlotSharesRouting,
    TwoChoicesRouting,
)
from ragworttiller.routing.policy import RandomRouting, RoundRobinRouting, RoutingPolicy

ROUTING_POLICIES: dict[str, type[RoutingPolicy]] = {
    policy.name: policy
    for policy in (
        RandomRouting,
        RoundRobinRouting,
        LeastLoadedRouting,
        TwoChoicesRouting,
        ExpectedWaitRouting,
        SlotSharesRouting,
    )
}
DEFAULT_ROUTING = ExpectedWaitRouting.name
