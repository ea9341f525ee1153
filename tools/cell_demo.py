"""Demonstration of entries on the platform: a small day on loopback, with its troubles.

Run as ``python -m tools.cell_demo``. Five entries run as processes against stand-ins of the
platform, which serve the published protocol. Callers submit jobs and ask for their states, while
the owner of the cell is killed and comes back, and the store is away for a while. The last line is
``demo: ok`` or ``demo: FAILED`` with the reason; a plot of the jobs goes to ``.run/cell-demo.svg``.
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
TASKS = (1, 6)
WORK_SECONDS = (0.15, 0.5)
KILL_AT_SECONDS = 4.0
BACK_AT_SECONDS = 7.0
STORE_DOWN_AT_SECONDS = 10.0
STORE_UP_AT_SECONDS = 12.0
END_SECONDS = 15.0
RETRY_SECONDS = 0.3
STATE_SECONDS = 0.1
MOST_TRIES = 12
PROGRESS_SECONDS = 2.0
SLOWEST_ACCEPT_SECONDS = 0.5
PLOT = Path(".run") / "cell-demo.svg"


class Job(NamedTuple):
    """One job as its caller saw it; times are in seconds after the start of the load.

    ``accepted`` is -1 if no entry took the job, ``ended`` -1 if no entry showed its end.
    """

    name: str
    sent: float
    tries: int
    accepted: float
    ended: float


class Day:
    """Load and troubles of the demonstration.

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
        self._began = 0.0
        self._owners: list[str] = []
        self._open = 0
        self.jobs: list[Job] = []

    @property
    def _now(self) -> float:
        return anyio.current_time() - self._began

    async def play(self) -> None:
        """Submit jobs under the troubles and wait for all ends."""
        for name in ENTRIES:
            self._deployment.start(name)
        await self._deployment.wait_ready(*ENTRIES)
        self._began = anyio.current_time()
        with anyio.fail_after(LOAD_SECONDS + END_SECONDS):
            async with anyio.create_task_group() as troubles:
                troubles.start_soon(self._trouble)
                troubles.start_soon(self._show_progress)
                async with anyio.create_task_group() as callers:
                    await self._submit(callers)
                troubles.cancel_scope.cancel()

    async def _submit(self, callers: anyio.abc.TaskGroup) -> None:
        while self._now < LOAD_SECONDS:
            name = f"{self._random.getrandbits(64):016x}"
            first = self._random.randint(*TASKS)
            steps = [_step(first)]
            if self._random.random() < 0.4:
                steps.append(_step(self._random.randint(*TASKS), after=[0]))
            callers.start_soon(self._call, name, msgspec.json.encode({"spec": "s", "steps": steps}))
            await anyio.sleep(self._random.expovariate(JOBS_PER_SECOND))

    async def _call(self, name: str, body: bytes) -> None:
        sent, accepted, ended, tries = self._now, -1.0, -1.0, 0
        self._open += 1
        while accepted < 0 and tries < MOST_TRIES:
            tries += 1
            reply = await self._ask("POST", name, body)
            if reply is not None and reply.status == 200:
                accepted = self._now
            else:
                await anyio.sleep((reply.retry_after if reply else None) or RETRY_SECONDS)
        while accepted >= 0 and ended < 0:
            await anyio.sleep(STATE_SECONDS)
            reply = await self._ask("GET", name)
            if reply is not None and reply.status == 200:
                ended = self._now if json.loads(reply.body)["state"] == "completed" else -1.0
        self._open -= 1
        self.jobs.append(Job(name, sent, tries, accepted, ended))

    async def _ask(self, method: str, name: str, body: bytes = b"") -> Reply | None:
        """Return the answer of some entry, None if it did not answer."""
        try:
            return await self._deployment.call(
                self._random.choice(ENTRIES), method, PREFIX + name, body
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None

    async def _trouble(self) -> None:
        await anyio.sleep(KILL_AT_SECONDS)
        owner = await self._owner()
        self._console.print(f"{self._now:5.1f} s  {owner}, the owner, is killed")
        self._deployment.entries[owner].kill()
        await anyio.sleep(BACK_AT_SECONDS - self._now)
        self._deployment.start(owner)
        self._console.print(f"{self._now:5.1f} s  {owner} is back; {await self._owner()} owns")
        await anyio.sleep(STORE_DOWN_AT_SECONDS - self._now)
        self._console.print(f"{self._now:5.1f} s  the store is away")
        self._deployment.store.down = True
        await anyio.sleep(STORE_UP_AT_SECONDS - self._now)
        self._deployment.store.down = False
        self._console.print(f"{self._now:5.1f} s  the store is back")

    async def _owner(self) -> str:
        """Return the owner by the log lines of the entries."""
        claims = [
            (line["epoch"], name)
            for name in ENTRIES
            for line in await anyio.to_thread.run_sync(self._deployment.lines, name)
            if line["message"] == "claimed"
        ]
        return max(claims)[1]

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_SECONDS)
            done = sum(job.ended >= 0 for job in self.jobs)
            self._console.print(f"{self._now:5.1f} s  {done} jobs completed, {self._open} open")


def _step(count: int, after: list[int] | None = None) -> dict[str, object]:
    return {"count": count, "cpu": 900, "mem_mb": 500, "estimate_ms": 400, "after": after or []}


def problems(jobs: list[Job], broken: list[str]) -> list[str]:
    """Return what went wrong on a day, nothing if all is well.

    Parameters
    ----------
    jobs : list of Job
        Jobs as their callers saw them.
    broken : list of str
        Rules that the runners saw broken.
    """
    found = [f"rule broken: {row}" for row in broken]
    found += [f"job {job.name} was never accepted" for job in jobs if job.accepted < 0]
    found += [f"job {job.name} never ended" for job in jobs if job.accepted >= 0 > job.ended]
    calm = [job.accepted - job.sent for job in jobs if job.tries == 1]
    if not jobs or not calm:
        return [*found, "no job was accepted at once"]
    if quantile(calm, 0.5) > SLOWEST_ACCEPT_SECONDS:
        found.append(f"half of the submissions took over {SLOWEST_ACCEPT_SECONDS} s")
    return found


def show(jobs: list[Job], starts: int, console: Console) -> None:
    """Print a table of the day."""
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
    """Draw each job's time to its end over the time of its submission."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7.0, 3.5))
    ended = [job for job in jobs if job.ended >= 0]
    axes.scatter([job.sent for job in ended], [job.ended - job.sent for job in ended], s=8)
    axes.axvspan(KILL_AT_SECONDS, BACK_AT_SECONDS, alpha=0.15, label="an entry is dead")
    axes.axvspan(
        STORE_DOWN_AT_SECONDS, STORE_UP_AT_SECONDS, alpha=0.15, color="red", label="store away"
    )
    axes.set_xlabel("submitted, s")
    axes.set_ylabel("completed after, s")
    axes.legend()
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path)


async def main() -> int:
    """Play the day and return the exit code."""
    console = Console()
    rng = random.Random(SEED)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), work=lambda task: rng.uniform(*WORK_SECONDS))
        day = Day(deployment, console)
        try:
            async with anyio.create_task_group() as tasks:
                await deployment.run(tasks, RUNNERS)
                await day.play()
                await deployment.close()
                tasks.cancel_scope.cancel()
        finally:
            deployment.kill_entries()
    show(day.jobs, len(deployment.monitor.starts), console)
    await anyio.to_thread.run_sync(plot, day.jobs, PLOT)
    console.print(f"plot: {PLOT}")
    found = problems(day.jobs, deployment.monitor.violations)
    for row in found:
        console.print(row)
    console.print("demo: FAILED" if found else "demo: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(anyio.run(main))
