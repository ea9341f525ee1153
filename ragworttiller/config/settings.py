"""Typed tree of the settings of an instance."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ragworttiller.connection.limits import ConnectionLimits, connection_limits


class InstanceSettings(NamedTuple):
    """Name and addresses of this instance."""

    name: str
    failure_domain: str
    peer_address: str
    http_address: str


class PlatformSettings(NamedTuple):
    """Addresses and timing of the platform's services; times are in seconds."""

    log_url: str
    directory_url: str
    log_timeout: float
    list_period: float


class ShardSettings(NamedTuple):
    """Number of shards; every instance must have the same."""

    ledger: int
    cell: int


class MembershipSettings(NamedTuple):
    """Heartbeats between instances; times are in seconds."""

    heartbeat_period: float
    fanout: int
    suspect_after: float


class LimitSettings(NamedTuple):
    """Limits on the work that one instance accepts; times are in seconds, memory is in MiB."""

    max_body_bytes: int
    request_timeout: float
    notice_seconds: float
    drain_seconds: float
    appends_per_second: float
    memory_mb: int
    max_fds: int

    @property
    def connections(self) -> ConnectionLimits:
        """Limits on the connections of callers and operators."""
        return connection_limits(self.memory_mb, self.max_fds)


class OperatorSettings(NamedTuple):
    """Credentials for operators' calls."""

    token: str


class LogSettings(NamedTuple):
    """Level and format of the log lines of this process."""

    level: str
    format: str


class TlsSettings(NamedTuple):
    """Files for HTTPS; all None for plain HTTP."""

    certificate: Path | None
    key: Path | None
    authority: Path | None


class Settings(NamedTuple):
    """All settings of an instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    shards: ShardSettings
    membership: MembershipSettings
    limits: LimitSettings
    operator: OperatorSettings
    log: LogSettings
    tls: TlsSettings
