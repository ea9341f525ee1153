"""Commands on the templates of a workspace."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ragworttiller.commands.context import context_of
from ragworttiller.commands.items import Items, read_body, with_fields

app = typer.Typer(no_args_is_help=True, help="Templates of a workspace.")

Workspace = Annotated[str, typer.Argument(help="Workspace.")]
Name = Annotated[str, typer.Argument(help="Name of the template.")]
BASE_HELP = "Version that the change is based on."
CHANGE_COLUMNS = ["workspace", "name", "version", "author"]


def _items(ctx: typer.Context, workspace: str) -> Items:
    return Items(context_of(ctx), workspace, "templates")


@app.command()
def publish(
    ctx: typer.Context,
    workspace: Workspace,
    name: Name,
    file: Annotated[Path, typer.Option(help="File with the template as JSON.")],
    base: Annotated[int, typer.Option(min=0, help=f"{BASE_HELP} 0 creates a new template.")] = 0,
) -> None:
    """Publish a template; show both versions on a conflict."""
    item = _items(ctx, workspace).publish(name, base, read_body(file))
    context_of(ctx).output.rows([item], CHANGE_COLUMNS)


@app.command()
def show(ctx: typer.Context, workspace: Workspace, name: Name) -> None:
    """Show the current version of a template."""
    context_of(ctx).output.record(_items(ctx, workspace).get(name))


@app.command("list")
def list_all(ctx: typer.Context, workspace: Workspace) -> None:
    """List the templates of a workspace."""
    context_of(ctx).output.rows(_items(ctx, workspace).all(), ["name", "version", "author", "at"])


@app.command()
def adjust(
    ctx: typer.Context,
    workspace: Workspace,
    name: Name,
    fields: Annotated[list[str], typer.Argument(help="Changes as FIELD=VALUE, nested by dots.")],
    base: Annotated[int | None, typer.Option(min=0, help=f"{BASE_HELP} Default: current.")] = None,
) -> None:
    """Change fields of a template; show both versions on a conflict."""
    items = _items(ctx, workspace)
    # Fails for a template that does not exist, which `Items.adjust` would create.
    items.get(name)
    item = items.adjust(name, base, lambda body: with_fields(body, fields))
    context_of(ctx).output.rows([item], CHANGE_COLUMNS)


@app.command()
def delete(
    ctx: typer.Context,
    workspace: Workspace,
    name: Name,
    base: Annotated[int, typer.Option(min=1, help=BASE_HELP)],
) -> None:
    """Delete a template; show both versions on a conflict."""
    context_of(ctx).output.record(_items(ctx, workspace).delete(name, base))


@app.command()
def history(ctx: typer.Context, workspace: Workspace, name: Name) -> None:
    """Show the latest versions of a template, oldest first."""
    rows = _items(ctx, workspace).history(name)
    context_of(ctx).output.rows(rows, ["version", "author", "at", "body"])
