"""Figures of the owner that an entry runs, for its metrics."""

from __future__ import annotations

from collections.abc import Callable

from ragworttiller.metrics import Distribution
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.ownership.advisor_load_log import NO_LOAD, AdvisorLoad
from ragworttiller.scheduling.ownership.owner import Owner
from ragworttiller.scheduling.ownership.pace_log import NO_PACE, OwnerPace
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.lasting_waits import long_waits


class OwnerFigures:
    """What the running owner measures; 0 or nothing while the entry does not own the cell.

    Parameters
    ----------
    owner : Callable
        Returns the running owner, None while there is none.
    clock : Clock
        Source of time.
    """

    def __init__(self, owner: Callable[[], Owner | None], clock: Clock) -> None:
        self._owner = owner
        self._clock = clock

    @property
    def pace(self) -> OwnerPace:
        """Pace of the owner, `NO_PACE` without one."""
        owner = self._owner()
        return NO_PACE if owner is None else owner.pace

    @property
    def advisor_load(self) -> AdvisorLoad:
        """Load with calls to the advisor, `NO_LOAD` without an owner."""
        owner = self._owner()
        return NO_LOAD if owner is None else owner.advisor_load

    @property
    def lag(self) -> float:
        """How late the event loop of the owner runs, in seconds."""
        owner = self._owner()
        return 0.0 if owner is None else owner.lag

    @property
    def copies(self) -> CopyTally:
        """Copies of stragglers in the current term."""
        owner = self._owner()
        return CopyTally() if owner is None else owner.cell.copies

    @property
    def skipped_entries(self) -> int:
        """Number of runner entries that could not be read in the current term."""
        owner = self._owner()
        return 0 if owner is None else owner.cell.skipped_entries

    @property
    def contained_errors(self) -> dict[str, float]:
        """Unexpected errors that were contained in the current term, by what was put aside."""
        owner = self._owner()
        return {} if owner is None else dict(owner.cell.errors.counts)

    @property
    def lasting_waits(self) -> dict[tuple[str, ...], Distribution]:
        """Waits of lasting tasks in the current term, in seconds, under an empty label."""
        owner = self._owner()
        return {} if owner is None else {(): owner.cell.lasting_waits.durations}

    @property
    def waiting_lasting_tasks(self) -> int:
        """Number of lasting tasks that wait for long."""
        owner = self._owner()
        return 0 if owner is None else long_waits(owner.cell.jobs.values(), self._clock.now())

    @property
    def kind_ratios(self) -> dict[str, float]:
        """Task durations relative to the mean, by kind of runner."""
        owner = self._owner()
        return {} if owner is None else owner.cell.kind_ratios()

    @property
    def kind_samples(self) -> dict[str, float]:
        """Number of tasks from which the speed was learnt, by kind of runner."""
        owner = self._owner()
        return {} if owner is None else owner.cell.kind_samples()

    def interference_count(self, name: str) -> float:
        """Return a count of the owner's separation policy."""
        owner = self._owner()
        return 0.0 if owner is None else float(owner.cell.separation.counts[name])
