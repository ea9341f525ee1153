"""Deployment on loopback: stand-ins for the platform, and entries as separate processes."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import anyio.abc
import httpcore

from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.platform.store import CONFIG_KEY, CONFIG_TOPIC, RUNNERS_TOPIC
from ragworttiller.timers import SystemTimers
from standins.addresses import free_address
from standins.platform.advisor import AdvisorService
from standins.platform.http import serve
from standins.platform.runner import DEFAULT_WORK_SECONDS, RunMonitor, RunnerService
from standins.platform.service import Service
from standins.platform.store import StoreService

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "h.example"
PREFIX = "/q/"
READY_TIMEOUT_SECONDS = 15.0
ANSWER_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.05
REPORTED_LINES = 40


class Reply(NamedTuple):
    """Answer to a caller; ``retry_after`` is in seconds, None without one."""

    status: int
    body: bytes
    retry_after: float | None = None


def render(template: str, fields: dict[str, Any]) -> str:
    """Render a template as the platform does; supports only the syntax used by our templates."""

    def value(path: str) -> str:
        scope: Any = fields
        for name in path.split("."):
            scope = scope[int(name)] if isinstance(scope, list) else scope.get(name, "")
        if isinstance(scope, bool):
            return "true" if scope else ""
        return ",".join(scope) if isinstance(scope, list) else str(scope)

    def section(match: re.Match[str]) -> str:
        field = value(match[1])
        return match[2].replace("{{.}}", field) if field else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1]), text)


def settings_fields(name: str, store: str, advisor: str = "") -> dict[str, Any]:
    """Return the fields from which the platform renders an entry's settings."""
    peer = free_address()
    return {
        "node_name": name,
        "zone": "a",
        "ip": peer.split(":")[0],
        "port_range": [int(peer.split(":")[1])],
        "listen": {"front": free_address(), "ready": free_address()},
        "platform": {"address": store},
        "placement_advisor": advisor,
        "limits": {"cores": 2, "cpu_share": 0.5},
        "bounds": {
            "max_hold_ms": 6000,
            "stop_grace_ms": 900,
            "restore_ms": 250,
            "interference_ms": 4500,
            "grace_s": 6,
            "gang_timeout_ms": 3000,
            "status_s": 120,
        },
    }


class Deployment:
    """Store, advisor and runners over HTTP, with the entries started against them.

    Parameters
    ----------
    folder : Path
        Folder for settings files and logs.
    work : Callable
        Returns the run time of a task in seconds, given its name.

    Attributes
    ----------
    limits : dict
        Limits on callers in the configurations that are written from now on.
    """

    def __init__(
        self, folder: Path, work: Callable[[str], float] = lambda task: DEFAULT_WORK_SECONDS
    ) -> None:
        self.folder = folder
        self.timers = SystemTimers()
        self.store = StoreService(self.timers)
        self.advisor = AdvisorService(self.timers)
        self.monitor = RunMonitor()
        self.addresses: dict[str, str] = {}
        self.entries: dict[str, subprocess.Popen[bytes]] = {}
        self.fields: dict[str, dict[str, Any]] = {}
        self.limits: dict[str, int] = {}
        self._work_seconds = work

    async def run(self, tasks: anyio.abc.TaskGroup, runners: int = 3) -> None:
        """Start the stand-ins in a task group and write the first configuration."""
        self.addresses["store"] = await self._serve(tasks, self.store)
        self.addresses["advisor"] = await self._serve(tasks, self.advisor)
        for number in range(1, runners + 1):
            name = f"w{number}"
            service = RunnerService(name, self.timers, self.monitor, work=self._work_seconds)
            address = await self._serve(tasks, service)
            self.store.put(RUNNERS_TOPIC, service.name, service.record("desk", address))
        self.configure(1)

    def configure(self, version: int, **fields: Any) -> None:
        """Write a configuration with one queue."""
        advice = {"decision_ms": 20, "per_worker_ms": 0, "validity_ms": 2000}
        route = {"name": "q", "host": HOST, "path_prefix": PREFIX, "service": "desk"}
        routes = [{**route, "attempts": 2, "placement_advisor": advice, **fields}]
        configuration = {"version": version, "routes": routes, "limits": self.limits}
        value = json.dumps(configuration).encode()
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, value)

    async def _serve(self, tasks: anyio.abc.TaskGroup, service: Service) -> str:
        server = serve(service)
        tasks.start_soon(server.run)
        return f"127.0.0.1:{server.port}"

    def start(self, name: str, limits: dict[str, Any] | None = None) -> None:
        """Start an entry; a restarted one keeps its addresses.

        Parameters
        ----------
        name : str
            Name of the entry.
        limits : dict, optional
            Limits of its machine that differ from those of `settings_fields`.
        """
        fields = settings_fields(name, self.addresses["store"], self.addresses["advisor"])
        fields["limits"].update(limits or {})
        self.fields.setdefault(name, fields)
        path = self.folder / f"{name}.ini"
        template = (ROOT / "deploy" / "settings.ini").read_text()
        path.write_text(render(template, self.fields[name]))
        command = [sys.executable, "-m", "ragworttiller.entry"]
        environment = {**os.environ, "RAGWORTTILLER_CONFIG": str(path)}
        with open(self.folder / f"{name}.log", "a") as log:
            self.entries[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an entry."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    async def call(self, name: str, method: str, path: str, body: bytes = b"") -> Reply:
        """Send a caller's request to an entry."""
        return await exchange(self.fields[name]["listen"]["front"], method, path, body)

    async def ready(self, name: str) -> int:
        """Return the HTTP status of an entry's readiness check, 0 without an answer."""
        channels = ChannelSet(self.fields[name]["listen"]["ready"], 1.0)
        try:
            return (await channels.request("GET", "/-/ready")).status
        except (NotSent, ExchangeBroken):
            return 0
        finally:
            await channels.close()

    async def metrics(self, name: str) -> str:
        """Return an entry's metrics page."""
        channels = ChannelSet(self.fields[name]["listen"]["ready"], 1.0)
        try:
            return (await channels.request("GET", "/metrics")).body.decode()
        finally:
            await channels.close()

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float = READY_TIMEOUT_SECONDS
    ) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            It does not hold within ``seconds``.
        """
        with anyio.fail_after(seconds):
            while not await condition():
                await anyio.sleep(POLL_SECONDS)

    async def wait_ready(self, *names: str) -> None:
        """Wait until entries are ready."""
        for name in names:
            await self.wait_until(lambda name=name: self._is_ready(name))  # type: ignore[misc]

    async def _is_ready(self, name: str) -> bool:
        return await self.ready(name) == 200

    async def wait_state(self, name: str, job: str, state: str) -> None:
        """Wait until an entry reports a job in a state."""

        async def reached() -> bool:
            answer = await self.call(name, "GET", PREFIX + job)
            return answer.status == 200 and json.loads(answer.body)["state"] == state

        await self.wait_until(reached)

    async def close(self) -> None:
        """Kill the entries and give the stand-ins time to answer requests in progress."""
        await anyio.to_thread.run_sync(self.kill_entries)
        self.store.close()
        await anyio.sleep(POLL_SECONDS)

    def report(self) -> str:
        """Return the exit status and the last log lines of each entry, for a failed run."""
        parts = []
        for name, process in self.entries.items():
            lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
            status = process.poll()
            state = "running" if status is None else f"ended with status {status}"
            parts.append("\n".join([f"entry {name}: {state}", *lines[-REPORTED_LINES:]]))
        return "\n".join(parts)

    def kill_entries(self) -> None:
        """Kill the entries and wait for their exit."""
        for process in self.entries.values():
            if process.poll() is None:
                process.kill()
            process.wait()


async def exchange(address: str, method: str, path: str, body: bytes) -> Reply:
    """Send a request whose ``Host`` is that of the queue, which differs from the address.

    Raises
    ------
    httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        No complete answer was received.
    """
    headers = [("Host", HOST), ("Connection", "close"), ("Content-Length", str(len(body)))]
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), ANSWER_TIMEOUT_SECONDS)
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            content=body,
            extensions={"timeout": timeout},
        )
    retry_after = {name.lower(): value for name, value in response.headers}.get(b"retry-after")
    return Reply(response.status, response.content, float(retry_after) if retry_after else None)
