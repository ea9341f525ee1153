"""Client of the placement advisor, which lists the runners on which a step may run."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import msgspec

from ragworttiller.exceptions import PlatformUnavailable, Unreadable
from ragworttiller.platform.advisor_meter import AdvisorMeter
from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.decoding import decode_json
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.timers import SystemTimers

log = logging.getLogger(__name__)

ADVISOR_TIMEOUT_SECONDS = 2.0
MAX_TICKET_CHARACTERS = 4000


class _AdviceAnswer(msgspec.Struct):
    good: list[msgspec.Raw] = []


_ROW_DECODER = msgspec.json.Decoder(list[str])


class Advisor:
    """HTTP client of the placement advisor.

    Parameters
    ----------
    address : str
        ``host:port``.
    meter : AdvisorMeter, optional
        Counts and times the calls; by default a meter of its own.
    """

    def __init__(self, address: str, meter: AdvisorMeter | None = None) -> None:
        self._channels = ChannelSet(address, ADVISOR_TIMEOUT_SECONDS)
        self._meter = meter or AdvisorMeter(SystemTimers())

    async def advise(
        self, stage: StageId, runners: Sequence[str], timeout: float
    ) -> dict[str, str]:
        """Return a ticket for each named runner that may run the stage.

        Parameters
        ----------
        stage : StageId
            Stage to place.
        runners : sequence of str
            At most 100 runners.
        timeout : float
            Seconds to wait for the answer.

        Raises
        ------
        PlatformUnavailable
            The advisor sent no valid answer, or refused because too many calls are waiting.
        """
        try:
            with self._meter.call():
                return await self._tickets(stage, runners, timeout)
        except (NotSent, ExchangeBroken, Unreadable) as exc:
            raise PlatformUnavailable(service="advisor") from exc

    async def _tickets(
        self, stage: StageId, runners: Sequence[str], timeout: float
    ) -> dict[str, str]:
        body = msgspec.json.encode({"step": str(stage), "workers": list(runners)})
        headers = [("content-type", "application/json")]
        answer = await self._channels.request("POST", "/-/advise", body, headers, timeout)
        if answer.status != 200:
            raise PlatformUnavailable(service="advisor")
        rows = decode_json(answer.body, _AdviceAnswer, "advice").good
        named = set(runners)
        found = [row for row in map(_decode_row, rows) if row and row[0] in named]
        if len(found) < len(rows):
            extra = {"stage": str(stage), "rows": len(rows) - len(found)}
            log.warning("unreadable or unasked rows of the advisor skipped", extra=extra)
            if not found:
                # Not an answer that denies every runner.
                raise Unreadable(what="advice", problem="no row names a runner of the call")
        return dict(found)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()


def _decode_row(row: msgspec.Raw) -> tuple[str, str] | None:
    """Return a runner and its ticket, None if they are malformed."""
    try:
        runner, ticket, *_ = _ROW_DECODER.decode(row)
    except (msgspec.MsgspecError, ValueError):
        return None
    return (runner, ticket) if len(ticket) <= MAX_TICKET_CHARACTERS else None
