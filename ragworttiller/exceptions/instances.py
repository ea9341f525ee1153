"""Errors of instances and of the services that they call."""

from __future__ import annotations

from ragworttiller.exceptions.base import RagworttillerError, Ran


class PeerUnreachable(RagworttillerError):
    """Another instance did not answer within the timeout; the message may have arrived."""

    code = "peer_unreachable"
    status = 503
    ran = Ran.UNKNOWN
    template = "instance {instance!r} did not answer"


class NotOwner(RagworttillerError):
    """The instance that received the message does not own the shard."""

    code = "not_owner"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} does not own shard {shard!r}"


class NotReady(RagworttillerError):
    """The instance cannot serve the call yet, for example because it is behind the log."""

    code = "not_ready"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} is not ready: {reason}"


class Stopping(RagworttillerError):
    """The instance is stopping and accepts no new work."""

    code = "stopping"
    status = 503
    ran = Ran.NO
    template = "instance {instance!r} is stopping"


class PartCancelled(RagworttillerError):
    """A part of an instance was cancelled from within, which ends the others without an error."""

    code = "part_cancelled"
    status = 500
    ran = Ran.UNKNOWN
    template = "a part of instance {instance!r} was cancelled though nobody stopped the instance"


class PlatformUnavailable(RagworttillerError):
    """A service of the platform, such as its list of instances, gave no valid answer."""

    code = "platform_unavailable"
    status = 503
    ran = Ran.NO
    template = "the platform's {service} did not answer"
