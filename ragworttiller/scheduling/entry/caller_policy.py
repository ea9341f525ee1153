"""Limits on callers' requests, from the configuration, and the form in which they are refused."""

from __future__ import annotations

from typing_extensions import override

from ragworttiller.connection.limits import RequestLimits
from ragworttiller.connection.request_policy import Headers, RequestPolicy
from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.configuration import Configuration
from ragworttiller.platform.submissions import caller_timeout, error_body
from ragworttiller.scheduling.records.queue_fold import QueueFold

# Whatever a configuration says, requests of ordinary callers stay possible, and bounded.
MIN_HEAD_BYTES = 1024
MAX_HEAD_BYTES = 65_536
MIN_TIMEOUT_SECONDS = 0.1
MAX_TIMEOUT_SECONDS = 600.0


class CallerPolicy(RequestPolicy):
    """Limits by the current configuration, or the default ones before the first.

    Parameters
    ----------
    config : QueueFold
        Current configuration.
    max_body : int
        Longest body that the process can hold, in bytes, whatever the configuration says.
    """

    def __init__(self, config: QueueFold, max_body: int) -> None:
        self._config = config
        self._max_body = max_body
        self._read: Configuration | None = None
        self._limits = RequestLimits()

    @property
    @override
    def limits(self) -> RequestLimits:
        current = self._config.current
        if current is not None and current is not self._read:
            self._read, self._limits = current, self._decide(current)
        return self._limits

    @override
    def caller_timeout(self, headers: Headers) -> float | None:
        return caller_timeout(dict(headers))

    @override
    def error_body(self, error: RagworttillerError) -> bytes:
        return error_body(error)

    def _decide(self, current: Configuration) -> RequestLimits:
        return RequestLimits(
            max_head=min(max(current.max_head, MIN_HEAD_BYTES), MAX_HEAD_BYTES),
            max_body=min(current.max_body, self._max_body),
            head_timeout=_timeout(current.head_timeout),
            idle_timeout=_timeout(current.idle_timeout),
        )


def _timeout(seconds: float) -> float:
    return min(max(seconds, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)
