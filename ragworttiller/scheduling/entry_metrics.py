"""Metrics page of an entry."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector
from typing_extensions import override

from ragworttiller.platform.store import Store
from ragworttiller.scheduling.entry_api import CallerApp


class EntryMetrics(Collector):
    """Counters of an entry.

    Parameters
    ----------
    callers : CallerApp
        Counts its answers.
    store : Store
        Counts its calls.
    """

    def __init__(self, callers: CallerApp, store: Store) -> None:
        self._callers = callers
        self._store = store
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def page(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)

    @override
    def collect(self) -> Iterator[CounterMetricFamily]:
        answers = CounterMetricFamily(
            "ragworttiller_answers", "Answers to callers, by code.", labels=["code"]
        )
        for code, count in self._callers.answers.items():
            answers.add_metric([code], count)
        yield answers
        traffic = self._store.traffic
        yield CounterMetricFamily(
            "ragworttiller_store_calls", "Calls to the platform's store.", value=traffic.calls
        )
