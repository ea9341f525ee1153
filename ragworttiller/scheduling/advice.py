"""Which entry asks the advisor about which runners.

The advisor takes one call at a time from each instance, so calls are spread over the entries and
short calls have entries that long ones leave free.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.scheduling.jobs import StageId
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Stage

SHORT_CALL_SECONDS = 0.15
MOST_RUNNERS_NAMED = 100
MOST_BACKLOG_SECONDS = 1.5
AVOID_SECONDS = 2.0
SPARE_ENTRIES_SHARE = 0.3


class AdviceCall(NamedTuple):
    """Call to the advisor that an entry is to make; times are in seconds."""

    stage: StageId
    runners: tuple[str, ...]
    entry: str
    duration: float
    validity: float
    asked_at: float


class Advice(ABC):
    """Way to the advisor, through this entry and others."""

    @property
    @abstractmethod
    def entries(self) -> list[str]:
        """Names of the entries that can call the advisor."""

    @abstractmethod
    async def ask(self, call: AdviceCall) -> dict[str, str]:
        """Return the tickets that a call gives, by runner.

        Raises
        ------
        RagworttillerError
            No answer came.
        """


class EntryLoads:
    """Work of the advisor that each entry has asked for."""

    def __init__(self) -> None:
        self._busy_until: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}

    def set_entries(self, entries: Sequence[str]) -> None:
        """Use these entries from now on."""
        self._busy_until = {name: self._busy_until.get(name, 0.0) for name in entries}

    def choose(self, duration: float, now: float) -> str | None:
        """Return the entry whose turn for a call of this length comes first, None if none is near.

        Long calls leave some of the entries to short ones.
        """
        names = [n for n in sorted(self._busy_until) if self._avoid_until.get(n, 0.0) <= now]
        kept = int(len(names) * SPARE_ENTRIES_SHARE)
        if duration > SHORT_CALL_SECONDS:
            names = names[kept:]
        elif kept:
            names = names[:kept] if self._wait(names[:kept], now) < SHORT_CALL_SECONDS else names
        if not names:
            return None
        name = min(names, key=lambda n: self._busy_until[n])
        if self._busy_until[name] - now > MOST_BACKLOG_SECONDS:
            return None
        self._busy_until[name] = max(self._busy_until[name], now) + duration
        return name

    def answered(self, entry: str, now: float) -> None:
        """Correct the load of an entry that has answered sooner than expected."""
        if entry in self._busy_until:
            self._busy_until[entry] = min(self._busy_until[entry], now + MOST_BACKLOG_SECONDS)

    def failed(self, entry: str, now: float) -> None:
        """Leave an entry alone for a while."""
        self._avoid_until[entry] = now + AVOID_SECONDS

    def _wait(self, names: Sequence[str], now: float) -> float:
        return min(self._busy_until[name] for name in names) - now


class NamingPolicy(ABC):
    """Chooses the runners that a call names."""

    @abstractmethod
    def names(
        self, stage: Stage, runners: Sequence[RunnerState], now: float, ahead: bool
    ) -> list[str]:
        """Return the runners to ask about, none if a call would not help now.

        Parameters
        ----------
        stage : Stage
            Stage that has tasks to place.
        runners : sequence of RunnerState
            Runners that meet its rules, whatever room they have.
        now : float
            Time in seconds.
        ahead : bool
            Whether to ask although no named runner has room yet.
        """


class NameAll(NamingPolicy):
    """Every runner, each time; the baseline."""

    @override
    def names(
        self, stage: Stage, runners: Sequence[RunnerState], now: float, ahead: bool
    ) -> list[str]:
        return [runner.id for runner in runners][:MOST_RUNNERS_NAMED]


class NameUseful(NamingPolicy):
    """Unknown runners at first, later those known to be good, and only those without a ticket."""

    MOST_NEW = 30
    SPARE = 2

    @override
    def names(
        self, stage: Stage, runners: Sequence[RunnerState], now: float, ahead: bool
    ) -> list[str]:
        tickets, size = stage.tickets, stage.spec.room
        if not tickets.allowed and not tickets.denied:
            most_room = sorted(runners, key=lambda r: -r.free.cpu)
            return [r.id for r in most_room[: self.MOST_NEW]]
        missing = [
            r for r in runners if r.id not in tickets.denied and not tickets.ticket(r.id, now)
        ]
        useful = [r for r in missing if ahead or size.fits(r.free)]
        useful.sort(key=lambda r: -r.free.cpu)
        good = [r.id for r in useful if r.id in tickets.allowed]
        needed = len(stage.waiting)
        unknown = [r.id for r in useful if r.id not in tickets.allowed]
        if len(good) >= needed:
            return good[: needed + self.SPARE]
        return good + unknown[: self.MOST_NEW]


def call_duration(cost: AdviceCost, count: int) -> float:
    """Return the seconds that a call takes that names ``count`` runners."""
    return cost.decision + cost.per_runner * count
