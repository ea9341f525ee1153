"""Cell of real processes on loopback: stand-ins for the platform, and entries.

The kernel kills every process started here, however this process ends.
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

from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.services.runner import Answer
from standins.agent import TaskEvent, Violation
from standins.checker import PlannedStop, RunHistory, RunnerDrain
from standins.runner import ServedRequest
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
        Processes to start, with their settings.
    """

    def __init__(self, plan: CellPlan) -> None:
        self._plan = plan
        self._temporary = tempfile.TemporaryDirectory(prefix="ragworttiller-")
        self._directory = Path(self._temporary.name)
        self._children: list[Child] = []
        self._ports = free_ports()
        self._platform_channels: ChannelSet
        self._worker_channels: ChannelSet
        self._runner_admins: dict[str, ChannelSet] = {}
        self._upstream_of: dict[str, str] = {}
        self._runner_rows: dict[str, dict[str, Any]] = {}
        self._drains: list[RunnerDrain] = []
        self._stops: list[PlannedStop] = []
        self.entries: dict[str, Entry] = {}
        self.log_url = ""

    @property
    def directory(self) -> Path:
        """Directory with the settings and logs of the processes."""
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
        """Start an entry, or restart it after its exit."""
        entry = self.entries[name]
        config = self._directory / f"{name}.ini"
        config.write_text(self._settings(entry))
        entry.starts += 1
        entry.child = self._spawn(name, "ragworttiller.daemon", "--config", str(config))
        await self._register_entry(entry, "live")

    async def wait_ready(self, *names: str, timeout: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until the named entries are ready, or all entries if none is named."""
        deadline = time.monotonic() + timeout
        for name in names or tuple(self.entries):
            entry = self.entries[name]
            channels = ChannelSet(entry.http_address, CONTROL_TIMEOUT_SECONDS)
            while not await _is_ready(channels):
                if not entry.running or time.monotonic() > deadline:
                    raise StartFailed(f"{name}: {entry.process.errors()}")
                await anyio.sleep(POLL_SECONDS)
            await channels.close()

    async def kill(self, name: str) -> None:
        """Kill an entry; the platform's directory removes it after its lag."""
        self.entries[name].process.reap()
        await self._control(self._platform_channels, "DELETE", f"/directory/entries/{name}")

    def pause(self, name: str) -> None:
        """Suspend an entry's process."""
        self.entries[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended entry."""
        self.entries[name].process.send_signal(signal.SIGCONT)

    async def stop(self, name: str) -> PlannedStop:
        """Stop an entry gracefully and wait for its exit."""
        entry = self.entries[name]
        started = time.monotonic()
        entry.process.send_signal(signal.SIGTERM)
        await self._register_entry(entry, "leaving")
        status = await entry.process.wait_exit(STOP_TIMEOUT_SECONDS)
        if status is None:
            entry.process.reap()
        stop = PlannedStop(name, started, time.monotonic(), status)
        self._stops.append(stop)
        await self._control(self._platform_channels, "DELETE", f"/directory/entries/{name}")
        return stop

    async def log_faults(self, **faults: Any) -> None:
        """Replace the faults of the log; without arguments, clear them."""
        await self._control(self._platform_channels, "POST", "/faults", faults)

    async def worker_faults(self, worker: str, **faults: Any) -> None:
        """Replace the faults of a worker; without arguments, clear them."""
        await self._control(self._worker_channels, "POST", f"/workers/{worker}/faults", faults)

    async def runner_faults(self, runner: str, **faults: Any) -> None:
        """Replace the faults of a runner; without arguments, clear them."""
        admin = self._runner_admins[self._upstream_of[runner]]
        await self._control(admin, "POST", f"/runners/{runner}/faults", faults)

    async def drain_runner(self, runner: str) -> None:
        """Set a runner's state in the platform's directory to leaving."""
        row = {**self._runner_rows[runner], "state": "leaving"}
        self._drains.append(RunnerDrain(runner, time.monotonic()))
        await self._control(self._platform_channels, "PUT", f"/directory/runners/{runner}", row)

    async def history(self) -> RunHistory:
        """Return the journals of runners and workers, and the stops and drains of this cell."""
        served: list[ServedRequest] = []
        for admin in self._runner_admins.values():
            answer = await self._control(admin, "GET", "/journal")
            served += msgspec.json.decode(answer.body, type=dict[str, list[ServedRequest]])[
                "served"
            ]
        answer = await self._control(self._worker_channels, "GET", "/journal")
        journal = msgspec.json.decode(answer.body)
        return RunHistory(
            served=served,
            events=msgspec.convert(journal["events"], list[TaskEvent]),
            violations=msgspec.convert(journal["violations"], list[Violation]),
            capacities={worker.worker: worker.capacity for worker in self._plan.workers},
            drains=self._drains,
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
        port = (await log.wait_announcement())["log"]
        self.log_url = f"http://{HOST}:{port}"
        self._platform_channels = ChannelSet(self.log_url, CONTROL_TIMEOUT_SECONDS)
        await self._register_workers((await workers.wait_announcement())["workers"])
        for upstream, child in upstreams.items():
            await self._register_runners(upstream, await child.wait_announcement())
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

    async def _register_entry(self, entry: Entry, state: str) -> None:
        target = f"/directory/entries/{entry.name}"
        await self._control(self._platform_channels, "PUT", target, entry.row(state))

    async def _register_workers(self, port: int) -> None:
        self._worker_channels = ChannelSet(f"{HOST}:{port}", CONTROL_TIMEOUT_SECONDS)
        for worker in self._plan.workers:
            target = f"/directory/workers/{worker.worker}?lag=0"
            await self._control(self._platform_channels, "PUT", target, worker_row(worker, port))

    async def _register_runners(self, upstream: str, ports: dict[str, Any]) -> None:
        self._runner_admins[upstream] = ChannelSet(
            f"{HOST}:{ports['admin']}", CONTROL_TIMEOUT_SECONDS
        )
        for number, (runner, port) in enumerate(ports["runners"].items()):
            self._upstream_of[runner] = upstream
            row = runner_row(upstream, runner, port, entry_domain(number))
            self._runner_rows[runner] = row
            target = f"/directory/runners/{runner}?lag=0"
            await self._control(self._platform_channels, "PUT", target, row)

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
