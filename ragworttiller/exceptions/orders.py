"""Errors of orders to runners and workers."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


class OrderRefused(RagworttillerError):
    """An order did not reach a runner or was refused by it; it was not carried out."""

    code = "order_refused"
    status = 409
    ran = Ran.NO
    template = "runner {runner!r} refused {order}: {reason}"


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
