"""Errors of requests that are passed on to a runner of an upstream."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


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
