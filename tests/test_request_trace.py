"""Tests of what the line about an answered request says of the store."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from ragworttiller.metrics import Metrics
from ragworttiller.scheduling.entry.callers import CallerReply
from ragworttiller.scheduling.entry.entry_api import CallerApp
from tests import test_relaying_callers
from tests.entry_rig import BODY, EntryRig, with_entry
from tests.scheduling_rig import JOB, QUEUE, job_id
from tests.test_relaying_callers import FakePeers


async def submit(rig: EntryRig, peers: FakePeers, job: str = JOB, age: float = 0.0) -> int:
    """Submit a job as a web server passes it on, and return the status of the answer."""
    sent: list[dict[str, Any]] = []

    async def receive():
        return {"body": BODY}

    async def send(message: dict[str, Any]):
        sent.append(message)

    relaying = test_relaying_callers.TestRelays().relaying(rig, peers, age)
    app = CallerApp(relaying, lambda: 10_000, Metrics(), rig.timers)
    headers = [(b"host", QUEUE.host.encode())]
    await app({"method": "POST", "path": QUEUE.prefix + job, "headers": headers}, receive, send)
    return sent[0]["status"]


def answer_line(caplog: pytest.LogCaptureFixture) -> logging.LogRecord:
    return [row for row in caplog.records if row.message == "request answered"][-1]


class TestRequestTrace:
    def test_a_refused_submission_says_what_was_known_of_the_store(self, caplog):
        """Guards against a 503 of which nobody knows whether the store or the entry was slow."""

        async def body(rig: EntryRig):
            caplog.set_level(logging.INFO)
            assert await submit(rig, FakePeers()) == 200
            assert not hasattr(answer_line(caplog), "asked")
            rig.service.down = True
            peers = FakePeers()
            peers.answers = dict.fromkeys(("e2", "e3"), CallerReply(503, b"{}", "store_down", 1.0))
            assert await submit(rig, peers, job_id(1)) == 503
            row = answer_line(caplog)
            assert (row.local, row.asked) == ("store_down", peers.asked)
            assert 0.0 < row.local_took <= row.took
            assert 0.0 < row.failing < 1.0
            assert (row.in_flight, row.read_age) == (0.0, 0.0)
            assert row.last_append == 0.0

        with_entry(body)

    def test_an_undecided_submission_names_the_append_in_flight(self, caplog):
        async def body(rig: EntryRig):
            caplog.set_level(logging.INFO)
            rig.service.write_seconds = 0.4
            assert await submit(rig, FakePeers(), job_id(1)) == 200
            rig.service.write_seconds = 9.0
            assert await submit(rig, FakePeers(), job_id(2), age=2.0) == 504
            row = answer_line(caplog)
            assert row.local == "submission_undecided"
            assert row.asked[0] == "e2"
            assert row.last_append == pytest.approx(0.4)
            assert (row.in_flight, row.read_age) == (2.4, 2.0)

        with_entry(body)

    def test_an_answer_of_the_owner_shows_that_only_it_was_asked(self, caplog):
        async def body(rig: EntryRig):
            caplog.set_level(logging.INFO)
            rig.service.write_seconds = 0.4
            assert await submit(rig, FakePeers(), job_id(1)) == 200
            peers = FakePeers()
            peers.answers["e2"] = CallerReply(503, b"{}", "store_down", 1.0)
            assert await submit(rig, peers, job_id(2)) == 503
            row = answer_line(caplog)
            assert row.asked == ["e2"]
            assert row.last_append == pytest.approx(0.4)
            assert not hasattr(row, "local")

        with_entry(body)
