"""Sections of the settings file, with every option and its default."""

from __future__ import annotations

from pathlib import Path

from ragworttiller.config.base import Problem, Section, read_sections
from ragworttiller.config.limit_options import limit_options
from ragworttiller.config.log_section import LOG_SECTION
from ragworttiller.config.options import (
    Address,
    ExistingFile,
    Integer,
    Number,
    Text,
    Url,
)
from ragworttiller.config.settings import (
    InstanceSettings,
    LimitSettings,
    MembershipSettings,
    OperatorSettings,
    PlatformSettings,
    Settings,
    ShardSettings,
    TlsSettings,
)
from ragworttiller.connection.limits import max_body
from ragworttiller.exceptions import SettingsInvalid

MIN_TOKEN_LENGTH = 16


SECTIONS = (
    Section(
        "instance",
        "Name and addresses of this instance.",
        InstanceSettings,
        [
            Text("name", "Name of this instance, unique in the cell.", sample="entry-1"),
            Text("failure_domain", "Failure domain of this instance.", sample="quimper"),
            Address(
                "peer_address",
                "Address that other instances connect to; bound and announced.",
                sample="10.0.0.1:7400",
            ),
            Address(
                "http_address",
                "Address that callers and operators connect to; bound and announced.",
                sample="10.0.0.1:8080",
            ),
        ],
    ),
    Section(
        "platform",
        "Services of the platform.",
        PlatformSettings,
        [
            Url("log_url", "URL of the append-only log service.", sample="http://10.0.0.100:9000"),
            Url(
                "directory_url",
                "URL of the list of live and leaving instances, runners and workers.",
                sample="http://10.0.0.100:9000",
            ),
            Number(
                "log_timeout",
                "Longest wait for an answer of the log.",
                low=0.1,
                high=60,
                unit="seconds",
                default="2",
            ),
            Number(
                "list_period",
                "Time between two reads of the list.",
                low=0.1,
                high=60,
                unit="seconds",
                default="2",
            ),
        ],
    ),
    Section(
        "shards",
        "Number of shards; the same on every instance, and fixed for the lifetime of the log.",
        ShardSettings,
        [
            Integer("ledger", "Shards of idempotency keys.", low=1, high=256, default="8"),
            Integer("cell", "Shards of workers and jobs.", low=1, high=256, default="4"),
        ],
    ),
    Section(
        "membership",
        "Heartbeats between instances.",
        MembershipSettings,
        [
            Number(
                "heartbeat_period",
                "Time between two heartbeats.",
                low=0.05,
                high=10,
                unit="seconds",
                default="0.5",
            ),
            Integer(
                "fanout",
                "Instances that each heartbeat is sent to.",
                low=1,
                high=16,
                default="2",
            ),
            Number(
                "suspect_after",
                "Time without a new heartbeat after which an instance no longer counts as live.",
                low=0.2,
                high=60,
                unit="seconds",
                default="2.0",
            ),
        ],
    ),
    Section(
        "limits",
        "Limits on the work that this instance accepts.",
        LimitSettings,
        [
            Integer(
                "max_body_bytes",
                "Largest body of a request or an operator's call.",
                low=1024,
                high=16 * 1024 * 1024,
                unit="bytes",
                default="262144",
            ),
            Number(
                "request_timeout",
                "Time limit of a request that states no deadline.",
                low=0.1,
                high=3600,
                unit="seconds",
                default="10",
            ),
            Number(
                "notice_seconds",
                "Time at a planned stop for the balancer to see that this instance is not ready.",
                low=0,
                high=600,
                unit="seconds",
                default="3",
            ),
            Number(
                "drain_seconds",
                "Longest time for requests in progress at a planned stop.",
                low=0,
                high=3600,
                unit="seconds",
                default="15",
            ),
            Number(
                "appends_per_second",
                "Maximum sustained rate of appends to the log by this instance.",
                low=0.5,
                high=1000,
                unit="appends/second",
                default="25",
            ),
            *limit_options(),
        ],
    ),
    Section(
        "operator",
        "Credentials for operators' calls.",
        OperatorSettings,
        [
            Text(
                "token",
                "Secret that operators' calls carry as a bearer token.",
                min_length=MIN_TOKEN_LENGTH,
                sample="replace-this-secret-token",
            ),
        ],
    ),
    LOG_SECTION,
    Section(
        "tls",
        "HTTPS for callers and operators; plain HTTP without a certificate.",
        TlsSettings,
        [
            ExistingFile("certificate", "PEM file with the certificate chain.", optional=True),
            ExistingFile("key", "PEM file with the private key.", optional=True),
            ExistingFile(
                "authority",
                "PEM file with the authorities that must have issued callers' certificates.",
                optional=True,
            ),
        ],
    ),
)


def load(path: Path | str) -> Settings:
    """Read a settings file.

    Raises
    ------
    SettingsInvalid
        The file cannot be read or has errors; the exception lists all of them.
    """
    settings = Settings(**read_sections(Path(path), SECTIONS))
    problems = _contradictions(settings)
    if problems:
        raise SettingsInvalid(count=len(problems), problems="; ".join(map(str, problems)))
    return settings


def _contradictions(settings: Settings) -> list[Problem]:
    """Return the problems of options that are valid separately but not together."""
    problems = []
    membership, limits, tls = settings.membership, settings.limits, settings.tls
    if membership.suspect_after < 2 * membership.heartbeat_period:
        problems.append(
            Problem(
                "membership",
                "suspect_after",
                f"{membership.suspect_after:g} is too short",
                "at least twice heartbeat_period",
            )
        )
    if limits.max_body_bytes > max_body(limits.connections):
        problem = f"{limits.memory_mb} leaves no room for a request of max_body_bytes"
        problems.append(Problem("limits", "memory_mb", problem, "more memory, or shorter bodies"))
    if (tls.certificate is None) != (tls.key is None):
        missing = "key" if tls.key is None else "certificate"
        problems.append(Problem("tls", missing, "is missing", "certificate and key together"))
    if tls.authority is not None and tls.certificate is None:
        problems.append(Problem("tls", "certificate", "is missing", "needed by authority"))
    return problems
