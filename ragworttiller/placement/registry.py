"""Placement policies by their names in the configuration of workspaces."""

from __future__ import annotations

import random

from ragworttiller.exceptions import InvalidField
from ragworttiller.placement.baselines import BestFitPolicy, FirstFitPolicy, RandomPolicy
from ragworttiller.placement.policy import Policy
from ragworttiller.placement.sampled import (
    AlignmentPolicy,
    BestFitAllPolicy,
    PackingFirstPolicy,
    WaitingFirstPolicy,
)

POLICIES: dict[str, type[Policy]] = {
    policy.name: policy
    for policy in (
        RandomPolicy,
        FirstFitPolicy,
        BestFitPolicy,
        AlignmentPolicy,
        BestFitAllPolicy,
        PackingFirstPolicy,
        WaitingFirstPolicy,
    )
}
DEFAULT_POLICY = BestFitAllPolicy.name


def policy_named(name: str, rng: random.Random) -> Policy:
    """Create the policy with a given name.

    Raises
    ------
    InvalidField
        No policy has this name.
    """
    try:
        return POLICIES[name](rng)
    except KeyError:
        raise InvalidField(
            field="placement", problem=f"unknown policy {name!r}", allowed=", ".join(POLICIES)
        ) from None
