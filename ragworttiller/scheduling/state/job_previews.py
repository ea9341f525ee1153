"""Jobs that are looked at as if they had just been accepted, without any effect on the cell."""

from __future__ import annotations

from collections.abc import Sequence

from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.placer import Placer
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.decisions.task_placement import PlacementPolicy
from ragworttiller.scheduling.records.formats import MAX_OFFSET, Accepted
from ragworttiller.scheduling.records.job_fold import JobRow
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.speeds import Speeds

# Identifier of a job that is looked at; no job of a caller has it.
PREVIEW_ID = "preview"


class JobPreviews:
    """Makes such jobs, and chooses runners for their tasks as a planning pass does.

    Parameters
    ----------
    jobs : ActiveJobs
        Active jobs, which are not changed.
    placement : PlacementPolicy
        Ranks the runners that have room.
    separation : SeparationPolicy
        Cost of tasks that slow each other down.
    speeds : Speeds
        Observed speeds of runners.
    """

    def __init__(
        self,
        jobs: ActiveJobs,
        placement: PlacementPolicy,
        separation: SeparationPolicy,
        speeds: Speeds,
    ) -> None:
        self._jobs = jobs
        self._speeds = speeds
        self._placer = Placer(placement, separation, records_choices=False)

    def job(self, accepted: Accepted, now: float, wall: float) -> JobWork:
        """Return a job as its owner would first read it, which is not added to the active ones."""
        row = JobRow()
        row.accepted = accepted
        # No earlier owner can have known it.
        row.offset = MAX_OFFSET
        return self._jobs.preview(PREVIEW_ID, row, now, wall)

    def time_ratio(self, runner: str, now: float) -> float:
        """Return the duration of tasks on a runner, relative to the mean of all runners."""
        return self._speeds.time_ratio(runner, now)

    def place(
        self, stage: Stage, runners: Sequence[RunnerState], tasks: Sequence[int], now: float
    ) -> dict[int, str]:
        """Return the runner of each task that would start, if no other stage took room first.

        Parameters
        ----------
        stage : Stage
            Stage of a job that is looked at.
        runners : sequence of RunnerState
            Runners against which nothing stands.
        tasks : sequence of int
            Indices of the tasks that may start.
        now : float
            Time in seconds.
        """
        ratios = {runner.id: self.time_ratio(runner.id, now) for runner in runners}
        return self._placer.place(stage, runners, FreeResources(runners), tasks, ratios)
