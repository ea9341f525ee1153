"""Errors that the scheduler reports, each with a stable code.

An error states whether the work it concerns has run, has not run or may have run, and after how
long the caller may retry.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar, TypedDict


class Ran(StrEnum):
    """Whether the work that an answer concerns has run."""

    NO = "not_run"
    YES = "ran"
    UNKNOWN = "outcome_unknown"


class ErrorBody(TypedDict):
    """Error as it appears in HTTP answers and messages between instances.

    ``retry_after`` is in seconds, or None when a retry does not help.
    """

    code: str
    message: str
    ran: str
    retry_after: float | None
    fields: dict[str, Any]


class RagworttillerError(Exception):
    """Base class of all errors of the scheduler.

    Parameters
    ----------
    retry_after : float, optional
        Seconds after which the caller may retry.
    **fields : object
        Values for the placeholders of ``template``; they are also sent in the error body.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    ran: ClassVar[Ran] = Ran.UNKNOWN
    template: ClassVar[str] = "internal error"
    registry: ClassVar[dict[str, type[RagworttillerError]]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        RagworttillerError.registry[cls.code] = cls

    def __init__(self, *, retry_after: float | None = None, **fields: Any) -> None:
        self._retry_after = retry_after
        self._fields = fields
        super().__init__(self.template.format(**fields))

    @property
    def retry_after(self) -> float | None:
        """Seconds after which the caller may retry."""
        return self._retry_after

    @property
    def fields(self) -> dict[str, Any]:
        """Values for the placeholders of the message."""
        return self._fields

    def body(self) -> ErrorBody:
        """Return the error as it is sent in HTTP answers and messages."""
        return ErrorBody(
            code=self.code,
            message=str(self),
            ran=self.ran.value,
            retry_after=self._retry_after,
            fields=self._fields,
        )


def error_from(body: ErrorBody) -> RagworttillerError:
    """Rebuild an error from its body.

    Parameters
    ----------
    body : ErrorBody
        Error body that another instance sent.

    Returns
    -------
    RagworttillerError
        An error of the class that has the code, or the base class for an unknown code.
    """
    cls = RagworttillerError.registry.get(body["code"], RagworttillerError)
    return cls(retry_after=body["retry_after"], **body["fields"])


class LogUnavailable(RagworttillerError):
    """The platform log gave no valid answer to a read, or did not append the records."""

    code = "log_unavailable"
    status = 503
    ran = Ran.NO
    template = "log stream {stream!r} is not available"


class AppendUndecided(RagworttillerError):
    """The answer to an append was lost and the records were not read back in time."""

    code = "append_undecided"
    status = 503
    ran = Ran.UNKNOWN
    template = "append to log stream {stream!r} has no known result"


class RecordsExpired(RagworttillerError):
    """Records that a reader still needs have been removed by the log's retention."""

    code = "records_expired"
    status = 503
    ran = Ran.NO
    template = "log stream {stream!r} starts at offset {start}, offset {wanted} is no longer kept"


class PeerUnreachable(RagworttillerError):
    """Another instance did not answer within the timeout; the message may have arrived."""

    code = "peer_unreachable"
    status = 503
    ran = Ran.UNKNOWN
    template = "instance {instance!r} did not answer"


class RunnerRefused(RagworttillerError):
    """The connection to a runner failed before any byte of the request was written."""

    code = "runner_refused"
    status = 502
    ran = Ran.NO
    template = "runner {runner!r} refused the connection"


class RunnerBroken(RagworttillerError):
    """The connection to a runner failed after bytes of the request were written."""

    code = "runner_broken"
    status = 502
    ran = Ran.UNKNOWN
    template = "the connection to runner {runner!r} failed before its answer was complete"


class OutcomeUnknown(RagworttillerError):
    """The request was licensed and may have run; its outcome is not known."""

    code = "outcome_unknown"
    status = 504
    ran = Ran.UNKNOWN
    template = "the outcome of key {key!r} is not known"


class NotRun(RagworttillerError):
    """The request was abandoned and is proven not to have run."""

    code = "not_run"
    status = 503
    ran = Ran.NO
    template = "the request with key {key!r} was not run: {reason}"


class KeyReused(RagworttillerError):
    """The idempotency key was used before for another request or job."""

    code = "key_reused"
    status = 422
    ran = Ran.NO
    template = "idempotency key {key!r} was used for another request"


class KeyMissing(RagworttillerError):
    """A non-idempotent request has no idempotency key."""

    code = "key_missing"
    status = 400
    ran = Ran.NO
    template = "{method} requests need the header Idempotency-Key"


class KeyUnknown(RagworttillerError):
    """No request with this key has been licensed within the key window."""

    code = "key_unknown"
    status = 404
    ran = Ran.NO
    template = "key {key!r} is not known"


class Overloaded(RagworttillerError):
    """The queue is full or the request cannot be completed before its deadline."""

    code = "overloaded"
    status = 503
    ran = Ran.NO
    template = "upstream {upstream!r} cannot serve the request in time"


class NoRunner(RagworttillerError):
    """The upstream has no runner in service."""

    code = "no_runner"
    status = 503
    ran = Ran.NO
    template = "upstream {upstream!r} has no runner in service"


class DeadlineExceeded(RagworttillerError):
    """An idempotent request was not answered before its deadline."""

    code = "deadline_exceeded"
    status = 504
    ran = Ran.UNKNOWN
    template = "the request was not answered within {seconds} s"


class VersionConflict(RagworttillerError):
    """Another operator changed the item first."""

    code = "version_conflict"
    status = 409
    ran = Ran.NO
    template = "{name!r} is at version {current}, the change was made from version {base}"


class NotFound(RagworttillerError):
    """The named item does not exist."""

    code = "not_found"
    status = 404
    ran = Ran.NO
    template = "{kind} {name!r} does not exist"


class InvalidField(RagworttillerError):
    """A field of the request is malformed or out of bounds."""

    code = "invalid_field"
    status = 400
    ran = Ran.NO
    template = "field {field!r}: {problem}, allowed: {allowed}"


class BodyTooLarge(RagworttillerError):
    """The request body exceeds the limit."""

    code = "body_too_large"
    status = 413
    ran = Ran.NO
    template = "the body exceeds {limit} bytes"


class Unauthorized(RagworttillerError):
    """An operator's call has no valid token."""

    code = "unauthorized"
    status = 401
    ran = Ran.NO
    template = "this call needs an operator token"


class Stopping(RagworttillerError):
    """The instance is stopping and accepts no new work."""

    code = "stopping"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} is stopping"


class NotOwner(RagworttillerError):
    """The instance that received the message does not own the shard."""

    code = "not_owner"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} does not own shard {shard!r}"


class Unplaceable(RagworttillerError):
    """The work can never run in this cell; the obstacle is named."""

    code = "unplaceable"
    status = 422
    ran = Ran.NO
    template = "{work!r} fits no worker: {obstacle}"


class QuotaExceeded(RagworttillerError):
    """The workspace requests more than its quota allows."""

    code = "quota_exceeded"
    status = 429
    ran = Ran.NO
    template = "workspace {workspace!r} exceeds its quota of {resource}: {limit}"


class SettingsInvalid(RagworttillerError):
    """The settings file has errors; all of them are listed."""

    code = "settings_invalid"
    status = 500
    ran = Ran.NO
    template = "{count} errors in the settings: {problems}"


class WorkerRefused(RagworttillerError):
    """A worker refused a command; the task did not start there."""

    code = "worker_refused"
    status = 502
    ran = Ran.NO
    template = "worker {worker!r} refused the command: {reason}"


class WorkerUnreachable(RagworttillerError):
    """A worker did not answer a command, which may have taken effect."""

    code = "worker_unreachable"
    status = 502
    ran = Ran.UNKNOWN
    template = "worker {worker!r} did not answer"


class NotReady(RagworttillerError):
    """The instance cannot serve the call yet, for example because it is behind the log."""

    code = "not_ready"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} is not ready: {reason}"


class PlatformUnavailable(RagworttillerError):
    """A service of the platform, such as its list of instances, gave no valid answer."""

    code = "platform_unavailable"
    status = 503
    ran = Ran.NO
    template = "the platform's {service} did not answer"


class EntryUnreachable(RagworttillerError):
    """No entry instance accepted the call of the command-line tool."""

    code = "entry_unreachable"
    status = 503
    ran = Ran.NO
    template = "no entry accepted the call: {entries}"


class EntryAnswerLost(RagworttillerError):
    """An entry may have received the call of the command-line tool; its answer was not complete."""

    code = "entry_answer_lost"
    status = 504
    ran = Ran.UNKNOWN
    template = "entry {entry} gave no complete answer to {method} {path}"


class JobUnsuccessful(RagworttillerError):
    """The job that the command-line tool waited for ended without success."""

    code = "job_unsuccessful"
    status = 409
    ran = Ran.YES
    template = "job {job!r} ended as {state}: {reason}"


class JobUnfinished(RagworttillerError):
    """The job that the command-line tool waited for has not ended in time."""

    code = "job_unfinished"
    status = 504
    ran = Ran.UNKNOWN
    template = "job {job!r} is still {state} after {seconds} s"


class AppendConflict(RagworttillerError):
    """A conditional append was refused because the partition has grown."""

    code = "append_conflict"
    status = 409
    ran = Ran.NO
    template = "partition {stream!r} ends at offset {end}"


class AppendFenced(RagworttillerError):
    """A partition or a runner has accepted a higher epoch than that of the call."""

    code = "append_fenced"
    status = 409
    ran = Ran.NO
    template = "{stream!r} no longer accepts calls of epoch {epoch}"


class AppendOutOfOrder(RagworttillerError):
    """The sequence number of an append is not the next one of its producer."""

    code = "append_out_of_order"
    status = 409
    ran = Ran.NO
    template = "partition {stream!r} expects sequence number {expected}"


class SubmissionUndecided(RagworttillerError):
    """Whether a job was stored is not known; the same submission may be repeated."""

    code = "submission_undecided"
    status = 504
    ran = Ran.UNKNOWN
    template = "whether job {job!r} was stored is not known"


class StoreDown(RagworttillerError):
    """The platform's store does not accept the record; the job was refused and never runs."""

    code = "store_down"
    status = 503
    ran = Ran.NO
    template = "the store does not accept job {job!r} now"


class QueueUnknown(RagworttillerError):
    """No queue serves this host and path."""

    code = "queue_unknown"
    status = 404
    ran = Ran.NO
    template = "no queue serves {host!r} at {path!r}"


class ApiKeyUnknown(RagworttillerError):
    """The call needs an API key of a workspace, and none was given or it is not valid."""

    code = "api_key_unknown"
    status = 401
    ran = Ran.NO
    template = "queue {queue!r} needs a valid API key"


class ConfigurationUnconfirmed(RagworttillerError):
    """Neither the store nor another entry has confirmed the API keys within the bound."""

    code = "configuration_unconfirmed"
    status = 503
    ran = Ran.NO
    template = "entry {instance!r} cannot check API keys: its configuration is not confirmed"


class JobNameTaken(RagworttillerError):
    """Another workspace has submitted a job with this identifier."""

    code = "job_name_taken"
    status = 409
    ran = Ran.NO
    template = "the identifier {job!r} is in use"


class JobUnknown(RagworttillerError):
    """No accepted job has this identifier."""

    code = "job_unknown"
    status = 410
    ran = Ran.NO
    template = "no job {job!r} exists"


class StateUnknown(RagworttillerError):
    """The state of a job is not known because the store was not read recently."""

    code = "state_unknown"
    status = 503
    ran = Ran.UNKNOWN
    template = "the current state of job {job!r} is not known"


class Unreadable(RagworttillerError):
    """Bytes received from outside do not have the expected form."""

    code = "unreadable"
    status = 400
    ran = Ran.NO
    template = "{what} cannot be read: {problem}"


class OrderUndecided(RagworttillerError):
    """A runner did not answer an order, which may still be carried out."""

    code = "order_undecided"
    status = 504
    ran = Ran.UNKNOWN
    template = "runner {runner!r} did not answer {order}"


class RunnerGone(RagworttillerError):
    """The runner has ended: another boot answers at its address."""

    code = "runner_gone"
    status = 410
    ran = Ran.NO
    template = "runner {runner!r} has ended"


class OrderRefused(RagworttillerError):
    """An order did not reach a runner or was refused by it; it was not carried out."""

    code = "order_refused"
    status = 409
    ran = Ran.NO
    template = "runner {runner!r} refused {order}: {reason}"
