"""Client of the placement advisor, which lists the runners on which a step may run."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ragworttiller.exceptions import PlatformUnavailable
from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.scheduling.state.jobs import StageId

ADVISOR_TIMEOUT_SECONDS = 2.0


class _AdviceAnswer(msgspec.Struct):
    good: list[list[str]] = []


class Advisor:
    """HTTP client of the placement advisor.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._channels = ChannelSet(address, ADVISOR_TIMEOUT_SECONDS)

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
        body = msgspec.json.encode({"step": str(stage), "workers": list(runners)})
        headers = [("content-type", "application/json")]
        try:
            answer = await self._channels.request("POST", "/-/advise", body, headers, timeout)
            if answer.status != 200:
                raise PlatformUnavailable(service="advisor")
            rows = msgspec.json.decode(answer.body, type=_AdviceAnswer).good
            return {row[0]: row[1] for row in rows if len(row) >= 2}
        except (NotSent, ExchangeBroken, msgspec.MsgspecError) as exc:
            raise PlatformUnavailable(service="advisor") from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()
