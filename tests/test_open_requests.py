"""Tests of the answers to requests that are in progress when an entry has to end."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from ragworttiller.metrics import Metrics
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, Callers
from ragworttiller.scheduling.entry.entry_api import CallerApp
from standins.virtual_time import LoopTimers, run_virtual


class Stuck(Callers):
    """Answers no request."""

    async def answer(self, request: CallerRequest) -> CallerReply:
        await anyio.sleep_forever()
        raise AssertionError


class TestEndedRequests:
    @pytest.mark.parametrize(
        ("method", "reads_body", "status", "code"),
        [
            ("GET", True, 503, "stopping"),
            ("POST", True, 504, "submission_undecided"),
            ("POST", False, 503, "stopping"),
            ("DELETE", True, 504, "submission_undecided"),
        ],
    )
    @pytest.mark.parametrize("ended_before", [False, True])
    def test_each_gets_a_true_answer(self, method, reads_body, status, code, ended_before):
        """Guards against a 500, or a cut connection, for a request that a stop interrupts."""
        sent: list[dict[str, Any]] = []

        async def receive():
            if not reads_body:
                await anyio.sleep_forever()
            return {"body": b"{}"}

        async def send(message: dict[str, Any]):
            sent.append(message)

        async def main():
            app = CallerApp(Stuck(), lambda: 1000, Metrics(), LoopTimers(), "e1")
            scope = {"method": method, "path": "/q/j", "headers": []}
            async with anyio.create_task_group() as tasks:
                if ended_before:
                    app.end_requests()
                tasks.start_soon(app, scope, receive, send)
                await anyio.sleep(1.0)
                app.end_requests()

        run_virtual(main)
        if ended_before and method != "GET":
            # Nothing was read of it.
            status, code = 503, "stopping"
        assert sent[0]["status"] == status
        assert json.loads(sent[1]["body"])["error"]["code"] == code
        assert b"retry-after" in dict(sent[0]["headers"])
