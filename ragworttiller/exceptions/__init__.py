"""Errors that the scheduler reports, each with a stable code.

An error states whether the work it concerns has run, has not run or may have run, and after how
long the caller may retry.
"""

from __future__ import annotations

from ragworttiller.exceptions.base import (
    ErrorBody,
    RagworttillerError,
    Ran,
    error_from,
)
from ragworttiller.exceptions.command_line import (
    EntryAnswerLost,
    EntryUnreachable,
    JobUnfinished,
    JobUnsuccessful,
)
from ragworttiller.exceptions.inputs import (
    BodyTooLarge,
    InvalidField,
    NotFound,
    SettingsInvalid,
    Unauthorized,
    Unreadable,
    VersionConflict,
)
from ragworttiller.exceptions.instances import (
    NotOwner,
    NotReady,
    PartCancelled,
    PeerUnreachable,
    PlatformUnavailable,
    Stopping,
)
from ragworttiller.exceptions.orders import (
    OrderRefused,
    OrderUndecided,
    RunnerGone,
    WorkerRefused,
    WorkerUnreachable,
)
from ragworttiller.exceptions.routing import (
    DeadlineExceeded,
    KeyMissing,
    KeyReused,
    KeyUnknown,
    NoRunner,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    RunnerBroken,
    RunnerRefused,
)
from ragworttiller.exceptions.store import (
    AppendConflict,
    AppendFenced,
    AppendOutOfOrder,
    AppendRefused,
    AppendUndecided,
    LogUnavailable,
    RecordsExpired,
    RecordTooLong,
)
from ragworttiller.exceptions.submissions import (
    ApiKeyUnknown,
    CellFull,
    ConfigurationUnconfirmed,
    GangExceedsCap,
    JobNameTaken,
    JobUnknown,
    QueueUnknown,
    QuotaExceeded,
    StateUnknown,
    StoreDown,
    SubmissionUndecided,
    Unplaceable,
)

__all__ = [
    "ApiKeyUnknown",
    "AppendConflict",
    "AppendFenced",
    "AppendOutOfOrder",
    "AppendRefused",
    "AppendUndecided",
    "BodyTooLarge",
    "CellFull",
    "ConfigurationUnconfirmed",
    "DeadlineExceeded",
    "EntryAnswerLost",
    "EntryUnreachable",
    "ErrorBody",
    "GangExceedsCap",
    "InvalidField",
    "JobNameTaken",
    "JobUnfinished",
    "JobUnknown",
    "JobUnsuccessful",
    "KeyMissing",
    "KeyReused",
    "KeyUnknown",
    "LogUnavailable",
    "NoRunner",
    "NotFound",
    "NotOwner",
    "NotReady",
    "NotRun",
    "OrderRefused",
    "OrderUndecided",
    "OutcomeUnknown",
    "Overloaded",
    "PartCancelled",
    "PeerUnreachable",
    "PlatformUnavailable",
    "QueueUnknown",
    "QuotaExceeded",
    "RagworttillerError",
    "Ran",
    "RecordTooLong",
    "RecordsExpired",
    "RunnerBroken",
    "RunnerGone",
    "RunnerRefused",
    "SettingsInvalid",
    "StateUnknown",
    "Stopping",
    "StoreDown",
    "SubmissionUndecided",
    "Unauthorized",
    "Unplaceable",
    "Unreadable",
    "VersionConflict",
    "WorkerRefused",
    "WorkerUnreachable",
    "error_from",
]
