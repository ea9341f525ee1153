"""Push sockets of nng, and how they connect and close."""

from __future__ import annotations

import logging

import anyio
import pynng

from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

SOCKET_BUFFER_BATCHES = 8
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# nng aborts the process if a socket is closed while one of its dialers resolves its address, also a
# numeric one, which it does before each attempt to connect. So a socket without a connection gets
# this reconnect time and is closed later, when an attempt that had begun is past that.
CLOSING_RECONNECT_MS = 3_600_000
CLOSE_DELAY_SECONDS = 0.25


def new_push_socket() -> pynng.Push0:
    """Return a socket that connects again by itself after its connection was lost."""
    return pynng.Push0(
        send_buffer_size=SOCKET_BUFFER_BATCHES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )


def dial(socket: pynng.Push0, instance: str, address: str) -> None:
    """Begin to connect a socket; an invalid address is logged, and never connects."""
    try:
        socket.dial(f"tcp://{address}", block=False)
    except (pynng.NNGException, ValueError) as exc:
        # Calls to this instance end unanswered; the others are not affected.
        extra = {"instance": instance, "address": address[:80], "why": str(exc)}
        log.warning("instance has an invalid address", extra=extra)


async def end_attempts(socket: pynng.Push0, timers: TimerService) -> None:
    """Wait until a socket that is about to be closed does not begin to connect."""
    for dialer in socket.dialers:
        dialer.reconnect_time_max = CLOSING_RECONNECT_MS
        dialer.reconnect_time_min = CLOSING_RECONNECT_MS
    if socket.dialers and not socket.pipes:
        with anyio.CancelScope(shield=True):
            await timers.sleep(CLOSE_DELAY_SECONDS)
