"""Records of the cell in the store, and their encoding."""

from __future__ import annotations

from enum import StrEnum
from types import NoneType, UnionType
from typing import Any, NamedTuple, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.store import Partition
from ragworttiller.scheduling.jobs import JobSpec, StageId

T = TypeVar("T")

JOBS = Partition("keyed.jobs", 0)
OWNER = Partition("keyed.owner", 0)
ENTRIES = Partition("keyed.entries", 0)

OWNER_KEY = "owner"
PROGRESS_SUFFIX = "/progress"
CANCEL_SUFFIX = "/cancel"


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Accepted(NamedTuple):
    """Job that was accepted at ``wall``, in seconds since the epoch.

    ``queue`` is the queue as it was then; it stands in for one that was dropped since.
    """

    queue: Queue
    job: JobSpec
    wall: float


class StageProgress(NamedTuple):
    """What has ended of one stage.

    ``done`` has one bit for each task, the lowest first. ``failures`` has the numbers of the runs
    that failed, so that an end that is listed again counts once; it and ``checkpoints`` are by the
    task's index.
    """

    occurrence: int
    step: int
    done: bytes
    failures: dict[int, list[int]]
    checkpoints: dict[int, str]


class Progress(NamedTuple):
    """What has ended of a job; ``state`` is set once the job has ended."""

    state: str
    stages: list[StageProgress]


class Withdrawn(NamedTuple):
    """Runner on which the owner starts nothing more, and the tasks that it may still run.

    ``renewed`` tells whether the owner goes on renewing its lease, as on a draining runner.
    """

    runner: str
    tasks: list[str]
    renewed: bool = False


class Claim(NamedTuple):
    """State of the ownership of the cell.

    ``roster`` names the runners to which orders may go, ``withdrawn`` those of them on which
    nothing starts any more. ``pending`` counts, by queue, the jobs that have not begun among those
    before ``position``. ``successor`` is set when the owner gives up its ownership.
    """

    owner: str
    incarnation: int
    epoch: int
    position: int
    roster: list[str]
    withdrawn: list[Withdrawn]
    pending: dict[str, int]
    successor: str = ""
    released: bool = False


class EntryRecord(NamedTuple):
    """Where an entry listens for its peers; ``speed`` is what it can use, in cores."""

    address: str
    incarnation: int
    speed: float = 1.0


def encode(record: NamedTuple) -> bytes:
    """Return a record's bytes."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes, form: type[T]) -> T:
    """Return the record that bytes stand for.

    Raises
    ------
    Unreadable
        The bytes are no record of this form.
    """
    try:
        return msgspec.msgpack.decode(value, type=form)
    except msgspec.MsgspecError:
        return _decode_later(value, form)


def _decode_later(value: bytes, form: type[T]) -> T:
    """Return the record that a later version has written: records only ever grow at their ends."""
    try:
        return msgspec.convert(_known(msgspec.msgpack.decode(value), form), form)
    except msgspec.MsgspecError as exc:
        raise Unreadable(what=form.__name__, problem=str(exc)) from exc


def _known(value: Any, form: Any) -> Any:
    """Return a decoded value without the fields that a form does not have."""
    if get_origin(form) in (Union, UnionType):
        form = next(choice for choice in get_args(form) if choice is not NoneType)
    if isinstance(value, dict) and get_origin(form) is dict:
        return {key: _known(item, get_args(form)[1]) for key, item in value.items()}
    if isinstance(value, list) and get_origin(form) in (list, tuple):
        return [_known(item, get_args(form)[0]) for item in value]
    if isinstance(value, list) and hasattr(form, "_fields"):
        hints = get_type_hints(form)
        rows = zip(form._fields, value, strict=False)
        return [_known(item, hints[field]) for field, item in rows]
    return value


def encode_bitmap(done: set[int], count: int) -> bytes:
    """Return a bitmap of the tasks in ``done``."""
    return sum(1 << index for index in done).to_bytes((count + 7) // 8, "little")


def decode_bitmap(bits: bytes) -> set[int]:
    """Return the tasks that a bitmap holds."""
    number = int.from_bytes(bits, "little")
    return {index for index in range(number.bit_length()) if number >> index & 1}


def stage_id(job: str, progress: StageProgress) -> StageId:
    """Return the stage that a progress belongs to."""
    return StageId(job, progress.occurrence, progress.step)
