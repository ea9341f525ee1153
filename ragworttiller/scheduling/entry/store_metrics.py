"""Metrics of the calls of an entry to the platform's store."""

from __future__ import annotations

from ragworttiller.metrics import Metrics
from ragworttiller.platform.store_meter import StoreMeter


def register_store_metrics(metrics: Metrics, meter: StoreMeter) -> None:
    """Register what a meter counts and times.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    meter : StoreMeter
        Meter of its calls to the store.
    """
    metrics.durations(
        "store_append_seconds",
        "Duration of append calls.",
        ("topic", "outcome"),
        lambda: meter.durations,
    )
    metrics.gauge_by_label(
        "store_append_in_flight_seconds",
        "Time for which the oldest append call has had no result, 0 if there is none.",
        "topic",
        meter.in_flight_seconds,
    )
    for name, help_text, counter in (
        ("store_appends_repeated", "Append calls that repeated an earlier one.", meter.repeated),
        ("store_reads_refused", "Reads that the store refused.", meter.reads_refused),
        ("store_reads_unanswered", "Reads without an answer.", meter.reads_unanswered),
    ):
        metrics.counter_by_label(name, help_text, "topic", lambda counter=counter: counter)  # type: ignore[misc]
