"""One entry on the platform as a process: settings, logs and signals."""

from __future__ import annotations

import faulthandler
import logging
import signal
import socket
import sys
import time
from pathlib import Path

import anyio

from ragworttiller import logs
from ragworttiller.config.entry import EntrySettings, load_entry
from ragworttiller.exceptions import SettingsInvalid
from ragworttiller.scheduling.clock import LeaseClock
from ragworttiller.scheduling.entry.entry_node import EntryNode

log = logging.getLogger(__name__)

EXIT_FAILURE = 1
EXIT_SETTINGS = 2


def run_entry(path: Path, listeners: dict[str, socket.socket], listening_at: float) -> None:
    """Run an entry until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    path : Path
        Settings file in INI format.
    listeners : dict
        Sockets that listen already, by the name of the setting that holds their address.
    listening_at : float
        Time of ``time.monotonic`` since which they listen.
    """
    try:
        settings = load_entry(path)
    except SettingsInvalid as exc:
        sys.stderr.write(f"{exc}\n")
        sys.exit(EXIT_SETTINGS)
    # A crash in native code, such as that of the message library, leaves no other trace.
    faulthandler.enable()
    logs.set_up(settings.log.level, settings.log.format, settings.instance.name, sys.stdout)
    try:
        anyio.run(_serve, settings, path, listeners, listening_at)
    except Exception:
        log.critical("entry ended by an unexpected error", exc_info=True)
        sys.exit(EXIT_FAILURE)


async def _serve(
    settings: EntrySettings, path: Path, listeners: dict[str, socket.socket], listening_at: float
) -> None:
    node = EntryNode(settings, LeaseClock(), listeners, time.monotonic() - listening_at)
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
    """Check the settings again and apply the log level; other changes need a restart."""
    try:
        settings = load_entry(path)
    except SettingsInvalid as exc:
        log.error("settings not reloaded", extra={"problems": str(exc)})
        return
    logging.getLogger().setLevel(settings.log.level.upper())
    log.info("settings reloaded", extra={"level": settings.log.level})
