"""Stand-in for the placement advisor, which names the runners on which a step may run."""

from __future__ import annotations

import json

from typing_extensions import override

from ragworttiller.platform.exchange import Answer
from ragworttiller.timers import TimerService
from standins.platform.service import Service, json_answer


class AdvisorService(Service):
    """Advisor that allows every second runner of a step, after a fixed delay.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    decision : float
        Seconds that each call takes.
    """

    def __init__(self, timers: TimerService, decision: float = 0.02) -> None:
        self._timers = timers
        self._decision_seconds = decision
        self.calls = 0

    @override
    async def answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        self.calls += 1
        await self._timers.sleep(self._decision_seconds)
        request = json.loads(body)
        good = [[name, f"{request['step']}@{name}"] for name in sorted(request["workers"])[::2]]
        return json_answer(200, {"good": good})
