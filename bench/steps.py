"""Counts the elementary steps of Python code, which are the same on each machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType

CALL_EVENTS = frozenset({"call", "c_call"})


class StepCounter:
    """Counts the calls of functions, Python's own and those of C, while it is active."""

    def __init__(self) -> None:
        self._steps = 0

    @property
    def steps(self) -> int:
        """Number of calls counted so far."""
        return self._steps

    @contextmanager
    def counting(self) -> Iterator[None]:
        """Count the calls made in the body of the ``with`` statement, on this thread."""
        previous, collects = sys.getprofile(), gc.isenabled()
        # Other libraries have functions called at each collection, which would be counted.
        gc.disable()
        sys.setprofile(self._record)
        try:
            yield
        finally:
            sys.setprofile(previous)
            if collects:
                gc.enable()

    def _record(self, frame: FrameType, event: str, argument: object) -> None:
        if event in CALL_EVENTS:
            self._steps += 1
