"""Demonstration of entries on the platform, on loopback, under load and with injected faults.

Run as ``python -m tools.cell_demo``. Five entries run as processes against stand-ins for the
platform, which serve the published protocol. Callers submit jobs and poll their states while the
owner of the cell is killed and restarted, and the store is unavailable for a while. The last line
is ``demo: ok`` or ``demo: FAILED``, after the reasons; a plot of the jobs goes to
``.run/cell-demo.svg``.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import anyio
import anyio.abc
import httpcore
import msgspec
from rich.console import Console
from rich.table import Table

from standins.platform.deployment import PREFIX, Deployment, Reply
from tools.report import quantile

SEED = 1
ENTRIES = ("e1", "e2", "e3", "e4", "e5")
RUNNERS = 10
LOAD_SECONDS = 16.0
JOBS_PER_SECOND = 5.0
TASKS_PER_STEP = (1, 6)
WORK_SECONDS = (0.15, 0.5)
KILL_AT_SECONDS = 4.0
RESTART_AT_SECONDS = 7.0
STORE_DOWN_AT_SECONDS = 10.0
STORE_UP_AT_SECONDS = 12.0
COMPLETION_TIMEOUT_SECONDS = 15.0
DEFAULT_RETRY_SECONDS = 0.3
STATE_POLL_SECONDS = 0.1
MAX_TRIES = 12
PROGRESS_PERIOD_SECONDS = 2.0
MAX_MEDIAN_ACCEPT_SECONDS = 0.5
PLOT = Path(".run") / "cell-demo.svg"


class Job(NamedTuple):
    """Job as observed by its caller; times are in seconds after the start of the load.

    ``accepted`` is -1 if no entry accepted the job, ``ended`` -1 if no entry reported its end.
    """

    name: str
    sent: float
    tries: int
    accepted: float
    ended: float


class Demo:
    """Load and injected faults of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        Platform and entries.
    console : Console
        Shows progress.
    """

    def __init__(self, deployment: Deployment, console: Console) -> None:
        self._deployment = deployment
        self._console = console
        self._random = random.Random(SEED)
        self._started_at = 0.0
        self._open_jobs = 0
        self.jobs: list[Job] = []

    @property
    def _now(self) -> float:
        return anyio.current_time() - self._started_at

    async def run(self) -> None:
        """Submit jobs while faults are injected, and wait until all have ended."""
        for name in ENTRIES:
            self._deployment.start(name)
        await self._deployment.wait_ready(*ENTRIES)
        self._started_at = anyio.current_time()
        with anyio.fail_after(LOAD_SECONDS + COMPLETION_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as background:
                background.start_soon(self._inject_faults)
                background.start_soon(self._show_progress)
                async with anyio.create_task_group() as callers:
                    await self._submit(callers)
                background.cancel_scope.cancel()

    async def _submit(self, callers: anyio.abc.TaskGroup) -> None:
        while self._now < LOAD_SECONDS:
            name = f"{self._random.getrandbits(64):016x}"
            first = self._random.randint(*TASKS_PER_STEP)
            steps = [_step(first)]
            if self._random.random() < 0.4:
                steps.append(_step(self._random.randint(*TASKS_PER_STEP), after=[0]))
            callers.start_soon(
                self._submit_and_poll, name, msgspec.json.encode({"spec": "s", "steps": steps})
            )
            await anyio.sleep(self._random.expovariate(JOBS_PER_SECOND))

    async def _submit_and_poll(self, name: str, body: bytes) -> None:
        sent, accepted, ended, tries = self._now, -1.0, -1.0, 0
        self._open_jobs += 1
        while accepted < 0 and tries < MAX_TRIES:
            tries += 1
            reply = await self._request("POST", name, body)
            if reply is not None and reply.status == 200:
                accepted = self._now
            else:
                await anyio.sleep((reply.retry_after if reply else None) or DEFAULT_RETRY_SECONDS)
        while accepted >= 0 and ended < 0:
            await anyio.sleep(STATE_POLL_SECONDS)
            reply = await self._request("GET", name)
            if reply is not None and reply.status == 200:
                ended = self._now if json.loads(reply.body)["state"] == "completed" else -1.0
        self._open_jobs -= 1
        self.jobs.append(Job(name, sent, tries, accepted, ended))

    async def _request(self, method: str, name: str, body: bytes = b"") -> Reply | None:
        """Return the answer of a random entry, None if it did not answer."""
        try:
            return await self._deployment.call(
                self._random.choice(ENTRIES), method, PREFIX + name, body
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None

    async def _inject_faults(self) -> None:
        await anyio.sleep(KILL_AT_SECONDS)
        owner = await self._owner()
        self._console.print(f"{self._now:5.1f} s  killing {owner}, the owner")
        self._deployment.entries[owner].kill()
        await anyio.sleep(RESTART_AT_SECONDS - self._now)
        self._deployment.start(owner)
        self._console.print(
            f"{self._now:5.1f} s  restarted {owner}; the owner is {await self._owner()}"
        )
        await anyio.sleep(STORE_DOWN_AT_SECONDS - self._now)
        self._console.print(f"{self._now:5.1f} s  the store is unavailable")
        self._deployment.store.down = True
        await anyio.sleep(STORE_UP_AT_SECONDS - self._now)
        self._deployment.store.down = False
        self._console.print(f"{self._now:5.1f} s  the store is available again")

    async def _owner(self) -> str:
        """Return the entry whose log shows the claim of the cell with the highest epoch."""
        claims = [
            (line["epoch"], name)
            for name in ENTRIES
            for line in await anyio.to_thread.run_sync(self._deployment.lines, name)
            if line["message"] == "cell claimed"
        ]
        return max(claims)[1]

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_PERIOD_SECONDS)
            done = sum(job.ended >= 0 for job in self.jobs)
            self._console.print(
                f"{self._now:5.1f} s  {done} jobs completed, {self._open_jobs} open"
            )


def _step(count: int, after: list[int] | None = None) -> dict[str, object]:
    return {"count": count, "cpu": 900, "mem_mb": 500, "estimate_ms": 400, "after": after or []}


def problems(jobs: list[Job], violations: list[str]) -> list[str]:
    """Return the failures of a run, an empty list if there are none.

    Parameters
    ----------
    jobs : list of Job
        Jobs as observed by their callers.
    violations : list of str
        Violations recorded by the run monitor.
    """
    failures = [f"rule broken: {row}" for row in violations]
    failures += [f"job {job.name} was never accepted" for job in jobs if job.accepted < 0]
    failures += [f"job {job.name} never ended" for job in jobs if job.accepted >= 0 > job.ended]
    first_try_seconds = [job.accepted - job.sent for job in jobs if job.tries == 1]
    if not jobs or not first_try_seconds:
        return [*failures, "no job was accepted at once"]
    if quantile(first_try_seconds, 0.5) > MAX_MEDIAN_ACCEPT_SECONDS:
        failures.append(f"half of the submissions took over {MAX_MEDIAN_ACCEPT_SECONDS} s")
    return failures


def print_summary(jobs: list[Job], starts: int, console: Console) -> None:
    """Print a table of the waiting times of a run."""
    ended = [job for job in jobs if job.ended >= 0]
    rows = {
        "accepted at the first try, s": [j.accepted - j.sent for j in jobs if j.tries == 1],
        "accepted at a later try, s": [j.accepted - j.sent for j in jobs if j.tries > 1],
        "from acceptance to the end shown, s": [j.ended - j.accepted for j in ended],
    }
    table = Table("jobs", "count", "p50", "p99", title=f"{len(jobs)} jobs, {starts} starts")
    for title, values in rows.items():
        shown = [f"{quantile(values, share):.3f}" if values else "-" for share in (0.5, 0.99)]
        table.add_row(title, str(len(values)), *shown)
    console.print(table)


def plot(jobs: list[Job], path: Path) -> None:
    """Plot the completion time of each job against the time of its submission."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7.0, 3.5))
    ended = [job for job in jobs if job.ended >= 0]
    axes.scatter([job.sent for job in ended], [job.ended - job.sent for job in ended], s=8)
    axes.axvspan(KILL_AT_SECONDS, RESTART_AT_SECONDS, alpha=0.15, label="owner down")
    axes.axvspan(
        STORE_DOWN_AT_SECONDS,
        STORE_UP_AT_SECONDS,
        alpha=0.15,
        color="red",
        label="store unavailable",
    )
    axes.set_xlabel("submitted, s")
    axes.set_ylabel("completed after, s")
    axes.legend()
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path)


async def main() -> int:
    """Run the demonstration and return the exit code."""
    console = Console()
    rng = random.Random(SEED)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), work=lambda task: rng.uniform(*WORK_SECONDS))
        demo = Demo(deployment, console)
        try:
            async with anyio.create_task_group() as tasks:
                await deployment.run(tasks, RUNNERS)
                await demo.run()
                await deployment.close()
                tasks.cancel_scope.cancel()
        finally:
            deployment.kill_entries()
    print_summary(demo.jobs, len(deployment.monitor.starts), console)
    await anyio.to_thread.run_sync(plot, demo.jobs, PLOT)
    console.print(f"plot: {PLOT}")
    failures = problems(demo.jobs, deployment.monitor.violations)
    for row in failures:
        console.print(row)
    console.print("demo: FAILED" if failures else "demo: ok")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(anyio.run(main))
