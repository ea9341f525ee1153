"""Cell, runners and store for the scheduling tests, in one process with simulated time."""

from __future__ import annotations

import json
from typing import Any

from ragworttiller.platform.boots import born_at, runner_id
from ragworttiller.platform.configuration import Configuration, Queue
from ragworttiller.platform.runner_answers import EndedRun, HoldAnswer, RunningTask
from ragworttiller.platform.store import Record
from ragworttiller.platform.submissions import decode_job
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.cell_policies import CellPolicies
from ragworttiller.scheduling.records.formats import (
    CANCEL_SUFFIX,
    Accepted,
    Claim,
    encode,
    encode_cancel,
)
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from ragworttiller.scheduling.state.jobs import StageId, TaskId
from ragworttiller.scheduling.state.orders import Plan, StartOrder
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.takeover import Takeover
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE, Workspace

QUEUE = Queue("checks", "h", "/q/", "desk", 0, 2, 1.5, 0.25, None)
JOB = "0123456789abcdef"
TERM_SECONDS = 10.0
LEASE_SECONDS = 4.5


def job_id(number: int) -> str:
    """Return the identifier of a numbered job."""
    return f"{number:016x}"


def job_body(*steps: dict[str, Any], **fields: Any) -> bytes:
    """Return the body of a submission."""
    return json.dumps({"spec": "s", "steps": list(steps), **fields}).encode()


def step(count: int = 1, cpu: int = 1000, **fields: Any) -> dict[str, Any]:
    """Return one step of a submission."""
    return {"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": 1000, **fields}


def task(index: int = 0, step_index: int = 0, job: str = JOB) -> TaskId:
    """Return the identifier of a task."""
    return TaskId(StageId(job, 0, step_index), index)


class CellRig:
    """A cell with simulated runners.

    Parameters
    ----------
    runners : int
        Number of runners, each with four processors.
    claim : Claim, optional
        Last claim of an earlier owner.
    accepted_before : int
        Offset below which jobs may have been known to the earlier owner.
    measures_pressure : bool
        Whether claims tell how long a new job waits.
    policies : CellPolicies, optional
        Scheduling policies; the default ones by default.
    """

    def __init__(
        self,
        runners: int = 2,
        claim: Claim | None = None,
        accepted_before: int = 0,
        measures_pressure: bool = False,
        policies: CellPolicies | None = None,
    ) -> None:
        self.now = 100.0
        self.offset = 0
        self.jobs = JobFold()
        self.config = QueueFold()
        self.listed = RunnerFold()
        self.last_end_numbers: dict[str, int] = {}
        takeover = Takeover(claim, accepted_before, self.now, TERM_SECONDS, LEASE_SECONDS)
        epoch = claim.epoch + 1 if claim else 1
        self.cell = Cell(
            epoch,
            self.jobs,
            self.config,
            self.listed,
            takeover,
            LEASE_SECONDS,
            policies,
            measures_pressure=measures_pressure,
        )
        for number in range(1, runners + 1):
            self.add_runner(f"w{number}")

    def add_runner(self, name: str, cpu: int = 4000, labels: tuple[str, ...] = ("a",)) -> None:
        """List a runner, apply its answer to a first hold and enroll it."""
        self.list_runner(name, cpu, labels)
        self.hold(name)
        self.enroll(name)

    def enroll(self, *names: str) -> None:
        """Enroll runners, as after a stored claim that names them."""
        self.cell.pool.enroll(Claim("e", 1, 1, 0, list(names), [], {}))

    def list_runner(
        self,
        name: str,
        cpu: int = 4000,
        labels: tuple[str, ...] = ("a",),
        state: str = "ready",
        service: str = "desk",
        address: str = "",
        remaining_ms: float | None = None,
    ) -> None:
        """Add the entry of a runner's boot to the platform's list, or replace it."""
        runner, capacity = runner_id(name), {"cpu": cpu, "mem_mb": 8000}
        row = {"service": service, "capacity": capacity, "state": state, "born": born_at(name)}
        row["address"] = address or f"{runner}:1"
        row["labels"] = list(labels)
        if remaining_ms is not None:
            row["remaining_ms"] = remaining_ms
        self.listed.apply(Record(self._next(), runner, json.dumps(row).encode()))
        self.cell.refresh(self.now, self.now)

    def drop_runner(self, name: str) -> None:
        """Drop a runner's entry from the platform's list."""
        self.listed.apply(Record(self._next(), runner_id(name), b""))
        self.cell.refresh(self.now, self.now)

    def configure(self, *workspaces: Workspace) -> None:
        """Put a configuration with these workspaces in force."""
        version = self.config.version + 1
        self.config.put_in_force(Configuration(version, (), 262144, workspaces))
        self.cell.refresh(self.now, self.now)

    def submit(
        self,
        *steps: dict[str, Any],
        job: str = JOB,
        queue: Queue = QUEUE,
        workspace: str = NO_WORKSPACE,
        **fields: Any,
    ) -> None:
        """Store an accepted job."""
        accepted = Accepted(queue, decode_job(job_body(*steps, **fields)), self.now, workspace)
        self.store(job, encode(accepted))

    def cancel(self, job: str = JOB, workspace: str = NO_WORKSPACE) -> None:
        """Store a cancellation by a workspace."""
        self.store(job + CANCEL_SUFFIX, encode_cancel(workspace))

    def store(self, key: str, value: bytes) -> None:
        """Store a record and update the cell."""
        self.jobs.apply(Record(self._next(), key, value))
        self.cell.refresh(self.now, self.now)

    def plan(self) -> Plan:
        """Return the current plan of the cell, as after a renewal that was just stored."""
        self.cell.pool.owned_at = self.now
        return self.cell.plan(self.now, self.now)

    def end_boot(self, runner: str) -> None:
        """Apply that another boot answers in place of a runner, while the cell is owned."""
        self.cell.pool.record_ended_boot(self.cell.runners[runner], self.now)
        self.end_runs()

    def end_runs(self) -> None:
        """End the runs of boots and leases that have ended, while the cell is owned."""
        self.cell.pool.owned_at = self.now
        self.cell.pool.end_runs(self.now)

    def start_all(self) -> list[StartOrder]:
        """Return the planned starts after marking all of them as started."""
        starts = self.plan().starts
        for order in starts:
            self.cell.mark_started(order.run, self.now)
        return starts

    def hold(
        self,
        runner: str,
        *ends: tuple[TaskId, int, str],
        running: tuple[tuple[TaskId, int], ...] | None = None,
    ) -> None:
        """Apply a runner's answer to a hold.

        Parameters
        ----------
        runner : str
            Identifier of the runner.
        ends : tuple
            Task, run number and outcome of each run that has ended.
        running : tuple, optional
            Running tasks with their run numbers; by default, all ordered runs without an end.
        """
        state = self.cell.runners[runner]
        ended_rows: list[EndedRun] = []
        for name, run, how in ends:
            self.last_end_numbers[runner] = self.last_end_numbers.get(runner, 0) + 1
            ended_rows.append(EndedRun(self.last_end_numbers[runner], name, run, how, ""))
        ended = {(name, run) for name, run, _ in ends}
        still_running = set(running) if running is not None else set(state.runs) - ended
        running_rows = [
            RunningTask(name, run, "", self.percent(name, run), 0.0) for name, run in still_running
        ]
        self.cell.apply_hold_answer(
            state, HoldAnswer(self.now, running_rows, ended_rows, 0), self.now
        )

    def percent(self, name: TaskId, run: int) -> float:
        """Return the progress that runners report of a run; it changes all the time."""
        return self.now % 100

    def pass_time(self, seconds: float, *silent: str) -> None:
        """Advance the time while all runners except the silent ones answer their holds."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.5, end)
            for name in list(self.cell.runners):
                if name in silent:
                    self.cell.pool.record_no_answer(self.cell.runners[name], self.now)
                else:
                    self.cell.runners[name].grant_lease(self.now, LEASE_SECONDS)
                    self.hold(name)

    def size(self, cpu: int) -> Resources:
        """Return the resources of a task; ``cpu`` is in thousandths of a core."""
        return Resources(cpu, 100, 0)

    def _next(self) -> int:
        self.offset += 1
        return self.offset
