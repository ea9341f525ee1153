"""Context that all commands share, and the root command of the command-line tool."""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup
from typing_extensions import override

from ragworttiller.commands.client import Client
from ragworttiller.commands.exit_codes import exit_code
from ragworttiller.commands.output import Output, OutputFormat, output_for
from ragworttiller.exceptions import RagworttillerError


class CommandContext:
    """Client and output of one run of the tool.

    Parameters
    ----------
    client : Client
        Client that calls entries.
    output : Output
        Printer of results and errors.
    """

    def __init__(self, client: Client, output: Output) -> None:
        self.client = client
        self.output = output


def context_of(ctx: typer.Context) -> CommandContext:
    """Return the context of the running command."""
    context = ctx.find_object(CommandContext)
    assert context is not None
    return context


class RootGroup(TyperGroup):
    """Root command, which converts errors to messages and exit codes."""

    @override
    def invoke(self, ctx: Any) -> Any:
        try:
            return super().invoke(ctx)
        except RagworttillerError as exc:
            context = ctx.find_object(CommandContext)
            output = context.output if context else output_for(OutputFormat.TABLE)
            output.error(exc)
            raise typer.Exit(exit_code(exc)) from exc
