"""Errors that the command-line tool finds itself."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


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
