"""Choice of the runners that a call to the advisor names for tasks that are to move."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.runner_rules import accepts_another
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

SPARE_TICKETS = 2
MAX_UNKNOWN = 30
# Share of the runners that is assumed to be allowed before the first answer.
ASSUMED_SHARE = 0.5


class AwaitedSuccessors(NamedTuple):
    """Tasks that are to move, and need tickets valid until a time in seconds."""

    tasks: int
    ticket_until: float

    def plus(self, other: AwaitedSuccessors | None) -> AwaitedSuccessors:
        """Return these tasks and others of the same stage."""
        if other is None:
            return self
        until = max(self.ticket_until, other.ticket_until)
        return AwaitedSuccessors(self.tasks + other.tasks, until)


class _Candidates(NamedTuple):
    """Runners with room without a sufficient ticket, by what the advisor has said of them."""

    allowed: list[str]
    unknown: list[str]


def successors_to_ask(
    stage: Stage,
    upstream: str,
    with_room: Sequence[RunnerState],
    free: FreeResources,
    needed: AwaitedSuccessors,
    ages: RunnerAges,
) -> list[str]:
    """Return the runners to name for a stage, those that should stay first.

    None are named if there are enough runners with room and a ticket. Denied runners never are,
    and unknown ones only as far as too few are known to be allowed.

    Parameters
    ----------
    stage : Stage
        Stage of the tasks.
    upstream : str
        Upstream of its queue.
    with_room : sequence of RunnerState
        Runners that meet its rules and have room for one of its tasks.
    free : FreeResources
        What is free on them.
    needed : AwaitedSuccessors
        Number of tasks, and time until which tickets have to be valid.
    ages : RunnerAges
        Tells which runners should stay.
    """
    spec, running = stage.spec, stage.runs_by_runner()
    open_to_all = [r for r in with_room if accepts_another(r, stage, running[r.id])]
    holders = set(stage.tickets.holders_until(needed.ticket_until))
    missing = needed.tasks - sum(
        spec.reservation.copies_in(
            free.of_runner(r.id), (spec.per_runner or spec.tasks) - running[r.id]
        )
        for r in open_to_all
        if r.id in holders
    )
    if missing <= 0:
        return []
    share = stage.tickets.allowed_share if stage.tickets.allowed else ASSUMED_SHARE
    names: list[str] = []
    expected = 0.0
    for runners in ages.younger_first(upstream, open_to_all):
        rows = _candidates(stage, [r for r in runners if r.id not in holders])
        if expected < missing + SPARE_TICKETS:
            count = math.ceil(missing + SPARE_TICKETS - expected)
            names += rows.allowed[:count]
            expected += min(count, len(rows.allowed))
        if expected < missing:
            count = math.ceil((missing + SPARE_TICKETS - expected) / share)
            count = min(count, MAX_UNKNOWN, len(rows.unknown))
            names += rows.unknown[:count]
            expected += count * share
    return names


def _candidates(stage: Stage, runners: Sequence[RunnerState]) -> _Candidates:
    """Divide runners by what is known of them, without those that were denied."""
    rows, tickets = _Candidates([], []), stage.tickets
    for runner in runners:
        if runner.id in tickets.allowed:
            rows.allowed.append(runner.id)
        elif runner.id not in tickets.denied:
            rows.unknown.append(runner.id)
    return rows
