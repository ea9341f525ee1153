"""Free addresses of loopback."""

from __future__ import annotations

import contextlib
import itertools
import socket

# Below the ports that the kernel gives to outgoing connections, which would take a free one away.
PORTS = itertools.cycle(range(22100, 22400))


def free_address() -> str:
    """Return ``127.0.0.1:port`` of a port that nobody listens on.

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
