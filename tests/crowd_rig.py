"""Crowds of clients that do not behave, and what a process holds while they are connected."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

KILOBYTE = 1024
MEGABYTE = 1024 * 1024
CONNECT_TIMEOUT_SECONDS = 10.0
POLL_MILLISECONDS = 20
SAMPLE_SECONDS = 0.05
# A crowd has done all that it can once no client has sent anything for that long.
QUIET_SECONDS = 2.0
CROWD_TIMEOUT_SECONDS = 120.0
LISTENING = "0A"
ENDED = select.POLLRDHUP | select.POLLERR | select.POLLHUP

# Makes the bytes that a client sends, given its number, in pieces.
Script = Callable[[int], Iterator[bytes]]


class ProcessUsage(NamedTuple):
    """What a process holds: resident memory now and at its peak in bytes, and descriptors."""

    resident: int
    peak: int
    descriptors: int


def process_usage(pid: int) -> ProcessUsage:
    """Return what a process holds.

    Raises
    ------
    FileNotFoundError
        The process has ended.
    """
    fields = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()
    sizes = [int(fields[name][0]) * KILOBYTE for name in ("VmRSS", "VmHWM")]
    return ProcessUsage(*sizes, len(list(Path(f"/proc/{pid}/fd").iterdir())))


def unread_bytes(*addresses: str) -> int:
    """Return the bytes that the kernel holds unread for connections to some addresses."""
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if int(local.rpartition(":")[2], 16) in ports and state != LISTENING:
            total += int(queues.rpartition(":")[2], 16)
    return total


class Meter:
    """Watches what a process holds, from a thread, used as a context manager.

    Parameters
    ----------
    pid : int
        Process.
    addresses : str
        Addresses that it listens on.
    """

    def __init__(self, pid: int, *addresses: str) -> None:
        self._pid = pid
        self._addresses = addresses
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._most_unread = 0
        self._most_descriptors = 0
        self._peak = 0

    @property
    def memory(self) -> int:
        """Most bytes of memory: the peak of the process, and that of the kernel's unread bytes."""
        return self._peak + self._most_unread

    @property
    def descriptors(self) -> int:
        """Most descriptors."""
        return self._most_descriptors

    def __enter__(self) -> Meter:
        self._sample()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        with contextlib.suppress(FileNotFoundError, KeyError):
            while not self._stopped.wait(SAMPLE_SECONDS):
                self._sample()

    def _sample(self) -> None:
        usage = process_usage(self._pid)
        self._peak = max(self._peak, usage.peak)
        self._most_descriptors = max(self._most_descriptors, usage.descriptors)
        self._most_unread = max(self._most_unread, unread_bytes(*self._addresses))


class _Client:
    """One client; it reads nothing."""

    def __init__(self, sock: socket.socket, pieces: Iterator[bytes]) -> None:
        self.sock = sock
        self._pieces = pieces
        self._unsent = memoryview(b"")
        self.finished = False
        self.ended = False

    def send(self) -> bool:
        """Send what the kernel takes, and return whether it took anything."""
        if not self._unsent:
            self._unsent = memoryview(next(self._pieces, b""))
        if not self._unsent:
            self.finished = True
            return False
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.finished = self.ended = True
            return False
        self._unsent = self._unsent[sent:]
        return True


class Crowd:
    """Clients that send what they are told to and keep their connections open, from a thread.

    Used as a context manager, at whose end they leave.

    Parameters
    ----------
    address : str
        ``host:port`` that the clients connect to.
    count : int
        Number of clients.
    script : Callable
        Makes what each of them sends.
    interval : float
        Seconds between two rounds in which each client sends a piece.
    """

    def __init__(self, address: str, count: int, script: Script, interval: float = 0.0) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._count = count
        self._script = script
        self._interval = interval
        self._clients: list[_Client] = []
        self._active_at = time.monotonic()
        self._connected = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    @property
    def ended(self) -> int:
        """Number of connections that the server has closed or refused."""
        return sum(client.ended for client in self._clients)

    @property
    def is_quiet(self) -> bool:
        """Whether each client has sent all, was closed, or is not read any more."""
        if not self._connected.is_set():
            return False
        idle = time.monotonic() - self._active_at > QUIET_SECONDS
        return idle or all(client.finished for client in self._clients)

    def __enter__(self) -> Crowd:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()
        for client in self._clients:
            client.sock.close()

    def _run(self) -> None:
        poll = select.poll()
        by_descriptor: dict[int, _Client] = {}
        for number in range(self._count):
            sock = self._connect()
            client = _Client(sock, iter(self._script(number)))
            client.ended = client.finished = sock.fileno() < 0
            self._clients.append(client)
            if not client.ended:
                by_descriptor[sock.fileno()] = client
                poll.register(sock, ENDED)
        self._connected.set()
        while not self._stopped.wait(self._interval):
            for client in self._clients:
                if not client.finished and client.send():
                    self._active_at = time.monotonic()
            for descriptor, event in poll.poll(POLL_MILLISECONDS):
                by_descriptor[descriptor].ended |= bool(event & ENDED)
                poll.unregister(descriptor)

    def _connect(self) -> socket.socket:
        """Return a connection, or a closed socket if it was refused."""
        sock = socket.socket()
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            sock.connect(self._address)
            sock.setblocking(False)
        except OSError:
            sock.close()
        return sock
