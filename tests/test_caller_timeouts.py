"""Tests of the time that callers' requests get after they have arrived."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.connection.bounded_protocol import RECEIVE_SECONDS
from ragworttiller.metrics import Metrics
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, Callers
from ragworttiller.scheduling.entry.entry_api import CallerApp
from standins.virtual_time import LoopTimers


class RecordingCallers(Callers):
    """Callers that record the time that a request gets."""

    def __init__(self) -> None:
        self.timeouts: list[float] = []

    async def answer(self, request: CallerRequest) -> CallerReply:
        self.timeouts.append(request.timeout)
        return CallerReply(200, b"{}")


class TestTimeAfterArrival:
    @pytest.mark.parametrize(
        ("stated_ms", "receive_seconds", "expected"),
        [(None, 0.0, 2.4), (None, 5.0, 2.4), (b"3000", 1.0, 1.6), (b"3000", 5.0, 0.0)],
    )
    def test_arrival_counts_against_a_stated_deadline_only(
        self, stated_ms: bytes | None, receive_seconds: float, expected: float
    ):
        """Guards against a refusal of a slow body whose caller has stated no deadline."""

        async def main():
            callers = RecordingCallers()
            app = CallerApp(callers, lambda: 1000, Metrics(), LoopTimers())
            headers = [(b"ragworttiller-deadline-ms", stated_ms)] if stated_ms else []
            scope = {"method": "POST", "path": "/q/x", "headers": headers}
            scope["state"] = {RECEIVE_SECONDS: receive_seconds}
            await app(scope, receive, send)
            assert callers.timeouts == [pytest.approx(expected)]

        async def receive():
            return {"type": "http.request", "body": b"{}", "more_body": False}

        async def send(message):
            pass

        anyio.run(main)
