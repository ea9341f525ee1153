"""Listening sockets, which an entry opens before it loads its other modules.

Connections that arrive while the modules load wait in the queue of the socket instead of being
refused. This module imports only the standard library, so that it loads fast itself.
"""

from __future__ import annotations

import configparser
import contextlib
import socket
from pathlib import Path

LISTEN_BACKLOG = 2048
# Bytes of a connection that the kernel holds unread, and unsent; it doubles them for its own use.
# Without a limit they grow to megabytes.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 32_768
INSTANCE_SECTION = "instance"
ENTRY_ADDRESSES = ("callers_address", "readiness_address")


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``.

    Raises
    ------
    OSError
        The address cannot be bound.
    ValueError
        The address has no port number.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.bind((host.strip("[]"), int(port)))
        listener.listen(LISTEN_BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def open_entry_listeners(path: Path) -> dict[str, socket.socket]:
    """Return a socket for each address of an entry that can be opened now, by setting.

    Settings are checked, and their errors reported, once all modules are loaded; until then an
    address that cannot be read or bound is left out.
    """
    parser = configparser.ConfigParser(interpolation=None)
    listeners: dict[str, socket.socket] = {}
    with contextlib.suppress(OSError, UnicodeDecodeError, configparser.Error):
        parser.read(path, encoding="utf-8")
    for name in ENTRY_ADDRESSES:
        address = parser.get(INSTANCE_SECTION, name, fallback="").strip()
        with contextlib.suppress(OSError, ValueError, OverflowError):
            listeners[name] = open_listener(address)
    return listeners
