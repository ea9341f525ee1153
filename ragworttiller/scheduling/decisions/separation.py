"""Policy that keeps tasks apart which slow each other down."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping

from ragworttiller.scheduling.decisions.evacuation import Departure
from ragworttiller.scheduling.state.interference import PairView
from ragworttiller.scheduling.state.orders import PaceOrder, PendingStops
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage

SHARING_REASON = "serving task on the runner"


class SeparationPolicy(ABC):
    """Decides which tasks are kept apart on runners, and at which pace filling tasks work.

    Attributes
    ----------
    counts : Counter
        Number of ``paces`` ordered, of ``stops`` ordered, of ``placements`` changed, and of
        ``pairs`` known.
    departures : list of Departure
        Lasting runs that are to go on elsewhere, chosen by the last call of `begin`.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.departures: list[Departure] = []

    @abstractmethod
    def begin(
        self,
        runners: Mapping[str, RunnerState],
        stops: PendingStops,
        stage_of: Callable[[Run], Stage | None],
        now: float,
    ) -> None:
        """Begin a planning pass, and add the runs that are stopped now or are to move.

        Parameters
        ----------
        runners : mapping
            Runners by identifier.
        stops : PendingStops
            Receives the runs to stop.
        stage_of : Callable
            Returns the stage of a run, None if its job is not active.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def pace_orders(self, now: float) -> list[PaceOrder]:
        """Return the pace orders that are due now, and mark them as sent."""

    @abstractmethod
    def looks(self, now: float) -> list[RunnerState]:
        """Return the runners whose tails are to be asked for now."""

    @abstractmethod
    def concerns(self, stage: Stage) -> bool:
        """Return whether `cost` and `joins` have to be asked for the tasks of a stage."""

    @abstractmethod
    def cost(self, stage: Stage, runner: RunnerState, late: bool) -> float:
        """Return the cost of placing a task on a runner, in mean durations.

        Parameters
        ----------
        stage : Stage
            Stage of the task.
        runner : RunnerState
            Runner with room for the task.
        late : bool
            Whether the stage cannot be on time any more.
        """

    @abstractmethod
    def joins(self, stage: Stage, runner: RunnerState, running: int) -> bool:
        """Return whether a task may join a runner with ``running`` tasks of its stage."""

    @abstractmethod
    def record_placement(self, stage: Stage, chosen: str, instead: str) -> None:
        """Record that the cost has changed the runner of a task."""

    @abstractmethod
    def record_answer(self, runner: RunnerState, now: float) -> None:
        """Record that a runner has answered, before its runs are updated."""

    @abstractmethod
    def record_report(self, runner: RunnerState, run: Run, now: float) -> None:
        """Record that a runner has just reported a running run."""

    @abstractmethod
    def record_end(self, runner: RunnerState, run: Run, outcome: str, now: float) -> None:
        """Record the end of a run that is still among those of its runner."""

    @abstractmethod
    def pairs(self, now: float) -> list[PairView]:
        """Return what is known of the pairs of images."""
