"""Active job, as known to the owner of the cell."""

from __future__ import annotations

from collections.abc import Iterator, Set
from typing import NamedTuple

from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.decisions.crash_rules import gives_up
from ragworttiller.scheduling.decisions.estimates import EstimatePolicy
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.records.formats import Crash, JobState, Progress, stage_id
from ragworttiller.scheduling.records.job_fold import JobRow
from ragworttiller.scheduling.state.durations import DurationKey, duration_key
from ragworttiller.scheduling.state.job_stages import JobStages
from ragworttiller.scheduling.state.jobs import JobSpec, StageId, StepSpec, TaskId, waves
from ragworttiller.scheduling.state.runs import Stage

# Maximum age that a job is given when its owner first reads it.
MAX_INITIAL_AGE_SECONDS = 60.0


class GivenUpTask(NamedTuple):
    """Task that is not started again, which fails its job.

    Attributes
    ----------
    task : str
        Name of the task.
    failed_runs : tuple of int
        Numbers of its runs that ended as failed.
    crashes : tuple of Crash
        Runners lost under it; empty if it is given up for its failed runs.
    """

    task: str
    failed_runs: tuple[int, ...]
    crashes: tuple[Crash, ...]


class JobWork:
    """Stages, state and scheduling inputs of one active job.

    Parameters
    ----------
    job : str
        Identifier of the job.
    row : JobRow
        Records of the job in the store; the job is accepted.
    now : float
        Time of the owner, in seconds.
    wall : float
        Time of day, in seconds since the epoch.
    estimates : EstimatePolicy
        Tells how long tasks are expected to take.
    """

    def __init__(
        self, job: str, row: JobRow, now: float, wall: float, estimates: EstimatePolicy
    ) -> None:
        assert row.accepted is not None
        self.id = job
        self.row = row
        self.queue: Queue = row.accepted.queue
        self.spec: JobSpec = row.accepted.job
        self.workspace = row.accepted.workspace
        # Its stages keep this key if the queue is configured anew.
        self._queue_key = self.queue.key
        self._estimates = estimates
        self._duration_keys = [duration_key(step.image, self.queue.key) for step in self.spec.steps]
        self.state = row.progress.state
        self.accepted_at = now - min(max(wall - row.accepted.wall, 0.0), MAX_INITIAL_AGE_SECONDS)
        self.stages = JobStages(job, self.spec, self._make_stage)
        self._widths: tuple[int, ...] | None = None
        self._was_held = False
        self._critical_path_seconds = self.spec.critical_path_seconds()
        self.stages.build_due(wall)
        restored = {stage_id(job, progress): progress for progress in row.progress.stages}
        for name, progress in sorted(restored.items()):
            stage = self.stages.get(name)
            if stage is not None:
                stage.restore(progress)

    def _make_stage(self, name: StageId, spec: StepSpec) -> Stage:
        return Stage(name, spec, self.workspace, self._queue_key)

    @property
    def has_started(self) -> bool:
        """Whether a task of the job has started."""
        return any(stage.has_started for stage in self.stages.values())

    @property
    def complete(self) -> bool:
        """Whether every task has ended as done."""
        return self.stages.all_built and all(stage.complete for stage in self.stages.values())

    @property
    def open(self) -> bool:
        """Whether tasks of the job may start."""
        return not self.state and not self.row.cancelled

    @property
    def runs_anything(self) -> bool:
        """Whether a task of the job runs, or is about to."""
        return any(stage.active_runs for stage in self.stages.values())

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether the job is open and a task of it waits, also one that may not start yet."""
        return self.open and (not self.stages.all_built or any(self.waiting_stages()))

    def set_widths(self, widths: tuple[int, ...] | None) -> None:
        """Set how many tasks of each step the cap of the workspace allows, None for all."""
        self._widths = widths
        self._critical_path_seconds = self.spec.critical_path_seconds(self._widths)

    def waiting_stages(self) -> Iterator[Stage]:
        """Yield the built stages that have waiting tasks, none unless the job is open."""
        for stage in self.stages.values() if self.open else ():
            if stage.waiting.size:
                yield stage

    def ready(self, wall: float) -> Iterator[Stage]:
        """Yield the due stages that have waiting tasks and whose predecessors are complete."""
        if not self.stages.reached_all:
            self.stages.build_due(wall)
        for stage in self.stages.values():
            if not stage.waiting.size or not self.predecessors_complete(stage):
                continue
            if self.spec.occurrences is None or self.due(stage) <= wall:
                yield stage

    def due(self, stage: Stage) -> float:
        """Return the time from which a stage may run, in seconds since the epoch."""
        occurrences = self.spec.occurrences
        return occurrences.due(stage.id.occurrence) if occurrences else 0.0

    def predecessors_complete(self, stage: Stage) -> bool:
        """Return whether all stages that a stage depends on are complete."""
        if not stage.spec.after:
            return True
        steps = self.stages.built[stage.id.occurrence]
        return all(steps[step].complete for step in stage.spec.after)

    def predecessors(self, stage: Stage) -> list[Stage]:
        """Return the stages that a stage depends on."""
        if not stage.spec.after:
            return []
        steps = self.stages.built[stage.id.occurrence]
        return [steps[step] for step in stage.spec.after]

    def denied_runners(self, stage: Stage) -> Set[str]:
        """Return the runners on which the advisor does not allow a stage, as far as is known."""
        return stage.tickets.denied if self.queue.advice is not None else frozenset()

    def order_inputs(
        self,
        stage: Stage,
        now: float,
        wall: float,
        known: dict[int, OrderInputs] | None = None,
    ) -> OrderInputs:
        """Return the inputs of the queue order for a stage.

        An occurrence counts from its due time, and a lasting task from its last end.

        They are the same for all stages of an occurrence that do not last. A caller that asks for
        many stages of the job at once, while nothing of it changes, gives the same dictionary for
        all: each occurrence is then searched once, and not again for each of its up to 500 stages.

        Parameters
        ----------
        stage : Stage
            Stage of the job.
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        known : dict, optional
            What earlier calls have returned, by occurrence; this call adds its own.
        """
        since = max(self.accepted_at, now + self.due(stage) - wall)
        if stage.spec.daemon:
            since = max(since, stage.last_requeued_at)
            return OrderInputs(self.queue.priority, since, self.queue.target_latency, 0.0, True)
        known = {} if known is None else known
        if stage.id.occurrence not in known:
            known[stage.id.occurrence] = self._occurrence_inputs(stage.id.occurrence, since, now)
        return known[stage.id.occurrence]

    def _occurrence_inputs(self, occurrence: int, since: float, now: float) -> OrderInputs:
        """Return the inputs for the stages of an occurrence, which counts ``since`` a time."""
        objective = (
            self.queue.slack_factor * self._critical_path_seconds + self.queue.target_latency
        )
        remaining = self._remaining_seconds(occurrence)
        held = self._held_seconds(occurrence, now) if self._was_held else 0.0
        return OrderInputs(self.queue.priority, since, objective, remaining, held=held)

    def hold_for_cap(self, stage: Stage, now: float) -> None:
        """Record that the cap of the workspace allows none of a stage's tasks.

        While some of them run, the wait of the others is part of the objective, as waves.
        """
        if stage.active_runs:
            stage.cap_hold.end(now)
        else:
            self._was_held = True
            stage.cap_hold.begin(now)

    def _held_seconds(self, occurrence: int, now: float) -> float:
        """Return for how long the cap has held an occurrence, along its longest held chain."""
        held: list[float] = []
        for stage in self.stages.of(occurrence):
            start = max((held[step] for step in stage.spec.after), default=0.0)
            held.append(start + stage.cap_hold.seconds(now))
        return max(held)

    def duration_key(self, stage: Stage) -> DurationKey:
        """Return the key under which the durations of a stage's tasks are learnt."""
        return self._duration_keys[stage.id.step]

    def expected_seconds(self, stage: Stage) -> float:
        """Return the expected duration of a task on a runner of mean speed, in seconds."""
        return self._estimates.seconds(stage, self.duration_key(stage))

    def _remaining_seconds(self, occurrence: int) -> float:
        """Return the expected duration of the longest unfinished chain of an occurrence."""
        ends: list[float] = []
        for stage in self.stages.of(occurrence):
            after = stage.spec.after
            start = max([ends[step] for step in after]) if after else 0.0
            ends.append(start if stage.complete else start + self._stage_seconds(stage))
        return max(ends)

    def _stage_seconds(self, stage: Stage) -> float:
        """Return the estimated duration of the waves in which a stage's unfinished tasks run."""
        if self._widths is None:
            return self.expected_seconds(stage)
        left = stage.spec.tasks - len(stage.done)
        return self.expected_seconds(stage) * waves(left, self._widths[stage.id.step])

    def progress(self) -> Progress:
        """Return the progress of the job to record."""
        stages = [stage.progress() for stage in self.stages.values() if stage.has_progress]
        return Progress(str(self.state), stages)

    def update_final_state(self) -> JobState | None:
        """Set the job's final state if it has just reached one, and return it."""
        if not self.open:
            return None
        if self.complete:
            self.state = JobState.COMPLETED
        elif self.given_up_task() is not None:
            self.state = JobState.FAILED
        return JobState(self.state) if self.state else None

    def given_up_task(self) -> GivenUpTask | None:
        """Return the first task that is not started again, None if there is none."""
        return next(filter(None, map(self._given_up, self.stages.values())), None)

    def _given_up(self, stage: Stage) -> GivenUpTask | None:
        """Return the first task of a stage that is not started again."""
        for index, rows in stage.crashes.items():
            if gives_up(rows):
                failed = stage.failed_runs.get(index, ())
                return GivenUpTask(str(TaskId(stage.id, index)), tuple(failed), tuple(rows))
        if stage.spec.daemon:
            return None
        for index, runs in stage.failed_runs.items():
            if len(runs) >= self.queue.attempts:
                return GivenUpTask(str(TaskId(stage.id, index)), tuple(runs), ())
        return None
