"""Child processes that the kernel kills however this process ends."""

from __future__ import annotations

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
FIRST_PORT = 20000
LAST_PORT = 29999
PR_SET_PDEATHSIG = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

_libc = ctypes.CDLL(None)


class StartFailed(Exception):
    """A process did not start."""


def _die_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """Child process that runs a Python module and writes its output to log files.

    Parameters
    ----------
    name : str
        Base name of the log files.
    arguments : list of str
        Module and its arguments, after ``python -m``.
    directory : Path
        Directory for the log files.
    """

    def __init__(self, name: str, arguments: list[str], directory: Path) -> None:
        self._name = name
        self._out = directory / f"{name}.out"
        self._err = directory / f"{name}.err"
        with self._out.open("ab") as out, self._err.open("ab") as err:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                preexec_fn=_die_with_parent,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, None while the process runs."""
        return self._process.poll()

    @property
    def processor_seconds(self) -> float:
        """Processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    @property
    def resident_bytes(self) -> int:
        """Resident memory in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def errors(self) -> str:
        """Return the end of the error output of the process."""
        return self._err.read_text(errors="replace")[-2000:]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def reap(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    async def wait_announcement(self) -> dict[str, Any]:
        """Wait for the JSON line that a stand-in prints once it listens, and return it."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline and self.exit_status is None:
            text = self._out.read_text()
            if text.endswith("\n"):
                return dict(json.loads(text.splitlines()[0]))
            await anyio.sleep(POLL_SECONDS)
        raise StartFailed(f"{self._name}: {self.errors()}")

    async def wait_exit(self, timeout: float) -> int | None:
        """Wait for the exit; return the exit status, or None if the process still runs."""
        deadline = time.monotonic() + timeout
        while self.exit_status is None and time.monotonic() < deadline:
            await anyio.sleep(POLL_SECONDS)
        return self.exit_status


def free_ports() -> Iterator[int]:
    """Yield ports below the ephemeral range on which nothing listens."""
    port_count = LAST_PORT - FIRST_PORT
    start = os.getpid() * 64
    for offset in range(port_count):
        port = FIRST_PORT + (start + offset) % port_count
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        yield port
