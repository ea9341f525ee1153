"""Status of jobs and workers as returned to operators."""

from __future__ import annotations

from typing import TypedDict

from ragworttiller.exceptions import NotFound
from ragworttiller.process.cell_rows import TASK_STATES, EndedJob, JobRow
from ragworttiller.process.cell_state import CellState
from ragworttiller.resources import Resources


class JobStatus(TypedDict):
    """Status of a job.

    ``state`` is ``pending``, ``running``, ``done``, ``failed``, ``cancelled`` or ``refused``.
    ``tasks`` counts tasks by state. ``waited`` is the time in seconds from the submission to the
    first start, or until now before it; 0 if the job ended without a start.
    """

    job: str
    workspace: str
    template: str
    version: int
    kind: str
    state: str
    tasks: dict[str, int]
    reason: str
    waited: float


class WorkerStatus(TypedDict):
    """Status of a worker and its bookings; ``blocks`` lists why it gets no new tasks."""

    worker: str
    state: str
    failure_domain: str
    rack: str
    capacity: Resources
    booked: Resources
    tasks: int
    blocks: list[str]


def status_of(state: CellState, job: str) -> JobStatus:
    """Return the status of a job.

    Raises
    ------
    NotFound
        The shard knows no such job.
    """
    row = state.fold.jobs.get(job)
    if row is not None:
        return _open_status(row, state.wall())
    ended = state.fold.ended.get(job)
    if ended is not None:
        return _ended_status(job, ended)
    raise NotFound(kind="job", name=job)


def _open_status(row: JobRow, wall: float) -> JobStatus:
    """Return the status of a job that has not ended or still has running tasks."""
    job = row.submitted
    waited = row.waited if row.waited >= 0 else max(0.0, wall - job.at)
    return JobStatus(
        job=job.job,
        workspace=job.workspace,
        template=job.template,
        version=job.version,
        kind=job.kind,
        state=row.state or ("running" if row.running else "pending"),
        tasks=dict(zip(TASK_STATES, row.counts, strict=True)),
        reason=row.reason,
        waited=waited,
    )


def _ended_status(job: str, ended: EndedJob) -> JobStatus:
    """Return the status of a job that has ended."""
    return JobStatus(
        job=job,
        workspace=ended.workspace,
        template=ended.template,
        version=ended.version,
        kind=ended.kind,
        state=ended.state,
        tasks=dict(zip(TASK_STATES, ended.counts, strict=True)),
        reason=ended.reason,
        waited=max(0.0, ended.waited),
    )
