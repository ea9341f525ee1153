"""Commands on jobs."""

from __future__ import annotations

import time
import uuid
from typing import Annotated, Any

import typer

from ragworttiller.commands.client import api_path
from ragworttiller.commands.context import CommandContext, context_of
from ragworttiller.commands.items import with_fields
from ragworttiller.exceptions import InvalidField, JobUnfinished, JobUnsuccessful

app = typer.Typer(no_args_is_help=True, help="Jobs of a workspace.")

Workspace = Annotated[str, typer.Argument(help="Workspace.")]
Job = Annotated[str, typer.Argument(help="Identifier of the job.")]
LONG_POLL_SECONDS = 5.0
DONE = "done"
FINAL_STATES = frozenset({DONE, "failed", "cancelled", "refused"})
SELECTOR_FIELDS = ("template", "kind", "state", "urgency", "version")


@app.command()
def submit(
    ctx: typer.Context,
    workspace: Workspace,
    template: Annotated[str, typer.Argument(help="Name of the template.")],
    parameters: Annotated[
        list[str] | None, typer.Argument(help="Parameters as NAME=VALUE.")
    ] = None,
    key: Annotated[
        str, typer.Option(help="Key of the submission; repeating it does not submit another job.")
    ] = "",
) -> None:
    """Submit a job from a template."""
    context = context_of(ctx)
    key = key or uuid.uuid4().hex
    context.output.progress(f"key {key}")
    body = {"template": template, "parameters": with_fields({}, parameters or []), "key": key}
    context.output.record(
        context.client.call("POST", api_path("workspaces", workspace, "jobs"), body)
    )


@app.command()
def status(ctx: typer.Context, workspace: Workspace, job: Job) -> None:
    """Show a job."""
    context_of(ctx).output.record(_fetch_status(context_of(ctx), workspace, job, 0))


@app.command()
def wait(
    ctx: typer.Context,
    workspace: Workspace,
    job: Job,
    seconds: Annotated[float, typer.Option(min=0, help="Longest wait in seconds.")] = 3600.0,
) -> None:
    """Wait until a job ends and show its progress; fail unless the job is done."""
    context = context_of(ctx)
    deadline = time.monotonic() + seconds
    shown_counts: Any = None
    while True:
        remaining = deadline - time.monotonic()
        current = _fetch_status(
            context, workspace, job, max(0.0, min(LONG_POLL_SECONDS, remaining))
        )
        if current["tasks"] != shown_counts:
            shown_counts = current["tasks"]
            counts = ", ".join(f"{count} {state}" for state, count in shown_counts.items())
            context.output.progress(f"{current['state']}: {counts}")
        if current["state"] in FINAL_STATES:
            break
        if remaining <= 0:
            raise JobUnfinished(job=job, state=current["state"], seconds=seconds)
    context.output.record(current)
    if current["state"] != DONE:
        raise JobUnsuccessful(job=job, state=current["state"], reason=current["reason"])


@app.command()
def cancel(
    ctx: typer.Context,
    workspace: Workspace,
    job: Annotated[str | None, typer.Argument(help="Identifier of the job.")] = None,
    selector: Annotated[
        list[str] | None,
        typer.Option(help=f"Cancel all jobs with FIELD=VALUE, of {', '.join(SELECTOR_FIELDS)}."),
    ] = None,
) -> None:
    """Cancel one job, or all jobs that a selector matches."""
    context = context_of(ctx)
    if (job is None) == (not selector):
        raise typer.BadParameter("give either a job or --selector")
    if job is not None:
        path = api_path("workspaces", workspace, "jobs", job)
        context.output.record(context.client.call("DELETE", path))
        return
    path = api_path("workspaces", workspace, "jobs")
    context.output.record(
        context.client.call("DELETE", path, query=_selector_query(selector or []))
    )


@app.command()
def explain(ctx: typer.Context, workspace: Workspace, job: Job) -> None:
    """Show which rule or resource prevents a job from starting."""
    context = context_of(ctx)
    reason = context.client.call("GET", api_path("workspaces", workspace, "jobs", job, "explain"))
    context.output.record({"job": job, "obstacle": reason or None})


def _fetch_status(
    context: CommandContext, workspace: str, job: str, wait_seconds: float
) -> dict[str, Any]:
    path = api_path("workspaces", workspace, "jobs", job)
    query = {"wait": f"{wait_seconds:.3f}"} if wait_seconds > 0 else None
    job_status: dict[str, Any] = context.client.call("GET", path, query=query)
    return job_status


def _selector_query(selectors: list[str]) -> dict[str, str]:
    pairs = dict(item.partition("=")[::2] for item in selectors)
    for field in pairs:
        if field not in SELECTOR_FIELDS:
            raise InvalidField(
                field=field, problem="not a selector", allowed=", ".join(SELECTOR_FIELDS)
            )
    return pairs
