"""Reasons why no worker can run a task, now or ever."""

from __future__ import annotations

from ragworttiller.placement.index import SCHEDULABLE_STATES, RoomIndex
from ragworttiller.placement.rules import Rules
from ragworttiller.resources import Resources

UNITS = {"cpu": "thousandths of a core", "memory": "MiB", "accelerators": "accelerators"}


def obstacle(need: Resources, rules: Rules, index: RoomIndex) -> str:
    """Describe the rule or resource because of which no worker can run a task.

    Parameters
    ----------
    need : Resources
        Room that the task needs on one worker.
    rules : Rules
        Rules of the task.
    index : RoomIndex
        Workers to choose from.

    Returns
    -------
    str
        Description, empty if an allowed worker has the room.
    """
    shapes = list(index.shapes)
    if not shapes:
        return "no worker is in service"
    sites = [s for s in shapes if _in_domain(s[0].failure_domain, rules)]
    if not sites:
        return f"rule failure_domain: no worker in {', '.join(rules.failure_domain)}"
    sites = [s for s in sites if s[0].labels.issuperset(rules.labels)]
    if not sites:
        return f"rule labels: no allowed worker carries {', '.join(rules.labels)}"
    lacking = _lacking_resource(need, [capacity for _, capacity in sites])
    if lacking:
        return f"{lacking} on the largest allowed worker"
    rooms = [
        w.room
        for w in index.workers()
        if w.state in SCHEDULABLE_STATES
        and _in_domain(w.failure_domain, rules)
        and frozenset(w.labels).issuperset(rules.labels)
    ]
    missing = _lacking_resource(need, rooms)
    return f"{missing} free now on any allowed worker" if missing else ""


def _in_domain(failure_domain: str, rules: Rules) -> bool:
    return not rules.failure_domain or failure_domain in rules.failure_domain


def _lacking_resource(need: Resources, rooms: list[Resources]) -> str:
    """Describe the resource that no room has enough of.

    The text names all resources if there is enough of each, but not in the same room. It is empty
    if the need fits one of the rooms.
    """
    if any(need.fits(room) for room in rooms):
        return ""
    for field in Resources._fields:
        largest = max(getattr(room, field) for room in rooms)
        if getattr(need, field) > largest:
            return f"{field}: needs {getattr(need, field)} {UNITS[field]}, {largest}"
    needed = ", ".join(f"{getattr(need, field)} {UNITS[field]}" for field in Resources._fields)
    return f"cpu, memory and accelerators together: needs {needed}, not"
