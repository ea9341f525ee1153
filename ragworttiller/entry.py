"""Command ``python -m ragworttiller.entry``: one entry on the platform."""

from __future__ import annotations

import argparse
import os
import signal
import time
from pathlib import Path

from ragworttiller.listeners import open_entry_listeners

SETTINGS_VARIABLE = "RAGWORTTILLER_CONFIG"


def main() -> None:
    """Listen for callers, then load the other modules and run the entry."""
    path = _arguments().config
    # Until the entry handles this signal, it would end the process. The settings are read soon
    # after; a change that comes later is missed, as if the entry had started before it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listeners = open_entry_listeners(path)
    listening_at = time.monotonic()
    # Loading takes a large part of the start, in which callers would be refused.
    from ragworttiller.entry_process import run_entry

    run_entry(path, listeners, listening_at)


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


if __name__ == "__main__":
    main()
