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
INSTANCE_SECTION = "instance"
ENTRY_ADDRESSES = ("callers_address", "readiness_address")
PEER_ADDRESS = "peer_address"


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``.

    Raises
    ------
    OSError
        The address cannot be bound.
    ValueError
        The address has no port number.
    """
    listener = bind_socket(address)
    try:
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def bind_socket(address: str) -> socket.socket:
    """Return a socket that is bound to ``host:port``, and does not listen.

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
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host.strip("[]"), int(port)))
    except (OSError, ValueError):
        bound.close()
        raise
    return bound


def open_entry_listeners(path: Path) -> dict[str, socket.socket]:
    """Return a socket for each address of an entry that can be opened now, by setting.

    That of the address for peers only reserves it: until the message library listens there, the
    kernel could give its port to an outgoing connection, also of another process.

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
    address = parser.get(INSTANCE_SECTION, PEER_ADDRESS, fallback="").strip()
    with contextlib.suppress(OSError, ValueError, OverflowError):
        listeners[PEER_ADDRESS] = bind_socket(address)
    return listeners
