"""Links of limited bandwidth, which the connections of one process share."""

from __future__ import annotations

from collections.abc import Sequence

from typing_extensions import override

from ragworttiller.platform.answer_limits import MAX_ANSWER_BYTES
from ragworttiller.platform.exchange import Answer, ExchangeBroken, UnwantedAnswer
from ragworttiller.platform.store import MIN_PROGRESS_BYTES
from ragworttiller.timers import TimerService
from standins.platform.service import DEFAULT_TIMEOUT_SECONDS, Link, Service

# Connections take turns in units of this length.
SEGMENT_BYTES = 16 * 1024
# Part of an answer that is on its way before its reader breaks it off.
SENT_IN_VAIN_BYTES = 64 * 1024


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
    bytes_per_second : float
        Bandwidth in one direction.
    carried : int
        Bytes carried so far.
    """

    def __init__(self, timers: TimerService, bytes_per_second: float) -> None:
        self._timers = timers
        self.bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self.carried = 0

    async def carry(self, length: int) -> None:
        """Wait until some bytes were carried; a cancelled transfer carries no more of them."""
        while length > 0:
            segment = min(length, SEGMENT_BYTES)
            begin = max(self._free_at, self._timers.now())
            self._free_at = begin + segment / self.bytes_per_second
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
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> Answer:
        answer = await super().request(method, target, body, headers, timeout)
        wanted = len(answer.body) <= max_answer_bytes
        left = len(answer.body) if wanted else min(len(answer.body), SENT_IN_VAIN_BYTES)
        while left > 0:
            # As in a channel of the store, an exchange that makes progress goes on.
            with self._timers.move_on_after(DEFAULT_TIMEOUT_SECONDS) as scope:
                await self._bandwidth.carry(min(left, MIN_PROGRESS_BYTES))
            if scope.cancelled_caught:
                raise ExchangeBroken("slow")
            left -= MIN_PROGRESS_BYTES
        if not wanted:
            raise UnwantedAnswer(len(answer.body))
        return answer
