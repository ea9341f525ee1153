"""Stages of a job at work: their tasks, and the runs of these on runners."""

from __future__ import annotations

from enum import StrEnum

from ragworttiller.resources import Resources
from ragworttiller.scheduling.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.records import StageProgress, decode_bitmap, encode_bitmap
from ragworttiller.scheduling.tickets import Tickets

RUNS_PER_EPOCH = 10_000


class RunState(StrEnum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on a runner; times are in seconds.

    Attributes
    ----------
    start_deadline : float
        Time on the runner's clock after which the start is no longer carried out.
    moved_at : float
        Time at which the percentage last rose.
    ordered_at : float
        Time of the last start or stop order.
    """

    def __init__(self, task: TaskId, number: int, runner: str, spec: StepSpec, now: float) -> None:
        self.task = task
        self.number = number
        self.runner = runner
        self.spec = spec
        self.state = RunState.STARTING
        self.started_at = now
        self.ordered_at = now
        self.start_deadline = 0.0
        self.checkpoint = ""
        self.percent = 0.0
        self.moved_at = now
        self.load = 0.0

    @property
    def room(self) -> Resources:
        """Room that the run takes of its runner."""
        return self.spec.room

    @property
    def key(self) -> tuple[TaskId, int]:
        """What names the run on its runner."""
        return self.task, self.number

    def observe(self, percent: float, checkpoint: str, load: float, now: float) -> None:
        """Take over what the runner tells of the run."""
        if self.state is RunState.STARTING:
            self.state = RunState.RUNNING
            self.moved_at = now
        if percent != self.percent:
            self.percent, self.moved_at = percent, now
        self.checkpoint = checkpoint or self.checkpoint
        self.load = load


class Stage:
    """One step of one occurrence, with the place of each of its tasks.

    Every task is in exactly one of ``done``, ``waiting`` and ``live``.

    Parameters
    ----------
    stage : StageId
        Name of the stage.
    spec : StepSpec
        Its step.
    """

    def __init__(self, stage: StageId, spec: StepSpec) -> None:
        self.id = stage
        self.spec = spec
        self.done: set[int] = set()
        self.waiting: list[int] = list(range(spec.tasks - 1, -1, -1))
        self.live: dict[int, Run] = {}
        self.failures: dict[int, list[int]] = {}
        self.checkpoints: dict[int, str] = {}
        self.failed_on: dict[int, str] = {}
        self.tickets = Tickets()
        self.blocked_since: float | None = None
        self._starts: dict[int, int] = {}

    @property
    def complete(self) -> bool:
        """Whether every task has ended as done."""
        return len(self.done) == self.spec.tasks

    @property
    def begun(self) -> bool:
        """Whether a task has started."""
        return bool(self.done or self.live or self._starts or self.failures)

    def restore(self, progress: StageProgress) -> None:
        """Take over what an earlier owner has recorded."""
        self.done = {index for index in decode_bitmap(progress.done) if index < self.spec.tasks}
        self.waiting = [index for index in self.waiting if index not in self.done]
        self.failures = {index: list(runs) for index, runs in progress.failures.items()}
        self.checkpoints = dict(progress.checkpoints)

    def progress(self) -> StageProgress:
        """Return what has to be recorded of the stage."""
        return StageProgress(
            self.id.occurrence,
            self.id.step,
            encode_bitmap(self.done, self.spec.tasks),
            {index: list(runs) for index, runs in self.failures.items()},
            {i: text for i, text in self.checkpoints.items() if i not in self.done},
        )

    def start(self, index: int, runner: str, epoch: int, now: float, number: int = 0) -> Run:
        """Take a waiting task into work and return its run."""
        self.waiting.remove(index)
        number = number or self.next_number(index, epoch)
        self._starts[index] = number
        run = Run(TaskId(self.id, index), number, runner, self.spec, now)
        run.checkpoint = self.checkpoints.get(index, "")
        self.live[index] = run
        return run

    def next_number(self, index: int, epoch: int) -> int:
        """Return a number above those of all earlier runs of a task, by any owner."""
        return max(self._starts.get(index, 0), (epoch - 1) * RUNS_PER_EPOCH) + 1

    def adopt(self, run: Run) -> None:
        """Take over a run that an earlier owner has started."""
        index = run.task.ordinal
        self.waiting.remove(index)
        self._starts[index] = max(self._starts.get(index, 0), run.number)
        self.live[index] = run

    def finish(self, index: int) -> None:
        """Record that a task has ended as done."""
        self.live.pop(index, None)
        if index in self.waiting:
            self.waiting.remove(index)
        self.done.add(index)

    def fail(self, index: int, number: int) -> None:
        """Record that a run of a task has failed; the same end may be told more than once."""
        runs = self.failures.setdefault(index, [])
        if number not in runs:
            runs.append(number)

    def requeue(self, run: Run) -> None:
        """Let a task wait again after its run has ended."""
        index = run.task.ordinal
        if self.live.get(index) is not run:
            return
        del self.live[index]
        if self.spec.checkpoints and run.checkpoint:
            self.checkpoints[index] = run.checkpoint
        self.waiting.append(index)
