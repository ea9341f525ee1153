"""Records in the streams of the platform log.

Every record begins with ``id``, unique over all instances and restarts, so that readers ignore a
second append of the same record. Times are wall-clock seconds since the epoch, set once by the
record's author; folds never compare them with a clock.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ragworttiller.codec import JsonCodec, MessagePackCodec
from ragworttiller.resources import NO_RESOURCES, Resources

CONFIG_STREAM = "config"


def ledger_stream(shard: int) -> str:
    """Return the stream name of a shard of idempotency keys."""
    return f"ledger-{shard:03d}"


def cell_stream(shard: int) -> str:
    """Return the stream name of a shard of workers and jobs."""
    return f"cell-{shard:03d}"


class SnapshotPart(NamedTuple):
    """Part of a snapshot of a fold, for any stream.

    The parts of one snapshot share ``snapshot``. The state in them equals the fold of all records
    before offset ``as_of``.
    """

    id: str
    snapshot: str
    as_of: int
    part: int
    parts: int
    data: bytes


class Publish(NamedTuple):
    """Change of one configuration item, valid if ``base`` is the item's current version.

    A version is the log offset of the valid record that made it; 0 means that the item never
    existed or that its tombstone was purged. ``body`` is JSON, or None to delete the item, which
    leaves a tombstone. ``kind`` is ``template``, ``quota``, ``policy`` or ``upstream``.
    """

    id: str
    workspace: str
    kind: str
    name: str
    base: int
    body: bytes | None
    author: str
    at: float


class PurgeTombstones(NamedTuple):
    """Removal of the tombstones created before wall time ``before``.

    It invalidates any later `Publish` with an ``at`` below ``before``, so that no record from the
    time of those tombstones can restore a deleted item.
    """

    id: str
    before: float


class Intent(NamedTuple):
    """License to send a non-idempotent request once, if valid at its offset.

    ``key`` is ``workspace/idempotency key``; ``attempt`` is unique to the caller's request;
    ``body_digest`` covers the upstream, method, path and body; ``holder`` is the writer of the
    stream that the license belongs to. ``at`` is when the attempt arrived at its entry; all records
    of one attempt have the same value.
    """

    id: str
    key: str
    attempt: str
    body_digest: bytes
    holder: str
    upstream: str
    at: float


class Outcome(NamedTuple):
    """Answer to a licensed request, as received from the runner.

    ``body`` is None when the answer was too large to record.
    """

    id: str
    key: str
    attempt: str
    status: int
    content_type: str
    body: bytes | None


class GiveUp(NamedTuple):
    """Statement that an attempt has not been and will not be sent.

    From the holder of the license it frees the key. From any other writer it is valid only while
    the attempt has no valid intent, and invalidates any later intent of that attempt. ``at`` is
    that of the attempt's intent.
    """

    id: str
    key: str
    attempt: str
    by: str
    at: float = 0.0


class ExpireKeys(NamedTuple):
    """End of the key window for answered keys and burnt attempts at offsets below ``before``."""

    id: str
    before: int


class WorkerDeclared(NamedTuple):
    """Capacity and location of a worker; a later record of the same worker replaces it.

    ``state`` is ``up``, ``leaving`` or ``gone``.
    """

    id: str
    worker: str
    address: str
    capacity: Resources
    failure_domain: str
    rack: str
    labels: list[str]
    state: str


class JobSubmitted(NamedTuple):
    """Job accepted for placement, valid if its id is new.

    ``kind`` is ``service``, ``batch`` or ``gang`` (all-or-nothing). ``urgency`` is 0 (lowest) to 9.
    ``deadline`` is in seconds since the epoch, or None. ``rules`` are the validated rules of
    the template. ``run_time`` is the declared run time in seconds, or None for services.
    """

    id: str
    job: str
    workspace: str
    template: str
    version: int
    kind: str
    tasks: int
    need: Resources
    urgency: int
    deadline: float | None
    run_time: float | None
    idempotent: bool
    rules: dict[str, Any]
    at: float


class TaskStarted(NamedTuple):
    """License to run one task on one worker.

    Valid if, at this offset, the attempt is the next one of a pending task and the worker is up and
    has room. ``task`` is ``job/index``; ``attempt`` counts from 1. ``need`` is what is booked.
    """

    id: str
    task: str
    attempt: int
    worker: str
    need: Resources
    holder: str
    at: float


class TaskEnded(NamedTuple):
    """End of a licensed task; frees what it booked.

    ``reason`` is ``done``, ``failed``, ``cancelled``, ``preempted``, ``lost`` or ``never_started``.
    """

    id: str
    task: str
    attempt: int
    reason: str
    at: float


class TaskResized(NamedTuple):
    """New booked amount of a running task, derived from usage reports."""

    id: str
    task: str
    attempt: int
    need: Resources


class JobEnded(NamedTuple):
    """Final state of a job: ``done``, ``failed``, ``cancelled`` or ``refused``, with the reason."""

    id: str
    job: str
    state: str
    reason: str
    at: float


class HoldPlaced(NamedTuple):
    """Room reserved on a worker of this shard for one task of a job of another shard.

    Valid if it fits at this offset. ``decision`` identifies the `HoldDecided` in the job's home
    stream that commits or aborts all holds of one placement attempt.
    """

    id: str
    decision: str
    home: int
    task: str
    attempt: int
    worker: str
    need: Resources
    holder: str
    at: float


class HoldReleased(NamedTuple):
    """Release of the holds of a decision in this stream, after an abort or the tasks' end.

    ``task`` limits the release to one task; None releases all of them.
    """

    id: str
    decision: str
    task: str | None


class HoldDecided(NamedTuple):
    """Commit or abort of a decision, in the job's home stream; the first one wins.

    ``placements`` lists ``(task, attempt, shard, worker)`` of what a commit licenses; ``need`` is
    what each of them books. A commit is valid only if all its placements in the home shard fit.
    """

    id: str
    decision: str
    job: str
    commit: bool
    placements: list[tuple[str, int, int, str]]
    need: Resources = NO_RESOURCES
    holder: str = ""
    at: float = 0.0


class OwnerBegan(NamedTuple):
    """Begin of an owner of a shard, which renews leases from about then on.

    It changes no verdict. ``holder`` is the owner's name in its licenses.
    """

    id: str
    holder: str


RECORD_TYPES: dict[int, type] = {
    1: SnapshotPart,
    2: Publish,
    3: PurgeTombstones,
    10: Intent,
    11: Outcome,
    12: GiveUp,
    13: ExpireKeys,
    20: WorkerDeclared,
    21: JobSubmitted,
    22: TaskStarted,
    23: TaskEnded,
    24: TaskResized,
    25: JobEnded,
    26: HoldPlaced,
    27: HoldReleased,
    28: HoldDecided,
    29: OwnerBegan,
}

RECORD_CODEC = MessagePackCodec(RECORD_TYPES)
RECORD_JSON = JsonCodec(RECORD_TYPES)
