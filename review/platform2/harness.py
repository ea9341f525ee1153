"""Entries as processes, and the stand-ins that they meet, on loopback and the real clock."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from platform2.advisor import Advisor
from platform2.http import Reply, call
from platform2.runner import Runner
from platform2.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
SERVICE = "correcteur"
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice"]
# Of the site files, for a queue with a policy.
DECISION_MS, PER_WORKER_MS, VALIDITY_MS = 18.0, 0.26, 2500.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _render(template: str, fields: dict) -> str:
    """Fill the template of the settings in, as far as DEPLOY.md is used by it."""

    def value(path: str):
        scope = fields
        for name in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(name)] if int(name) < len(scope) else ""
            else:
                scope = scope.get(name, "") if isinstance(scope, dict) else ""
        if isinstance(scope, bool):
            return "true" if scope else ""
        return ",".join(scope) if isinstance(scope, list) else str(scope)

    def section(match: re.Match) -> str:
        found = value(match[1])
        return match[2].replace("{{.}}", found) if found else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1]), text)


class Case:
    """A small deployment, the record of what is seen, and the verdict."""

    def __init__(self, folder: Path, entries: int = 3) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self._temporary = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.store = Store()
        self.advisor = Advisor(DECISION_MS / 1000, PER_WORKER_MS / 1000, VALIDITY_MS / 1000)
        self.runners: list[Runner] = []
        self.entries = [f"front-{n}" for n in range(1, entries + 1)]
        self._processes: dict[str, subprocess.Popen] = {}
        self._fields: dict[str, dict] = {}

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def log(self, what: str, **fields) -> None:
        extra = " ".join(f"{key}={value}" for key, value in fields.items())
        self._record.write(f"{self.now:9.3f} {what} {extra}\n")
        self._record.flush()

    # Set-up

    async def begin(self, routes: list[dict]) -> None:
        """Start the store, write the configuration, and start the entries."""
        await self.store.server.start()
        await self.advisor.server.start()
        services = [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1"}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        value = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        for name in self.entries:
            self.start_entry(name)

    async def add_runners(self, count: int, make: Callable[[int], Runner]) -> None:
        for number in range(1, count + 1):
            runner = make(number)
            self.runners.append(runner)
            await runner.start()

    def start_entry(self, name: str) -> None:
        """Start an entry with the command of the deploy file; a restarted one keeps its ports."""
        if name not in self._fields:
            self._fields[name] = {
                "node_name": name,
                "zone": "z1",
                "ip": "127.0.0.1",
                "port_range": [str(_free_port())],
                "listen": {
                    "front": f"127.0.0.1:{_free_port()}",
                    "ready": f"127.0.0.1:{_free_port()}",
                },
                "contracts": CONTRACTS,
                "placement_advisor": self.advisor.server.address,
                "platform": {"address": self.store.server.address},
                "limits": {"cores": 2, "cpu_share": 0.537},
                "bounds": {
                    "max_hold_ms": 6000,
                    "grace_s": 6,
                    "status_s": 120,
                    "stop_grace_ms": 900,
                    "restore_ms": 250,
                    "interference_ms": 4000,
                    "config_apply_ms": 2000,
                },
            }
        path = self._temporary / f"{name}.ini"
        template = (ROOT / "deploy" / "settings.ini").read_text()
        path.write_text(_render(template, self._fields[name]))
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        keep["RAGWORTTILLER_CONFIG"] = str(path)
        keep["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._temporary / f"{name}.log").open("a") as out:
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", "ragworttiller.entry"], cwd=ROOT, env=keep, stdout=out, stderr=out
            )
        self.log("entry started", entry=name)

    def kill_entry(self, name: str) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.kill()
        process.wait()
        self.log("entry killed", entry=name)

    def stop_entry(self, name: str) -> None:
        """Send SIGTERM, as the platform does to stop a process."""
        self._processes[name].terminate()
        self.log("entry gets SIGTERM", entry=name)

    async def wait_exit(self, name: str, seconds: float) -> bool:
        """Wait until an entry has ended, and return whether it does in time."""

        async def ended() -> bool:
            return self._processes[name].poll() is not None

        done = await self.wait(ended, seconds)
        self.log("entry has ended", entry=name, code=self._processes[name].poll())
        return done

    def log_lines(self, message: str) -> list[dict]:
        """Return the log lines of all entries with a message, for the record only."""
        rows = []
        for name in self.entries:
            path = self._temporary / f"{name}.log"
            for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
                if line.startswith("{") and f'"message": "{message}"' in line:
                    rows.append(json.loads(line))
        return sorted(rows, key=lambda row: row["time"])

    def count_logs(self, text: str) -> int:
        """Return the number of log lines of all entries that contain a text."""
        return sum(
            (self._temporary / f"{name}.log").read_text(errors="replace").count(text)
            for name in self.entries
            if (self._temporary / f"{name}.log").exists()
        )

    # Callers

    async def ask(
        self, entry: str, method: str, path: str, body: dict | None = None
    ) -> Reply | None:
        """Send a caller's request to an entry, and record it with its answer."""
        data = json.dumps(body).encode() if body is not None else b""
        address = self._fields[entry]["listen"]["front"]
        reply = await call(address, method, path, data, HOST)
        shown = "no answer" if reply is None else f"{reply.status} {reply.body[:80].decode()}"
        self.log(f"{method} {path}", entry=entry, answer=shown)
        return reply

    async def state(self, entry: str, path: str) -> str:
        reply = await self.ask(entry, "GET", path)
        if reply is None or reply.status != 200:
            return "" if reply is None else str(reply.status)
        return reply.json().get("state", "")

    async def submit(self, path: str, body: dict) -> None:
        """Submit a job, with retries like a client's, until it is accepted."""
        for attempt in range(8):
            reply = await self.ask(self.entries[attempt % len(self.entries)], "POST", path, body)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")

    async def wait(self, condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
        """Wait until a condition holds, and return whether it does in time."""
        end = self.now + seconds
        while self.now < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def wait_ready(self) -> None:
        async def ready() -> bool:
            replies = [
                await call(self._fields[name]["listen"]["ready"], "GET", "/-/ready", timeout=1.0)
                for name in self.entries
            ]
            return all(reply is not None and reply.status == 200 for reply in replies)

        if not await self.wait(ready, 30):
            raise CannotRun("the entries do not become ready")
        self.log("all entries are ready")

    def running(self, job: str) -> list[tuple[str, str, int]]:
        """Return the runs of a job that are at work, as the runners know them."""
        return [
            (runner.id, task, run.run)
            for runner in self.runners
            if runner.up
            for task, run in runner.running.items()
            if task.startswith(job)
        ]

    def outcomes(self) -> set[str]:
        """Return how runs have ended on the runners."""
        return set().union(*(runner.outcomes for runner in self.runners))

    # End

    def close(self) -> None:
        for name in self._processes:
            self.kill_entry(name)
        for runner in self.runners:
            runner.up = False
            runner.server.abort()
        self.store.server.abort()
        self.advisor.server.abort()
        shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()


def run_case(
    folder: Path,
    play: Callable[[Case], Awaitable[int]],
    seconds: float = 110.0,
    entries: int = 3,
) -> int:
    """Play a case within a time limit, end all that it started, and return its verdict."""

    async def bounded() -> int:
        case = Case(folder, entries)
        try:
            verdict = await asyncio.wait_for(play(case), seconds)
        except (TimeoutError, CannotRun, OSError) as exc:
            case.log("the case could not run", why=repr(exc))
            verdict = NOT_RUN
        case.log("verdict", code=verdict)
        case.close()
        return verdict

    return asyncio.run(bounded())
