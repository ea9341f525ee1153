"""Commands that show the state of one instance."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Annotated, Any

import typer

from ragworttiller.commands.client import Client, api_path
from ragworttiller.commands.context import context_of

decisions = typer.Typer(no_args_is_help=True, help="Routing and placement decisions.")

TAIL_PERIOD_SECONDS = 1.0
DECISION_COLUMNS = ["kind", "subject", "workspace", "chosen", "reason", "license", "waited"]


def status(ctx: typer.Context) -> None:
    """Show the answering entry: its shards, counts of members and decisions, resource use."""
    context = context_of(ctx)
    context.output.record(context.client.call("GET", api_path("status")))


@decisions.command()
def tail(
    ctx: typer.Context,
    follow: Annotated[bool, typer.Option(help="Continue until interrupted.")] = False,
    count: Annotated[
        int, typer.Option(min=1, help="Number of latest decisions to show first.")
    ] = 20,
) -> None:
    """Show the latest decisions of the answering entry."""
    context = context_of(ctx)
    for batch in _batches(context.client, count, follow):
        if batch or not follow:
            context.output.rows(batch, DECISION_COLUMNS)


def _batches(client: Client, count: int, follow: bool) -> Iterator[list[dict[str, Any]]]:
    """Yield batches of decisions that were not shown before."""
    previous: list[dict[str, Any]] = client.call("GET", api_path("decisions"))
    yield previous[-count:]
    while follow:
        time.sleep(TAIL_PERIOD_SECONDS)
        current: list[dict[str, Any]] = client.call("GET", api_path("decisions"))
        last = previous[-1] if previous else None
        start = len(current) - current[::-1].index(last) if last in current else 0
        if current[start:]:
            yield current[start:]
            previous = current
