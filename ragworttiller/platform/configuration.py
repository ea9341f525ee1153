"""Decoding of the operator's configuration."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

import msgspec

from ragworttiller.platform.decoding import decode_json
from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.workspaces import Workspace

log = logging.getLogger(__name__)


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

    ``limited_upstreams`` are the upstreams whose limits are enforced; ``max_body`` is in bytes.
    ``workspaces`` is None in a deployment without workspaces, where no call needs a key.
    """

    version: int
    queues: tuple[Queue, ...]
    limited_upstreams: frozenset[str]
    max_body: int
    workspaces: tuple[Workspace, ...] | None = None


class _Advice(msgspec.Struct):
    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 1000.0


class _Route(msgspec.Struct):
    name: str = ""
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: float = 0.0
    placement_advisor: _Advice | None = None
    allow_anonymous: bool = False


class _Service(msgspec.Struct):
    name: str = ""
    enforce_limits: bool = False


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262144


class _Cap(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[Any] | None = None


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration that the operator wrote.

    Raises
    ------
    Unreadable
        The bytes are not a valid configuration.
    """
    wire = decode_json(value, _Configuration, "configuration")
    limited_upstreams = frozenset(
        service.name for service in wire.services if service.enforce_limits
    )
    has_workspaces = wire.tenants is not None
    queues = tuple(_decode_queue(route, has_workspaces) for route in wire.routes)
    workspaces = None
    if wire.tenants is not None:
        rows = (_decode_workspace(row, wire.version) for row in wire.tenants)
        workspaces = tuple(row for row in rows if row is not None)
    return Configuration(
        wire.version, queues, limited_upstreams, wire.limits.max_body_bytes, workspaces
    )


def _decode_workspace(row: Any, version: int) -> Workspace | None:
    """Return a workspace, None if its record is unreadable: only its own keys are refused then."""
    try:
        wire = msgspec.convert(row, _Tenant)
    except msgspec.MsgspecError as exc:
        # The text of the error names fields and types, never a key.
        log.error("unreadable workspace skipped", extra={"version": version, "why": str(exc)})
        return None
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
