"""Tests of the services of the shards that an instance owns."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.process.membership import FixedMembership
from ragworttiller.process.shards import RESTART_DELAY_SECONDS, ShardHost, ShardService
from ragworttiller.timers import ManualTimers, settle_tasks

pytestmark = pytest.mark.anyio

COUNT = 16


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeService(ShardService):
    def __init__(self, shard, events):
        self.shard = shard
        self.events = events
        self.may_leave = anyio.Event()

    @property
    def ready(self):
        return True

    async def run(self):
        self.events.append(("run", self.shard))
        try:
            await anyio.sleep_forever()
        finally:
            self.events.append(("end", self.shard))

    async def hand_over(self):
        self.events.append(("hand over", self.shard))
        await self.may_leave.wait()


class TestShardHost:
    async def test_services_follow_the_membership_and_hand_over_before_they_end(self):
        events, services = [], {}
        membership = FixedMembership("a", ["a", "b"])

        def start(shard):
            services[shard] = FakeService(shard, events)
            return services[shard]

        host = ShardHost("test", COUNT, lambda n: f"test-{n}", membership, start, ManualTimers())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            await settle_tasks()
            shared = set(host.owned)
            assert 0 < len(shared) < COUNT and host.ready

            membership.set_members(["a"])
            await settle_tasks()
            assert set(host.owned) == set(range(COUNT))
            assert [event for event in events if event[0] != "run"] == []

            membership.set_members(["a", "b"])
            await settle_tasks()
            lost = next(n for n in range(COUNT) if n not in shared)
            assert set(host.owned) == shared and host.get(lost) is None
            assert ("hand over", lost) in events and ("end", lost) not in events

            first, earlier = services[lost], list(services.values())
            membership.set_members(["a"])
            await settle_tasks()
            assert host.get(lost) is services[lost] is not first
            assert host.ready and ("end", lost) not in events
            for service in earlier:
                service.may_leave.set()
            await settle_tasks()
            assert host.get(lost) is services[lost] and ("end", lost) in events
            assert events.index(("end", lost)) > events.index(("hand over", lost))

            for service in services.values():
                service.may_leave.set()
            await host.leave()
            assert host.owned == {} and len([1 for event in events if event[0] == "run"]) == (
                len([1 for event in events if event[0] == "end"])
            )
            tasks.cancel_scope.cancel()

    async def test_shard_reassigned_during_its_hand_over_is_served_at_once(self):
        events, services = [], []

        def start(shard):
            services.append(FakeService(shard, events))
            return services[-1]

        membership = FixedMembership("a", ["a"])
        host = ShardHost("test", 1, lambda n: f"test-{n}", membership, start, ManualTimers())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            await settle_tasks()
            membership.set_members(["b"])
            await settle_tasks()
            assert host.get(0) is None
            membership.set_members(["a"])
            await settle_tasks()
            assert host.get(0) is services[1]
            services[0].may_leave.set()
            await settle_tasks()
            assert host.get(0) is services[1]
            tasks.start_soon(host.leave)
            await settle_tasks()
            services[1].may_leave.set()
            tasks.cancel_scope.cancel()
        assert events.count(("run", 0)) == events.count(("end", 0)) == 2

    async def test_failed_service_is_restarted_and_others_keep_running(self):
        events, started = [], []

        class Failing(FakeService):
            async def run(self):
                started.append(self.shard)
                if self.shard == 0 and started.count(0) == 1:
                    raise ZeroDivisionError
                await super().run()

        membership = FixedMembership("a", ["a"])
        timers = ManualTimers()
        host = ShardHost(
            "test", 2, lambda n: f"test-{n}", membership, lambda n: Failing(n, events), timers
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            await settle_tasks()
            assert set(host.owned) == {1}
            await timers.advance(RESTART_DELAY_SECONDS)
            assert set(host.owned) == {0, 1}
            assert sorted(started) == [0, 0, 1]
            tasks.cancel_scope.cancel()
