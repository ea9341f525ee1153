"""Demonstration: a cell of real processes under load, with an entry killed and a runner drained.

Run as ``python -m tools.demo``. The last line is ``demo: ok`` or ``demo: FAILED`` with the reason.
"""

from __future__ import annotations

import sys
import time
from typing import Any, NamedTuple

import anyio
from rich.console import Console
from rich.table import Table

from standins.checker import Breach, ReportedOutcome, RunHistory, check
from tools.callers import Balancer, Load
from tools.operator import Operator
from tools.plan import LE_GOFF, ONG_KINH, CellPlan, planned_workers
from tools.processes import Cell
from tools.report import (
    MIB,
    EntryCost,
    Waiting,
    control_bytes,
    outcome_counts,
    packing,
    request_waiting,
    task_waiting,
)

SEED = 1
DEMO_TIMEOUT_SECONDS = 45.0
SETTLE_SECONDS = 6.0
IDLE_SECONDS = 5.0
LOAD_SECONDS = 9.0
JOBS_TIMEOUT_SECONDS = 10.0
CHECKS_PER_SECOND = 60.0
RECORDS_PER_SECOND = 15.0
MAX_IN_FORCE_SECONDS = 4.0
MAX_PROCESSOR_SHARE = 0.017
MAX_RESIDENT_MIB = 64.0
MAX_CONTROL_BYTES_PER_SECOND = 6_000.0
KILLED_ENTRY = "entry-3"
DRAINED_RUNNER = "marking-0"

TEMPLATES: dict[tuple[str, str], dict[str, Any]] = {
    (ONG_KINH, "watcher"): {
        "kind": "service",
        "idempotent": False,
        "tasks": 6,
        "cpu": 1000,
        "memory": 2048,
        "urgency": 5,
        "rules": {"spread": "failure_domain"},
    },
    (ONG_KINH, "calibration"): {
        "kind": "batch",
        "idempotent": True,
        "tasks": 40,
        "cpu": 2000,
        "memory": 4096,
        "run_time": 1.5,
    },
    (LE_GOFF, "certificates"): {
        "kind": "gang",
        "idempotent": False,
        "tasks": 6,
        "cpu": 4000,
        "memory": 8192,
        "accelerators": 1,
        "urgency": 3,
        "run_time": 2.0,
    },
    (LE_GOFF, "archive"): {
        "kind": "batch",
        "idempotent": True,
        "tasks": 12,
        "cpu": 1000,
        "memory": 1024,
        "run_time": 300.0,
    },
}


class Requirement(NamedTuple):
    """Requirement that the demo checks."""

    name: str
    passed: bool
    detail: str


class Demo:
    """One run of the demonstration."""

    def __init__(self, cell: Cell, balancer: Balancer, console: Console) -> None:
        self._cell = cell
        self._balancer = balancer
        self._operator = Operator(cell, balancer)
        self._console = console
        self._jobs: dict[str, str] = {}
        self._submitted: dict[str, dict[str, float]] = {}
        self._requirements: list[Requirement] = []
        self._costs: list[EntryCost] = []

    async def run(self) -> list[Requirement]:
        """Run all steps and return the requirements, whether met or not."""
        await self._publish()
        self._costs = await self._measure_idle()
        self._print_costs()
        async with anyio.create_task_group() as tasks:
            load = Load(self._balancer, SEED)
            tasks.start_soon(load.run, LOAD_SECONDS, CHECKS_PER_SECOND, RECORDS_PER_SECOND)
            tasks.start_soon(self._submit_jobs)
            tasks.start_soon(self._inject_faults)
        await self._wait_for_jobs()
        history = await self._history()
        self._print_outcomes(history)
        self._check_requirements(check(history))
        return self._requirements

    async def _publish(self) -> None:
        slowest = 0.0
        for (workspace, name), body in TEMPLATES.items():
            version = await self._operator.publish(workspace, name, body)
            seconds = await self._operator.wait_in_force(
                workspace, name, version, MAX_IN_FORCE_SECONDS
            )
            slowest = max(slowest, seconds)
        self._console.print(f"{len(TEMPLATES)} templates published, in force in {slowest:.2f} s")
        self._require("templates in force within 4 s", slowest < MAX_IN_FORCE_SECONDS, "")

    async def _measure_idle(self) -> list[EntryCost]:
        await anyio.sleep(SETTLE_SECONDS)
        before = await self._read_usage()
        started = time.monotonic()
        await anyio.sleep(IDLE_SECONDS)
        after = await self._read_usage()
        seconds = time.monotonic() - started
        return [
            EntryCost(
                name,
                (after[name][0] - processor) / seconds,
                self._cell.entries[name].process.resident_bytes / MIB,
                (after[name][1] - control) / seconds,
            )
            for name, (processor, control) in before.items()
        ]

    async def _read_usage(self) -> dict[str, tuple[float, float]]:
        """Return processor seconds and control traffic in bytes of each entry."""
        usage = {}
        for name, entry in self._cell.entries.items():
            page = (await self._balancer.call_entry(name, "GET", "/metrics")).body.decode()
            usage[name] = (entry.process.processor_seconds, control_bytes(page))
        return usage

    async def _submit_jobs(self) -> None:
        for workspace, name in TEMPLATES:
            at = time.monotonic()
            job = await self._operator.submit(workspace, name, f"demo-{name}")
            self._jobs[name] = job
            self._submitted[name] = {job: at}

    async def _inject_faults(self) -> None:
        await anyio.sleep(2.0)
        self._console.print(f"killing {KILLED_ENTRY}")
        await self._cell.kill(KILLED_ENTRY)
        await anyio.sleep(1.0)
        self._console.print(f"draining {DRAINED_RUNNER}")
        await self._cell.drain_runner(DRAINED_RUNNER)
        await anyio.sleep(1.0)
        self._console.print("cancelling archive")
        await self._operator.cancel(LE_GOFF, self._jobs["archive"])

    async def _wait_for_jobs(self) -> None:
        expected = {
            "watcher": "running",
            "calibration": "done",
            "certificates": "done",
            "archive": "cancelled",
        }
        states: dict[str, str] = {}
        with anyio.move_on_after(JOBS_TIMEOUT_SECONDS):
            while states != expected:
                for (workspace, name), _ in TEMPLATES.items():
                    status = await self._operator.job(workspace, self._jobs[name])
                    states[name] = str(status["state"])
                await anyio.sleep(0.2)
        for name, state in expected.items():
            actual = states.get(name, "unknown")
            self._console.print(f"job {name}: {actual}")
            self._require(f"job {name} is {state}", actual == state, f"is {actual}")

    async def _history(self) -> RunHistory:
        history = await self._cell.history()
        return history._replace(
            answers=self._balancer.answers,
            accepted=self._operator.accepted,
            observed=self._operator.observed,
        )

    def _check_requirements(self, breaches: list[Breach]) -> None:
        for breach in breaches[:10]:
            self._console.print(f"breach: {breach.promise}: {breach.subject}: {breach.problem}")
        self._require("no breach of a promise", not breaches, f"{len(breaches)} breaches")
        outcomes = self._balancer.outcomes
        checks = [item.answer.reported for item in outcomes if not item.request.key]
        answered = sum(reported is ReportedOutcome.ANSWER for reported in checks)
        detail = f"{answered} of {len(checks)}"
        self._require("every availability check is answered", answered == len(checks), detail)
        records = [item.answer for item in outcomes if item.request.key]
        unknown = [
            answer
            for answer in records
            if answer.reported in (ReportedOutcome.BROKEN, ReportedOutcome.UNKNOWN)
            and answer.entry != KILLED_ENTRY
        ]
        written = sum(answer.reported is ReportedOutcome.ANSWER for answer in records)
        self._require(
            "records are written", written > 0.9 * len(records), f"{written}/{len(records)}"
        )
        self._console.print(f"records with unknown outcome at running entries: {len(unknown)}")
        running_entries = [name for name, entry in self._cell.entries.items() if entry.running]
        self._require(
            "other entries live",
            len(running_entries) == len(self._cell.entries) - 1,
            str(running_entries),
        )

    def _require(self, name: str, passed: bool, detail: str) -> None:
        self._requirements.append(Requirement(name, passed, detail))

    def _print_costs(self) -> None:
        table = Table("entry", "idle processor", "resident", "control", title="Cost, idle")
        for cost in self._costs:
            table.add_row(
                cost.entry,
                _compare_to_target(cost.processor_share * 100, MAX_PROCESSOR_SHARE * 100, "%"),
                _compare_to_target(cost.resident_mib, MAX_RESIDENT_MIB, "MiB"),
                _compare_to_target(cost.bytes_per_second, MAX_CONTROL_BYTES_PER_SECOND, "B/s"),
            )
        self._console.print(table)

    def _print_outcomes(self, history: RunHistory) -> None:
        table = Table("kind", "outcome", "callers", title="Outcomes reported to callers")
        for kind, counts in sorted(outcome_counts(self._balancer.outcomes).items()):
            for outcome, count in counts.most_common():
                table.add_row(kind, outcome, str(count))
        self._console.print(table)
        waits: list[Waiting] = request_waiting(self._balancer.outcomes)
        for name, submitted in self._submitted.items():
            waits.append(task_waiting(f"task of {name}", history.events, submitted))
        table = Table("kind", "samples", "p50", "p99", title="Waiting time")
        for wait in waits:
            table.add_row(
                wait.kind, str(wait.samples), f"{wait.p50 * 1e3:.1f} ms", f"{wait.p99 * 1e3:.1f} ms"
            )
        self._console.print(table)
        packed = packing(history.events, history.capacities)
        self._console.print(
            f"packing at peak allocation: {packed.workers} workers in use, "
            f"{packed.cpu:.0%} of their processors and {packed.memory:.0%} of their memory "
            "allocated"
        )


def _compare_to_target(value: float, target: float, unit: str) -> str:
    verdict = "met" if value <= target else "missed"
    return f"{value:,.1f} of {target:,.1f} {unit} ({verdict})"


async def main() -> int:
    """Run the demonstration and return the exit status."""
    console = Console(width=100)
    started = time.monotonic()
    failed = [Requirement("the demo ends in time", False, f"over {DEMO_TIMEOUT_SECONDS:.0f} s")]
    with anyio.move_on_after(DEMO_TIMEOUT_SECONDS):
        try:
            requirements = await _demonstrate(console)
            failed = [item for item in requirements if not item.passed]
        except* Exception as group:
            failed = [Requirement(type(exc).__name__, False, str(exc)) for exc in _flatten(group)]
    console.print(f"{time.monotonic() - started:.1f} s")
    if failed:
        reasons = "; ".join(f"{item.name}: {item.detail}" for item in failed)
        print(f"demo: FAILED {reasons}")
        return 1
    print("demo: ok")
    return 0


def _flatten(group: BaseExceptionGroup[Exception]) -> list[BaseException]:
    """Return the exceptions in a group and its nested groups."""
    flattened: list[BaseException] = []
    for item in group.exceptions:
        flattened += _flatten(item) if isinstance(item, BaseExceptionGroup) else [item]
    return flattened


async def _demonstrate(console: Console) -> list[Requirement]:
    plan = CellPlan(workers=planned_workers(24), runners={"marking": 12, "booking": 12}, seed=SEED)
    async with Cell(plan) as cell, anyio.create_task_group() as tasks:
        addresses = {name: entry.http_address for name, entry in cell.entries.items()}
        console.print(f"{len(addresses)} entries are ready, logs in {cell.directory}")
        balancer = Balancer(addresses)
        tasks.start_soon(balancer.run)
        requirements = await Demo(cell, balancer, console).run()
        tasks.cancel_scope.cancel()
    return requirements


if __name__ == "__main__":
    sys.exit(anyio.run(main))
