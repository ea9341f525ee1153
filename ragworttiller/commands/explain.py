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
STANDARD_FIELDS = frozenset({"time", "instance", "message", "level", "logger"})


def explain(
    ctx: typer.Context,
    job: Annotated[str, typer.Argument(help="Identifier of the job, or the name of a task.")],
    files: Annotated[
        list[Path], typer.Argument(exists=True, dir_okay=False, help="Log files of the entries.")
    ],
) -> None:
    """Show what the entries have logged about one job, in chronological order."""
    lines = (line for file in files for line in file.open(encoding="utf-8", errors="replace"))
    rows = job_log_rows(job, lines)
    if not rows:
        raise NotFound(kind="job", name=job)
    context_of(ctx).output.rows(rows, COLUMNS)


def job_log_rows(job: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that concern a job, each as one row, in chronological order.

    Parameters
    ----------
    job : str
        Identifier of the job, or the name of a stage or task of it.
    lines : iterable of str
        Log lines of any entries, in any order. Lines without JSON are skipped, and so is any text
        before the JSON of a line.
    """
    records = [record for record in _json_records(job, lines) if _concerns(job, record)]
    records.sort(key=lambda record: record.get("time", ""))
    return [
        {
            "time": record.get("time", ""),
            "instance": record.get("instance", ""),
            "message": record["message"],
            "details": _details(record),
        }
        for record in records
    ]


def _json_records(job: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0 or job not in line:
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
