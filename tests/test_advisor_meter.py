"""Tests of the metrics of an entry's calls to the advisor."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import PlatformUnavailable
from ragworttiller.metrics import Metrics
from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.advisor_meter import AdvisorMeter
from ragworttiller.platform.exchange import Answer, ExchangeBroken, NotSent
from ragworttiller.scheduling.entry.advisor_metrics import register_advisor_metrics
from ragworttiller.scheduling.state.jobs import StageId
from standins.virtual_time import LoopTimers
from tests.scheduling_rig import JOB
from tests.store_rig import virtual

STAGE = StageId(JOB, 0, 0)
GRANTED = b'{"good":[["w1","t"]]}'


class SerialChannels:
    """An advisor that serves calls in turn, each for some seconds, or fails them at once."""

    def __init__(self, timers: LoopTimers):
        self._timers = timers
        self._turn = anyio.Lock()
        self.seconds = 0.4
        self.status, self.body = 200, GRANTED
        self.error: Exception | None = None

    async def request(self, *args) -> Answer:
        if self.error is not None:
            raise self.error
        if self.status != 200:
            return Answer(self.status, [], b"")
        async with self._turn:
            await self._timers.sleep(self.seconds)
        return Answer(200, [], self.body)


class AdvisorRig:
    """The client of an advisor, and its meter, on virtual time."""

    def __init__(self):
        self.timers = LoopTimers()
        self.meter = AdvisorMeter(self.timers)
        self.channels = SerialChannels(self.timers)
        self._advisor = Advisor("h:1", self.meter)
        self._advisor._channels = self.channels

    @property
    def counts(self) -> dict[str, int]:
        """Number of calls by outcome."""
        return {outcome: row.count for (outcome,), row in self.meter.durations.items()}

    async def advise(self):
        return await self._advisor.advise(STAGE, ["w1"], 2.0)

    async def fail(self):
        with pytest.raises(PlatformUnavailable):
            await self.advise()


class TestAdvisorMeter:
    @virtual
    async def test_the_wait_for_earlier_calls_is_told_from_their_duration(self):
        """Guards against an entry with many calls that looks like a slow advisor."""
        rig = AdvisorRig()
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(rig.advise)
        assert rig.meter.waits.total == pytest.approx(0.4 + 0.8)
        assert rig.meter.durations[("ok",)].total == pytest.approx(3 * 0.4)

    @virtual
    async def test_a_call_that_is_refused_meanwhile_does_not_count_as_an_earlier_one(self):
        rig = AdvisorRig()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.advise)
            await rig.timers.sleep(0.3)
            rig.channels.status = 503
            await rig.fail()
        assert rig.meter.waits.total == 0.0
        assert rig.meter.durations[("ok",)].total == pytest.approx(0.4)

    @virtual
    async def test_failed_calls_are_counted_by_reason(self):
        """Guards against an advisor that refuses which looks like one that is cut off."""
        rig = AdvisorRig()
        rig.channels.status = 503
        await rig.fail()
        rig.channels.status, rig.channels.body = 200, b'{"good":[["w9","t"]]}'
        await rig.fail()
        for rig.channels.error in (NotSent("refused"), ExchangeBroken("no answer")):
            await rig.fail()
        assert rig.counts == dict.fromkeys(
            ("refused", "unreadable", "unreachable", "unanswered"), 1
        )

    @virtual
    async def test_the_metrics_page_shows_them(self):
        rig, metrics = AdvisorRig(), Metrics()
        register_advisor_metrics(metrics, rig.meter)
        await rig.advise()
        page = metrics.exposition().decode()
        assert 'ragworttiller_advisor_call_seconds_count{outcome="ok"} 1.0' in page
        assert "ragworttiller_advisor_call_wait_seconds_count 1.0" in page
