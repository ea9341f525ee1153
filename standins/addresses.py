"""Free addresses on the loopback interface."""

from __future__ import annotations

import contextlib
import itertools
import socket

# Below the ephemeral range, whose free ports the kernel may give to outgoing connections.
PORTS = itertools.cycle(range(22100, 22400))


def free_address() -> str:
    """Return ``127.0.0.1:port`` of a port on which nothing listens.

    Raises
    ------
    OSError
        None of the ports is free.
    """
    for port in itertools.islice(PORTS, 300):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise OSError("no free port on loopback")
