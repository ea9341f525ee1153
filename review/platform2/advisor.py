"""Stand-in for the placement advisor, as PROTOCOL.md says: it allows all workers that it is asked about."""

from __future__ import annotations

import asyncio
import json
import time

from platform2.http import Reply, Server, json_reply


class Advisor:
    """Advisor whose tickets are valid for a time."""

    def __init__(self, decision: float, per_worker: float, validity: float) -> None:
        self.server = Server(self._answer)
        self.calls = 0
        self._decision = decision
        self._per_worker = per_worker
        self._validity = validity
        self._times: dict[str, tuple[float, float]] = {}
        self._tickets: dict[tuple[str, str, str], float] = {}
        # One call at a time; the entries share an address here, so the order is that of arrival.
        self._lock = asyncio.Lock()

    def set_times(self, jobs: tuple[str, ...], decision: float, per_worker: float) -> None:
        """Set the seconds that calls take for some jobs, whose queue has a policy of its own."""
        self._times.update(dict.fromkeys(jobs, (decision, per_worker)))

    def is_valid(self, task: str, worker: str, ticket: str) -> bool:
        """Return whether a start of a task on a worker may carry a ticket now."""
        until = self._tickets.get((task.rpartition(".")[0], worker, ticket), 0.0)
        return time.monotonic() < until

    async def _answer(self, method: str, target: str, headers: dict, body: bytes) -> Reply:
        if target != "/-/advise":
            return json_reply(404)
        request = json.loads(body)
        self.calls += 1
        usual = (self._decision, self._per_worker)
        decision, per_worker = self._times.get(request["step"].partition(".")[0], usual)
        async with self._lock:
            await asyncio.sleep(decision + per_worker * len(request["workers"]))
        good = []
        for worker in request["workers"]:
            ticket = f"t-{self.calls}"
            self._tickets[request["step"], worker, ticket] = time.monotonic() + self._validity
            good.append([worker, ticket])
        return json_reply(200, {"good": good})
