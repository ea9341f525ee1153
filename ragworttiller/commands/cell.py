"""Commands that show the cell of a deployment on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from ragworttiller.commands.client import api_path
from ragworttiller.commands.context import context_of
from ragworttiller.commands.output import Table

app = typer.Typer(
    no_args_is_help=True,
    help="Cell of a deployment on the platform; --entry is a readiness address.",
)

RUNNER_COLUMNS = ["runner", "upstream", "address", "state", "tasks", "free", "heard"]
PAIR_COLUMNS = ["image", "beside", "slowdown", "samples", "confidence", "age", "believed"]
JOB_COLUMNS = ["job", "queue", "priority", "age", "slack", "waiting", "live", "done", "wait"]
WORKSPACE_COLUMNS = [
    "workspace",
    "used",
    "unseen",
    "cap",
    "weight",
    "share",
    "waiting",
    "beyond",
]
STEP_COLUMNS = ["step", "tasks", "starts", "why", "suitable", "with_room", "usable", "obstacles"]
CANDIDATE_COLUMNS = ["step", "runner", "kind", "free", "time_ratio", "tasks", "obstacles"]
STAGE_COLUMNS = ["stage", "waiting", "live", "done", "failed", "wait"]
# Taken from the details of the wait; JSON output shows all of them.
WAIT_COLUMNS = [
    "seconds",
    "longest",
    "suspected",
    "suitable",
    "with_room",
    "usable",
    "places",
    "on_probation",
    "obstacles",
    "advice_in_flight",
    "advice_age",
    "reserved_left",
    "unsettled",
    "unsettled_left",
]


@app.command()
def show(ctx: typer.Context) -> None:
    """Show the owner, its epoch, the entries, and the open jobs of each queue."""
    context = context_of(ctx)
    context.output.record(context.client.call("GET", api_path("cell")))


@app.command()
def runners(ctx: typer.Context) -> None:
    """List the runners with their states and free resources."""
    context = context_of(ctx)
    context.output.rows(context.client.call("GET", api_path("cell", "runners")), RUNNER_COLUMNS)


@app.command()
def workspaces(ctx: typer.Context) -> None:
    """List the workspaces with their use, caps, weights, shares and waiting jobs."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("cell", "workspaces"))
    context.output.rows(rows, WORKSPACE_COLUMNS)


@app.command()
def interference(
    ctx: typer.Context,
    believed: Annotated[bool, typer.Option(help="Only pairs that affect placement.")] = False,
) -> None:
    """List the pairs of images of which one slows down the other, the worst first."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("cell", "interference"))
    context.output.rows([row for row in rows if row["believed"] or not believed], PAIR_COLUMNS)


@app.command()
def jobs(
    ctx: typer.Context,
    waiting: Annotated[bool, typer.Option(help="Only jobs with waiting tasks.")] = False,
) -> None:
    """List the open jobs with their slack and the reason why their tasks wait."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("cell", "jobs"))
    context.output.rows([row for row in rows if row["waiting"] or not waiting], JOB_COLUMNS)


@app.command()
def job(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Identifier of the job.")],
) -> None:
    """Show the stages of an open job, why each waits, and what stands against its runners."""
    context = context_of(ctx)
    rows = context.client.call("GET", api_path("cell", "jobs", name))
    context.output.rows(
        # An entry of an earlier version sends no details.
        [{**(row.get("details") or {}), **row} for row in rows],
        [*STAGE_COLUMNS, *WAIT_COLUMNS],
    )


@app.command("dry-run")
def dry_run(
    ctx: typer.Context,
    file: Annotated[Path, typer.Argument(help="Job, as JSON text that a caller would send.")],
    host: Annotated[str, typer.Option(help="Host of the queue.")],
    path: Annotated[str, typer.Option(help="Path of the queue.")],
    workspace: Annotated[str, typer.Option(help="Workspace that would submit the job.")] = "",
) -> None:
    """Show where a job would go now, and why, without submitting it."""
    context = context_of(ctx)
    try:
        job = msgspec.json.decode(file.read_bytes())
    except OSError as exc:
        raise typer.BadParameter(str(exc)) from exc
    except msgspec.MsgspecError as exc:
        raise typer.BadParameter(f"{file}: {exc}") from exc
    submission = {"host": host, "path": path, "workspace": workspace, "job": job}
    result = context.client.call("POST", api_path("cell", "dry-run"), submission)
    found = {name: value for name, value in result["job"].items() if name != "steps"}
    steps = result["job"]["steps"]
    candidates = [{**row, "step": step["step"]} for step in steps for row in step["runners"]]
    context.output.document(
        result,
        {"refused": result["refused"], "retry_after": result["retry_after"], **found},
        [
            Table([{**step["wait"], **step} for step in steps], STEP_COLUMNS),
            Table(candidates, CANDIDATE_COLUMNS),
        ],
    )
