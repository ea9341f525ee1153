"""Commands on settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ragworttiller.commands.context import context_of
from ragworttiller.config import load
from ragworttiller.config.sample import sample as sample_text

app = typer.Typer(no_args_is_help=True, help="Settings files of the daemon.")


@app.command()
def check(ctx: typer.Context, file: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Check a settings file and report all its errors at once."""
    settings = load(file)
    context_of(ctx).output.record({"file": str(file), "instance": settings.instance.name})


@app.command()
def sample() -> None:
    """Print a settings file that explains every option."""
    typer.echo(sample_text(), nl=False)
