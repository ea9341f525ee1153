"""Metrics of a run of a cell, from callers, journals and processes."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ragworttiller.resources import NO_RESOURCES, Resources
from standins.agent import TaskEvent
from standins.checker import ReportedOutcome
from tools.callers import Outcome

BYTE_COUNTERS = re.compile(r"^ragworttiller_\w*bytes\w*_total(?:\{[^}]*\})? (\S+)$", re.MULTILINE)
MIB = 1024 * 1024


class Waiting(NamedTuple):
    """Waiting time of one kind of work, in seconds."""

    kind: str
    samples: int
    p50: float
    p99: float


class Packing(NamedTuple):
    """Workers in use and the allocated share of their resources, at peak allocation."""

    workers: int
    cpu: float
    memory: float


class EntryCost(NamedTuple):
    """Cost of one entry: share of a core, resident memory and control traffic."""

    entry: str
    processor_share: float
    resident_mib: float
    bytes_per_second: float


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of all values lie, NaN without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def waiting(kind: str, values: Sequence[float]) -> Waiting:
    """Return the waiting time of a kind of work."""
    return Waiting(kind, len(values), quantile(values, 0.5), quantile(values, 0.99))


def request_waiting(outcomes: Iterable[Outcome]) -> list[Waiting]:
    """Return the time to an answer for each kind of request that got one."""
    times: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.answer.reported is ReportedOutcome.ANSWER:
            times[outcome.request.path].append(outcome.waited)
    return [waiting(kind, values) for kind, values in sorted(times.items())]


def outcome_counts(outcomes: Iterable[Outcome]) -> dict[str, Counter[str]]:
    """Count the final outcomes by kind of request."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for outcome in outcomes:
        answer = outcome.answer
        code = f" ({answer.code})" if answer.code else ""
        counts[outcome.request.path][f"{answer.reported.value}{code}"] += 1
    return dict(counts)


def task_waiting(kind: str, events: list[TaskEvent], submitted: dict[str, float]) -> Waiting:
    """Return the time from the submission of jobs to the start of each of their tasks."""
    values = []
    for event in events:
        job, _, _ = event.task.rpartition("/")
        if event.event == "start" and event.attempt == 1 and job in submitted:
            values.append(event.at - submitted[job])
    return waiting(kind, values)


def packing(events: list[TaskEvent], capacities: dict[str, Resources]) -> Packing:
    """Return the packing at the moment when the most processor time is allocated."""
    allocated: dict[str, dict[str, Resources]] = defaultdict(dict)
    peak = Packing(0, 0.0, 0.0)
    peak_cpu = 0
    for event in sorted(events, key=lambda item: (item.at, item.event == "start")):
        if event.event in ("start", "throttle"):
            allocated[event.worker][event.task] = event.limit
        else:
            allocated[event.worker].pop(event.task, None)
        used = {worker: _total(tasks.values()) for worker, tasks in allocated.items() if tasks}
        total = _total(used.values())
        if total.cpu > peak_cpu:
            peak_cpu = total.cpu
            capacity = _total(capacities[worker] for worker in used)
            peak = Packing(len(used), total.cpu / capacity.cpu, total.memory / capacity.memory)
    return peak


def control_bytes(exposition: str) -> float:
    """Return the sum of the byte counters of peers, log and workers on a metrics page."""
    return sum(float(value) for value in BYTE_COUNTERS.findall(exposition))


def _total(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total
