"""Command ``ragworttillerd``: one entry instance."""

from __future__ import annotations

import faulthandler
import logging
import signal
import sys
from pathlib import Path
from typing import Annotated

import anyio
import typer

from ragworttiller import logs
from ragworttiller.config.defaults import Settings, load
from ragworttiller.exceptions import SettingsInvalid
from ragworttiller.process.node import Node
from ragworttiller.timers import SystemTimers

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2


def main() -> None:
    """Run the daemon with the command-line arguments."""
    typer.run(start)


def start(
    config: Annotated[Path, typer.Option(help="Settings file in INI format.")],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT, then stop it gracefully."""
    try:
        settings = load(config)
    except SettingsInvalid as exc:
        typer.echo(str(exc), err=True)
        sys.exit(EXIT_SETTINGS)
    # A crash in native code, such as that of the message library, leaves no other trace.
    faulthandler.enable()
    logs.set_up(settings.log.level, settings.log.format, settings.instance.name)
    anyio.run(_serve, settings)


async def _serve(settings: Settings) -> None:
    node = Node(settings, SystemTimers())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()
    log.info("entry instance stopped")


async def _stop_on_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            log.info("entry instance stopping on a signal", extra={"signal": signum.name})
            node.stop()


if __name__ == "__main__":
    main()
