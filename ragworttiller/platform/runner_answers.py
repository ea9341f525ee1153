"""Answers of the platform's runners, decoded and checked row by row."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

import msgspec

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.names import task_id
from ragworttiller.scheduling.state.jobs import TaskId

MAX_LISTED_ENDS = 500
# A listed end beyond such a gap would hide all later ends of its runner.
MAX_GAP_OF_ENDS = 100_000
# JSON numbers are exact up to here, and records of the store can hold them.
MAX_NUMBER = 2**53
# In the year 2109, as a time since the epoch.
MAX_TIME_MS = 2**42
FULL_PERCENT = 100.0
MAX_REASON_CHARACTERS = 100
# A longer one would make the record of its job too long for the store.
MAX_CHECKPOINT_CHARACTERS = 10_000


class RunningTask(NamedTuple):
    """Running task.

    ``percent`` is its progress. ``load`` is the tail latency in milliseconds of a serving task, or
    the CPU in use of any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRun(NamedTuple):
    """Ended run; the runner assigns ``number`` and reports ``outcome``."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


class HoldAnswer(NamedTuple):
    """Answer to a hold order.

    ``clock`` is the runner's clock in seconds; ``unreadable`` counts the rows left out because they
    could not be decoded. ``more_ends`` is whether the runner may have more ended runs to list.
    """

    clock: float
    running: list[RunningTask]
    ended: list[EndedRun]
    unreadable: int
    more_ends: bool = False


class RunnerAnswer(msgspec.Struct):
    """Answer of a runner as it came; ``running`` and ``ended_runs`` have a row for each run."""

    clock_ms: float | None = None
    reason: str = ""
    running: list[list[Any]] = []
    ended_runs: list[list[Any]] = []
    born: int | None = None


class _AnswerOfRows(msgspec.Struct):
    """Answer whose rows are decoded one by one, as one of them is malformed."""

    clock_ms: float | None = None
    reason: str = ""
    running: list[msgspec.Raw] = []
    ended_runs: list[msgspec.Raw] = []
    born: int | None = None


def decode_answer(body: bytes) -> RunnerAnswer:
    """Return a decoded answer, in which an empty row stands for a malformed one.

    Raises
    ------
    msgspec.MsgspecError, RecursionError
        The answer cannot be decoded apart from its rows.
    """
    try:
        return msgspec.json.decode(body, type=RunnerAnswer)
    except msgspec.MsgspecError:
        answer = msgspec.json.decode(body, type=_AnswerOfRows)
    running, ended = ([_decode_row(row) for row in r] for r in (answer.running, answer.ended_runs))
    return RunnerAnswer(answer.clock_ms, answer.reason, running, ended, answer.born)


def decode_hold(answer: RunnerAnswer, seen: int) -> HoldAnswer:
    """Return the answer to a hold order, without the rows that cannot be read.

    Parameters
    ----------
    answer : RunnerAnswer
        Answer with a clock.
    seen : int
        Number of the last ended run that was read before.
    """
    running = [row for row in map(_decode_running, answer.running) if row]
    ended = _without_far([row for row in map(_decode_ended, answer.ended_runs) if row], seen)
    rows = len(answer.running) + len(answer.ended_runs)
    return HoldAnswer(
        (answer.clock_ms or 0.0) / 1000,
        running,
        ended,
        rows - len(running) - len(ended),
        more_ends=len(answer.ended_runs) >= MAX_LISTED_ENDS,
    )


def _decode_row(row: msgspec.Raw) -> list[Any]:
    try:
        return msgspec.json.decode(row, type=list[Any])
    except msgspec.MsgspecError:
        return []


def _without_far(ended: list[EndedRun], seen: int) -> list[EndedRun]:
    """Return the ended runs up to the first implausible gap in their numbers.

    Runners number their ends one by one. The number of the first one tells a new owner, which has
    seen none, where they have got to.
    """
    near: list[EndedRun] = []
    for end in sorted(ended):
        if seen and end.number > seen + MAX_GAP_OF_ENDS:
            break
        near.append(end)
        seen = max(seen, end.number)
    return near


def _decode_running(row: list[Any]) -> RunningTask | None:
    """Return a running task, None if its name or run is unreadable."""
    try:
        task, run, *rest = row
        name, number = task_id(task), _count(run)
    except (Unreadable, TypeError, ValueError):
        return None
    checkpoint, percent, load = (rest + [None] * 3)[:3]
    done = min(_number(percent), FULL_PERCENT)
    return RunningTask(name, number, _text(checkpoint), done, _number(load))


def _decode_ended(row: list[Any]) -> EndedRun | None:
    """Return an ended run, None if its number, name, run or outcome is unreadable."""
    try:
        number, task, run, outcome, *rest = row
        checkpoint = _text(rest[0]) if rest else ""
        if not isinstance(outcome, str):
            return None
        outcome = outcome[:MAX_REASON_CHARACTERS]
        return EndedRun(_count(number), task_id(task), _count(run), outcome, checkpoint)
    except (Unreadable, TypeError, ValueError):
        return None


def _count(value: Any) -> int:
    """Return the number of a run or an end.

    Raises
    ------
    TypeError, ValueError
        It is no number, or out of range.
    """
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError("number out of range")
    return number


def _text(value: Any) -> str:
    """Return a field that may be missing or too long, empty then, as text."""
    readable = isinstance(value, str) and len(value) <= MAX_CHECKPOINT_CHARACTERS
    return value if readable else ""


def _number(value: Any) -> float:
    """Return a field that may be missing, no number or negative, 0 then."""
    try:
        number = float(value)
    except (TypeError, ValueError):
        return 0.0
    return number if 0 <= number < math.inf else 0.0
