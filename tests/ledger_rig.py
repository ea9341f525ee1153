"""Test rig: instances on a simulated log, network and clock; and a checker of sends."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ragworttiller.decisions import DecisionLog
from ragworttiller.exceptions import RagworttillerError
from ragworttiller.messages import LicensedAnswer, LicensedRequest
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.ledger import Ledger, LedgerLimits
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.membership import FixedMembership
from ragworttiller.process.shards import ShardHost
from ragworttiller.process.snapshots import Retention
from ragworttiller.process.stream import Stream
from ragworttiller.records import ledger_stream
from ragworttiller.request.licensed import LicensedRequests
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.services.runner import Answer
from ragworttiller.timers import DrivenTimers, settle_tasks
from standins.memory import MemoryLog
from standins.peers import MemoryNetwork

STREAM = ledger_stream(0)
WINDOW_SECONDS = 60.0
LIMITS = LedgerLimits(window=WINDOW_SECONDS, long_window=WINDOW_SECONDS)


class Send:
    """Request received by a runner; ``answered`` is set once the answer was returned."""

    def __init__(self, instance: str, key: str, attempt: str, at: float) -> None:
        self.instance = instance
        self.key = key
        self.attempt = attempt
        self.at = at
        self.answered = False


class FakeSender(Sender):
    """Records every send; can be set to pause before or during it, or to fail."""

    def __init__(self, rig: Rig, instance: str) -> None:
        self.rig = rig
        self.instance = instance
        self.error: RagworttillerError | None = None
        self.before = anyio.Event()
        self.before.set()
        self.within = anyio.Event()
        self.within.set()

    async def send_once(self, request: UpstreamRequest) -> Answer:
        await self.before.wait()
        if self.error is not None and self.error.ran == "not_run":
            raise self.error
        key = request.exchange.path.removeprefix("/")
        send = Send(self.instance, key, request.subject, self.rig.timers.now())
        self.rig.sends.append(send)
        await self.within.wait()
        if self.error is not None and self.error.ran != "not_run":
            raise self.error
        send.answered = True
        return Answer(200, [("Content-Type", "text/plain")], f"{key} {request.subject}".encode())

    async def send(self, request: UpstreamRequest) -> Answer:
        raise NotImplementedError


class Instance:
    """One incarnation of one instance."""

    def __init__(self, rig: Rig, name: str, incarnation: int) -> None:
        self.name = name
        self.rig = rig
        self.sender = FakeSender(rig, name)
        self.decisions = DecisionLog()
        self.membership = FixedMembership(name, rig.members, incarnation)
        self.budget = AppendBudget(rig.timers, 1000.0)
        self.host = ShardHost("ledger", 1, ledger_stream, self.membership, self._start, rig.timers)
        self.requests = LicensedRequests(
            rig.network.peers(name), self.membership, self.host, 1, rig.timers
        )
        self.scope = anyio.CancelScope()

    @property
    def ledger(self) -> Ledger:
        ledger = self.host.get(0)
        assert ledger is not None
        return ledger

    async def run(self) -> None:
        with self.scope:
            await self.host.run()

    def _start(self, shard: int) -> Ledger:
        rig = self.rig
        stream = Stream(
            ledger_stream(shard),
            rig.log,
            LedgerFold(),
            rig.timers,
            self.budget,
            self.membership.holder,
        )
        limits = LIMITS._replace(retention=rig.retention)
        return Ledger(stream, self.sender, self.membership, rig.timers, self.decisions, limits)


class Result:
    """Request or lookup of a caller, with its answer or error."""

    def __init__(self, entry: Instance, key: str, attempt: str, at: float) -> None:
        self.entry = entry
        self.key = key
        self.attempt = attempt
        self.at = at
        self.answer: LicensedAnswer | None = None
        self.error: RagworttillerError | None = None
        self.scope = anyio.CancelScope()

    @property
    def code(self) -> str:
        if self.error is not None:
            return self.error.code
        return "answered" if self.answer is not None else "pending"


class Rig:
    """Instances, log, network and clock of one test."""

    def __init__(self, tasks: TaskGroup, keep: int | None = None) -> None:
        self.tasks = tasks
        self.timers = DrivenTimers()
        self.log = MemoryLog(self.timers, keep)
        self.retention = Retention(keep or 100_000, 3600.0)
        self.network = MemoryNetwork(self.timers)
        self.sends: list[Send] = []
        self.results: list[Result] = []
        self.members: list[str] = []
        self.instances: dict[str, Instance] = {}
        self.incarnations = 0

    async def start(self, *names: str) -> None:
        for name in names:
            self.incarnations += 1
            self.instances[name] = Instance(self, name, self.incarnations)
            self.tasks.start_soon(self.instances[name].run)
        await self.set_members(list(self.instances))

    async def set_members(self, members: list[str]) -> None:
        self.members = members
        for instance in self.instances.values():
            instance.membership.set_members(members)
        await self.settle()

    async def kill(self, name: str) -> None:
        self.network.remove(name)
        self.instances.pop(name).scope.cancel()
        await self.settle()

    async def settle(self, seconds: float = 0.3) -> None:
        await settle_tasks()
        await self.timers.advance(seconds)

    def owner(self) -> Instance:
        name = next(iter(self.instances.values())).membership.owner(STREAM)
        assert name is not None
        return self.instances[name]

    def others(self) -> list[Instance]:
        owner = self.owner()
        return [one for one in self.instances.values() if one is not owner]

    async def submit(
        self, entry: Instance, attempt: str, key: str = "k", body: bytes = b"", wait: float = 0.3
    ) -> Result:
        message = LicensedRequest(
            key, attempt, "ws", "marking", "POST", f"/{key}", [], body, budget=10.0
        )
        result = self.call(entry, key, attempt, entry.requests.submit(message))
        await self.settle(wait)
        return result

    async def lookup(self, entry: Instance, key: str = "k") -> Result:
        result = self.call(entry, key, "", entry.requests.lookup(key))
        await self.settle()
        return result

    def call(self, entry: Instance, key: str, attempt: str, work: Awaitable[Any]) -> Result:
        result = Result(entry, key, attempt, self.timers.now())
        self.results.append(result)
        self.tasks.start_soon(self._call, work, result)
        return result

    async def _call(self, work: Awaitable[Any], result: Result) -> None:
        with result.scope:
            try:
                result.answer = await work
            except RagworttillerError as exc:
                result.error = exc


def violations(rig: Rig) -> list[str]:
    """Return all violated guarantees, judged by sends and answers alone."""
    found = []
    for number, send in enumerate(rig.sends):
        for later in rig.sends[number + 1 :]:
            expired = send.answered and later.at - send.at >= WINDOW_SECONDS
            if later.attempt == send.attempt or (later.key == send.key and not expired):
                found.append(f"{send.key}: {send.attempt} and {later.attempt} both sent")
    sent = {send.attempt: send for send in rig.sends}
    for result in rig.results:
        if result.code == "not_run" and result.attempt in sent:
            found.append(f"{result.key}: {result.attempt} was sent, said not run")
        before = [one for one in rig.sends if one.key == result.key and one.at <= result.at]
        if result.code == "key_unknown" and any(
            not one.answered or result.at - one.at < WINDOW_SECONDS for one in before
        ):
            found.append(f"{result.key}: was sent, said unknown")
        if result.answer is not None:
            found += _wrong_answer(result, result.answer, sent)
    return found


def _wrong_answer(result: Result, answer: LicensedAnswer, sent: dict[str, Send]) -> list[str]:
    key, _, attempt = (answer.body or b"").decode().partition(" ")
    own = answer.replayed or attempt == result.attempt
    if key == result.key and own and attempt in sent and sent[attempt].answered:
        return []
    return [f"{result.key}: {result.attempt} got the answer of {key} {attempt}"]


@asynccontextmanager
async def rig_of(*names: str, keep: int | None = None) -> AsyncIterator[Rig]:
    async with anyio.create_task_group() as tasks:
        rig = Rig(tasks, keep)
        tasks.start_soon(rig.network.run)
        await rig.start(*names)
        yield rig
        tasks.cancel_scope.cancel()
