"""Expected durations of tasks, by which stages are ordered and the ends of runs are foreseen."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

from ragworttiller.scheduling.state.durations import DurationKey, Durations
from ragworttiller.scheduling.state.runs import Stage


class EstimatePolicy(ABC):
    """Tells how long the tasks of a stage are expected to take.

    Attributes
    ----------
    durations : Durations
        Observed durations of tasks.
    """

    def __init__(self) -> None:
        self.durations = Durations()

    @abstractmethod
    def seconds(self, stage: Stage, key: DurationKey) -> float:
        """Return the expected duration of a task on a runner of mean speed, in seconds.

        Parameters
        ----------
        stage : Stage
            Stage of the task.
        key : DurationKey
            Key under which its durations are learnt.
        """


class SubmittedEstimates(EstimatePolicy):
    """Take the estimate of the submission; the baseline."""

    @override
    def seconds(self, stage: Stage, key: DurationKey) -> float:
        return stage.spec.estimate


class LearntEstimates(EstimatePolicy):
    """Take the usual duration of ended tasks of the stage, else correct the estimate.

    The tasks of a stage have the same work, which neither the estimate nor other stages of the same
    image tell as well.
    """

    @override
    def seconds(self, stage: Stage, key: DurationKey) -> float:
        if stage.ended_seconds is not None:
            return stage.ended_seconds
        return stage.spec.estimate * self.durations.correction(key)
