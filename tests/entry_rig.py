"""The parts of one entry that answer callers, with a store, on virtual time."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio

from ragworttiller.platform.store import Producer, Store
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.callers import CallerRequest, LocalCallers
from ragworttiller.scheduling.ownership.term import ClaimFold
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from standins.platform.bandwidth import Bandwidth, SlowLink
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.scheduling_rig import JOB, QUEUE, job_body, step

BODY = job_body(step(2))


def configuration(version: int, prefix: str = QUEUE.prefix) -> bytes:
    """Return a configuration with one queue."""
    route = {"name": "q", "host": QUEUE.host, "path_prefix": prefix, "service": "desk"}
    return json.dumps({"version": version, "routes": [route]}).encode()


class EntryRig:
    """The parts of one entry that answer callers, with a store."""

    def __init__(
        self,
        store: StoreService | None = None,
        timers: LoopTimers | None = None,
        producer: str = "e",
        bandwidth: Bandwidth | None = None,
    ):
        self.timers = timers or LoopTimers()
        self.service = store or StoreService(self.timers)
        if bandwidth is None:
            self.link = Link(self.service, self.timers)
        else:
            self.link = SlowLink(self.service, self.timers, bandwidth)
        client = Store("", 1.0, self.link)
        self.jobs = JobFold()
        self.feed = Feed(client, JOBS, self.jobs, self.timers)
        self.config = QueueFold()
        self.config.adopt(configuration(1))
        self.claims = ClaimFold()
        self.writer = GroupCommit(client, JOBS, Producer(producer, 1), self.timers, exclusive=True)
        self.acceptance = Acceptance(
            self.config, self.jobs, self.feed, self.claims, self.writer, self.timers, "e1"
        )
        self.callers = LocalCallers(self.acceptance)

    async def call(self, method: str, path: str = JOB, body: bytes = BODY, timeout: float = 2.0):
        """Return the answer to a request of a caller."""
        request = CallerRequest(method, QUEUE.host, QUEUE.prefix + path, body, timeout)
        return await self.callers.answer(request)

    def stored(self) -> list[str]:
        """Return the keys in the partition of the jobs."""
        return sorted(self.service.partition(JOBS.topic).newest())


def with_entry(body: Callable[[EntryRig], Awaitable[None]]):
    """Run a test body while the entry reads and writes."""

    async def main():
        rig = EntryRig()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.feed.run)
            tasks.start_soon(rig.writer.run)
            await rig.timers.sleep(0.1)
            await body(rig)
            tasks.cancel_scope.cancel()

    run_virtual(main)
