"""Commands that list and drain workers, upstreams and instances."""

from __future__ import annotations

from typing import Annotated

import typer

from ragworttiller.commands.client import api_path
from ragworttiller.commands.context import context_of

workers = typer.Typer(no_args_is_help=True, help="Workers of the cell.")
upstreams = typer.Typer(no_args_is_help=True, help="Upstreams and their runners.")
instances = typer.Typer(no_args_is_help=True, help="Entry instances.")

WORKER_COLUMNS = ["worker", "state", "failure_domain", "rack", "capacity", "booked", "tasks"]
RUNNER_COLUMNS = ["upstream", "runner", "address", "failure_domain", "slots", "state"]
INSTANCE_COLUMNS = ["instance", "state", "failure_domain", "http_address", "config_offset"]


@workers.command("list")
def list_workers(ctx: typer.Context) -> None:
    """List the workers with the resources booked on them."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("workers"))
    context.output.rows(rows, [*WORKER_COLUMNS, "blocks"])


@upstreams.command("list")
def list_upstreams(
    ctx: typer.Context,
    upstream: Annotated[str | None, typer.Argument(help="Only this upstream.")] = None,
) -> None:
    """List the runners of upstreams."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("upstreams"))
    chosen = [row for row in rows if upstream in (None, row["upstream"])]
    context.output.rows(chosen, RUNNER_COLUMNS)


@instances.command("list")
def list_instances(ctx: typer.Context) -> None:
    """List the live instances that the answering entry knows."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("instances"))
    context.output.rows(sorted(rows, key=lambda row: row["instance"]), INSTANCE_COLUMNS)


Name = Annotated[str, typer.Argument(help="Name as shown by the list command.")]


def _change_drain(ctx: typer.Context, collection: str, name: str, method: str) -> None:
    context = context_of(ctx)
    answer = context.client.call(method, api_path(collection, name, "drain"))
    context.output.record({"name": name, **answer})


@workers.command("drain")
def drain_worker(ctx: typer.Context, name: Name) -> None:
    """Start no new tasks on a worker and move its tasks to other workers."""
    _change_drain(ctx, "workers", name, "PUT")


@workers.command("restore")
def restore_worker(ctx: typer.Context, name: Name) -> None:
    """End the drain of a worker."""
    _change_drain(ctx, "workers", name, "DELETE")


@upstreams.command("drain")
def drain_runner(ctx: typer.Context, name: Name) -> None:
    """Send no new requests to a runner."""
    _change_drain(ctx, "upstreams", name, "PUT")


@upstreams.command("restore")
def restore_runner(ctx: typer.Context, name: Name) -> None:
    """End the drain of a runner."""
    _change_drain(ctx, "upstreams", name, "DELETE")


@instances.command("drain")
def drain_instance(ctx: typer.Context, name: Name) -> None:
    """Make an instance report that it is not ready and hand over its shards."""
    _change_drain(ctx, "instances", name, "PUT")


@instances.command("restore")
def restore_instance(ctx: typer.Context, name: Name) -> None:
    """End the drain of an instance."""
    _change_drain(ctx, "instances", name, "DELETE")
