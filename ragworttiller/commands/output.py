"""Output of the command-line tool: tables for people, JSON for programs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
import typer
from typing_extensions import override

from ragworttiller.exceptions import RagworttillerError

COLUMN_GAP = "  "
TIME_FIELDS = frozenset({"at"})


class OutputFormat(StrEnum):
    """Format of the output of a command."""

    TABLE = "table"
    JSON = "json"


class Table(NamedTuple):
    """List to print, and its columns."""

    rows: Sequence[Mapping[str, Any]]
    columns: Sequence[str]


class Output(ABC):
    """Prints results and errors."""

    @abstractmethod
    def rows(self, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
        """Print a list; a table shows only ``columns``."""

    @abstractmethod
    def record(self, fields: Mapping[str, Any]) -> None:
        """Print one object."""

    @abstractmethod
    def document(
        self, value: Mapping[str, Any], fields: Mapping[str, Any], tables: Sequence[Table]
    ) -> None:
        """Print a result that holds lists: all of ``value`` as JSON, or ``fields`` and tables."""

    @abstractmethod
    def error(self, error: RagworttillerError) -> None:
        """Print an error."""

    def progress(self, text: str) -> None:
        """Print a line to standard error that is not part of the result."""
        typer.echo(text, err=True)


class JsonOutput(Output):
    """Prints JSON documents, one for each result."""

    @override
    def rows(self, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
        typer.echo(_json(list(rows)))

    @override
    def record(self, fields: Mapping[str, Any]) -> None:
        typer.echo(_json(fields))

    @override
    def document(
        self, value: Mapping[str, Any], fields: Mapping[str, Any], tables: Sequence[Table]
    ) -> None:
        self.record(value)

    @override
    def error(self, error: RagworttillerError) -> None:
        typer.echo(_json(error.body()), err=True)


class TableOutput(Output):
    """Prints tables with aligned columns."""

    @override
    def rows(self, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
        cells = [list(columns), *([_cell(name, row.get(name)) for name in columns] for row in rows)]
        widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
        for line in cells:
            padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
            typer.echo(COLUMN_GAP.join(padded).rstrip())

    @override
    def record(self, fields: Mapping[str, Any]) -> None:
        width = max((len(name) for name in fields), default=0)
        for name, value in fields.items():
            typer.echo(f"{name.ljust(width)}{COLUMN_GAP}{_cell(name, value)}")

    @override
    def document(
        self, value: Mapping[str, Any], fields: Mapping[str, Any], tables: Sequence[Table]
    ) -> None:
        self.record(fields)
        for table in tables:
            typer.echo()
            self.rows(*table)

    @override
    def error(self, error: RagworttillerError) -> None:
        typer.echo(f"error {error.code}: {error}", err=True)
        typer.echo(f"outcome: {error.ran.value}", err=True)
        if error.retry_after is not None:
            typer.echo(f"try again after {error.retry_after:g} s", err=True)


def output_for(output_format: OutputFormat) -> Output:
    """Return the output for a format."""
    return JsonOutput() if output_format is OutputFormat.JSON else TableOutput()


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _cell(name: str, value: Any) -> str:
    if name in TIME_FIELDS and isinstance(value, float | int):
        return datetime.fromtimestamp(value, tz=UTC).isoformat(sep=" ", timespec="seconds")
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return _json(value)
