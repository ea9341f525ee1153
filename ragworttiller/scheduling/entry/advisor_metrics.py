"""Metrics of the calls of an entry to the placement advisor."""

from __future__ import annotations

from ragworttiller.metrics import Metrics
from ragworttiller.platform.advisor_meter import AdvisorMeter


def register_advisor_metrics(metrics: Metrics, meter: AdvisorMeter) -> None:
    """Register what a meter times.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    meter : AdvisorMeter
        Meter of its calls to the advisor.
    """
    metrics.durations(
        "advisor_call_seconds",
        "Duration of calls to the advisor, without their wait for earlier ones.",
        ("outcome",),
        lambda: meter.durations,
    )
    metrics.durations(
        "advisor_call_wait_seconds",
        "What calls waited until the advisor had answered the earlier ones of this entry.",
        (),
        lambda: {(): meter.waits},
    )
