"""Names of jobs and tasks in the format of runners and the advisor."""

from __future__ import annotations

import re

from ragworttiller.exceptions import Unreadable
from ragworttiller.scheduling.state.jobs import StageId, TaskId

# Contract of a deployment in which callers send the API keys of workspaces.
WORKSPACES_CONTRACT = "tenants"

_JOB = re.compile(r"[0-9a-fA-F]{16}")
_TASK = re.compile(r"([0-9a-fA-F]{16})\.(\d{1,9})\.(\d{1,6})\.(\d{1,6})")


def task_id(text: str) -> TaskId:
    """Parse the name of a task.

    Raises
    ------
    Unreadable
        The text is not the name of a task.
    """
    found = _TASK.fullmatch(text)
    if found is None:
        raise Unreadable(what="task name", problem=text[:80])
    job, occurrence, step, index = found.groups()
    return TaskId(StageId(job, int(occurrence), int(step)), int(index))


def is_job_id(text: str) -> bool:
    """Return whether a text can be the identifier of a job."""
    return _JOB.fullmatch(text) is not None
