"""Decoding of the operator's configuration."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ragworttiller.platform.decoding import decode_json


class AdviceCost(NamedTuple):
    """Duration of a call to the advisor and validity of its tickets, in seconds."""

    decision: float
    per_runner: float
    validity: float


class Queue(NamedTuple):
    """One queue of jobs; times are in seconds.

    ``attempts`` is the number of failed runs after which a task, and so its job, has failed.
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

    @property
    def key(self) -> str:
        """Identifier of the queue that is stable across versions of the configuration."""
        return f"{self.host} {self.prefix}"


class Configuration(NamedTuple):
    """One complete version of the configuration.

    ``limited_upstreams`` are the upstreams whose limits are enforced; ``max_body`` is in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    limited_upstreams: frozenset[str]
    max_body: int


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


class _Service(msgspec.Struct):
    name: str = ""
    enforce_limits: bool = False


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262144


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


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
    queues = tuple(map(_decode_queue, wire.routes))
    return Configuration(wire.version, queues, limited_upstreams, wire.limits.max_body_bytes)


def _decode_queue(route: _Route) -> Queue:
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
    )
