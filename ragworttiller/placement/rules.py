"""Placement rules that a template sets for its tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from ragworttiller.exceptions import InvalidField

SPREAD_NONE = ""
SPREAD_RACK = "rack"
SPREAD_FAILURE_DOMAIN = "failure_domain"
SPREADS = (SPREAD_NONE, SPREAD_RACK, SPREAD_FAILURE_DOMAIN)


class Rules(NamedTuple):
    """Rules that a worker must meet to run a task.

    Parameters
    ----------
    failure_domain : tuple of str
        Failure domains that are allowed; empty allows all.
    labels : tuple of str
        Labels that the worker must carry.
    spread : str
        ``rack`` or ``failure_domain``: prefer the racks or failure domains with the fewest tasks
        of the job. Empty for no preference.
    max_per_worker : int
        Maximum number of tasks of the job on one worker, 0 for no limit.
    """

    failure_domain: tuple[str, ...] = ()
    labels: tuple[str, ...] = ()
    spread: str = SPREAD_NONE
    max_per_worker: int = 0


NO_RULES = Rules()
KNOWN_FIELDS = (*Rules._fields, "anti_affinity", "checkpoint")


class Site(NamedTuple):
    """Attributes of a worker that rules refer to; workers that share them share a site."""

    failure_domain: str
    rack: str
    labels: frozenset[str]


def site_allowed(site: Site, rules: Rules) -> bool:
    """Return whether the rules allow the workers of a site."""
    if rules.failure_domain and site.failure_domain not in rules.failure_domain:
        return False
    return site.labels.issuperset(rules.labels)


def rules_from(body: Mapping[str, Any]) -> Rules:
    """Return the rules in a template's JSON.

    Parameters
    ----------
    body : mapping
        The ``rules`` object; missing fields mean no rule. ``anti_affinity`` is short for a
        ``max_per_worker`` of 1; ``checkpoint`` does not affect placement.

    Raises
    ------
    InvalidField
        A field is unknown, has another type or is out of its bounds.
    """
    for name in body:
        if name not in KNOWN_FIELDS:
            raise _invalid(name, "unknown field", ", ".join(KNOWN_FIELDS))
    spread = body.get("spread", SPREAD_NONE)
    if spread not in SPREADS:
        raise _invalid("spread", f"{spread!r}", "rack, failure_domain or empty")
    limit = body.get("max_per_worker", 1 if body.get("anti_affinity") else 0)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 0:
        raise _invalid("max_per_worker", f"{limit!r}", "integer from 0")
    return Rules(_names(body, "failure_domain"), _names(body, "labels"), spread, limit)


def _names(body: Mapping[str, Any], field: str) -> tuple[str, ...]:
    names = body.get(field, ())
    if not isinstance(names, list | tuple) or not all(isinstance(n, str) for n in names):
        raise _invalid(field, f"{names!r}", "list of strings")
    return tuple(names)


def _invalid(field: str, problem: str, allowed: str) -> InvalidField:
    return InvalidField(field=f"rules.{field}", problem=problem, allowed=allowed)
