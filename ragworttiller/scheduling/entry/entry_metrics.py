"""Metrics of an entry that are read from its components."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from ragworttiller.metrics import Metrics
from ragworttiller.platform.store import Store
from ragworttiller.scheduling.decisions.admission import RefusalReason
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.configuration_watch import ConfigurationWatch
from ragworttiller.scheduling.membership.membership import Membership
from ragworttiller.scheduling.ownership.cell_host import CellHost
from ragworttiller.scheduling.ownership.owner_figures import OwnerFigures
from ragworttiller.scheduling.ownership.owner_gaps import OwnerGaps
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.workspace_view import largest_and_rest, used_cpu, waiting_jobs


class OwnerMetric(NamedTuple):
    """A metric with one value, read from the owner that the entry runs."""

    name: str
    help_text: str
    reading: Callable[[OwnerFigures], float]


class OwnerMetricByKind(NamedTuple):
    """A metric with a value for each kind of runner, read from the owner that the entry runs."""

    name: str
    help_text: str
    readings: Callable[[OwnerFigures], dict[str, float]]


class CellMetricByWorkspace(NamedTuple):
    """A metric with a value for each workspace, read from the cell while this entry owns it."""

    name: str
    help_text: str
    readings: Callable[[Cell], dict[str, float]]


OWNER_COUNTERS = (
    OwnerMetric("copies_started", "Copies of stragglers.", lambda owner: owner.copies.started),
    OwnerMetric("copies_won", "Copies that ended first.", lambda owner: owner.copies.won),
    OwnerMetric("copies_wasted", "Copies that did not.", lambda owner: owner.copies.wasted),
    OwnerMetric(
        "copies_wasted_core_seconds",
        "Processor time that wasted copies reserved.",
        lambda owner: owner.copies.wasted_core_seconds,
    ),
    OwnerMetric(
        "runner_entries_skipped",
        "Entries of the runners' list that could not be read.",
        lambda owner: owner.skipped_entries,
    ),
)

OWNER_GAUGES = (
    OwnerMetric(
        "owner_planning_share", "Share of time in passes.", lambda owner: owner.pace.planning
    ),
    OwnerMetric("owner_longest_pass_seconds", "Longest pass.", lambda owner: owner.pace.longest),
    OwnerMetric("owner_lag_seconds", "Longest delay of a timer.", lambda owner: owner.pace.lag),
    OwnerMetric(
        "owner_waiting_jobs",
        "Open jobs with a stage that waits.",
        lambda owner: sum(owner.pace.waiting.values()),
    ),
    OwnerMetric(
        "owner_lasting_tasks_waiting",
        "Lasting tasks that have waited for over 3 s.",
        lambda owner: owner.waiting_lasting_tasks,
    ),
    OwnerMetric(
        "owner_advisor_load",
        "Share of the entries' time with a call to the advisor.",
        lambda owner: owner.advisor_load.load,
    ),
    OwnerMetric(
        "owner_advisor_entries_avoided",
        "Entries that get no calls to the advisor since one has failed.",
        lambda owner: owner.advisor_load.avoided,
    ),
    OwnerMetric(
        "owner_advisor_calls",
        "Calls to the advisor without an answer.",
        lambda owner: owner.advisor_load.calls,
    ),
    OwnerMetric(
        "owner_advisor_oldest_call_seconds",
        "Age of the oldest call without an answer.",
        lambda owner: owner.advisor_load.oldest,
    ),
    OwnerMetric(
        "owner_advisor_stages_waiting",
        "Stages for which a call was due and not made.",
        lambda owner: owner.advisor_load.waiting,
    ),
    OwnerMetric(
        "interference_paces",
        "Pace orders sent by this owner.",
        lambda owner: owner.interference_count("paces"),
    ),
    OwnerMetric(
        "interference_stops",
        "Filling tasks that this owner stopped for a serving one.",
        lambda owner: owner.interference_count("stops"),
    ),
    OwnerMetric(
        "interference_placements",
        "Placements that believed pairs changed.",
        lambda owner: owner.interference_count("placements"),
    ),
    OwnerMetric(
        "interference_pairs",
        "Pairs of images of which something is known.",
        lambda owner: owner.interference_count("pairs"),
    ),
)

GAUGES_BY_KIND = (
    OwnerMetricByKind(
        "owner_kind_time_ratio",
        "Duration of tasks on a kind of runner relative to the mean.",
        lambda owner: owner.kind_ratios,
    ),
    OwnerMetricByKind(
        "owner_kind_samples",
        "Tasks from which the speed of a kind was learnt.",
        lambda owner: owner.kind_samples,
    ),
)

GAUGES_BY_WORKSPACE = (
    CellMetricByWorkspace(
        "workspace_cpu", "Processor time in use, in thousandths of a core.", used_cpu
    ),
    CellMetricByWorkspace("workspace_waiting_jobs", "Open jobs with waiting tasks.", waiting_jobs),
)


def register_metrics(
    metrics: Metrics,
    store: Store,
    admission: AdmissionGate,
    watch: ConfigurationWatch,
    host: CellHost,
    gaps: OwnerGaps,
    membership: Membership,
    transfer: ConfigurationTransfer,
) -> None:
    """Register what an entry shows beside the answers to its callers.

    Parameters
    ----------
    metrics : Metrics
        Registry of the metrics.
    store : Store
        Client of the platform's store.
    admission : AdmissionGate
        Counts refused jobs.
    watch : ConfigurationWatch
        Knows how old the configuration may be.
    host : CellHost
        Knows what the owner of the cell measures while this entry is the owner.
    gaps : OwnerGaps
        Knows whether an owner acts.
    membership : Membership
        Knows the entries of the cell.
    transfer : ConfigurationTransfer
        Counts configurations taken from other entries.
    """
    traffic = store.traffic
    metrics.counter("store_calls", "Calls to the platform's store.", lambda: traffic.calls)
    metrics.counter(
        "store_received_bytes", "Bytes received from the store.", lambda: traffic.bytes_in
    )
    metrics.counter(
        "configurations_transferred",
        "Long configurations taken from other entries.",
        lambda: transfer.received,
    )
    for reason in RefusalReason:
        metrics.counter(
            f"jobs_refused_{reason}",
            "Jobs refused because the cell was full.",
            partial(_refusals, admission, reason),
        )
    metrics.gauge(
        "configuration_age_seconds",
        "Time since the configuration was known to be the newest one, -1 before the first.",
        lambda: watch.age if watch.age < float("inf") else -1.0,
    )
    metrics.counter("owner_changes", "Changes of owner read.", lambda: gaps.changes)
    metrics.gauge(
        "owner_gap_seconds",
        "Time for which nobody has acted as the owner, as seen here, 0 if an owner acts.",
        lambda: gaps.seconds,
    )
    members = membership.members
    metrics.gauge("entries", "Entries of the cell, this one included.", lambda: len(members.names))
    metrics.gauge(
        "entries_unreachable",
        "Entries to which this one has no connection.",
        lambda: len(members.names) - len(members.reachable),
    )
    metrics.counter(
        "entry_record_corrections",
        "Times that the record of this entry was missing or another one's.",
        lambda: membership.corrections,
    )
    metrics.durations(
        "owner_lasting_task_wait_seconds",
        "Wait of a lasting task from the end of a run, or from the first pass, to the next run.",
        (),
        lambda: host.figures.lasting_waits,
    )
    metrics.counter_by_label(
        "owner_contained_errors",
        "Unexpected errors that did not end the owner, by what was put aside.",
        "kind",
        lambda: host.figures.contained_errors,
    )
    for row in OWNER_COUNTERS:
        metrics.counter(row.name, row.help_text, partial(row.reading, host.figures))
    for row in OWNER_GAUGES:
        metrics.gauge(row.name, row.help_text, partial(row.reading, host.figures))
    for name, help_text, of_cell in GAUGES_BY_WORKSPACE:
        metrics.gauge_by_label(name, help_text, "workspace", partial(_of_cell, host, of_cell))
    for name, help_text, of_owner in GAUGES_BY_KIND:
        metrics.gauge_by_label(name, help_text, "kind", partial(of_owner, host.figures))


def _refusals(admission: AdmissionGate, reason: RefusalReason) -> float:
    return admission.refused[reason]


def _of_cell(host: CellHost, readings: Callable[[Cell], dict[str, float]]) -> dict[str, float]:
    """Return values of the cell's workspaces, none at an entry that does not own the cell."""
    owner = host.owner
    return largest_and_rest(readings(owner.cell)) if owner is not None else {}
