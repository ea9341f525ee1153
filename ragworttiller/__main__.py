"""Command ``ragworttiller``: the command-line tool for operators."""

from __future__ import annotations

from typing import Annotated

import typer

from ragworttiller.commands import (
    cell,
    config,
    inventory,
    jobs,
    requests,
    status,
    templates,
    workspaces,
)
from ragworttiller.commands.client import Client
from ragworttiller.commands.codes import codes
from ragworttiller.commands.context import CommandContext, RootGroup
from ragworttiller.commands.explain import explain
from ragworttiller.commands.output import OutputFormat, output_for

DEFAULT_TIMEOUT_SECONDS = 30.0

app = typer.Typer(
    name="ragworttiller",
    cls=RootGroup,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(config.app, name="config")
app.add_typer(templates.app, name="templates")
app.add_typer(jobs.app, name="jobs")
app.add_typer(requests.app, name="requests")
app.add_typer(inventory.workers, name="workers")
app.add_typer(inventory.upstreams, name="upstreams")
app.add_typer(inventory.instances, name="instances")
app.add_typer(workspaces.app, name="workspaces")
app.add_typer(status.decisions, name="decisions")
app.add_typer(cell.app, name="cell")
app.command()(status.status)
app.command()(codes)
app.command()(explain)


@app.callback()
def options(
    ctx: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            envvar="RAGWORTTILLER_ENTRIES",
            help="URL of an entry; may be repeated: the next one is tried if one is not ready.",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(
            envvar="RAGWORTTILLER_TOKEN", show_default=False, help="Bearer token of an operator."
        ),
    ] = "",
    author: Annotated[
        str, typer.Option(envvar="USER", help="Name that changes are recorded under.")
    ] = "operator",
    output: Annotated[OutputFormat, typer.Option(help="Output format.")] = OutputFormat.TABLE,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Longest wait for an answer in seconds.")
    ] = DEFAULT_TIMEOUT_SECONDS,
) -> None:
    """Operate a ragworttiller cell.

    Exit codes: 0 done, 1 ended without success, 2 wrong arguments, 3 refused and not done,
    4 conflict with another operator, 5 outcome not known, 6 no entry reached.
    """
    client = Client(entry or [], token, author, timeout)
    ctx.obj = CommandContext(client, output_for(output))
    ctx.call_on_close(client.close)


def main() -> None:
    """Run the tool with the command-line arguments."""
    app()


if __name__ == "__main__":
    main()
