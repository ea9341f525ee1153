"""Free addresses on the loopback interface."""

from __future__ import annotations

import contextlib
import itertools
import socket
from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

HOST = "127.0.0.1"
# Below the ephemeral range, whose free ports the kernel may give to outgoing connections.
FIRST_PORT = 16400
END_PORT = 32600
BLOCK_PORTS = 300


class PortBlock(NamedTuple):
    """Ports that this process alone gives out, as long as the socket ``guard`` is open.

    Two test runs side by side would otherwise both find a port free and then both listen on it.
    """

    guard: socket.socket
    ports: Iterator[int]


def claim_block() -> PortBlock:
    """Claim a block of ports by binding its first one.

    Raises
    ------
    OSError
        Other processes have claimed all blocks.
    """
    for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
        guard = socket.socket()
        try:
            guard.bind((HOST, first))
        except OSError:
            guard.close()
        else:
            return PortBlock(guard, itertools.cycle(range(first + 1, first + BLOCK_PORTS)))
    raise OSError("no free block of ports on loopback")


@cache
def _block() -> PortBlock:
    """Return the block of this process."""
    return claim_block()


def free_address() -> str:
    """Return ``127.0.0.1:port`` of a port on which nothing listens.

    Raises
    ------
    OSError
        None of the ports is free.
    """
    for port in itertools.islice(_block().ports, BLOCK_PORTS):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return f"{HOST}:{port}"
    raise OSError("no free port on loopback")
