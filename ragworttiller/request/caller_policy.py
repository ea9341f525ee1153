"""Limits on the requests of callers and operators of the daemon."""

from __future__ import annotations

from typing_extensions import override

from ragworttiller.connection.limits import RequestLimits
from ragworttiller.connection.request_policy import FixedPolicy, Headers
from ragworttiller.request.caller_request import caller_timeout


class DaemonCallerPolicy(FixedPolicy):
    """Limits by the settings, and the deadline that a caller states.

    Parameters
    ----------
    max_body : int
        Longest body in bytes.
    request_timeout : float
        Longest time for a request in seconds.
    """

    def __init__(self, max_body: int, request_timeout: float) -> None:
        super().__init__(RequestLimits(max_body=max_body, body_timeout=request_timeout))
        self._request_timeout = request_timeout

    @override
    def caller_timeout(self, headers: Headers) -> float | None:
        timeout = caller_timeout(headers)
        # What is no valid timeout is refused with the whole request.
        valid = timeout is not None and 0 < timeout <= self._request_timeout
        return timeout if valid else None
