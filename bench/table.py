"""Rows of benchmark results, printed as a table and stored as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
from rich import box
from rich.console import Console
from rich.table import Table

MET = "met"
RESULTS = Path(".run") / "bench.json"


class Row(NamedTuple):
    """One result; ``verdict`` is ``met``, or ``missed: `` with the cause, or empty."""

    group: str
    name: str
    baseline: str
    measured: str
    target: str
    verdict: str


def verdict(met: bool, cause: str) -> str:
    """Return ``met``, or ``missed`` with its cause."""
    return MET if met else f"missed: {cause}"


def show(rows: Sequence[Row]) -> None:
    """Print rows as a table."""
    table = Table(box=box.SIMPLE)
    for field in Row._fields:
        table.add_column(field, overflow="fold")
    for row in rows:
        table.add_row(*row)
    Console(width=160).print(table)


def save(rows: Sequence[Row], path: Path = RESULTS) -> None:
    """Write rows as JSON, replacing earlier rows of the same groups."""
    groups = {row.group for row in rows}
    kept = [row for row in load(path) if row.group not in groups]
    path.parent.mkdir(parents=True, exist_ok=True)
    objects = [row._asdict() for row in [*kept, *rows]]
    path.write_bytes(msgspec.json.format(msgspec.json.encode(objects), indent=1))


def load(path: Path = RESULTS) -> list[Row]:
    """Return the rows stored in a file, or none if it does not exist."""
    if not path.exists():
        return []
    return [Row(**fields) for fields in msgspec.json.decode(path.read_bytes())]
