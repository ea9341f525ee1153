"""Decoding of the entries that runners keep in the store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ragworttiller.platform.boots import boot_name
from ragworttiller.platform.decoding import decode_json
from ragworttiller.resources import Resources


class RunnerEntry(NamedTuple):
    """State that a runner reports about itself; ``runner`` is the name of its boot.

    ``remaining`` is the minimum time in seconds until the runner leaves, None if not reported.
    ``kind`` is its first label; runners of one kind are equally fast.
    """

    runner: str
    upstream: str
    address: str
    failure_domain: str
    capacity: Resources
    labels: frozenset[str]
    draining: bool
    remaining: float | None
    kind: str = ""


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Entry(msgspec.Struct):
    address: str
    service: str = ""
    zone: str = ""
    state: str = "ready"
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []
    remaining_ms: float | None = None
    born: int = 0


def decode_entry(runner: str, value: bytes) -> RunnerEntry:
    """Decode the entry that a runner wrote under its identifier.

    Raises
    ------
    Unreadable
        The bytes are not a valid entry.
    """
    wire = decode_json(value, _Entry, f"entry of runner {runner!r}")
    capacity = Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu)
    remaining = None if wire.remaining_ms is None else wire.remaining_ms / 1000
    return RunnerEntry(
        boot_name(runner, wire.born),
        wire.service,
        wire.address,
        wire.zone,
        capacity,
        frozenset(wire.labels),
        wire.state != "ready",
        remaining,
        wire.labels[0] if wire.labels else "",
    )
