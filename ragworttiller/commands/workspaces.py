"""Commands on quotas, policies and use of workspaces."""

from __future__ import annotations

from typing import Annotated

import typer

from ragworttiller.commands.client import api_path
from ragworttiller.commands.context import context_of
from ragworttiller.commands.items import Items, with_fields

app = typer.Typer(no_args_is_help=True, help="Quotas, policies and use of workspaces.")

QUOTA_NAME = "quota"
POLICY_NAME = "placement"

Workspace = Annotated[str, typer.Argument(help="Workspace.")]
Fields = Annotated[
    list[str] | None, typer.Argument(help="Changes as FIELD=VALUE; without any, the item is shown.")
]
Base = Annotated[
    int | None, typer.Option(min=0, help="Version that the change is based on; default: current.")
]


@app.command()
def quotas(
    ctx: typer.Context, workspace: Workspace, fields: Fields = None, base: Base = None
) -> None:
    """Show or change the quota: cpu in thousandths of a core, memory in MiB, accelerators."""
    _show_or_change(ctx, Items(context_of(ctx), workspace, "quotas"), QUOTA_NAME, fields, base)


@app.command()
def policy(
    ctx: typer.Context, workspace: Workspace, fields: Fields = None, base: Base = None
) -> None:
    """Show or change the placement policy."""
    _show_or_change(ctx, Items(context_of(ctx), workspace, "policies"), POLICY_NAME, fields, base)


@app.command("upstream-policy")
def upstream_policy(
    ctx: typer.Context,
    workspace: Workspace,
    upstream: Annotated[str, typer.Argument(help="Upstream.")],
    fields: Fields = None,
    base: Base = None,
) -> None:
    """Show or change how requests to an upstream are routed."""
    items = Items(context_of(ctx), workspace, "upstream-policies")
    _show_or_change(ctx, items, upstream, fields, base)


@app.command()
def use(ctx: typer.Context, workspace: Workspace) -> None:
    """Show the resources that the tasks of a workspace have booked in the whole cell."""
    context = context_of(ctx)
    cpu, memory, accelerators = context.client.call("GET", api_path("workspaces", workspace, "use"))
    context.output.record({"cpu": cpu, "memory": memory, "accelerators": accelerators})


def _show_or_change(
    ctx: typer.Context, items: Items, name: str, fields: list[str] | None, base: int | None
) -> None:
    if fields:
        item = items.adjust(name, base, lambda body: with_fields(body, fields))
    else:
        item = items.get(name)
    context_of(ctx).output.record(item)
