"""Requests of callers in progress, which a stopping entry ends in time to answer them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class OpenRequests:
    """Requests of callers in progress.

    Attributes
    ----------
    ended : bool
        Whether requests are no longer worked on.
    """

    def __init__(self) -> None:
        self._scopes: set[anyio.CancelScope] = set()
        self.ended = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Work on a request in the context, which is left early once `end` is called."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def end(self) -> None:
        """Cancel the work on all requests."""
        self.ended = True
        for scope in self._scopes:
            scope.cancel()
