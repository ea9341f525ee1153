"""Queue of requests that wait for a runner, in order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Container

import anyio

from ragworttiller.routing.policy import RoutingChoice


class Waiter:
    """Request that waits for a runner.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds by which its answer is due.
    probe : bool
        Whether it may probe a suspended runner.
    tried : container of str
        Runners to choose only if no other has capacity.
    """

    __slots__ = ("deadline", "probe", "tried", "choice", "_event")

    def __init__(self, deadline: float, probe: bool, tried: Container[str]) -> None:
        self.deadline = deadline
        self.probe = probe
        self.tried = tried
        self.choice: RoutingChoice | None = None
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait until a runner is chosen or the request is refused."""
        await self._event.wait()

    def wake(self) -> None:
        """End the wait."""
        self._event.set()


class WaitQueue:
    """First-in, first-out queue of waiting requests."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Append a request."""
        self._waiters.append(waiter)

    def first(self) -> Waiter | None:
        """Return the oldest request, or None."""
        return self._waiters[0] if self._waiters else None

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it is in the queue."""
        if self._waiters and self._waiters[0] is waiter:
            self._waiters.popleft()
        elif waiter in self._waiters:
            self._waiters.remove(waiter)
