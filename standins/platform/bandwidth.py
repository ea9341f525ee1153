"""Links of limited bandwidth, which the connections of one process share."""

from __future__ import annotations

from collections.abc import Sequence

from typing_extensions import override

from ragworttiller.platform.exchange import Answer, ExchangeBroken
from ragworttiller.timers import TimerService
from standins.platform.service import DEFAULT_TIMEOUT_SECONDS, Link, Service

# Connections take turns in units of this length.
SEGMENT_BYTES = 16 * 1024


class Bandwidth:
    """Link of one process, of which all transfers at one time get equal parts.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    bytes_per_second : float
        Bandwidth in one direction.

    Attributes
    ----------
    carried : int
        Bytes carried so far.
    """

    def __init__(self, timers: TimerService, bytes_per_second: float) -> None:
        self._timers = timers
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self.carried = 0

    async def carry(self, length: int) -> None:
        """Wait until some bytes were carried; a cancelled transfer carries no more of them."""
        while length > 0:
            segment = min(length, SEGMENT_BYTES)
            begin = max(self._free_at, self._timers.now())
            self._free_at = begin + segment / self._bytes_per_second
            self.carried += segment
            length -= segment
            await self._timers.sleep(self._free_at - self._timers.now())


class SlowLink(Link):
    """Link whose answers take time by their length.

    Parameters
    ----------
    service : Service
        Service that answers the exchanges.
    timers : TimerService
        Source of time.
    bandwidth : Bandwidth
        Link of the client.
    """

    def __init__(self, service: Service, timers: TimerService, bandwidth: Bandwidth) -> None:
        super().__init__(service, timers)
        self._bandwidth = bandwidth

    @override
    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout: float | None = None,
    ) -> Answer:
        seconds = DEFAULT_TIMEOUT_SECONDS if timeout is None else timeout
        with self._timers.move_on_after(seconds):
            answer = await super().request(method, target, body, headers, timeout)
            await self._bandwidth.carry(len(answer.body))
            return answer
        raise ExchangeBroken("slow")
