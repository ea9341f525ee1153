"""Tells operators what would happen to a submission, without sending, storing or reserving."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from ragworttiller.exceptions import (
    ApiKeyUnknown,
    CellFull,
    GangExceedsCap,
    InvalidField,
    NotFound,
)
from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.submissions import decode_job
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.caps import exceeds_cap
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.records.formats import Accepted
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.jobs import JobSpec
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.placement_preview import JobPreview, preview_job
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE


class Submission(msgspec.Struct):
    """Submission to look at; ``job`` is the body that a caller would send to ``host`` and ``path``.

    ``workspace`` is named in place of an API key, which would not stay secret here.
    """

    host: str
    path: str
    job: msgspec.Raw
    workspace: str = NO_WORKSPACE


class DryRun(TypedDict):
    """Result; ``refused`` is the code of the error that a caller would get, empty for none.

    ``retry_after`` is in seconds, 0 without a refusal that lasts for a time.
    """

    refused: str
    retry_after: float
    job: JobPreview


class DryRuns:
    """Looks at submissions from the live state of the owner.

    Parameters
    ----------
    config : QueueFold
        Current configuration.
    admission : AdmissionGate
        Refuses new jobs while the cell is full.
    clock : Clock
        Source of time.
    """

    def __init__(self, config: QueueFold, admission: AdmissionGate, clock: Clock) -> None:
        self._config = config
        self._admission = admission
        self._clock = clock

    def result(self, cell: Cell, body: bytes) -> DryRun:
        """Return what would happen to a submission.

        Raises
        ------
        InvalidField, Unreadable
            The body is no submission, or the job in it is not valid.
        QueueUnknown
            No queue matches its host and path.
        NotFound
            There is no such workspace.
        """
        submission = _decode(body)
        queue = self._config.find(submission.host, submission.path)
        workspace = submission.workspace
        if workspace and workspace not in self._config.workspaces:
            raise NotFound(kind="workspace", name=workspace)
        spec = decode_job(bytes(submission.job))
        refused, retry_after = self._refusal(queue, spec, workspace)
        wall = self._clock.wall()
        accepted = Accepted(queue, spec, wall, workspace)
        preview = preview_job(cell, accepted, self._clock.now(), wall)
        return DryRun(refused=refused, retry_after=retry_after, job=preview)

    def _refusal(self, queue: Queue, spec: JobSpec, workspace: str) -> tuple[str, float]:
        """Return the code of the refusal and the seconds after which to retry, or neither."""
        row = self._config.workspaces.get(workspace)
        if row is not None and any(exceeds_cap(row.cap, step) for step in spec.steps):
            return GangExceedsCap.code, 0.0
        if not workspace and self._config.decides_by_key(queue, ""):
            return ApiKeyUnknown.code, 0.0
        refusal = self._admission.refusal(queue, spec, workspace)
        return (CellFull.code, round(refusal.retry_after, 3)) if refusal else ("", 0.0)


def _decode(body: bytes) -> Submission:
    try:
        return msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise InvalidField(
            field="submission", problem=str(exc), allowed="host, path, job, workspace"
        ) from exc
