"""Metrics of a process: waiting times, decision times and its own resource use."""

from __future__ import annotations

import resource
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.registry import Collector
from typing_extensions import override

MAX_DURATION_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PAGE_BYTES = resource.getpagesize()


class Distribution:
    """Distribution of durations.

    Durations are kept in microseconds, from 1 µs to one hour, to two significant digits.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._sum = 0.0

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return int(self._histogram.get_total_count())

    @property
    def total(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum

    def record(self, seconds: float) -> None:
        """Add one duration in seconds; the histogram caps it at one hour."""
        microseconds = min(max(int(seconds * 1e6), 1), MAX_DURATION_MICROSECONDS)
        self._histogram.record_value(microseconds)
        self._sum += seconds

    def quantiles(self, shares: Sequence[float]) -> list[float]:
        """Return the durations in seconds below which shares (0 to 1) of all durations lie.

        All shares together take one pass over the histogram. Without durations, each is 0.
        """
        percentiles = [share * 100 for share in shares]
        values = self._histogram.get_percentile_to_value_dict(percentiles)
        return [float(values.get(percentile, 0)) / 1e6 for percentile in percentiles]


class Usage(NamedTuple):
    """Processor time in seconds and resident memory in bytes of this process."""

    processor: float
    memory: int


def usage() -> Usage:
    """Return the processor time used so far and the resident memory of this process."""
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return Usage(times.ru_utime + times.ru_stime, pages * PAGE_BYTES)


Reading = Callable[[], float]
LabelReading = Callable[[], Mapping[str, float]]
DurationReading = Callable[[], Mapping[tuple[str, ...], Distribution]]


class Metrics(Collector):
    """All metrics of a process.

    ``waiting`` and ``decisions`` are durations by kind of work; ``answers`` counts answers by code,
    over all workspaces. Other components register callbacks that read their own counters.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, Distribution] = defaultdict(Distribution)
        self._decisions: dict[str, Distribution] = defaultdict(Distribution)
        self._answers: dict[str, int] = {}
        self._counters: dict[str, tuple[str, Reading]] = {}
        self._gauges: dict[str, tuple[str, Reading]] = {}
        self._labelled: dict[str, tuple[str, str, LabelReading]] = {}
        self._labelled_counters: dict[str, tuple[str, str, LabelReading]] = {}
        self._distributions: dict[str, tuple[str, Sequence[str], DurationReading]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    @property
    def waiting(self) -> dict[str, Distribution]:
        """Waiting time by kind of work."""
        return self._waiting

    @property
    def decisions(self) -> dict[str, Distribution]:
        """Decision time by kind of decision."""
        return self._decisions

    @property
    def answers(self) -> dict[str, int]:
        """Answers to callers by code."""
        return self._answers

    def record_wait(self, kind: str, seconds: float) -> None:
        """Record how long a piece of work waited until it started or was answered."""
        self._waiting[kind].record(seconds)

    def record_decision(self, kind: str, seconds: float) -> None:
        """Record how long a decision took."""
        self._decisions[kind].record(seconds)

    def count_answer(self, code: str) -> None:
        """Count one answer to a caller."""
        self._answers[code] = self._answers.get(code, 0) + 1

    def counter(self, name: str, help_text: str, reading: Reading) -> None:
        """Register a counter whose value ``reading`` returns."""
        self._counters[name] = (help_text, reading)

    def gauge(self, name: str, help_text: str, reading: Reading) -> None:
        """Register a gauge whose value ``reading`` returns."""
        self._gauges[name] = (help_text, reading)

    def gauge_by_label(self, name: str, help_text: str, label: str, reading: LabelReading) -> None:
        """Register a gauge with one label; ``reading`` returns a bounded number of its values."""
        self._labelled[name] = (help_text, label, reading)

    def counter_by_label(
        self, name: str, help_text: str, label: str, reading: LabelReading
    ) -> None:
        """Register a counter with one label; ``reading`` returns a bounded number of its values."""
        self._labelled_counters[name] = (help_text, label, reading)

    def durations(
        self, name: str, help_text: str, labels: Sequence[str], reading: DurationReading
    ) -> None:
        """Register durations with labels.

        Parameters
        ----------
        name, help_text : str
            Name and description.
        labels : sequence of str
            Names of the labels.
        reading : Callable
            Returns the durations by the values of the labels, a bounded number of them.
        """
        self._distributions[name] = (help_text, labels, reading)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    @override
    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily | SummaryMetricFamily]:
        for name, help_text, kinds in (
            ("waiting_seconds", "Waiting time by kind", self._waiting),
            ("decision_seconds", "Decision time by kind", self._decisions),
        ):
            by_labels: dict[tuple[str, ...], Distribution] = {(k,): d for k, d in kinds.items()}
            yield from _duration_families(name, help_text, ["kind"], by_labels)
        for name, (help_text, labels, durations) in self._distributions.items():
            yield from _duration_families(name, help_text, labels, durations())
        answers = CounterMetricFamily(
            "ragworttiller_answers", "Answers to callers by code", labels=["code"]
        )
        for code, count in self._answers.items():
            answers.add_metric([code], count)
        yield answers
        for name, (help_text, reading) in self._counters.items():
            yield CounterMetricFamily(f"ragworttiller_{name}", help_text, value=reading())
        for name, (help_text, reading) in self._gauges.items():
            yield GaugeMetricFamily(f"ragworttiller_{name}", help_text, value=reading())
        for name, (help_text, label, values) in self._labelled.items():
            family = GaugeMetricFamily(f"ragworttiller_{name}", help_text, labels=[label])
            for text, value in values().items():
                family.add_metric([text], value)
            yield family
        for name, (help_text, label, values) in self._labelled_counters.items():
            counter = CounterMetricFamily(f"ragworttiller_{name}", help_text, labels=[label])
            for text, value in values().items():
                counter.add_metric([text], value)
            yield counter


def _duration_families(
    name: str,
    help_text: str,
    labels: Sequence[str],
    durations: Mapping[tuple[str, ...], Distribution],
) -> Iterator[GaugeMetricFamily | SummaryMetricFamily]:
    summary = SummaryMetricFamily(f"ragworttiller_{name}", help_text, labels=labels)
    quantiles = GaugeMetricFamily(
        f"ragworttiller_{name}_quantile", help_text, labels=[*labels, "quantile"]
    )
    for values, distribution in durations.items():
        summary.add_metric(values, distribution.count, distribution.total)
        for share, seconds in zip(QUANTILES, distribution.quantiles(QUANTILES), strict=True):
            quantiles.add_metric([*values, str(share)], seconds)
    yield summary
    yield quantiles
