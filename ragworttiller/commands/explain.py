"""Command that collects the log lines about one job from log files."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from ragworttiller.commands.context import context_of
from ragworttiller.exceptions import NotFound

COLUMNS = ["time", "instance", "message", "details"]
OWNER_CHANGE_MESSAGES = frozenset(
    {
        "an owner acts again",
        "cell claimed",
        "claim of the cell failed",
        "earlier owner has ended",
        "earlier owners fenced",
        "no owner acts",
        "owner that seems lost was asked",
        "ownership ended",
        "ownership released",
        "ownership renewal failed",
        "renewal fenced by a later owner",
        "takeover began",
        "takeover completed",
        "takeover not completed",
        "takeover of the cell failed",
        "term superseded by a later claim",
    }
)
STANDARD_FIELDS = frozenset({"time", "instance", "message", "level", "logger"})


def explain(
    ctx: typer.Context,
    job: Annotated[str, typer.Argument(help="Identifier of the job, or the name of a task.")],
    files: Annotated[
        list[Path], typer.Argument(exists=True, dir_okay=False, help="Log files of the entries.")
    ],
    owner_changes: Annotated[
        bool, typer.Option(help="Also show the changes of owner between its lines.")
    ] = False,
) -> None:
    """Show what the entries have logged about one job, in chronological order."""
    lines = (line for file in files for line in file.open(encoding="utf-8", errors="replace"))
    rows = job_log_rows(job, lines, owner_changes)
    if not rows:
        raise NotFound(kind="job", name=job)
    context_of(ctx).output.rows(rows, COLUMNS)


def job_log_rows(
    job: str, lines: Iterable[str], owner_changes: bool = False
) -> list[dict[str, Any]]:
    """Return the log lines that concern a job, each as one row, in chronological order.

    Parameters
    ----------
    job : str
        Identifier of the job, or the name of a stage or task of it.
    lines : iterable of str
        Log lines of any entries, in any order. Lines without JSON are skipped, and so is any text
        before the JSON of a line.
    owner_changes : bool
        Whether lines about changes of owner are included, from the first line of the job to its
        last one.
    """
    found: list[dict[str, Any]] = []
    changes: list[dict[str, Any]] = []
    for record in _json_records(lines, job, owner_changes):
        if _concerns(job, record):
            found.append(record)
        elif record["message"] in OWNER_CHANGE_MESSAGES:
            changes.append(record)
    if found and owner_changes:
        times = [_time(record) for record in found]
        first, last = min(times), max(times)
        found += [record for record in changes if first <= _time(record) <= last]
    return [_row(record) for record in sorted(found, key=_time)]


def _time(record: dict[str, Any]) -> str:
    return str(record.get("time", ""))


def _row(record: dict[str, Any]) -> dict[str, Any]:
    return {
        "time": _time(record),
        "instance": record.get("instance", ""),
        "message": record["message"],
        "details": _details(record),
    }


def _json_records(lines: Iterable[str], job: str, owner_changes: bool) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0 or not (owner_changes or job in line):
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            yield record


def _concerns(job: str, record: dict[str, Any]) -> bool:
    return any(job in str(value) for name, value in record.items() if name not in STANDARD_FIELDS)


def _details(record: dict[str, Any]) -> str:
    fields = {name: value for name, value in record.items() if name not in STANDARD_FIELDS}
    return " ".join(f"{name}={value}" for name, value in fields.items())
