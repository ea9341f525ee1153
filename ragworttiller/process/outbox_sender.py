"""Sends what is queued for one instance in batches, the first of a connection introduced."""

from __future__ import annotations

import logging

import pynng

from ragworttiller.messages import ENVELOPE_CODEC, Envelope
from ragworttiller.process.outbox import Outbox, QueuedEnvelope
from ragworttiller.process.peer_traffic import PeerTrafficCounter
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

# Time for which a batch waits while the socket takes nothing; it is offered once at least.
SEND_TIMEOUT_SECONDS = 2.0
SEND_RETRY_DELAY_SECONDS = 0.02


class OutboxSender:
    """Sends the batches of outboxes over their sockets.

    Parameters
    ----------
    introduction : Envelope
        Message that introduces this instance; sent first on each connection.
    timers : TimerService
        Source of time.
    traffic : PeerTrafficCounter
        Counts what is sent.
    """

    def __init__(
        self, introduction: Envelope, timers: TimerService, traffic: PeerTrafficCounter
    ) -> None:
        self._introduction = introduction
        self._timers = timers
        self._traffic = traffic

    async def run(self, socket: pynng.Push0, outbox: Outbox) -> None:
        """Send what is queued until cancelled."""
        while True:
            await outbox.queued.wait()
            # The peer may have been dropped in the meantime, and messages expire.
            if items := outbox.batch(self._timers.now()):
                if not await self._send_batch(socket, outbox, items):
                    _fail(items)
                outbox.end_batch()

    async def _send_batch(
        self, socket: pynng.Push0, outbox: Outbox, items: list[QueuedEnvelope]
    ) -> bool:
        """Return whether a batch was sent, which is tried for some time."""
        while True:
            try:
                self._send(socket, outbox, items)
            except pynng.TryAgain:
                waiting_since = max(items[0].queued_at, outbox.taken_at)
                if waiting_since + SEND_TIMEOUT_SECONDS <= self._timers.now():
                    return False
                await self._timers.sleep(SEND_RETRY_DELAY_SECONDS)
            except pynng.NNGException as exc:
                extra = {"instance": items[0].envelope.receiver, "why": str(exc)}
                log.warning("messages to an instance not sent", extra=extra)
                return False
            else:
                return True

    def _send(self, socket: pynng.Push0, outbox: Outbox, items: list[QueuedEnvelope]) -> None:
        envelopes = [item.envelope for item in items]
        if not outbox.introduced:
            envelopes.insert(0, self._introduction)
        data = ENVELOPE_CODEC.encode(envelopes)
        socket.send(data, block=False)
        outbox.introduced = True
        outbox.taken_at = self._timers.now()
        self._traffic.count_sent(len(envelopes), len(data))


def _fail(items: list[QueuedEnvelope]) -> None:
    """End the calls of a batch that was not sent."""
    for item in items:
        if item.call is not None:
            item.call.fail()
