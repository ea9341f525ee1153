"""Decoding of the operator's configuration."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import Annotated, Any, NamedTuple

import msgspec

from ragworttiller.platform.decoding import decode_json
from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.workspaces import Workspace

log = logging.getLogger(__name__)


DEFAULT_HEAD_BYTES = 16_384
DEFAULT_HEAD_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15_000


class AdviceCost(NamedTuple):
    """Duration of a call to the advisor and validity of its tickets, in seconds."""

    decision: float
    per_runner: float
    validity: float


class Queue(NamedTuple):
    """One queue of jobs; times are in seconds.

    ``attempts`` is the number of failed runs after which a task, and so its job, has failed. Calls
    on an ``anonymous`` queue need no API key.
    """

    name: str
    host: str
    prefix: str
    upstream: str
    priority: int
    attempts: int
    slack_factor: float
    target_latency: float
    advice: AdviceCost | None
    anonymous: bool = True

    @property
    def key(self) -> str:
        """Identifier of the queue that is stable across versions of the configuration."""
        return f"{self.host} {self.prefix}"


class Configuration(NamedTuple):
    """One complete version of the configuration.

    ``max_body`` and ``max_head``, of the request line and the header fields, are in bytes,
    ``head_timeout`` and ``idle_timeout`` in seconds. ``workspaces`` is None in a deployment without
    workspaces, where no call needs a key.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body: int
    workspaces: tuple[Workspace, ...] | None = None
    max_head: int = DEFAULT_HEAD_BYTES
    head_timeout: float = DEFAULT_HEAD_TIMEOUT_MS / 1000
    idle_timeout: float = DEFAULT_IDLE_TIMEOUT_MS / 1000


# A higher version would hide all later ones.
MAX_VERSION = 2**53
MAX_COUNT = 2**53
MAX_BODY_BYTES = 2**40
MAX_FACTOR = 1e6
MAX_TIME_MS = float(2**42)

_NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Priority = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_FACTOR)]
_Time = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_MS)]


class _Advice(msgspec.Struct):
    decision_ms: _Time = 0.0
    per_worker_ms: _Time = 0.0
    validity_ms: _Time = 1000.0


class _Route(msgspec.Struct):
    name: str = ""
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    priority: _Priority = 0
    attempts: _Amount = 1
    slack_factor: _Factor = 1.0
    target_latency_ms: _Time = 0.0
    placement_advisor: _Advice | None = None
    allow_anonymous: bool = False


class _Limits(msgspec.Struct):
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)] = 262144
    # Of any type: a value that is no number must not make the routes unreadable.
    max_header_bytes: Any = DEFAULT_HEAD_BYTES
    header_timeout_ms: Any = DEFAULT_HEAD_TIMEOUT_MS
    idle_timeout_ms: Any = DEFAULT_IDLE_TIMEOUT_MS


class _Cap(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Tenant(msgspec.Struct):
    # An empty name is that of anonymous calls, and an empty key that of calls without one.
    name: _NonEmpty
    api_keys: list[_NonEmpty] = []
    weight: _Factor = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Configuration(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: list[msgspec.Raw] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[msgspec.Raw] | None = None


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration that the operator wrote.

    Raises
    ------
    Unreadable
        The bytes are not a valid configuration.
    """
    wire = decode_json(value, _Configuration, "configuration")
    has_workspaces = wire.tenants is not None
    queues = tuple(_decode_queues(wire.routes, has_workspaces, wire.version))
    workspaces = None
    if wire.tenants is not None:
        workspaces = _decode_workspaces(wire.tenants, wire.version)
    limits = wire.limits
    return Configuration(
        wire.version,
        queues,
        limits.max_body_bytes,
        workspaces,
        int(_number(limits.max_header_bytes, DEFAULT_HEAD_BYTES)),
        _number(limits.header_timeout_ms, DEFAULT_HEAD_TIMEOUT_MS) / 1000,
        _number(limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS) / 1000,
    )


def _number(value: Any, default: float) -> float:
    """Return a value that is a number in range, or the default."""
    valid = isinstance(value, int | float) and not isinstance(value, bool)
    return value if valid and 0 <= value <= MAX_TIME_MS else default


def _decode_queues(rows: list[msgspec.Raw], has_workspaces: bool, version: int) -> Iterator[Queue]:
    """Yield the queues; calls of a malformed one are refused, and the others hold."""
    for row in rows:
        try:
            yield _decode_queue(msgspec.json.decode(row, type=_Route), has_workspaces)
        except msgspec.MsgspecError as exc:
            log.error("malformed route skipped", extra={"version": version, "why": str(exc)})


def _decode_workspaces(rows: list[msgspec.Raw], version: int) -> tuple[Workspace, ...]:
    """Return the workspaces; of a malformed one only its own keys are refused.

    A name or key that an earlier workspace has belongs to that one: which of the two is meant
    cannot be told, and all entries have to decide alike.
    """
    found: dict[str, Workspace] = {}
    keys: set[str] = set()
    for row in rows:
        try:
            workspace = _decode_workspace(row)
        except msgspec.MsgspecError as exc:
            # The text of the error names fields and types, never a key.
            log.error("malformed workspace skipped", extra={"version": version, "why": str(exc)})
            continue
        extra = {"version": version, "workspace": workspace.name}
        if workspace.name in found:
            log.error("workspace with the name of another one skipped", extra=extra)
            continue
        if workspace.keys & keys:
            log.error("API keys of another workspace ignored", extra=extra)
        found[workspace.name] = workspace._replace(keys=workspace.keys - keys)
        keys |= workspace.keys
    return tuple(found.values())


def _decode_workspace(row: msgspec.Raw) -> Workspace:
    """Return a workspace.

    Raises
    ------
    msgspec.MsgspecError
        The record is malformed.
    """
    wire = msgspec.json.decode(row, type=_Tenant)
    cap = Resources(wire.cap.cpu, wire.cap.mem_mb, wire.cap.gpu)
    return Workspace(wire.name, frozenset(wire.api_keys), wire.weight, cap)


def _decode_queue(route: _Route, has_workspaces: bool) -> Queue:
    advice = None
    if wire := route.placement_advisor:
        advice = AdviceCost(
            wire.decision_ms / 1000, wire.per_worker_ms / 1000, wire.validity_ms / 1000
        )
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.attempts,
        route.slack_factor,
        route.target_latency_ms / 1000,
        advice,
        route.allow_anonymous or not has_workspaces,
    )
