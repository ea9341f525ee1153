"""A cell of real processes on loopback: stand-ins of the platform and entries.

Every process that is started here dies with this one, whatever ends it.
"""

from __future__ import annotations

import atexit
import contextlib
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import msgspec

from ragworttiller.platform.channel import ChannelSet, ExchangeBroken, NotSent
from ragworttiller.services.runner import Answer
from standins.agent import TaskEvent, Violation
from standins.checker import Evidence, Leave, PlannedStop
from standins.runner import Served
from tools.children import (
    HOST,
    POLL_SECONDS,
    START_TIMEOUT_SECONDS,
    Child,
    StartFailed,
    free_ports,
)
from tools.listing import Entry, ini, runner_row, worker_row
from tools.plan import TOKEN, CellPlan, entry_domain

CONTROL_TIMEOUT_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 20.0


class Cell:
    """Stand-ins and entries, used as an async context manager.

    Parameters
    ----------
    plan : CellPlan
        What to start.
    """

    def __init__(self, plan: CellPlan) -> None:
        self._plan = plan
        self._temporary = tempfile.TemporaryDirectory(prefix="ragworttiller-")
        self._directory = Path(self._temporary.name)
        self._children: list[Child] = []
        self._ports = free_ports()
        self._platform: ChannelSet
        self._workers: ChannelSet
        self._admins: dict[str, ChannelSet] = {}
        self._upstream_of: dict[str, str] = {}
        self._runner_rows: dict[str, dict[str, Any]] = {}
        self._leaves: list[Leave] = []
        self._stops: list[PlannedStop] = []
        self.entries: dict[str, Entry] = {}
        self.log_url = ""

    @property
    def directory(self) -> Path:
        """Directory with settings and logs of the processes."""
        return self._directory

    @property
    def workers(self) -> list[str]:
        """Names of all workers."""
        return [worker.worker for worker in self._plan.workers]

    @property
    def runners(self) -> list[str]:
        """Names of all runners."""
        return list(self._upstream_of)

    async def __aenter__(self) -> Cell:
        atexit.register(self.close)
        try:
            await self._start()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and remove the files."""
        atexit.unregister(self.close)
        for child in self._children:
            child.reap()
        self._children.clear()
        self._temporary.cleanup()

    async def start_entry(self, name: str) -> None:
        """Start an entry, or start it again after its end."""
        entry = self.entries[name]
        config = self._directory / f"{name}.ini"
        config.write_text(self._settings(entry))
        entry.starts += 1
        entry.child = self._spawn(name, "ragworttiller.daemon", "--config", str(config))
        await self._list_entry(entry, "live")

    async def wait_ready(self, *names: str, timeout: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until entries are ready, all of them if none is named."""
        end = time.monotonic() + timeout
        for name in names or tuple(self.entries):
            entry = self.entries[name]
            channels = ChannelSet(entry.http_address, CONTROL_TIMEOUT_SECONDS)
            while not await _is_ready(channels):
                if not entry.running or time.monotonic() > end:
                    raise StartFailed(f"{name}: {entry.process.errors()}")
                await anyio.sleep(POLL_SECONDS)
            await channels.close()

    async def kill(self, name: str) -> None:
        """End an entry at once; the platform's list drops it after its lag."""
        self.entries[name].process.reap()
        await self._control(self._platform, "DELETE", f"/directory/entries/{name}")

    def pause(self, name: str) -> None:
        """Suspend an entry's process."""
        self.entries[name].process.send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a suspended entry go on."""
        self.entries[name].process.send(signal.SIGCONT)

    async def stop(self, name: str) -> PlannedStop:
        """Stop an entry gracefully and wait for its end."""
        entry = self.entries[name]
        began = time.monotonic()
        entry.process.send(signal.SIGTERM)
        await self._list_entry(entry, "leaving")
        status = await entry.process.ended(STOP_TIMEOUT_SECONDS)
        if status is None:
            entry.process.reap()
        stop = PlannedStop(name, began, time.monotonic(), status)
        self._stops.append(stop)
        await self._control(self._platform, "DELETE", f"/directory/entries/{name}")
        return stop

    async def log_faults(self, **faults: Any) -> None:
        """Set the faults of the log; none clears them."""
        await self._control(self._platform, "POST", "/faults", faults)

    async def worker_faults(self, worker: str, **faults: Any) -> None:
        """Set the faults of a worker; none clears them."""
        await self._control(self._workers, "POST", f"/workers/{worker}/faults", faults)

    async def runner_faults(self, runner: str, **faults: Any) -> None:
        """Set the faults of a runner; none clears them."""
        admin = self._admins[self._upstream_of[runner]]
        await self._control(admin, "POST", f"/runners/{runner}/faults", faults)

    async def drain_runner(self, runner: str) -> None:
        """List a runner as leaving."""
        row = {**self._runner_rows[runner], "state": "leaving"}
        self._leaves.append(Leave(runner, time.monotonic()))
        await self._control(self._platform, "PUT", f"/directory/runners/{runner}", row)

    async def log_stats(self) -> dict[str, dict[str, int]]:
        """Return the log's counters by instance."""
        answer = await self._control(self._platform, "GET", "/stats")
        return dict(msgspec.json.decode(answer.body))

    async def evidence(self) -> Evidence:
        """Return the journals of runners and workers, and the stops and drains made here."""
        served: list[Served] = []
        for admin in self._admins.values():
            answer = await self._control(admin, "GET", "/journal")
            served += msgspec.json.decode(answer.body, type=dict[str, list[Served]])["served"]
        answer = await self._control(self._workers, "GET", "/journal")
        journal = msgspec.json.decode(answer.body)
        return Evidence(
            served=served,
            events=msgspec.convert(journal["events"], list[TaskEvent]),
            violations=msgspec.convert(journal["violations"], list[Violation]),
            capacities={worker.worker: worker.capacity for worker in self._plan.workers},
            leaves=self._leaves,
            stops=self._stops,
        )

    async def _start(self) -> None:
        plan = self._plan
        keep = ["--keep", str(plan.keep)] if plan.keep else []
        log = self._spawn("log", "standins.log", "--lag", str(plan.directory_lag), *keep)
        file = self._directory / "workers.json"
        rows = [{"worker": item.worker, "capacity": item.capacity} for item in plan.workers]
        file.write_bytes(msgspec.json.encode(rows))
        workers = self._spawn("workers", "standins.worker", "--workers", str(file))
        upstreams = {
            upstream: self._spawn(
                upstream,
                "standins.runner",
                "--runners",
                ",".join(f"{upstream}-{number}" for number in range(count)),
                "--seed",
                str(plan.seed),
            )
            for upstream, count in plan.runners.items()
        }
        port = (await log.announced())["log"]
        self.log_url = f"http://{HOST}:{port}"
        self._platform = ChannelSet(self.log_url, CONTROL_TIMEOUT_SECONDS)
        await self._list_workers((await workers.announced())["workers"])
        for upstream, child in upstreams.items():
            await self._list_runners(upstream, await child.announced())
        for number in range(plan.entries):
            name = f"entry-{number}"
            domain = entry_domain(number)
            self.entries[name] = Entry(name, domain, next(self._ports), next(self._ports))
            await self.start_entry(name)
        await self.wait_ready()

    def _spawn(self, name: str, *arguments: str) -> Child:
        child = Child(name, list(arguments), self._directory)
        self._children.append(child)
        return child

    def _settings(self, entry: Entry) -> str:
        sections = {
            "instance": {
                "name": entry.name,
                "failure_domain": entry.failure_domain,
                "peer_address": entry.peer_address,
                "http_address": entry.http_address,
            },
            "platform": {"log_url": self.log_url, "directory_url": self.log_url},
            "operator": {"token": TOKEN},
        }
        for section, options in self._plan.options.items():
            sections.setdefault(section, {}).update(options)
        return ini(sections)

    async def _list_entry(self, entry: Entry, state: str) -> None:
        target = f"/directory/entries/{entry.name}"
        await self._control(self._platform, "PUT", target, entry.row(state))

    async def _list_workers(self, port: int) -> None:
        self._workers = ChannelSet(f"{HOST}:{port}", CONTROL_TIMEOUT_SECONDS)
        for worker in self._plan.workers:
            target = f"/directory/workers/{worker.worker}?lag=0"
            await self._control(self._platform, "PUT", target, worker_row(worker, port))

    async def _list_runners(self, upstream: str, ports: dict[str, Any]) -> None:
        self._admins[upstream] = ChannelSet(f"{HOST}:{ports['admin']}", CONTROL_TIMEOUT_SECONDS)
        for number, (runner, port) in enumerate(ports["runners"].items()):
            self._upstream_of[runner] = upstream
            row = runner_row(upstream, runner, port, entry_domain(number))
            self._runner_rows[runner] = row
            target = f"/directory/runners/{runner}?lag=0"
            await self._control(self._platform, "PUT", target, row)

    async def _control(
        self, channels: ChannelSet, method: str, target: str, value: Any = None
    ) -> Answer:
        body = b"" if value is None else msgspec.json.encode(value)
        answer = await channels.request(method, target, body)
        if answer.status != 200:
            raise StartFailed(f"{method} {target}: {answer.status}")
        return answer


async def _is_ready(channels: ChannelSet) -> bool:
    with contextlib.suppress(NotSent, ExchangeBroken):
        return (await channels.request("GET", "/ready")).status == 200
    return False
