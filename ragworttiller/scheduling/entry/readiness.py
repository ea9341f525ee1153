"""Whether an entry may get new connections, with a log line at each change of the reasons."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

log = logging.getLogger(__name__)


class Readiness:
    """Checks that an entry has to pass to be ready.

    Parameters
    ----------
    checks : mapping of str to Callable
        Returns whether a check is passed, by the reason why an entry that fails it is not ready.
    """

    def __init__(self, checks: Mapping[str, Callable[[], bool]]) -> None:
        self._checks = checks
        self._last_reasons: list[str] | None = None

    def reasons(self) -> list[str]:
        """Return the reasons why the entry is not ready, and log them if they have changed."""
        reasons = [reason for reason, passes in self._checks.items() if not passes()]
        if reasons != self._last_reasons:
            self._last_reasons = reasons
            log.info("readiness changed", extra={"ready": not reasons, "reasons": reasons})
        return reasons
