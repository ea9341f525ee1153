"""Decoding of submitted jobs, and encoding of the bodies of answers to callers."""

from __future__ import annotations

import math
from typing import Annotated, Any

import msgspec

from ragworttiller.exceptions import InvalidField, RagworttillerError
from ragworttiller.platform.decoding import decode_json
from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.jobs import JobSpec, Occurrences, StepSpec

MAX_SPEC_BYTES = 4000
MAX_TASKS = 100_000
# The time of a planning pass grows with the square of the steps, and with the occurrences.
MAX_STEPS = 500
MAX_STAGES = 10_000
# In the year 2109, as a time since the epoch.
MAX_TIME_MS = float(2**42)
# JSON numbers are exact up to here, and sums of them can be stored.
MAX_AMOUNT = 2**53
DEADLINE_HEADER = b"ragworttiller-deadline-ms"
API_KEY_HEADER = b"x-api-key"


_Amount = Annotated[int, msgspec.Meta(le=MAX_AMOUNT)]
_Limit = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Duration = Annotated[float, msgspec.Meta(le=MAX_TIME_MS)]
_Time = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]


class _Step(msgspec.Struct):
    count: int = 1
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: _Duration = 0.0
    after: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: _Limit = 0
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    target_ms: _Time = 0.0
    fills: bool = False
    disruption_budget: _Limit = 0


class _Job(msgspec.Struct):
    steps: list[_Step]
    spec: str = ""
    times: int = 0
    first_run_ms: _Time = 0.0
    interval_ms: _Time = 0.0


def decode_job(body: bytes) -> JobSpec:
    """Decode the job that a caller submits.

    Raises
    ------
    Unreadable
        The body is not a valid job.
    InvalidField
        A field has a value that is not allowed.
    """
    wire = decode_json(body, _Job, "job")
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise _invalid("spec", "is too long", f"{MAX_SPEC_BYTES} bytes")
    if not wire.steps:
        raise _invalid("steps", "is empty", "one or more")
    if sum(max(step.count, 0) for step in wire.steps) * max(wire.times, 1) > MAX_TASKS:
        raise _invalid("steps", "has too many tasks", f"{MAX_TASKS} tasks in all")
    if len(wire.steps) > MAX_STEPS:
        raise _invalid("steps", "has too many steps", f"{MAX_STEPS} steps")
    if len(wire.steps) * max(wire.times, 1) > MAX_STAGES:
        raise _invalid("times", "is too large", f"{MAX_STAGES} steps of all occurrences")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(wire.steps))
    occurrences = None
    if wire.times > 0:
        occurrences = Occurrences(wire.times, wire.first_run_ms / 1000, wire.interval_ms / 1000)
    return JobSpec(wire.spec, steps, occurrences)


def _decode_step(number: int, wire: _Step) -> StepSpec:
    if wire.count < 1:
        raise _invalid(f"steps[{number}].count", "is too small", "1 or more")
    if min(wire.cpu, wire.mem_mb, wire.gpu) < 0:
        raise _invalid(
            f"steps[{number}]", "requests a negative amount", "0 or more of each resource"
        )
    if any(not 0 <= earlier < number for earlier in wire.after):
        raise _invalid(
            f"steps[{number}].after", "does not refer to an earlier step", f"0 to {number - 1}"
        )
    return StepSpec(
        tasks=wire.count,
        size=Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate=max(wire.estimate_ms, 0.0) / 1000,
        after=tuple(sorted(set(wire.after))),
        checkpoints=wire.checkpoints,
        gang=wire.gang,
        same_rack=wire.same_rack,
        label=wire.requires,
        data_rack=wire.data_rack,
        per_runner=wire.anti_affinity,
        speculative=wire.speculative,
        daemon=wire.daemon,
        image=wire.image,
        target=wire.target_ms / 1000,
        fills=wire.fills,
        disruption_budget=wire.disruption_budget,
    )


def _invalid(field: str, problem: str, allowed: str) -> InvalidField:
    return InvalidField(field=field, problem=problem, allowed=allowed)


def caller_timeout(headers: dict[bytes, bytes]) -> float | None:
    """Return the seconds for which a caller waits, None if its request does not say or is wrong."""
    try:
        timeout = float(headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return None
    return None if math.isnan(timeout) else max(timeout, 0.0)


def state_body(state: str) -> bytes:
    """Return the body of an answer with the state of a job."""
    return msgspec.json.encode({"state": state})


def pending_body(count: int) -> bytes:
    """Return the body of an answer with the number of jobs that have not started."""
    return msgspec.json.encode({"pending": count})


def error_body(error: RagworttillerError) -> bytes:
    """Return the body of an error answer."""
    body: dict[str, Any] = {"error": error.body()}
    return msgspec.json.encode(body)
