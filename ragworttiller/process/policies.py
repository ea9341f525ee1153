"""Placement policy of each workspace, from its configuration."""

from __future__ import annotations

import logging
import random

from ragworttiller.exceptions import InvalidField, NotFound
from ragworttiller.placement.policy import Policy
from ragworttiller.placement.registry import DEFAULT_POLICY, policy_named
from ragworttiller.process.cell_state import Items

log = logging.getLogger(__name__)

POLICY_KIND = "policy"
POLICY_NAME = "placement"


class WorkspacePolicies:
    """Policies by workspace, as named by ``placement`` of its item of kind ``policy``.

    Parameters
    ----------
    items : Items
        Current configuration.
    rng : random.Random
        Random numbers for the policies.
    """

    def __init__(self, items: Items, rng: random.Random) -> None:
        self._items = items
        self._rng = rng
        self._policies: dict[str, Policy] = {}
        self._names: dict[str, str] = {}

    def policy(self, workspace: str) -> Policy:
        """Return the policy of a workspace, or the default policy if it sets none."""
        name = self._names.get(workspace)
        if name is None:
            name = self._names[workspace] = self._policy_name(workspace)
        if name not in self._policies:
            try:
                self._policies[name] = policy_named(name, self._rng)
            except InvalidField as exc:
                log.warning("default policy used for workspace %s: %s", workspace, exc)
                self._policies[name] = self.default_policy()
        return self._policies[name]

    def invalidate(self) -> None:
        """Discard the cached policy names; the configuration is read again when needed."""
        self._names.clear()

    def default_policy(self) -> Policy:
        """Return the default policy."""
        if DEFAULT_POLICY not in self._policies:
            self._policies[DEFAULT_POLICY] = policy_named(DEFAULT_POLICY, self._rng)
        return self._policies[DEFAULT_POLICY]

    def _policy_name(self, workspace: str) -> str:
        try:
            item = self._items.get(workspace, POLICY_KIND, POLICY_NAME)
        except NotFound:
            return DEFAULT_POLICY
        return str(item.body.get("placement", DEFAULT_POLICY))
