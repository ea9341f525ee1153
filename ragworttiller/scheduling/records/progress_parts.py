"""Progress of a job as one or several records, since the store limits the size of a record.

The progress of most jobs is one record. That of a job with many tasks, or with long checkpoints, is
divided into parts with a key each: the first one tells how many there are, and parts beyond that
number are left over from a longer progress.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ragworttiller.exceptions import RecordTooLong
from ragworttiller.platform.store import KeyedRecord
from ragworttiller.scheduling.records.formats import (
    PROGRESS_SUFFIX,
    Progress,
    StageProgress,
    encode,
    encode_value,
)

# Fields of `StageProgress` that hold a value for each task.
TASK_FIELDS = (
    "failures",
    "checkpoints",
    "crashes",
    "trials",
    "losses",
    "trial_addresses",
    "placements",
)
# Length of the key in a record, its own length, and a length for each field of a part.
OVERHEAD_BYTES = 64
# Most that a stage takes in a part beside its tasks: its numbers and the heads of its fields.
STAGE_BYTES = 64


class _Entry(NamedTuple):
    """Value of one task in one field of a stage."""

    field: str
    task: int
    value: Any


def part_key(job: str, number: int) -> str:
    """Return the key of a part of a job's progress."""
    return job + PROGRESS_SUFFIX + (f"/{number}" if number else "")


def progress_records(job: str, progress: Progress, record_bytes: int) -> list[KeyedRecord]:
    """Return the records of a job's progress, the first part last: it makes the others count.

    Raises
    ------
    RecordTooLong
        The value of a single task is longer than a record may be.
    """
    limit = record_bytes - len(part_key(job, 0).encode()) - OVERHEAD_BYTES
    whole = encode(progress)
    if len(whole) <= limit:
        return [KeyedRecord(part_key(job, 0), whole)]
    parts = _split(job, progress, limit)
    rows = [(number, Progress("", stages, 0)) for number, stages in enumerate(parts[1:], 1)]
    rows.append((0, Progress(progress.state, parts[0], len(parts))))
    return [KeyedRecord(part_key(job, number), encode(part)) for number, part in rows]


def merge_parts(parts: Mapping[int, Progress]) -> Progress:
    """Return the progress that the parts which were read make up."""
    first = parts.get(0, Progress("", []))
    numbers = [number for number in sorted(parts) if 0 < number < first.parts]
    if not numbers:
        return first
    stages: dict[tuple[int, int], StageProgress] = {}
    for number in (0, *numbers):
        for row in parts.get(number, first).stages:
            key = (row.occurrence, row.step)
            stages[key] = _joined(stages[key], row) if key in stages else row
    return first._replace(stages=list(stages.values()))


def _joined(one: StageProgress, other: StageProgress) -> StageProgress:
    """Return one stage of two parts as one."""
    fields: dict[str, Any] = {}
    for name in TASK_FIELDS:
        rows = [row for row in (getattr(one, name), getattr(other, name)) if row is not None]
        fields[name] = {k: v for row in rows for k, v in row.items()} if rows else None
    return one._replace(done=one.done or other.done, **fields)


def _split(job: str, progress: Progress, limit: int) -> list[list[StageProgress]]:
    """Return the stages of each part, none longer than ``limit`` bytes."""
    parts: list[list[StageProgress]] = [[]]
    used = 0
    for stage in progress.stages:
        size = STAGE_BYTES + len(stage.done)
        if used + size > limit:
            parts.append([])
            used = 0
        parts[-1].append(_without_tasks(stage, stage.done))
        used += size
        for entry in _entries(stage):
            size = len(encode_value({entry.task: entry.value}))
            if STAGE_BYTES + size > limit:
                raise RecordTooLong(key=part_key(job, 0), bytes=size, limit=limit)
            if used + size > limit:
                parts.append([_without_tasks(stage, b"")])
                used = STAGE_BYTES
            getattr(parts[-1][-1], entry.field)[entry.task] = entry.value
            used += size
    return parts


def _entries(stage: StageProgress) -> Iterator[_Entry]:
    for field in TASK_FIELDS:
        for task, value in (getattr(stage, field) or {}).items():
            yield _Entry(field, task, value)


def _without_tasks(stage: StageProgress, done: bytes) -> StageProgress:
    """Return a stage with empty fields in place of those that hold something of its tasks."""
    fields: dict[str, Any] = {
        name: None if getattr(stage, name) is None else {} for name in TASK_FIELDS
    }
    return StageProgress(stage.occurrence, stage.step, done, **fields)
