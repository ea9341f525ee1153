"""Stand-in for a runner that doesn't guard its capacity, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from platform2.http import Reply, Server, json_reply
from platform2.store import Store

MAX_LEASE_SECONDS = 6.0
STOP_SECONDS = 0.2
RESTORE_SECONDS = 0.25
MAX_LISTED = 500
HEARTBEAT_SECONDS = 1.5


class _Run:
    def __init__(self, run: int, work: float, done: float, saved: str, lasts: bool) -> None:
        self.run = run
        self.work = work
        self.saved = saved
        self.lasts = lasts
        self.began = time.monotonic() - done
        self.stop_at: float | None = None

    def progress(self) -> float:
        return min((time.monotonic() - self.began) / self.work, 1.0)


class Runner:
    """One boot of a runner: tasks under one lease, ends that are listed until acknowledged.

    Attributes
    ----------
    work : Callable
        Returns the seconds of work of a task, given its name; infinite for one that lasts.
    checkpoint : Callable
        Returns the checkpoint of a task, given its name and its seconds of work; "" for none.
    refuses_starts : bool
        Whether the runner is unhealthy: it answers starts with 503 and does nothing.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        log: Callable[..., None],
        service: str,
        capacity: dict,
        labels: list[str],
        work: Callable[[str], float],
        checkpoint: Callable[[str, float], str] = lambda task, done: "",
    ) -> None:
        self.name = name
        self.store = store
        self.log = log
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.work = work
        self.checkpoint = checkpoint
        self.refuses_starts = False
        # Returns whether a start has a valid ticket, given task, runner and ticket.
        self.accepts_ticket: Callable[[str, str, str], bool] = lambda task, runner, ticket: True
        self.outcomes: set[str] = set()
        self.server = Server(self._answer)
        self.up = False
        self._begin_boot(name)

    def _begin_boot(self, boot: str) -> None:
        self.id = boot
        self.born = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.running: dict[str, _Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.end_count = 0
        self.seq = 0
        self.changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self.born) * 1000)

    async def start(self, port: int = 0) -> None:
        await self.server.start(port)
        self.up = True
        self.write_entry()
        asyncio.ensure_future(self._run_boot(self.id))

    def write_entry(self) -> None:
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "seq": self.seq,
        }
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _run_boot(self, boot: str) -> None:
        """Beat, and end runs, for as long as the boot lives."""
        beaten = time.monotonic()
        while self.up and self.id == boot:
            self._end_due()
            if time.monotonic() - beaten >= HEARTBEAT_SECONDS:
                beaten = time.monotonic()
                self.write_entry()
            await asyncio.sleep(0.01)

    def crash(self) -> None:
        """End the boot with all that it runs; its port refuses connections."""
        self.log("runner crashes", runner=self.id, running=sorted(self.running))
        self.up = False
        self.server.abort()
        self.running.clear()
        boot = self.id
        # The platform drops the entry after three ping intervals of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_SECONDS, lambda: self.store.put("keyed.servers", boot, b"")
        )

    async def boot_again(self, boot: str) -> None:
        """Start the next boot of the machine at the same address, under a new identifier."""
        self._begin_boot(boot)
        self.log("runner starts again", runner=boot)
        await self.start(self.server.port)

    # Runs

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.outcomes.add(how)
        done = (time.monotonic() - run.began) if run.lasts else run.progress() * run.work
        saved = "" if how == "done" else self.checkpoint(task, done) or run.saved
        self.end_count += 1
        self.ended.append([self.end_count, task, run.run, how, saved])
        self.log("run ends", runner=self.id, task=task, run=run.run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_due(self) -> None:
        now = time.monotonic()
        lapsed = self.clock_ms / 1000 > self.lease_end
        for task, run in list(self.running.items()):
            if run.progress() >= 1.0 and not run.lasts:
                self._end(task, "done")
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(task, "stopped")
            elif lapsed:
                self._end(task, "lapsed")

    def _extend(self, command: dict) -> None:
        deadline = command.get("deadline_ms")
        if deadline is not None:
            latest = self.clock_ms / 1000 + MAX_LEASE_SECONDS
            self.lease_end = max(self.lease_end, min(deadline / 1000, latest))

    def _reply(self, status: int, **fields) -> Reply:
        return json_reply(status, {"clock_ms": self.clock_ms, **fields})

    async def _answer(self, method: str, target: str, headers: dict, body: bytes) -> Reply | None:
        if headers.get("ragworttiller-target-instance", self.id) != self.id:
            return json_reply(421)
        command = json.loads(body or b"{}")
        self._end_due()
        token = command.get("fence_token", 0)
        if token < self.fence:
            return self._reply(409, reason="fence")
        if target == "/-/run-start" and self.refuses_starts:
            self.log("start refused with 503", runner=self.id, task=command["task"])
            return json_reply(503)
        self.fence = token
        if target == "/-/run-start":
            return self._start(command)
        if target == "/-/run-stop":
            return self._stop(command)
        if target == "/-/pace":
            return self._reply(200)
        if target == "/-/hold":
            return await self._hold(command)
        return json_reply(404)

    def _start(self, command: dict) -> Reply:
        task, run = command["task"], command["run"]
        self._extend(command)
        known = self.running.get(task)
        if known is not None and known.run == run:
            return self._reply(200)
        if run <= self.highest.get(task, 0):
            return self._reply(409, reason="old")
        if command["deadline_ms"] <= self.clock_ms:
            return self._reply(409, reason="late")
        if not self.accepts_ticket(task, self.id, command.get("ticket", "")):
            return self._reply(409, reason="ticket")
        self.highest[task] = run
        work, saved = self.work(task), command.get("last_checkpoint", "")
        done = float(saved.rpartition(":")[2]) - RESTORE_SECONDS if saved else 0.0
        self.running[task] = _Run(run, work, done, saved, work == float("inf"))
        self.log("run starts", runner=self.id, task=task, run=run, resumed=bool(saved))
        return self._reply(200)

    def _stop(self, command: dict) -> Reply:
        task, run = command["task"], command["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        known = self.running.get(task)
        if known is not None and known.run == run and known.stop_at is None:
            known.stop_at = time.monotonic() + STOP_SECONDS
        return self._reply(200)

    async def _hold(self, command: dict) -> Reply:
        self._extend(command)
        seen = command.get("last_seen", 0)
        if any(row[0] <= seen for row in self.ended):
            self.log("ends taken note of", runner=self.id, last_seen=seen)
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + min(command.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except TimeoutError:
                break
        running = []
        for task, run in self.running.items():
            percent = 100 if run.lasts else int(100 * run.progress())
            done = (time.monotonic() - run.began) if run.lasts else run.progress() * run.work
            saved = self.checkpoint(task, done) or run.saved
            running.append([task, run.run, saved, percent, 0])
        return self._reply(200, running=running, ended_runs=self.ended[:MAX_LISTED])
