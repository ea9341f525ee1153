"""Limits of an HTTP server: on one request, and on all connections of the process together."""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1024 * 1024
# Descriptors of a process that are reserved for files.
FILE_DESCRIPTORS = 200
# Of the sockets, the others are for the store, runners and other instances.
CALLERS_SHARE_OF_SOCKETS = 0.5
# Memory of one connection: objects, and the buffers of the kernel.
CONNECTION_BYTES = 64 * 1024
SHARE_OF_MEMORY_FOR_CONNECTIONS = 0.25
# A request takes several times its length while it is decoded, stored and passed on.
SHARE_OF_MEMORY_FOR_REQUESTS = 1 / 16
# Room for the largest request that the platform allows beside others.
MIN_REQUEST_BYTES = 8 * BYTES_PER_MB
MIN_CONNECTIONS = 16
# Part of the memory for requests that those may take which are worked on.
IN_PROGRESS_SHARE = 0.5
# A request is handed on while there is room for so many of its size, so that small ones still are
# when large ones no longer are.
RESERVED_REQUESTS = 4
# Memory of a head as long as requests may have, all of it in the shortest fields.
MAX_HEAD_MEMORY = 720 * 1024


class RequestLimits(NamedTuple):
    """Limits on one request; lengths are in bytes, times in seconds.

    ``max_head`` is for the request line and the header fields together, and for the trailers.
    ``head_timeout`` counts from the first byte of a request, ``body_timeout`` from the end of its
    head if the caller states no deadline; ``idle_timeout`` is for a connection without a request.
    """

    max_head: int = 16_384
    max_body: int = 262_144
    head_timeout: float = 3.0
    idle_timeout: float = 15.0
    body_timeout: float = 30.0


class ConnectionLimits(NamedTuple):
    """Limits on all connections of a process together.

    ``connections`` is their number, ``request_bytes`` the memory of the requests on them.
    """

    connections: int
    request_bytes: int


def max_body(limits: ConnectionLimits) -> int:
    """Return the bytes of the longest body for which there is room in calm, beside its head."""
    largest = int(limits.request_bytes * IN_PROGRESS_SHARE) // RESERVED_REQUESTS
    return largest - MAX_HEAD_MEMORY


def connection_limits(memory_mb: int, descriptors: int) -> ConnectionLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_mb : int
        Memory that the process may use, in MiB.
    descriptors : int
        File descriptors that it may have.
    """
    memory = memory_mb * BYTES_PER_MB
    by_descriptors = int((descriptors - FILE_DESCRIPTORS) * CALLERS_SHARE_OF_SOCKETS)
    by_memory = int(memory * SHARE_OF_MEMORY_FOR_CONNECTIONS) // CONNECTION_BYTES
    return ConnectionLimits(
        max(min(by_descriptors, by_memory), MIN_CONNECTIONS),
        max(int(memory * SHARE_OF_MEMORY_FOR_REQUESTS), MIN_REQUEST_BYTES),
    )


# For settings that do not state the resources of the machine.
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 4096
DEFAULT_CONNECTION_LIMITS = connection_limits(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS)
