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
MAX_RUNNERS_PER_CALL = 100
MAX_BACKLOG_SECONDS = 1.5
# A long call starts on a free entry or none: which one is worth it is decided late.
MAX_BACKLOG_OF_LONG_CALL_SECONDS = 0.1
AVOID_FAILED_ENTRY_SECONDS = 2.0
SHORT_CALL_ENTRIES_SHARE = 0.3


class AdviceCall(NamedTuple):
    """Call to the advisor that an entry is to make; times are in seconds.

    ``wait`` is the time that earlier calls of the entry take before it.
    """

    stage: StageId
    runners: tuple[str, ...]
    entry: str
    wait: float
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
    """Calls to the advisor that each entry has under way.

    The advisor takes one call of an instance at a time, so calls of one entry wait for each other.
    Some entries are left to short calls, which would otherwise wait behind long ones.
    """

    def __init__(self) -> None:
        self._backlog_seconds: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}

    def set_entries(self, entries: Sequence[str]) -> None:
        """Use these entries from now on."""
        self._backlog_seconds = {name: self._backlog_seconds.get(name, 0.0) for name in entries}

    def assign(self, duration: float, now: float) -> str | None:
        """Return the entry with the least work before a call, None if all have too much.

        Parameters
        ----------
        duration : float
            Length of the call in seconds; it counts as work of the entry until `end_call`.
        now : float
            Time in seconds.
        """
        names = sorted(self._backlog_seconds)
        most = MAX_BACKLOG_SECONDS
        if duration > SHORT_CALL_SECONDS:
            names = names[int(len(names) * SHORT_CALL_ENTRIES_SHARE) :]
            most = MAX_BACKLOG_OF_LONG_CALL_SECONDS
        names = [n for n in names if self._avoid_until.get(n, 0.0) <= now]
        if not names:
            return None
        name = min(names, key=self._backlog_seconds.__getitem__)
        if self._backlog_seconds[name] > most:
            return None
        self._backlog_seconds[name] += duration
        return name

    def backlog(self, entry: str) -> float:
        """Return the seconds of work that an entry has under way."""
        return self._backlog_seconds.get(entry, 0.0)

    def end_call(self, entry: str, duration: float) -> None:
        """Record that a call has ended."""
        if entry in self._backlog_seconds:
            self._backlog_seconds[entry] = max(self._backlog_seconds[entry] - duration, 0.0)

    def mark_failed(self, entry: str, now: float) -> None:
        """Leave an entry alone for a while."""
        self._avoid_until[entry] = now + AVOID_FAILED_ENTRY_SECONDS


class CandidatePolicy(ABC):
    """Chooses the runners that a call names."""

    @abstractmethod
    def choose_runners(
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


class AllCandidates(CandidatePolicy):
    """Every runner, each time; the baseline."""

    @override
    def choose_runners(
        self, stage: Stage, runners: Sequence[RunnerState], now: float, ahead: bool
    ) -> list[str]:
        return [runner.id for runner in runners][:MAX_RUNNERS_PER_CALL]


class UsefulCandidates(CandidatePolicy):
    """Unknown runners at first, later those known to be good, and only those without a ticket."""

    MAX_UNKNOWN = 30
    SPARE_TICKETS = 2

    @override
    def choose_runners(
        self, stage: Stage, runners: Sequence[RunnerState], now: float, ahead: bool
    ) -> list[str]:
        tickets, size = stage.tickets, stage.spec.reservation
        if not tickets.allowed and not tickets.denied:
            most_room = sorted(runners, key=lambda r: -r.free.cpu)
            return [r.id for r in most_room[: self.MAX_UNKNOWN]]
        missing = [
            r for r in runners if r.id not in tickets.denied and not tickets.valid_ticket(r.id, now)
        ]
        useful = [r for r in missing if ahead or size.fits(r.free)]
        useful.sort(key=lambda r: -r.free.cpu)
        good = [r.id for r in useful if r.id in tickets.allowed]
        needed = len(stage.waiting)
        unknown = [r.id for r in useful if r.id not in tickets.allowed]
        if len(good) >= needed:
            return good[: needed + self.SPARE_TICKETS]
        return good + unknown[: self.MAX_UNKNOWN]


def call_duration(cost: AdviceCost, count: int) -> float:
    """Return the seconds that a call takes that names ``count`` runners."""
    return cost.decision + cost.per_runner * count
