"""Makes the first callers wait for a starting entry."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from typing_extensions import override

from ragworttiller.exceptions import NotReady
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, Callers

# Time that an entry with a fast store needs at most to read configuration and jobs.
MAX_START_SECONDS = 0.8
READY_CHECK_SECONDS = 0.02
PROGRESS_CHECK_SECONDS = 0.2


class StartGate(Callers):
    """Lets the first requests wait until a starting entry can answer.

    Load pattern: callers whose connections were queued while the process loaded. The wait ends a
    fixed time after the start of the entry. A query that no other entry can answer then waits on if
    the jobs, read from a slow store, are expected in the time of its caller.

    Parameters
    ----------
    callers : Callers
        Answers the requests.
    ready : Callable
        Returns whether the entry can answer.
    seconds_left : Callable
        Returns the expected seconds until the entry can answer.
    clock : Clock
        Source of time.
    loading_seconds : float
        Seconds for which the process has listened before it could read requests. The first ones may
        have waited that long, so queries are answered that much sooner.
    """

    def __init__(
        self,
        callers: Callers,
        ready: Callable[[], bool],
        seconds_left: Callable[[], float],
        clock: Clock,
        loading_seconds: float = 0.0,
    ) -> None:
        self._callers = callers
        self._is_ready = ready
        self._seconds_left = seconds_left
        self._clock = clock
        self._loading_seconds = loading_seconds
        self._opens_at = clock.now() + MAX_START_SECONDS
        self._ready = anyio.Event()

    async def run(self) -> None:
        """Watch the start until the entry can answer."""
        while not self._is_ready():
            await self._clock.sleep(READY_CHECK_SECONDS)
        self._ready.set()

    @override
    async def answer(self, request: CallerRequest) -> CallerReply:
        received_at = self._clock.now()
        is_query = request.method == "GET"
        if is_query and received_at < self._opens_at:
            # A submission is carried out all the same: its late answer still counts.
            request = request._replace(timeout=max(request.timeout - self._loading_seconds, 0.0))
        deadline = received_at + request.timeout
        await self._wait_until(min(self._opens_at, deadline))
        try:
            return await self._callers.answer(self._with_time_left(request, deadline))
        except NotReady:
            if not is_query or self._ready.is_set() or not self._ready_by(deadline):
                raise
        while not self._ready.is_set() and self._ready_by(deadline):
            await self._wait_until(min(self._clock.now() + PROGRESS_CHECK_SECONDS, deadline))
        return await self._callers.answer(self._with_time_left(request, deadline))

    def _ready_by(self, deadline: float) -> bool:
        """Return whether the entry is expected to be able to answer before a time of the clock."""
        now = self._clock.now()
        return now < deadline and now + self._seconds_left() <= deadline

    async def _wait_until(self, end: float) -> None:
        """Wait until the entry can answer, or until a time of the clock."""
        if self._ready.is_set() or end <= self._clock.now():
            return
        with self._clock.move_on_after(end - self._clock.now()):
            await self._ready.wait()

    def _with_time_left(self, request: CallerRequest, deadline: float) -> CallerRequest:
        return request._replace(timeout=deadline - self._clock.now())
