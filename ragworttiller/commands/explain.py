"""Command that collects the story of one job from log files."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from ragworttiller.commands.context import context_of
from ragworttiller.exceptions import NotFound

COLUMNS = ["time", "instance", "message", "details"]
PLAIN_FIELDS = frozenset({"time", "instance", "message", "level", "logger"})


def explain(
    ctx: typer.Context,
    job: Annotated[str, typer.Argument(help="Identifier of the job, or the name of a task.")],
    files: Annotated[
        list[Path], typer.Argument(exists=True, dir_okay=False, help="Log files of the entries.")
    ],
) -> None:
    """Show what the entries have logged about one job, in the order of time."""
    lines = (line for file in files for line in file.open(encoding="utf-8", errors="replace"))
    rows = story(job, lines)
    if not rows:
        raise NotFound(kind="job", name=job)
    context_of(ctx).output.rows(rows, COLUMNS)


def story(job: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that concern a job, each as one row.

    Parameters
    ----------
    job : str
        Identifier of the job, or the name of a stage or task of it.
    lines : iterable of str
        Log lines of any entries, in any order; lines that are not JSON are skipped, and so is what
        stands before the JSON of a line.
    """
    found = [record for record in _records(job, lines) if _concerns(job, record)]
    found.sort(key=lambda record: record.get("time", ""))
    return [
        {
            "time": record.get("time", ""),
            "instance": record.get("instance", ""),
            "message": record["message"],
            "details": _details(record),
        }
        for record in found
    ]


def _records(job: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
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
    return any(job in str(value) for name, value in record.items() if name not in PLAIN_FIELDS)


def _details(record: dict[str, Any]) -> str:
    fields = {name: value for name, value in record.items() if name not in PLAIN_FIELDS}
    return " ".join(f"{name}={value}" for name, value in fields.items())
