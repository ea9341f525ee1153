"""Tail latencies of serving tasks against their targets, over time."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.runs import Run

# A tail is calm under this share of its target.
CALM_SHARE = 0.7
# A tail may have been over its target since the report before, but no longer than this.
MAX_REPORT_SECONDS = 1.0
# A reported tail is that of the last half second.
TAIL_SECONDS = 0.5


class Tail(NamedTuple):
    """Tail latency of a serving run; times are in seconds.

    ``share`` is the tail relative to its target. ``over_since`` and ``calm_since`` are None while
    the tail is not over its target, and while it is not calm.
    """

    share: float
    reported_at: float
    over_since: float | None
    calm_since: float | None


class Tails:
    """Last reported tails of the serving runs."""

    def __init__(self) -> None:
        self._rows: dict[tuple[TaskId, int], Tail] = {}

    def get(self, run: Run) -> Tail | None:
        """Return the tail of a run, None if none was reported."""
        return self._rows.get(run.key)

    def record(self, run: Run, now: float) -> Tail:
        """Record what the runner has just reported for a serving run."""
        share = run.load / (run.spec.target * 1000)
        last = self._rows.get(run.key)
        over_since = calm_since = None
        if share > 1:
            over_since = last.over_since if last is not None else None
            if over_since is None:
                before = last.reported_at if last is not None else now - TAIL_SECONDS
                over_since = max(before, now - MAX_REPORT_SECONDS)
        elif share <= CALM_SHARE:
            calm_since = last.calm_since if last is not None else None
            calm_since = now if calm_since is None else calm_since
        tail = self._rows[run.key] = Tail(share, now, over_since, calm_since)
        return tail

    def retain(self, keys: Container[tuple[TaskId, int]]) -> None:
        """Forget the runs that are not among ``keys``."""
        for key in [key for key in self._rows if key not in keys]:
            del self._rows[key]
