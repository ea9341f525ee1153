"""What a server asks about the requests that it receives."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec
from typing_extensions import override

from ragworttiller.connection.limits import RequestLimits
from ragworttiller.exceptions import RagworttillerError

Headers = Sequence[tuple[bytes, bytes]]


class RequestPolicy(ABC):
    """Limits on the requests to one address, and the form of refusals."""

    @property
    @abstractmethod
    def limits(self) -> RequestLimits:
        """Limits on a request that begins now."""

    def caller_timeout(self, headers: Headers) -> float | None:
        """Return the seconds for which the sender of a request waits, None if it does not say."""
        return None

    def error_body(self, error: RagworttillerError) -> bytes:
        """Return the body of a refusal."""
        return msgspec.json.encode(error.body())


class FixedPolicy(RequestPolicy):
    """Limits that never change.

    Parameters
    ----------
    limits : RequestLimits
        Limits on a request.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits

    @property
    @override
    def limits(self) -> RequestLimits:
        return self._limits
