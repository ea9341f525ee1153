"""Parts of a claim that an owner computes from the jobs and from what it has measured."""

from __future__ import annotations

from ragworttiller.scheduling.records.formats import Pressure
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.learnt_store import LearntStore
from ragworttiller.scheduling.state.pressure_meter import PressureMeter
from ragworttiller.scheduling.state.takeover import Takeover


class ClaimContents:
    """Computes parts of the claims of one owner; those that fail are left out.

    Parameters
    ----------
    jobs : ActiveJobs
        Active jobs.
    takeover : Takeover
        Runners on which tasks of an earlier owner may still run.
    meter : PressureMeter or None
        Measures the pressure, None if it is not measured.
    learnt : LearntStore
        What this owner and earlier ones have learnt.
    errors : ContainedErrors
        Contains errors in the computation.
    """

    def __init__(
        self,
        jobs: ActiveJobs,
        takeover: Takeover,
        meter: PressureMeter | None,
        learnt: LearntStore,
        errors: ContainedErrors,
    ) -> None:
        self._jobs = jobs
        self._takeover = takeover
        self._meter = meter
        self._learnt = learnt
        self._errors = errors
        self._stores_placements = takeover.placements_known

    def pressure(self, now: float, wall: float) -> Pressure | None:
        """Return the pressure to claim, None if it is not measured or cannot be."""
        found: list[Pressure] = []
        meter = self._meter
        if meter is not None:
            self._errors.attempt("pressure", now, lambda: found.append(meter.summary(now, wall)))
        return found[0] if found else None

    def learnt(self, now: float) -> bytes:
        """Return what is learnt, as encoded in claims; empty if it cannot be encoded."""
        found: list[bytes] = []
        self._errors.attempt("learnt", now, lambda: found.append(self._learnt.encoded(now)))
        return found[0] if found else b""

    def stores_placements(self) -> bool:
        """Return whether the stored placements of lasting tasks name all that may run them.

        If the earlier owner did not say so, or the progress of some job could not be read, they do
        once all runners are settled, so that all runs are known, and their placements are stored.
        """
        settled = not self._takeover.unresolved
        if not self._stores_placements and settled:
            self._stores_placements = self._all_stored()
        if all(work.row.progress_known for work in self._jobs.by_id.values()):
            return self._stores_placements
        return settled and self._all_stored()

    def _all_stored(self) -> bool:
        """Return whether the placements of all lasting runs are stored."""
        return all(
            stage.placements.is_stored(index, run.runner)
            for work in self._jobs.by_id.values()
            for stage in work.stages.values()
            if stage.spec.daemon
            for index, run in stage.active_runs.items()
        )
