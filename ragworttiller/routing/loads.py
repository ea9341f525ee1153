"""Loads of runners reported by other entries."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from ragworttiller.messages import RunnerLoads

MAX_AGE_SECONDS = 30.0


class _Report(NamedTuple):
    at: float
    loads: RunnerLoads


class ReportedLoads:
    """Latest load report of each other entry."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._totals: dict[str, int] = {}
        self._suspended_elsewhere: set[str] = set()

    @property
    def suspended_elsewhere(self) -> Container[str]:
        """Runners that any other entry has suspended."""
        return self._suspended_elsewhere

    @property
    def report_count(self) -> int:
        """Number of entries with a current report."""
        return len(self._reports)

    def total(self, runner: str) -> int:
        """Return the number of reported requests in flight at a runner."""
        return self._totals.get(runner, 0)

    def replace_report(self, entry: str, loads: RunnerLoads, now: float) -> None:
        """Replace the report of an entry."""
        self._reports[entry] = _Report(now, loads)
        self._sum()

    def expire(self, members: Container[str], now: float) -> None:
        """Drop reports of entries that are no longer members, and reports that are too old."""
        kept = {
            entry: report
            for entry, report in self._reports.items()
            if entry in members and now - report.at <= MAX_AGE_SECONDS
        }
        if len(kept) != len(self._reports):
            self._reports = kept
            self._sum()

    def _sum(self) -> None:
        self._totals = {}
        self._suspended_elsewhere = set()
        for report in self._reports.values():
            self._suspended_elsewhere.update(report.loads.suspended)
            for runner, load in report.loads.loads.items():
                self._totals[runner] = self._totals.get(runner, 0) + load
