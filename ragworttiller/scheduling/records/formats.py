"""Records of the cell in the store, and their encoding."""

from __future__ import annotations

from enum import StrEnum
from types import NoneType, UnionType
from typing import Any, NamedTuple, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.configuration import Queue
from ragworttiller.platform.store import Partition
from ragworttiller.platform.submissions import MAX_TASKS
from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.state.jobs import JobSpec, StageId
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

T = TypeVar("T")

JOBS = Partition("keyed.jobs", 0)
OWNER = Partition("keyed.owner", 0)
ENTRIES = Partition("keyed.entries", 0)

OWNER_KEY = "owner"
# Sorts after all jobs: a reader of the newest records by key that misses it has read no later job.
OWNER_CHANGE_KEY = "owner"
PROGRESS_SUFFIX = "/progress"
CANCEL_SUFFIX = "/cancel"
_CANCELLED = b"1"
# No later owner could claim after a higher epoch; ten claims a second take 13 years to reach it.
MAX_EPOCH = 2**32
MAX_OFFSET = 2**53
MAX_UNSETTLED_SECONDS = 3600.0
MAX_LAG_SECONDS = 600.0
# Owners of versions that do not tell their term act for so long after a renewal.
EARLIER_TERM_SECONDS = 7.0
MAX_TERM_SECONDS = 60.0


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Accepted(NamedTuple):
    """Job that was accepted at ``wall``, in seconds since the epoch.

    ``queue`` is a copy of the queue at that time, used if the queue was removed since.
    ``workspace`` is the name of the workspace that submitted it, empty for none.
    """

    queue: Queue
    job: JobSpec
    wall: float
    workspace: str = NO_WORKSPACE


class Blame(StrEnum):
    """What speaks for a task having crashed its runner.

    It was tried there, with nothing starting beside it; it started last; or it only ran there, also
    if the runner may have ended only after the run.
    """

    TRIAL = "trial"
    LATEST = "latest"
    BESIDE = "beside"


class Crash(NamedTuple):
    """Loss of a runner under a task that had run there for ``seconds``.

    ``alone`` is whether no other task on the runner could explain it. ``address`` is that of the
    runner, empty if unknown and in records of earlier versions.
    """

    runner: str
    seconds: float
    blame: str
    alone: bool = False
    address: str = ""


class Loss(NamedTuple):
    """Loss of a runner under a task, as `Crash`, that may only be out of reach.

    It counts as a crash once another boot answers at its ``address``, which is empty if unknown.
    """

    runner: str
    address: str
    seconds: float
    blame: str
    alone: bool = False


class StageProgress(NamedTuple):
    """Ended and checkpointed tasks of one stage.

    ``done`` has one bit for each task, the lowest first. ``failures`` has the numbers of the failed
    runs, so that an end that is reported again counts once; it, ``checkpoints``, ``crashes`` and
    ``trials`` are keyed by the index of the task. ``trials`` has the runner on which a task is
    tried; it is written before the start. ``losses`` are keyed like ``crashes``; None marks a
    record of a version that did not tell them apart. ``trial_addresses`` has the addresses of the
    runners in ``trials``, for an owner that finds them no longer listed. ``placements`` has the
    runner on which each task of a lasting stage was last ordered to start, written before the
    start; None for other stages and in records of earlier versions.
    """

    occurrence: int
    step: int
    done: bytes
    failures: dict[int, list[int]]
    checkpoints: dict[int, str]
    crashes: dict[int, list[Crash]] = {}
    trials: dict[int, str] = {}
    losses: dict[int, list[Loss]] | None = None
    trial_addresses: dict[int, str] = {}
    placements: dict[int, str] | None = None


class Progress(NamedTuple):
    """Progress of a job by stage; ``state`` is set once the job has ended.

    ``parts`` is the number of records among which it is divided, 0 in all but the first of them.
    """

    state: str
    stages: list[StageProgress]
    parts: int = 1


class Withdrawn(NamedTuple):
    """Runner on which the owner starts no more tasks, and the tasks that it may still run.

    ``renewed`` is whether the owner keeps renewing its lease, as on a draining runner. A ``silent``
    one has missed calls. The tasks that started last come first. ``address`` is that of the runner,
    empty if unknown. ``latest`` is how many of the tasks started last, together. ``seconds`` has
    for how long each had run when the runner fell silent, and is empty if unknown.
    """

    runner: str
    tasks: list[str]
    renewed: bool = False
    silent: bool = False
    address: str = ""
    latest: int = 1
    seconds: list[float] = []


class PressureRow(NamedTuple):
    """Expected ``wait`` in seconds of a new job on an upstream that is full for a priority.

    ``wait_within`` is that of a job whose workspace is within its share and weight. ``room`` is the
    most of each resource that is free where no waiting task fits.
    """

    upstream: str
    priority: int
    wait: float
    wait_within: float
    room: Resources = NO_RESOURCES


class Pressure(NamedTuple):
    """Load of the cell, computed at a time in seconds since the epoch.

    ``beyond_share`` names the workspaces that use more than their share.
    """

    computed_at: float
    rows: list[PressureRow]
    beyond_share: list[str]


class LearntKind(NamedTuple):
    """Duration of tasks on a kind of runner relative to other kinds, and its number of samples.

    ``age`` is the time in seconds since the last sample.
    """

    kind: str
    ratio: float
    samples: int
    age: float


class LearntImage(NamedTuple):
    """Ratio of observed to estimated durations of an image, or of a queue for steps without one.

    ``tail`` is the 90th percentile of the ratio, 0 if it is not known; ``age`` is the time in
    seconds since the last sample.
    """

    image: str
    queue: str
    ratio: float
    tail: float
    samples: int
    age: float


class RemovedWorkspace(NamedTuple):
    """Workspace that the configuration no longer holds, with its last weight and cap.

    The cap is in thousandths of a core, MiB and whole accelerators; 0 is no limit.
    """

    name: str
    weight: float
    cpu: int
    memory: int
    accelerators: int


class Learnt(NamedTuple):
    """What an owner has learnt of kinds of runners and of images, and remembers of workspaces."""

    kinds: list[LearntKind]
    images: list[LearntImage]
    removed_workspaces: list[RemovedWorkspace] = []


class Claim(NamedTuple):
    """State of the ownership of the cell.

    ``roster`` names the runners to which orders may be sent, ``withdrawn`` those of them on which
    no more tasks start. ``pending`` counts, by queue, the jobs before ``position`` that have not
    started. ``successor`` is set when the owner releases its ownership. ``unsettled`` names the
    runners of the roster that have not answered this owner, so that an earlier one may order there.
    ``address`` is that at which the owner listens for its peers, ``lag`` how late its event loop
    runs, in seconds. ``pressure`` is None unless the owner measures it. ``learnt`` is an encoded
    `Learnt`: encoded apart, so that a successor can read the claim even if it cannot read these
    values. ``jobs_end`` is set when an owner has released the cell with no append under way: it has
    neither read nor written any record of the jobs' partition from that offset on.
    ``unsettled_seconds`` is for how long, from the time of the claim, runs of still earlier
    owners may be at work on the unsettled runners, None if that is not known. ``may_order`` is
    whether the owner may have given orders when it wrote the claim, or may give them on the
    strength of it before its next one. ``stores_placements`` is
    whether the stored placements of lasting tasks name all runners on which these may run, also by
    orders of owners before this one; False in claims of earlier versions. ``failures`` is set in a
    release after an unexpected error: the number of owners in a row that have ended so. ``term`` is
    for how long the owner may act after it sent its last stored renewal, in seconds, and
    ``leases_end`` by when all leases that it grants have ended by its clock, counted from the same
    renewal, 0 if no more is known than the term.
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
    unsettled: list[str] = []
    address: str = ""
    lag: float = 0.0
    pressure: Pressure | None = None
    learnt: bytes = b""
    jobs_end: int = 0
    unsettled_seconds: float | None = None
    may_order: bool = True
    stores_placements: bool = False
    failures: int = 0
    term: float = EARLIER_TERM_SECONDS
    leases_end: float = 0.0


class OwnerChange(NamedTuple):
    """Record among the jobs after which only the owner of this epoch, or a later one, may act."""

    epoch: int


class EntryRecord(NamedTuple):
    """Address at which an entry listens for its peers; ``speed`` is the cores it can use."""

    address: str
    incarnation: int
    speed: float = 1.0


def encode(record: NamedTuple) -> bytes:
    """Return the encoded record."""
    return msgspec.msgpack.encode(record)


def encode_value(value: object) -> bytes:
    """Return a part of a record, encoded as in the record."""
    return msgspec.msgpack.encode(value)


def decode(value: bytes, record_type: type[T]) -> T:
    """Return the decoded record.

    Raises
    ------
    Unreadable
        The bytes are not a record of this type.
    """
    try:
        return msgspec.msgpack.decode(value, type=record_type)
    except (msgspec.MsgspecError, RecursionError):
        return _decode_newer(value, record_type)


def decode_claim(value: bytes) -> Claim:
    """Return a decoded claim, in which times that cannot be right count as unknown.

    Raises
    ------
    Unreadable
        The bytes are not a claim, or its epoch or an offset is out of range.
    """
    claim = decode(value, Claim)
    _check_epoch(claim.epoch, "claim")
    if not all(0 <= offset <= MAX_OFFSET for offset in (claim.position, claim.jobs_end)):
        raise Unreadable(what="claim", problem="an offset is out of range")
    unsettled = claim.unsettled_seconds
    if unsettled is not None and not 0 <= unsettled <= MAX_UNSETTLED_SECONDS:
        claim = claim._replace(unsettled_seconds=None)
    if not 0 <= claim.term <= MAX_TERM_SECONDS:
        claim = claim._replace(term=EARLIER_TERM_SECONDS)
    if not 0 <= claim.leases_end <= MAX_TERM_SECONDS:
        claim = claim._replace(leases_end=0.0)
    if not 0 <= claim.lag <= MAX_LAG_SECONDS:
        claim = claim._replace(lag=0.0)
    return claim


def decode_owner_change(value: bytes) -> int:
    """Return the epoch of a decoded change of the owner.

    Raises
    ------
    Unreadable
        The bytes are not such a record, or its epoch is out of range.
    """
    epoch = decode(value, OwnerChange).epoch
    _check_epoch(epoch, "owner change")
    return epoch


def _check_epoch(epoch: int, what: str) -> None:
    if not 0 <= epoch <= MAX_EPOCH:
        raise Unreadable(what=what, problem=f"its epoch {epoch} is out of range")


def _decode_newer(value: bytes, record_type: type[T]) -> T:
    """Decode a record of a later version, which may have more fields at the end."""
    try:
        return msgspec.convert(
            _drop_unknown_fields(msgspec.msgpack.decode(value), record_type), record_type
        )
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise Unreadable(what=record_type.__name__, problem=str(exc)) from exc


def _drop_unknown_fields(value: Any, record_type: Any) -> Any:
    """Return a decoded value without the fields that its type does not have."""
    if get_origin(record_type) in (Union, UnionType):
        record_type = next(choice for choice in get_args(record_type) if choice is not NoneType)
    if isinstance(value, dict) and get_origin(record_type) is dict:
        return {
            key: _drop_unknown_fields(item, get_args(record_type)[1]) for key, item in value.items()
        }
    if isinstance(value, list) and get_origin(record_type) in (list, tuple):
        return [_drop_unknown_fields(item, get_args(record_type)[0]) for item in value]
    if isinstance(value, list) and hasattr(record_type, "_fields"):
        hints = get_type_hints(record_type)
        known_fields = zip(record_type._fields, value, strict=False)
        return [_drop_unknown_fields(item, hints[field]) for field, item in known_fields]
    return value


def encode_cancel(workspace: str) -> bytes:
    """Return the record of a cancellation by a workspace."""
    return _CANCELLED + workspace.encode()


def decode_cancel(value: bytes) -> str:
    """Return the workspace that has cancelled, empty for none and in older records.

    Raises
    ------
    ValueError
        The bytes are not such a record.
    """
    return value.removeprefix(_CANCELLED).decode()


def encode_bitmap(done: set[int], count: int) -> bytes:
    """Return a bitmap of ``count`` tasks in which those of ``done`` are set."""
    return sum(1 << index for index in done).to_bytes((count + 7) // 8, "little")


def decode_bitmap(bits: bytes) -> set[int]:
    """Return the indices of the tasks that a bitmap contains; no job has more than `MAX_TASKS`."""
    return {
        8 * position + bit
        for position, byte in enumerate(bits[: MAX_TASKS // 8])
        if byte
        for bit in range(8)
        if byte >> bit & 1
    }


def has_run(progress: StageProgress) -> bool:
    """Return whether the record tells of a run; a placement is stored before the first one."""
    ended = any(progress.done) or progress.failures or progress.crashes or progress.losses
    return bool(ended or progress.checkpoints)


def stage_id(job: str, progress: StageProgress) -> StageId:
    """Return the identifier of the stage that a progress record belongs to."""
    return StageId(job, progress.occurrence, progress.step)
