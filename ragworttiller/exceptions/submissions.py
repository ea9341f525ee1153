"""Errors in answers about a submission or a job."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


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


class GangExceedsCap(RagworttillerError):
    """A gang can never run, since together its tasks need more than the cap of the workspace."""

    code = "gang_exceeds_cap"
    status = 422
    ran = Ran.NO
    template = "step {step} of job {job!r} is a gang larger than the cap {cap} of its workspace"


class CellFull(RagworttillerError):
    """The cell is full for the priority of the job, which was refused and never runs."""

    code = "cell_full"
    status = 429
    ran = Ran.NO
    template = "job {job!r} was not accepted: upstream {upstream!r} is full for its priority"


class StoreDown(RagworttillerError):
    """The platform's store does not accept the record; the job was refused and never runs."""

    code = "store_down"
    status = 503
    ran = Ran.NO
    template = "the store does not accept job {job!r} now"


class SubmissionUndecided(RagworttillerError):
    """Whether a job was stored is not known; the same submission may be repeated."""

    code = "submission_undecided"
    status = 504
    ran = Ran.UNKNOWN
    template = "whether job {job!r} was stored is not known"


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
