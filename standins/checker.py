"""Checks the eight promises against the records of stand-ins and callers.

It shares no code with the system: runners and workers record the work they received, callers
record the answers they got. All times are monotonic seconds of one machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from ragworttiller.resources import Resources
from standins.agent import TaskEvent, Violation
from standins.runner import ServedRequest

DRAIN_GRACE_SECONDS = 5.0
CONFIG_PROPAGATION_SECONDS = 4.0
SAFE_METHODS = frozenset({"GET", "HEAD"})


class Promise(StrEnum):
    """Promises of the system to its users, in the order of the users' brief."""

    NO_OVERBOOKING = "no overbooking"
    ONE_PLACE = "a task runs in one place"
    OWN_ANSWER = "whole answer to the own request"
    NOT_RUN = "not run means not run"
    AT_MOST_ONCE = "non-idempotent at most once"
    LEAVING = "no new work for a leaving upstream"
    GRACEFUL_STOP = "a planned stop cuts nothing"
    CONFIGURATION = "accepted configuration in force and kept"


class ReportedOutcome(StrEnum):
    """Outcome of a request as reported to its caller."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RAN = "ran"
    BROKEN = "broken"


class CallerAnswer(NamedTuple):
    """Request of a caller and the answer to it.

    ``digest`` is that of the body sent; the ``echo`` fields are those of the runner's answer.
    ``answered`` is the time of the answer or of its failure.
    ``replayed`` marks an answer that was recorded for an earlier request with the same key.
    """

    request_id: str
    key: str
    method: str
    digest: str
    entry: str
    sent: float
    answered: float
    reported: ReportedOutcome
    status: int
    code: str
    echo_request_id: str
    echo_key: str
    echo_digest: str
    replayed: bool = False


class RunnerDrain(NamedTuple):
    """Time at which the drain of a runner was requested.

    The platform's directory lists the runner as leaving after its lag.
    """

    runner: str
    at: float


class PlannedStop(NamedTuple):
    """Graceful stop of an entry; ``exit_status`` is None if it had to be killed."""

    entry: str
    at: float
    ended: float
    exit_status: int | None


class AcceptedChange(NamedTuple):
    """Configuration change whose acceptance was confirmed to an operator."""

    item: str
    version: int
    at: float


class ObservedVersion(NamedTuple):
    """Version of an item that an entry has in force, 0 for none.

    ``process`` distinguishes the starts of one entry.
    """

    entry: str
    process: int
    item: str
    version: int
    at: float


class RunHistory(NamedTuple):
    """All records of one run."""

    served: list[ServedRequest] = []
    events: list[TaskEvent] = []
    violations: list[Violation] = []
    capacities: dict[str, Resources] = {}
    answers: list[CallerAnswer] = []
    drains: list[RunnerDrain] = []
    stops: list[PlannedStop] = []
    accepted: list[AcceptedChange] = []
    observed: list[ObservedVersion] = []


class Breach(NamedTuple):
    """One broken promise."""

    promise: Promise
    subject: str
    problem: str


def check(history: RunHistory) -> list[Breach]:
    """Return every breach found in the records of a run."""
    checks = (
        _find_overbooking,
        _find_duplicate_runs,
        _find_wrong_answers,
        _find_false_not_run,
        _find_repeated_requests,
        _find_work_after_drain,
        _find_unclean_stops,
        _find_stale_configuration,
    )
    return [breach for find in checks for breach in find(history)]


def _find_overbooking(history: RunHistory) -> Iterator[Breach]:
    tasks: dict[str, dict[tuple[str, int], Resources]] = defaultdict(dict)
    for event in _sort_events(history.events):
        running = tasks[event.worker]
        key = (event.task, event.attempt)
        if event.event not in ("start", "throttle"):
            running.pop(key, None)
            continue
        running[key] = event.limit
        total = Resources(*map(sum, zip(*running.values(), strict=True)))
        capacity = history.capacities[event.worker]
        if any(amount > available for amount, available in zip(total, capacity, strict=True)):
            problem = f"{event.task}: {total} allocated, {capacity} available"
            yield Breach(Promise.NO_OVERBOOKING, event.worker, problem)
    for violation in history.violations:
        if violation.problem.endswith("available"):
            yield Breach(Promise.NO_OVERBOOKING, violation.worker, violation.problem)


def _find_duplicate_runs(history: RunHistory) -> Iterator[Breach]:
    places: dict[str, tuple[str, int]] = {}
    for event in _sort_events(history.events):
        place = (event.worker, event.attempt)
        if event.event == "start":
            other = places.get(event.task)
            if other is not None:
                yield Breach(Promise.ONE_PLACE, event.task, f"runs at {other} and {place}")
            places[event.task] = place
        elif event.event != "throttle" and places.get(event.task) == place:
            del places[event.task]
    for violation in history.violations:
        if violation.problem.startswith("already runs"):
            yield Breach(
                Promise.ONE_PLACE, violation.task, f"{violation.worker}: {violation.problem}"
            )


def _find_wrong_answers(history: RunHistory) -> Iterator[Breach]:
    for answer in history.answers:
        if answer.reported is not ReportedOutcome.ANSWER:
            continue
        same_request = answer.replayed or answer.echo_request_id == answer.request_id
        if not same_request or answer.echo_key != answer.key:
            problem = f"received the answer to {answer.echo_request_id!r}, key {answer.echo_key!r}"
            yield Breach(Promise.OWN_ANSWER, answer.request_id, problem)
        elif answer.echo_digest != answer.digest:
            yield Breach(Promise.OWN_ANSWER, answer.request_id, "the body was changed in transit")


def _find_false_not_run(history: RunHistory) -> Iterator[Breach]:
    started = {served.request_id: served for served in history.served}
    for answer in history.answers:
        served = started.get(answer.request_id)
        if answer.reported is ReportedOutcome.NOT_RUN and served is not None:
            problem = f"reported as not run ({answer.code}), ran at {served.runner}"
            yield Breach(Promise.NOT_RUN, answer.request_id, problem)


def _find_repeated_requests(history: RunHistory) -> Iterator[Breach]:
    starts: dict[str, list[ServedRequest]] = defaultdict(list)
    for served in history.served:
        if served.method not in SAFE_METHODS:
            starts[served.key or served.request_id].append(served)
    for key, runs in starts.items():
        if len(runs) > 1:
            places = ", ".join(f"{run.runner} at {run.start:.3f}" for run in runs)
            yield Breach(Promise.AT_MOST_ONCE, key, f"started at {places}")


def _find_work_after_drain(history: RunHistory) -> Iterator[Breach]:
    for drain in history.drains:
        for served in history.served:
            delay = served.start - drain.at
            if served.runner == drain.runner and delay > DRAIN_GRACE_SECONDS:
                problem = f"{served.request_id} started {delay:.1f} s after the drain of its runner"
                yield Breach(Promise.LEAVING, drain.runner, problem)


def _find_unclean_stops(history: RunHistory) -> Iterator[Breach]:
    for stop in history.stops:
        if stop.exit_status != 0:
            yield Breach(Promise.GRACEFUL_STOP, stop.entry, f"exit status {stop.exit_status}")
        for answer in history.answers:
            overlaps = answer.sent <= stop.ended and answer.answered >= stop.at
            if (
                answer.entry == stop.entry
                and answer.reported is ReportedOutcome.BROKEN
                and overlaps
            ):
                problem = (
                    f"{answer.request_id} was cut off "
                    f"{answer.answered - stop.at:.2f} s after the stop"
                )
                yield Breach(Promise.GRACEFUL_STOP, stop.entry, problem)


def _find_stale_configuration(history: RunHistory) -> Iterator[Breach]:
    latest: dict[tuple[str, int, str], int] = {}
    for observed in sorted(history.observed, key=lambda row: row.at):
        source = (observed.entry, observed.process, observed.item)
        if observed.version < latest.get(source, 0):
            problem = f"{observed.item} reverted from {latest[source]} to {observed.version}"
            yield Breach(Promise.CONFIGURATION, observed.entry, problem)
        latest[source] = max(observed.version, latest.get(source, 0))
        for accepted in history.accepted:
            due = observed.at - accepted.at > CONFIG_PROPAGATION_SECONDS
            if accepted.item == observed.item and due and observed.version < accepted.version:
                problem = (
                    f"{observed.item} at {observed.version}, "
                    f"{observed.at - accepted.at:.1f} s after {accepted.version} was accepted"
                )
                yield Breach(Promise.CONFIGURATION, observed.entry, problem)


def _sort_events(events: list[TaskEvent]) -> list[TaskEvent]:
    """Return events by time, ends before starts at equal times."""
    return sorted(events, key=lambda event: (event.at, event.event == "start"))
