"""Tests of a start order that may have no answer."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import AppendFenced, OrderRefused, OrderUndecided
from ragworttiller.platform.runners import Start
from ragworttiller.scheduling.start_call import ATTEMPT_TIMEOUTS_SECONDS, call_start
from tests.scheduling_rig import task

START = Start(task(), 7, "s", 12.0, "", "")


class FakeClient:
    """A runner's client whose tries end as the test says."""

    def __init__(self, *ends: Exception | None) -> None:
        self.ends = list(ends)
        self.tries: list[tuple[Start, int, float | None]] = []

    async def start(self, order: Start, token: int, timeout: float | None = None) -> float:
        self.tries.append((order, token, timeout))
        end = self.ends.pop(0)
        if end is not None:
            raise end
        return 1.0


def undecided() -> OrderUndecided:
    return OrderUndecided(runner="w1", order="start")


def refused(reason: str) -> OrderRefused:
    return OrderRefused(runner="w1", order="start", reason=reason)


def call(client: FakeClient, still_needed: bool = True) -> None:
    anyio.run(call_start, client, START, 3, lambda: still_needed)


class TestCallStart:
    def test_an_answer_is_all_that_is_needed(self):
        client = FakeClient(None)
        call(client)
        assert len(client.tries) == 1

    def test_a_start_without_an_answer_is_ordered_again_unchanged(self):
        client = FakeClient(undecided(), None)
        call(client)
        assert [(order, token) for order, token, _ in client.tries] == [(START, 3)] * 2

    def test_a_refusal_of_the_first_try_is_one(self):
        with pytest.raises(OrderRefused):
            call(FakeClient(refused("room")))

    @pytest.mark.parametrize("reason", ["old", "late", "room", "unreachable"])
    def test_a_refusal_after_a_try_without_an_answer_decides_nothing(self, reason: str):
        client = FakeClient(undecided(), refused(reason))
        with pytest.raises(OrderUndecided):
            call(client)

    def test_it_ends_undecided(self):
        client = FakeClient(*[undecided() for _ in ATTEMPT_TIMEOUTS_SECONDS])
        with pytest.raises(OrderUndecided):
            call(client)
        assert [timeout for _, _, timeout in client.tries] == list(ATTEMPT_TIMEOUTS_SECONDS)

    def test_what_is_no_longer_wanted_is_not_repeated(self):
        client = FakeClient(undecided())
        with pytest.raises(OrderUndecided):
            call(client, still_needed=False)
        assert len(client.tries) == 1

    def test_a_later_owner_is_told_at_any_try(self):
        with pytest.raises(AppendFenced):
            call(FakeClient(undecided(), AppendFenced(stream="w1", epoch=9)))
