"""Small deployment on loopback for the review's scripts.

The entries are the project's own, started with the command of the deploy file. The store and the
runners are the project's stand-ins; this module adds machines that crash and return under a new
identifier, a client, and a record of what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import ctypes
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Callable

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402, F401
from ragworttiller.resources import Resources  # noqa: E402
from ragworttiller.timers import SystemTimers  # noqa: E402
from standins.addresses import free_address  # noqa: E402
from standins.platform.advisor import AdvisorService  # noqa: E402
from standins.platform.deployment import render  # noqa: E402
from standins.platform.runner import RunMonitor, RunnerService  # noqa: E402
from standins.platform.service import Service  # noqa: E402
from standins.platform.store import StoreService  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX, SERVICE = "desk.example", "/q/", "booking-desk"
# Figures of the site ongkinh-ops.
BOUNDS = {
    "max_hold_ms": 10000,
    "stop_grace_ms": 200,
    "restore_ms": 250,
    "interference_ms": 4000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "gang_timeout_ms": 3000,
    "status_s": 120,
}
CAPACITY = Resources(64000, 131072, 0)
STARTUP_SECONDS = 0.3
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Let the kernel end this process if the script ends before it."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)



class Record:
    """Lines of record.txt, with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w")

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """HTTP/1.1 server of one service on one address, which can go down and come back there."""

    def __init__(self, service: Service, port: int = 0) -> None:
        self.service, self.port = service, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def up(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def down(self) -> None:
        """Close the listening socket and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                rows = [line.partition(":") for line in head[1:] if line]
                headers = {name.lower(): value.strip() for name, _, value in rows}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.service.answer(method, target, body, headers)
                lines = [f"HTTP/1.1 {answer.status} -"]
                lines += [f"{name}: {value}" for name, value in answer.headers]
                lines += [f"content-length: {len(answer.body)}", "", ""]
                writer.write("\r\n".join(lines).encode("latin-1") + answer.body)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Runner(RunnerService):
    """Boot of a runner that records its starts and ends."""

    def __init__(self, name: str, cell: Cell, labels: list[str], **options: Any) -> None:
        super().__init__(name, cell.timers, cell.monitor, CAPACITY, **options)
        self._cell, self._labels = cell, labels

    def record(self, upstream: str, address: str, *args: Any, **options: Any) -> bytes:
        row = json.loads(super().record(upstream, address, *args, **options))
        return json.dumps({**row, "labels": self._labels}).encode()

    def _start(self, command: dict[str, Any]) -> Any:
        answer = super()._start(command)
        result = "" if answer.status == 200 else " " + answer.body.decode()
        text = f"start of {command['task']} run {command['run']} at {self.name}"
        self._cell.record.add(f"{text}: {answer.status}{result}")
        return answer

    async def _hold(self, command: dict[str, Any]) -> Any:
        """Answer a hold; a lasting task is at work, at 100 percent, soon after its start."""
        answer = await super()._hold(command)
        content = json.loads(answer.body)
        for row in content["running"]:
            run = self._running.get(row[0])
            if run is not None and run.ends_at == float("inf"):
                row[3] = 100 if self._timers.now() - run.started_at >= STARTUP_SECONDS else 50
        return answer._replace(body=json.dumps(content).encode())

    def at_work(self) -> list[str]:
        """Return the lasting tasks that are at work now."""
        now = self._timers.now()
        return [t for t, r in self._running.items() if now - r.started_at >= STARTUP_SECONDS]

    def _stop(self, command: dict[str, Any]) -> Any:
        answer = super()._stop(command)
        self._cell.record.add(f"stop of {command['task']} run {command['run']} at {self.name}")
        return answer

    def _end(self, task: str, end_state: str) -> None:
        run = self._running[task].run
        super()._end(task, end_state)
        self._cell.record.add(f"end of {task} run {run} at {self.name}: {end_state}")
        self._cell.ends.append((task, run, end_state))


class Machine:
    """Machine on which one boot of a runner follows the other."""

    def __init__(self, cell: Cell, number: int, labels: list[str], options: dict[str, Any]) -> None:
        self._cell, self._number, self._labels, self._options = cell, number, labels, options
        self._boots = 0
        self.runner: Runner | None = None
        self._server: HttpServer | None = None

    async def up(self) -> None:
        self._boots += 1
        name = f"w{self._number}-{self._boots}"
        self.runner = Runner(name, self._cell, self._labels, **self._options)
        if self._server is None:
            self._server = HttpServer(self.runner)
        self._server.service = self.runner
        await self._server.up()
        self._cell.record.add(f"runner {name} is up")
        self._put(self.runner.record(SERVICE, f"127.0.0.1:{self._server.port}"))

    def crash(self) -> None:
        """End the runner at once. Its entry stays for three pings of 1.5 s, as the pages say."""
        assert self.runner is not None and self._server is not None
        tasks = self.runner.running
        self._server.down()
        self.runner.crash()
        self._cell.record.add(f"runner {self.runner.name} crashes under {tasks}")
        runner, self.runner = self.runner, None
        self._cell.monitor.runners.remove(runner)
        asyncio.get_running_loop().call_later(4.5, self._drop, runner.name)

    def _drop(self, name: str) -> None:
        self._cell.store.put("keyed.servers", name, b"")

    def _put(self, value: bytes) -> None:
        assert self.runner is not None
        self._cell.store.put("keyed.servers", self.runner.name, value)


class Cell:
    """Store, runners and entries of one script, and its client."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.timers = SystemTimers()
        self.store = StoreService(self.timers)
        self.monitor = RunMonitor()
        self.ends: list[tuple[str, int, str]] = []
        self.machines: list[Machine] = []
        self.entries: dict[str, subprocess.Popen[bytes]] = {}
        self._fields: dict[str, dict[str, Any]] = {}
        self._store_server = HttpServer(self.store)
        self._advisor_server = HttpServer(AdvisorService(self.timers))
        self._temporary = tempfile.TemporaryDirectory(prefix="ragworttiller-review-")
        self.folder = Path(self._temporary.name)

    async def begin(
        self,
        runners: int,
        entries: int = 3,
        labels: Callable[[int], list[str]] = lambda number: ["a", "r1"],
        route: dict[str, Any] | None = None,
        **options: Any,
    ) -> None:
        """Start everything, and wait until the entries are ready."""
        await self._store_server.up()
        await self._advisor_server.up()
        rows = [{"name": "q", "host": HOST, "path_prefix": PREFIX, "service": SERVICE}]
        rows[0] |= {"attempts": 4, "slack_factor": 2.0, "target_latency_ms": 1000, **(route or {})}
        services = [{"name": SERVICE, "enforce_limits": False}]
        value = {"version": 1, "routes": rows, "services": services, "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        for number in range(1, runners + 1):
            machine = Machine(self, number, labels(number), options)
            self.machines.append(machine)
            await machine.up()
        for number in range(1, entries + 1):
            self.start_entry(f"front-{number}")
        deadline = self.record.now + 20
        for name in self.entries:
            while await self.call(name, "GET", "/-/ready", port="ready") != (200, b""):
                if self.record.now > deadline:
                    raise NotStarted(name)
                await asyncio.sleep(0.1)
        self.record.add("all entries are ready")

    def start_entry(self, name: str) -> None:
        """Start an entry with the command of the deploy file."""
        if name not in self._fields:
            peer = free_address()
            self._fields[name] = {
                "node_name": name,
                "zone": "thu-duc-lab",
                "ip": peer.split(":")[0],
                "port_range": [int(peer.split(":")[1])],
                "listen": {"front": free_address(), "ready": free_address()},
                "platform": {"address": f"127.0.0.1:{self._store_server.port}"},
                "placement_advisor": f"127.0.0.1:{self._advisor_server.port}",
                "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
                "limits": {"cores": 2, "cpu_share": 0.537},
                "bounds": BOUNDS,
            }
        path = self.folder / f"{name}.ini"
        path.write_text(render((ROOT / "deploy/settings.ini").read_text(), self._fields[name]))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {**kept, "RAGWORTTILLER_CONFIG": str(path)}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.entries[name] = subprocess.Popen(
                ["python3", "-m", "ragworttiller.entry"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    async def call(
        self, entry: str, method: str, path: str, body: Any = None, port: str = "front"
    ) -> tuple[int, bytes]:
        """Return status and body of an answer; status 0 for none."""
        address = self._fields[entry]["listen"][port]
        return await asyncio.to_thread(_exchange, address, method, path, body)

    async def submit(self, job: str, steps: list[dict[str, Any]], **fields: Any) -> bool:
        """Hand a job in as a client does: up to five attempts at other entries."""
        body = {"spec": "s", "steps": steps, **fields}
        for name in (list(self.entries) * 2)[:5]:
            status, _ = await self.call(name, "POST", PREFIX + job, body)
            self.record.add(f"POST of {job} to {name}: {status} {json.dumps(body)}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job: str) -> str:
        """Return the state that an entry shows for a job, or the status of another answer."""
        for name in self.entries:
            status, body = await self.call(name, "GET", PREFIX + job)
            state = json.loads(body)["state"] if status == 200 else str(status)
            if status:
                self.record.add(f"GET of {job} at {name}: {state}")
                return state
        return "0"

    def running(self, job: str) -> list[str]:
        """Return the tasks of a job that run on some runner now."""
        rows = [m.runner.running for m in self.machines if m.runner is not None]
        return sorted(task for row in rows for task in row if task.startswith(job))

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines of all entries that have a text, oldest first in each log."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            found += [f"{path.stem} {line}" for line in path.read_text().splitlines() if text in line]
        return found

    def close(self) -> None:
        """End all processes that the script has started."""
        for process in self.entries.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()


class NotStarted(Exception):
    """An entry has not become ready."""


def _exchange(address: str, method: str, path: str, body: Any) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(address, timeout=3.0)
    headers = {"Host": HOST, "Content-Type": "application/json"}
    headers["Ragworttiller-Deadline-Ms"] = "3000"
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def main(script: Callable[[Cell], Any], folder: Path) -> None:
    """Run a script; exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""

    async def run() -> int:
        cell = Cell(folder)
        cell.record.add(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(115):
                result = await script(cell)
        except Exception as exc:
            cell.record.add(f"the case could not run: {exc!r}")
            result = NOT_RUN
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in cell.folder.glob("*.log"):
                    Path(keep, path.name).write_bytes(path.read_bytes())
            cell.close()
        cell.record.add(f"result: {['the rule held', 'the rule was broken', 'not run'][result]}")
        return int(result)

    sys.stdout.flush()
    os._exit(asyncio.run(run()))
