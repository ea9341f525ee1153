"""Errors of the log and of the platform's store."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


class LogUnavailable(RagworttillerError):
    """The platform log gave no valid answer to a read, or did not append the records."""

    code = "log_unavailable"
    status = 503
    ran = Ran.NO
    template = "log stream {stream!r} is not available"


class AppendRefused(LogUnavailable):
    """The store does not accept these records, whatever its state, such as ones that are too long.

    Unlike other refusals it is final: the same records are not sent again.
    """

    code = "append_refused"
    status = 400
    ran = Ran.NO
    template = "log stream {stream!r} does not accept these records: {why}"


class RecordTooLong(RagworttillerError):
    """A record is longer than the store accepts, and cannot be divided."""

    code = "record_too_long"
    status = 400
    ran = Ran.NO
    template = "record {key!r} has {bytes} bytes of {limit}"


class RecordsTooLong(LogUnavailable):
    """The records to read are longer than their reader wants to receive."""

    code = "records_too_long"
    status = 503
    ran = Ran.NO
    template = (
        "the next records of log stream {stream!r} have {bytes} bytes, too many for this read"
    )


class RecordsExpired(RagworttillerError):
    """Records that a reader still needs have been removed by the log's retention."""

    code = "records_expired"
    status = 503
    ran = Ran.NO
    template = "log stream {stream!r} starts at offset {start}, offset {wanted} is no longer kept"


class AppendUndecided(RagworttillerError):
    """The answer to an append was lost and the records were not read back in time."""

    code = "append_undecided"
    status = 503
    ran = Ran.UNKNOWN
    template = "append to log stream {stream!r} has no known result"


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
