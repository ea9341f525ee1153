"""Routing settings of upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import InvalidField
from ragworttiller.routing.registry import DEFAULT_ROUTING, ROUTING_POLICIES

MAX_QUEUE_LIMIT = 100_000
MAX_STALL_SECONDS = 3600.0


class UpstreamSettings(NamedTuple):
    """Routing settings of one upstream.

    Parameters
    ----------
    policy : str
        Name of the routing policy.
    queue_limit : int
        Maximum number of requests that wait for a runner at one entry.
    hedging : bool
        Whether idempotent requests that take unusually long are also sent to a second runner;
        only while answers of the upstream are quick on average.
    stall_seconds : float
        Minimum time without an answer from a runner with requests in flight after which it gets
        no new ones.
    """

    policy: str = DEFAULT_ROUTING
    queue_limit: int = 512
    hedging: bool = True
    stall_seconds: float = 1.0


DEFAULT_UPSTREAM = UpstreamSettings()


class UpstreamSource(ABC):
    """Source of the current settings of each upstream."""

    @abstractmethod
    def upstream(self, workspace: str, name: str) -> UpstreamSettings:
        """Return the settings of an upstream, the defaults if none are published."""


class FixedUpstreams(UpstreamSource):
    """The same constant settings for every upstream, for tests and single processes.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of every upstream.
    """

    def __init__(self, settings: UpstreamSettings = DEFAULT_UPSTREAM) -> None:
        self._settings = settings

    @override
    def upstream(self, workspace: str, name: str) -> UpstreamSettings:
        return self._settings


def upstream_settings(body: Mapping[str, Any]) -> UpstreamSettings:
    """Parse the JSON of a configuration item of kind ``upstream``.

    Raises
    ------
    InvalidField
        A field is unknown, has another type or is out of its bounds.
    """
    for name in body:
        if name not in UpstreamSettings._fields:
            raise _invalid(name, "unknown field", ", ".join(UpstreamSettings._fields))
    settings = DEFAULT_UPSTREAM._replace(**body)
    if settings.policy not in ROUTING_POLICIES:
        raise _invalid("policy", f"{settings.policy!r}", ", ".join(ROUTING_POLICIES))
    limit = settings.queue_limit
    if type(limit) is not int or not 0 <= limit <= MAX_QUEUE_LIMIT:
        raise _invalid("queue_limit", f"{limit!r}", f"integer from 0 to {MAX_QUEUE_LIMIT}")
    if not isinstance(settings.hedging, bool):
        raise _invalid("hedging", f"{settings.hedging!r}", "true or false")
    stall = settings.stall_seconds
    if type(stall) not in (int, float) or not 0 < stall <= MAX_STALL_SECONDS:
        raise _invalid("stall_seconds", f"{stall!r}", f"above 0, up to {MAX_STALL_SECONDS:g}")
    return settings


def _invalid(field: str, problem: str, allowed: str) -> InvalidField:
    return InvalidField(field=field, problem=problem, allowed=allowed)
