"""Test rig: one entry with a few fake runners, on virtual time."""

from __future__ import annotations

import random

import anyio

from ragworttiller.decisions import DecisionLog
from ragworttiller.process.membership import FixedMembership
from ragworttiller.request.sender import UpstreamRequest
from ragworttiller.routing.dispatcher import Dispatcher
from ragworttiller.routing.settings import FixedUpstreams, UpstreamSettings
from ragworttiller.services.directory import Listing
from ragworttiller.services.runner import Exchange
from standins.peers import MemoryNetwork
from standins.runners_fake import FakeDialer, FakeRunner
from standins.virtual_time import LoopTimers, run_virtual

MEAN_SECONDS = 0.05


class Rig:
    """One entry with a few fake runners."""

    def __init__(self, tasks, runners, settings):
        self.timers = LoopTimers()
        self.tasks = tasks
        self.runners = [
            FakeRunner(f"m{i}", "marking", MEAN_SECONDS, self.timers, tasks, random.Random(i))
            for i in range(runners)
        ]
        self.decisions = DecisionLog()
        self.network = MemoryNetwork(self.timers)
        self.publish()
        self.entry = Dispatcher(
            FakeDialer(self.runners),
            lambda: self.listing,
            self.network.peers("a"),
            FixedMembership("a", ["a"]),
            FixedUpstreams(settings),
            self.timers,
            self.decisions,
            random.Random(5),
        )
        self.number = 0
        self.in_window = 0

    def publish(self):
        self.listing = Listing([], [r.listed for r in self.runners if r.state != "gone"], [])

    async def send(self, once=False, budget=2.0):
        self.number += 1
        body = str(self.number).encode()
        exchange = Exchange("GET", "/", [], body)
        request = UpstreamRequest(f"r{self.number}", "ws", "marking", exchange, int(once), budget)
        answer = await (self.entry.send_once(request) if once else self.entry.send(request))
        assert answer.body == body
        return answer

    async def burst(self, count, once=False, budget=2.0):
        """Send concurrently; return statuses of answers, and errors with their delays."""
        errors, good, asked = [], [], self.timers.now()

        async def one():
            try:
                good.append((await self.send(once, budget)).status)
            except Exception as exc:
                errors.append((exc, self.timers.now() - asked))

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(one)
        return good, errors

    async def steady(self, seconds, rate=200.0, once=False):
        """Send at a steady rate; return statuses of answers, and errors with their delays."""
        good, errors = [], []
        end = self.timers.now() + seconds

        async def one():
            answers, failed = await self.burst(1, once)
            good.extend(answers)
            errors.extend(failed)

        async with anyio.create_task_group() as tasks:
            while self.timers.now() < end:
                tasks.start_soon(one)
                await self.timers.sleep(1 / rate)
            self.in_window = len(good)
        return good, errors

    def view(self, number):
        return self.entry.routers["marking"].table.runners[f"m{number}"]


def run(scenario, runners=4, settings=UpstreamSettings()):  # noqa: B008
    async def main():
        async with anyio.create_task_group() as tasks:
            rig = Rig(tasks, runners, settings)
            tasks.start_soon(rig.entry.run)
            await rig.timers.sleep(0.001)
            await scenario(rig)
            assert not any(runner.violations for runner in rig.runners)
            tasks.cancel_scope.cancel()

    run_virtual(main)
