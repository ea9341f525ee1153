"""Command ``python -m ragworttiller.entry``: one entry on the platform."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from pathlib import Path

import anyio

from ragworttiller import logs
from ragworttiller.config.entry import EntrySettings, load_entry
from ragworttiller.exceptions import SettingsInvalid
from ragworttiller.scheduling.clock import LeaseClock
from ragworttiller.scheduling.entry_node import EntryNode

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
SETTINGS_VARIABLE = "RAGWORTTILLER_CONFIG"


def main() -> None:
    """Run an entry until SIGTERM or SIGINT, then stop it gracefully."""
    path = _arguments().config
    try:
        settings = load_entry(path)
    except SettingsInvalid as exc:
        sys.stderr.write(f"{exc}\n")
        sys.exit(EXIT_SETTINGS)
    logs.set_up(settings.log.level, settings.log.format, settings.instance.name, sys.stdout)
    anyio.run(_serve, settings, path)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m ragworttiller.entry", description=__doc__)
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "--config",
        type=Path,
        default=default,
        required=default is None,
        help=f"settings file in INI format; {SETTINGS_VARIABLE} by default",
    )
    return parser.parse_args()


async def _serve(settings: EntrySettings, path: Path) -> None:
    node = EntryNode(settings, LeaseClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, node, path)
        await node.run()
        tasks.cancel_scope.cancel()


async def _handle_signals(node: EntryNode, path: Path) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number is signal.SIGHUP:
                _reload(path)
            else:
                log.info("shutdown signal received", extra={"signal": number.name})
                node.stop()


def _reload(path: Path) -> None:
    """Reload the settings; changed addresses take effect only after a restart."""
    try:
        settings = load_entry(path)
    except SettingsInvalid as exc:
        log.error("settings not reloaded", extra={"problems": str(exc)})
        return
    logging.getLogger().setLevel(settings.log.level.upper())
    log.info("settings reloaded", extra={"level": settings.log.level})


if __name__ == "__main__":
    main()
