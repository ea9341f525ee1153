"""Commands that send requests to upstreams and query their outcomes."""

from __future__ import annotations

import sys
import uuid
from pathlib import Path
from typing import Annotated

import typer

from ragworttiller.commands.client import Reply, api_path, caller_error
from ragworttiller.commands.context import context_of
from ragworttiller.exceptions import InvalidField

app = typer.Typer(no_args_is_help=True, help="Requests to upstreams.")

Workspace = Annotated[str, typer.Argument(help="Workspace.")]
READ_METHODS = frozenset({"GET"})


@app.command()
def send(
    ctx: typer.Context,
    workspace: Workspace,
    upstream: Annotated[str, typer.Argument(help="Upstream.")],
    path: Annotated[str, typer.Argument(help="Path at the upstream.")],
    method: Annotated[
        str, typer.Option(help="HTTP method; default: POST with a body, else GET.")
    ] = "",
    key: Annotated[str, typer.Option(help="Idempotency key; generated if none is given.")] = "",
    data: Annotated[str | None, typer.Option(help="Body.")] = None,
    file: Annotated[Path | None, typer.Option(help="File with the body.")] = None,
    content_type: Annotated[
        str, typer.Option(help="Content type of the body.")
    ] = "application/json",
    deadline: Annotated[float | None, typer.Option(min=0, help="Time limit in seconds.")] = None,
) -> None:
    """Send a request and print the body of the answer."""
    context = context_of(ctx)
    body = _body(data, file)
    method = method.upper() or ("POST" if body else "GET")
    headers = {"content-type": content_type}
    if method not in READ_METHODS:
        headers["idempotency-key"] = key or uuid.uuid4().hex
        context.output.progress(f"key {headers['idempotency-key']}")
    if deadline is not None:
        headers["x-deadline-seconds"] = f"{deadline:g}"
    target = f"{api_path('workspaces', workspace, 'upstreams', upstream)}/{path.lstrip('/')}"
    _show(ctx, context.client.exchange(method, target, body, headers))


@app.command()
def outcome(
    ctx: typer.Context,
    workspace: Workspace,
    key: Annotated[str, typer.Argument(help="Idempotency key.")],
) -> None:
    """Show the known outcome of a request by its key."""
    context = context_of(ctx)
    path = api_path("workspaces", workspace, "outcomes", key)
    context.output.record(context.client.call("GET", path))


def _show(ctx: typer.Context, reply: Reply) -> None:
    error = caller_error(reply)
    if error is not None:
        raise error
    replayed = " replayed" if reply.headers.get("x-replayed") == "true" else ""
    context_of(ctx).output.progress(f"status {reply.status}{replayed}")
    sys.stdout.buffer.write(reply.body)
    sys.stdout.buffer.flush()


def _body(data: str | None, file: Path | None) -> bytes:
    if data is not None and file is not None:
        raise typer.BadParameter("give either --data or --file")
    if file is None:
        return (data or "").encode()
    try:
        return file.read_bytes()
    except OSError as exc:
        raise InvalidField(field=str(file), problem=str(exc), allowed="a file") from exc
