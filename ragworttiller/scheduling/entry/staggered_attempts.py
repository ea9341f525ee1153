"""Two attempts to carry out one request, of which the second begins while the first goes on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.callers import OK, CallerReply


class Outcome(NamedTuple):
    """Outcome of an attempt: a reply, an error, or neither if nobody answered.

    Attributes
    ----------
    undecided : bool
        Whether the request may have been carried out nevertheless, or may still be.
    final : bool
        Whether a further attempt would not change the outcome.
    """

    reply: CallerReply | None = None
    error: RagworttillerError | None = None
    undecided: bool = False
    final: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the request was carried out."""
        return self.reply is not None and self.reply.status == OK


Attempt = Callable[[], Awaitable[Outcome]]


class StaggeredAttempts:
    """A first attempt, and a second one that begins if the first fails or is late.

    Load pattern: a store whose answers take seconds. A late answer to the first attempt still
    counts, while the second one avoids what delays the first.

    Parameters
    ----------
    first, second : Callable
        Attempts; they end by themselves at the caller's deadline.
    head_start : float
        Seconds after which the second attempt begins beside the first.
    clock : Clock
        Source of time.
    """

    def __init__(self, first: Attempt, second: Attempt, head_start: float, clock: Clock) -> None:
        self._attempts = (first, second)
        self._head_start = head_start
        self._clock = clock
        self._ended: list[Outcome] = []
        self._first_ended = anyio.Event()
        self._decided = anyio.Event()

    async def run(self) -> list[Outcome]:
        """Return the outcomes in the order in which the attempts ended.

        An attempt that goes on when the other one succeeds is cancelled and has no outcome.
        """
        first, second = self._attempts
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run, first)
            with self._clock.move_on_after(self._head_start):
                await self._first_ended.wait()
            if not any(outcome.succeeded or outcome.final for outcome in self._ended):
                tasks.start_soon(self._run, second)
                await self._decided.wait()
            tasks.cancel_scope.cancel()
        return self._ended

    async def _run(self, attempt: Attempt) -> None:
        outcome = await attempt()
        self._ended.append(outcome)
        self._first_ended.set()
        if outcome.succeeded or len(self._ended) == len(self._attempts):
            self._decided.set()
