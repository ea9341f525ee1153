"""Command that lists error codes and exit codes."""

from __future__ import annotations

import inspect

import typer

from ragworttiller.commands.context import context_of
from ragworttiller.commands.exit_codes import EXIT_CODE_MEANINGS, exit_code
from ragworttiller.exceptions import RagworttillerError


def codes(ctx: typer.Context) -> None:
    """List the error codes with their exit codes, and the meanings of the exit codes."""
    output = context_of(ctx).output
    rows = [
        {
            "code": code,
            "status": cls.status,
            "ran": cls.ran.value,
            "exit": exit_code(cls.__new__(cls)).value,
            "meaning": " ".join((inspect.getdoc(cls) or "").split()),
        }
        for code, cls in sorted(RagworttillerError.registry.items())
    ]
    output.rows(rows, ["code", "status", "ran", "exit", "meaning"])
    exits = [{"exit": code.value, "meaning": text} for code, text in EXIT_CODE_MEANINGS.items()]
    output.rows(exits, ["exit", "meaning"])
