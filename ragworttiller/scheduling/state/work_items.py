"""Runners, jobs and stages that a failed computation was at work on."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from traceback import walk_tb
from typing import NamedTuple

from ragworttiller.platform.listing import RunnerEntry
from ragworttiller.platform.store import Record
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId, TaskId
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage


class ItemKind(StrEnum):
    """Kind of an item, in the order in which items of one computation are named."""

    STAGE = "stage"
    JOB = "job"
    RUNNER = "runner"
    RECORD = "record"
    STEP = "step"


_RANKS = {kind: rank for rank, kind in enumerate(ItemKind)}


class Item(NamedTuple):
    """Something that can be worked on apart from others of its kind."""

    kind: ItemKind
    key: str | StageId


def runner_item(runner: RunnerState) -> Item:
    """Return the item of a runner."""
    return Item(ItemKind.RUNNER, runner.id)


def job_item(job: str) -> Item:
    """Return the item of a job."""
    return Item(ItemKind.JOB, job)


def stage_item(stage: Stage) -> Item:
    """Return the item of a stage."""
    return Item(ItemKind.STAGE, stage.id)


def stage_id_item(stage: StageId) -> Item:
    """Return the item of a stage with an identifier."""
    return Item(ItemKind.STAGE, stage)


def items_in(values: Iterable[object]) -> list[Item]:
    """Return the first item of each kind among some values, and in tuples among them."""
    found: dict[ItemKind, Item] = {}
    for value in _flattened(values):
        for item in _items_of(value):
            found.setdefault(item.kind, item)
    return sorted(found.values(), key=lambda item: _RANKS[item.kind])


def items_at_work(error: BaseException) -> list[Item]:
    """Return what the innermost function that names any item was at work on as it failed.

    The function that caught the error is left out, since its variables may be of earlier work.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = [frame for frame, _ in walk_tb(error.__traceback__)]
    for frame in reversed(frames[1:]):
        items = items_in(frame.f_locals.values())
        if items:
            return items
    return []


def item_fields(items: Iterable[Item]) -> dict[str, str]:
    """Return the fields that name some items in a log line."""
    return {str(item.kind): str(item.key) for item in items}


def _flattened(values: Iterable[object]) -> Iterator[object]:
    for value in values:
        yield value
        if isinstance(value, tuple):
            yield from value


def _items_of(value: object) -> list[Item]:
    """Return the items that a value names, none if it is only half built."""
    try:
        return _named_items(value)
    except AttributeError:
        return []


def _named_items(value: object) -> list[Item]:
    match value:
        case Stage():
            return [stage_item(value)]
        case StageId():
            return [stage_id_item(value)]
        case TaskId():
            return [stage_id_item(value.stage)]
        case Run():
            return [stage_id_item(value.task.stage), Item(ItemKind.RUNNER, value.runner)]
        case JobWork():
            return [job_item(value.id)]
        case RunnerState():
            return [runner_item(value)]
        case RunnerEntry():
            return [Item(ItemKind.RUNNER, value.runner)]
        case Record():
            return [Item(ItemKind.RECORD, value.key)]
    return []
