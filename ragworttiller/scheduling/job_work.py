"""Job that an owner works on."""

from __future__ import annotations

from collections.abc import Iterator

from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.job_fold import JobRow
from ragworttiller.scheduling.jobs import JobSpec, StageId
from ragworttiller.scheduling.order import Standing
from ragworttiller.scheduling.records import JobState, Progress, stage_id
from ragworttiller.scheduling.runs import Stage


class JobWork:
    """Stages of one job, and what is known of its time.

    Parameters
    ----------
    job : str
        Identifier of the job.
    row : JobRow
        What the store tells of it; the job is accepted.
    now : float
        Time of the owner, in seconds.
    wall : float
        Time of day, in seconds since the epoch.
    """

    def __init__(self, job: str, row: JobRow, now: float, wall: float) -> None:
        assert row.accepted is not None
        self.id = job
        self.row = row
        self.queue: Queue = row.accepted.queue
        self.spec: JobSpec = row.accepted.job
        self.state = row.progress.state
        self.since = now - min(max(wall - row.accepted.wall, 0.0), 60.0)
        self.stages: dict[StageId, Stage] = {}
        restored = {stage_id(job, progress): progress for progress in row.progress.stages}
        for occurrence in range(self.spec.times):
            for step, spec in enumerate(self.spec.steps):
                name = StageId(job, occurrence, step)
                stage = self.stages[name] = Stage(name, spec)
                if name in restored:
                    stage.restore(restored[name])

    @property
    def begun(self) -> bool:
        """Whether a task of the job has started."""
        return any(stage.begun for stage in self.stages.values())

    @property
    def complete(self) -> bool:
        """Whether every task has ended as done."""
        return all(stage.complete for stage in self.stages.values())

    @property
    def open(self) -> bool:
        """Whether tasks of the job may start."""
        return not self.state and not self.row.cancelled

    def ready(self, wall: float) -> Iterator[Stage]:
        """Yield the stages whose turn has come and that have waiting tasks."""
        for stage in self.stages.values():
            if stage.waiting and self.due(stage) <= wall and self.preceded(stage):
                yield stage

    def due(self, stage: Stage) -> float:
        """Return the time of day from which a stage may run, in seconds since the epoch."""
        occurrences = self.spec.occurrences
        return occurrences.due(stage.id.occurrence) if occurrences else 0.0

    def preceded(self, stage: Stage) -> bool:
        """Return whether every stage that has to come first is complete."""
        return all(before.complete for before in self.before(stage))

    def before(self, stage: Stage) -> list[Stage]:
        """Return the stages that a stage waits for."""
        return [self.stages[stage.id._replace(step=step)] for step in stage.spec.after]

    def standing(self) -> Standing:
        """Return what the order of the job depends on."""
        ends: dict[StageId, float] = {}
        for name, stage in self.stages.items():
            start = max((ends[name._replace(step=s)] for s in stage.spec.after), default=0.0)
            ends[name] = start if stage.complete else start + stage.spec.estimate
        objective = self.queue.slack_factor * self.spec.chain + self.queue.target_latency
        return Standing(self.queue.priority, self.since, objective, max(ends.values()))

    def progress(self) -> Progress:
        """Return what has to be recorded of the job."""
        stages = [
            s.progress() for s in self.stages.values() if s.done or s.failures or s.checkpoints
        ]
        return Progress(str(self.state), stages)

    def settle(self) -> JobState | None:
        """Set and return the job's final state if it has just reached one."""
        if not self.open:
            return None
        if self.complete:
            self.state = JobState.COMPLETED
        elif any(self._exhausted(stage) for stage in self.stages.values()):
            self.state = JobState.FAILED
        return JobState(self.state) if self.state else None

    def _exhausted(self, stage: Stage) -> bool:
        if stage.spec.daemon:
            return False
        return any(len(runs) >= self.queue.attempts for runs in stage.failures.values())
