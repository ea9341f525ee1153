"""Calls to the advisor, and the choice of the runners that they name."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.decisions.runner_rules import accepts_another
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage

MAX_RUNNERS_PER_CALL = 100


class AdviceCall(NamedTuple):
    """Call to the advisor that an entry is to make; times are in seconds.

    ``wait`` is the time until the earlier calls of the entry have ended, ``asked_at`` the time at
    which the call was planned.
    """

    stage: StageId
    runners: tuple[str, ...]
    entry: str
    wait: float
    duration: float
    validity: float
    asked_at: float

    @property
    def granted_at(self) -> float:
        """Earliest time at which the advisor may have granted tickets, in seconds."""
        return self.asked_at + self.duration


class Advice(ABC):
    """Access to the advisor through this entry and others."""

    @property
    @abstractmethod
    def entries(self) -> list[str]:
        """Names of the entries that can call the advisor."""

    @abstractmethod
    async def ask(self, call: AdviceCall) -> dict[str, str]:
        """Make a call and return the tickets granted, by runner.

        Raises
        ------
        RagworttillerError
            The call got no answer.
        """


class CandidatePolicy(ABC):
    """Chooses the runners that a call to the advisor names."""

    @abstractmethod
    def choose_runners(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        now: float,
        ahead: bool,
        calls: int = 1,
    ) -> list[str]:
        """Return the runners to ask about, the most useful first; none if a call is not useful now.

        A call names `MAX_RUNNERS_PER_CALL` of them at most.

        Parameters
        ----------
        stage : Stage
            Stage that has tasks to place.
        runners : sequence of RunnerState
            Runners that meet its rules, regardless of their free resources.
        now : float
            Time in seconds.
        ahead : bool
            Whether to include runners that have no room yet.
        calls : int
            Number of calls among which the runners may be divided.
        """


class AllCandidates(CandidatePolicy):
    """Name all runners in each call; the baseline."""

    @override
    def choose_runners(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        now: float,
        ahead: bool,
        calls: int = 1,
    ) -> list[str]:
        return [runner.id for runner in runners]


class _Names(NamedTuple):
    """Runners by what the advisor has said of them, those with the most free CPU first."""

    allowed: list[str]
    unknown: list[str]


class UsefulCandidates(CandidatePolicy):
    """Name only runners that have no valid ticket and were not denied.

    Load pattern: a stage with more tasks than the runners of one call can take. Its further calls
    are made beside the first one, since each takes as long as the advisor needs to decide.

    Allowed runners that can take a task now come first. If they are too few for the waiting tasks,
    unknown ones that can are added, so that new runners are considered however many are known.
    Runners that cannot take a task yet fill up a call that looks ahead.
    """

    MAX_UNKNOWN = 30
    SPARE_TICKETS = 2
    # Share of the runners that is assumed to be allowed before the first answer.
    ASSUMED_SHARE = 0.5

    @override
    def choose_runners(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        now: float,
        ahead: bool,
        calls: int = 1,
    ) -> list[str]:
        tickets, needed = stage.tickets, len(stage.waiting)
        max_unknown = self.MAX_UNKNOWN * calls
        if not tickets.known:
            most_room = sorted(runners, key=lambda r: -r.free.cpu)
            wanted = math.ceil((needed + self.SPARE_TICKETS) / self.ASSUMED_SHARE)
            return [r.id for r in most_room[: min(max(wanted, self.MAX_UNKNOWN), max_unknown)]]
        ready, later = _group_by_room(stage, runners, now)
        if len(ready.allowed) >= needed:
            return ready.allowed[: needed + self.SPARE_TICKETS]
        if not ahead:
            later = _Names([], [])
        allowed = ready.allowed + later.allowed
        if len(allowed) < needed:
            return allowed + (ready.unknown + later.unknown)[:max_unknown]
        missing = needed + self.SPARE_TICKETS - len(ready.allowed)
        count = min(math.ceil(missing / tickets.allowed_share), max_unknown)
        return allowed[: needed + self.SPARE_TICKETS] + ready.unknown[:count]


def _group_by_room(
    stage: Stage, runners: Sequence[RunnerState], now: float
) -> tuple[_Names, _Names]:
    """Return the runners without ticket or denial that can take a task of a stage now, and later.

    A runner on which a lasting stage is at its limit, or that is full of lasting tasks, belongs to
    neither.
    """
    ready, later = _Names([], []), _Names([], [])
    tickets, running, size = stage.tickets, stage.runs_by_runner(), stage.spec.reservation
    settled = tickets.denied.union(tickets.holders(now))
    open_to_advice = [runner for runner in runners if runner.id not in settled]
    for runner in sorted(open_to_advice, key=lambda r: -r.free.cpu):
        accepts = accepts_another(runner, stage, running[runner.id])
        if stage.spec.daemon and not accepts:
            continue
        fits_now = size.fits(runner.free)
        if not fits_now and not size.fits(runner.free_of_lasting_tasks):
            continue
        group = ready if accepts and fits_now else later
        (group.allowed if runner.id in tickets.allowed else group.unknown).append(runner.id)
    return ready, later


def call_duration(cost: AdviceCost, count: int) -> float:
    """Return the duration of a call that names ``count`` runners, in seconds."""
    return cost.decision + cost.per_runner * count
