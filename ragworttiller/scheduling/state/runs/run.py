"""A run: one start of a task on a runner."""

from __future__ import annotations

from enum import StrEnum

from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.jobs import StepSpec, TaskId
from ragworttiller.scheduling.state.pace import Pace
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

MIN_PERCENT_FOR_ESTIMATE = 5


class RunState(StrEnum):
    """State of a run as known to the owner."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on a runner; times are in seconds.

    Attributes
    ----------
    start_deadline : float
        Time on the runner's clock after which the runner ignores the start.
    progressed_at : float
        Time at which the percentage last changed, or at which the run started.
    ordered_at : float
        Time of the last start or stop order.
    stopped_for : str
        Reason for which it is to be stopped, empty if it is not.
    trial : bool
        Whether nothing else starts on its runner for a while, since its task is suspected.
    adopted : bool
        Whether an earlier owner started it; ``started_at`` is then the time of its adoption.
    image : str
        Name under which tasks that behave alike are known.
    pace : Pace
        Percent at which it works by the orders of this owner.
    workspace : str
        Workspace of its job, empty for none.
    resumed : bool
        Whether it began at a checkpoint, so that it does a part of the work only.
    expected_seconds : float
        Expected duration, the estimate of its step by default.
    """

    def __init__(
        self,
        task: TaskId,
        number: int,
        runner: str,
        spec: StepSpec,
        now: float,
        workspace: str = NO_WORKSPACE,
    ) -> None:
        self.task = task
        self.number = number
        self.runner = runner
        self.spec = spec
        self.workspace = workspace
        self.state = RunState.STARTING
        self.started_at = now
        self.ordered_at = now
        self.start_deadline = 0.0
        self.checkpoint = ""
        self.stopped_for = ""
        self.trial = False
        self.resumed = False
        self.adopted = False
        self.expected_seconds = spec.estimate
        self.image = spec.image
        self.pace = Pace()
        self.percent = 0.0
        self.progressed_at = now
        self._progress_base: tuple[float, float] | None = (0.0, now)
        self.load = 0.0

    @property
    def reservation(self) -> Resources:
        """Resources that the run reserves on its runner."""
        return self.spec.reservation

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and run number, which identify the run on its runner."""
        return self.task, self.number

    @property
    def seconds_per_percent(self) -> float:
        """Time that a percent of the work has taken so far, in seconds; 0 before any progress."""
        if self._progress_base is None:
            return 0.0
        base_percent, base_at = self._progress_base
        gained = self.percent - base_percent
        return (self.progressed_at - base_at) / gained if gained > 0 else 0.0

    @property
    def expected_end(self) -> float:
        """Time at which the run should end: from its progress, or as expected if there is none."""
        if self._progress_base is None:
            return self.started_at + self.expected_seconds
        base_percent, base_at = self._progress_base
        gained, elapsed = self.percent - base_percent, self.progressed_at - base_at
        if gained < MIN_PERCENT_FOR_ESTIMATE or elapsed <= 0:
            return self.started_at + self.expected_seconds
        return self.progressed_at + elapsed * (100 - self.percent) / gained

    def worked_seconds(self, now: float) -> float:
        """Return for how many seconds the run is known to have worked.

        Lasting and filling tasks need not report progress.
        """
        if self.spec.daemon or self.spec.fills:
            return now - self.started_at
        return self.progressed_at - self.started_at

    def resume(self, checkpoint: str) -> None:
        """Start from a checkpoint, empty for none."""
        self.checkpoint = checkpoint
        self.resumed = bool(checkpoint)
        if checkpoint:
            self.measure_progress_from_next_report()

    def measure_progress_from_next_report(self) -> None:
        """Leave out work that was done before this owner observed the run."""
        self._progress_base = None

    def observe(self, percent: float, checkpoint: str, load: float, now: float) -> None:
        """Update the run from a report of its runner."""
        if self.state is RunState.STARTING:
            self.state = RunState.RUNNING
            self.progressed_at = now
        if self._progress_base is None:
            self._progress_base = (percent, now)
        if percent != self.percent:
            self.percent, self.progressed_at = percent, now
        self.checkpoint = checkpoint or self.checkpoint
        self.load = load
