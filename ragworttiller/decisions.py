"""Log of routing and placement decisions, with one line for each."""

from __future__ import annotations

import contextlib
import logging
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

log = logging.getLogger(__name__)

KEPT_DECISIONS = 512


class Decision(NamedTuple):
    """Routing or placement decision.

    ``kind`` is ``route`` or ``place``; ``subject`` is the attempt or task id. ``candidates`` pairs
    names with scores, best first. ``chosen`` is None when nothing was chosen. ``license`` is the
    log offset of the license, 0 for work that needs none. ``waited`` is in seconds.
    """

    kind: str
    subject: str
    workspace: str
    candidates: list[tuple[str, float]]
    chosen: str | None
    reason: str
    license: int
    waited: float


class DecisionLog:
    """Writes decisions to the log and keeps the latest ones for operators.

    Parameters
    ----------
    kept : int
        Number of decisions that are kept.
    on_duration : callable, optional
        Called with the kind of each decision and its duration in seconds.
    """

    def __init__(
        self, kept: int = KEPT_DECISIONS, on_duration: Callable[[str, float], None] | None = None
    ) -> None:
        self._on_duration = on_duration
        self._recent: deque[Decision] = deque(maxlen=kept)
        self._count = 0
        self._callbacks: list[Callable[[Decision], None]] = []

    @property
    def recent(self) -> list[Decision]:
        """Latest decisions, oldest first."""
        return list(self._recent)

    @property
    def count(self) -> int:
        """Number of decisions so far."""
        return self._count

    def subscribe(self, callback: Callable[[Decision], None]) -> None:
        """Call ``callback`` with every decision."""
        self._callbacks.append(callback)

    @contextlib.contextmanager
    def measure_duration(self, kind: str) -> Iterator[None]:
        """Measure the duration of the decision made in the ``with`` block."""
        began = time.perf_counter()
        yield
        if self._on_duration is not None:
            self._on_duration(kind, time.perf_counter() - began)

    def record(self, decision: Decision) -> None:
        """Log one decision, keep it and pass it to the subscribers."""
        self._count += 1
        self._recent.append(decision)
        for callback in self._callbacks:
            callback(decision)
        log.info("decision", extra=decision._asdict())
