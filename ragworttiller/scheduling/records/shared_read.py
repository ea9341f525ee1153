"""One read at a time for all callers that need what the store has now."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from ragworttiller.exceptions import LogUnavailable


class _Round:
    """One read, and the callers that wait for it."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.error: Exception | None = None


class SharedRead:
    """Reads for several callers at once, also after some of them have given up.

    Load pattern: many requests each need records that take a slow link longer than a request may
    wait. With a read of its own for each of them none would end.

    Parameters
    ----------
    name : str
        What is read, for errors.
    read : Callable
        Reads all that the store has when it is called.
    """

    def __init__(self, name: str, read: Callable[[], Awaitable[None]]) -> None:
        self._name = name
        self._read = read
        self._next = _Round()
        self._requested = anyio.Event()
        self._running = False

    async def run(self) -> None:
        """Read whenever callers wait, until cancelled."""
        current = _Round()
        self._running = True
        try:
            while True:
                await self._requested.wait()
                self._requested = anyio.Event()
                current, self._next = self._next, _Round()
                try:
                    await self._read()
                except Exception as exc:
                    current.error = exc
                current.done.set()
        finally:
            self._running = False
            for row in (current, self._next):
                row.error = row.error or LogUnavailable(stream=self._name)
                row.done.set()
            self._next = _Round()

    async def wait(self) -> None:
        """Wait for a read that begins after this call; make it here unless `run` is in progress.

        Raises
        ------
        Exception
            What the read has raised.
        """
        if not self._running:
            await self._read()
            return
        row = self._next
        self._requested.set()
        await row.done.wait()
        if row.error is not None:
            raise row.error
