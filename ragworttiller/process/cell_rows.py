"""Jobs and running tasks as the fold of a cell shard keeps them."""

from __future__ import annotations

from array import array
from typing import NamedTuple

from ragworttiller.records import JobSubmitted
from ragworttiller.resources import Resources

PENDING = 0
RUNNING = 1
DONE = 2
FAILED = 3
TASK_STATES = ("pending", "running", "done", "failed")


class Running(NamedTuple):
    """Task that is licensed and has not ended.

    ``shard`` is the shard of the worker. ``decision`` names the decision that licensed the task,
    empty for a `TaskStarted`. ``at`` is in wall-clock seconds; no verdict of the fold depends on
    it.
    """

    attempt: int
    worker: str
    shard: int
    need: Resources
    holder: str
    offset: int
    decision: str
    at: float


class EndedJob(NamedTuple):
    """Summary of a job whose last task has ended.

    ``counts`` is the number of tasks in each of `TASK_STATES`. ``waited`` is the time from the
    submission to the first start in seconds, negative if no task started.
    """

    workspace: str
    template: str
    version: int
    kind: str
    state: str
    reason: str
    counts: tuple[int, int, int, int]
    waited: float


class JobRow:
    """Job that has not ended or still has running tasks.

    ``states`` and ``attempts`` are indexed by task. ``started_at`` is the time of the first license
    in wall-clock seconds, 0 before it.

    Parameters
    ----------
    submitted : JobSubmitted
        Record of the job.
    offset : int
        Offset of that record.
    """

    __slots__ = (
        "submitted",
        "offset",
        "state",
        "reason",
        "started_at",
        "states",
        "attempts",
        "running",
    )

    def __init__(self, submitted: JobSubmitted, offset: int) -> None:
        self.submitted = submitted
        self.offset = offset
        self.state = ""
        self.reason = ""
        self.started_at = 0.0
        self.states = bytearray(submitted.tasks)
        self.attempts = array("I", bytes(4 * submitted.tasks))
        self.running: dict[int, Running] = {}

    @property
    def counts(self) -> tuple[int, int, int, int]:
        """Number of tasks in each of `TASK_STATES`."""
        states = self.states
        return (
            states.count(PENDING),
            states.count(RUNNING),
            states.count(DONE),
            states.count(FAILED),
        )

    @property
    def waited(self) -> float:
        """Seconds from the submission to the first start, negative if no task started."""
        return self.started_at - self.submitted.at if self.started_at else -1.0

    def to_ended_job(self) -> EndedJob:
        """Return the summary of the job."""
        job = self.submitted
        return EndedJob(
            job.workspace,
            job.template,
            job.version,
            job.kind,
            self.state,
            self.reason,
            self.counts,
            self.waited,
        )


class JobDump(NamedTuple):
    """Serialized `JobRow` of a snapshot."""

    submitted: JobSubmitted
    offset: int
    state: str
    reason: str
    started_at: float
    states: bytes
    attempts: list[int]
    running: dict[int, Running]

    @classmethod
    def from_row(cls, row: JobRow) -> JobDump:
        """Return the serialized form of a row."""
        return cls(
            row.submitted,
            row.offset,
            row.state,
            row.reason,
            row.started_at,
            bytes(row.states),
            list(row.attempts),
            row.running,
        )

    def to_row(self) -> JobRow:
        """Return the row that this form was made from."""
        row = JobRow(self.submitted, self.offset)
        row.state, row.reason, row.started_at = self.state, self.reason, self.started_at
        row.states = bytearray(self.states)
        row.attempts = array("I", self.attempts)
        row.running = self.running
        return row


def job_of(task: str) -> str:
    """Return the job of a task id ``job/index``."""
    return task.rpartition("/")[0]


def index_of(task: str) -> int:
    """Return the index of a task id ``job/index``, -1 if it is malformed."""
    text = task.rpartition("/")[2]
    return int(text) if text.isdecimal() else -1


def state_after(reason: str, idempotent: bool) -> int:
    """Return the state of a task whose attempt has ended.

    A failed task that is not idempotent may have taken effect, so it is not started again.
    """
    if reason == "done":
        return DONE
    if reason == "failed" and not idempotent:
        return FAILED
    return PENDING
