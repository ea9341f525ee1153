"""Acceptance of submitted jobs by the owner of a cell shard."""

from __future__ import annotations

from typing import Any

from ragworttiller.exceptions import KeyReused
from ragworttiller.process.cell_state import COMMIT_TIMEOUT_SECONDS, CellState
from ragworttiller.process.feasibility import Feasibility
from ragworttiller.process.job_rules import rules_in
from ragworttiller.process.job_status import JobStatus, status_of
from ragworttiller.process.quotas import Quotas
from ragworttiller.records import JobSubmitted
from ragworttiller.resources import Resources
from ragworttiller.version.template import JobSpec


class JobSubmissions:
    """Accepts jobs that entries submit.

    Parameters
    ----------
    state : CellState
        State of the owner.
    quotas : Quotas
        Limits of workspaces.
    """

    def __init__(self, state: CellState, quotas: Quotas) -> None:
        self._state = state
        self._quotas = quotas
        self._feasibility = Feasibility()

    async def submit(self, arguments: dict[str, Any]) -> JobStatus:
        """Record a job and return its status; a repeated submission returns that of its job.

        Raises
        ------
        KeyReused
            The key belongs to another job.
        RagworttillerError
            The job can never run, or it could not be recorded.
        """
        job, workspace = arguments["job"], arguments["workspace"]
        template = arguments["template"]
        spec = _spec(arguments["spec"])
        if job in self._state.fold.jobs or job in self._state.fold.ended:
            return self._status_if_same_job(job, template, spec)
        work = f"{workspace}/{template}"
        listing = self._state.context.listing()
        self._feasibility.check(spec, rules_in(spec.rules), listing, work)
        concurrent_tasks = 1 if spec.kind == "batch" else spec.tasks
        self._quotas.check_need(workspace, spec.need, concurrent_tasks)
        await self._state.context.stream.commit(
            self._record(arguments, spec), COMMIT_TIMEOUT_SECONDS
        )
        return self._status_if_same_job(job, template, spec)

    def _record(self, arguments: dict[str, Any], spec: JobSpec) -> JobSubmitted:
        now = self._state.wall()
        deadline = None if spec.deadline_seconds is None else now + spec.deadline_seconds
        return JobSubmitted(
            self._state.context.stream.record_id(),
            arguments["job"],
            arguments["workspace"],
            arguments["template"],
            arguments["version"],
            spec.kind,
            spec.tasks,
            spec.need,
            spec.urgency,
            deadline,
            spec.run_time,
            spec.idempotent,
            {**spec.rules, "arguments": spec.arguments},
            now,
        )

    def _status_if_same_job(self, job: str, template: str, spec: JobSpec) -> JobStatus:
        """Return the status of a key's job if it has the requested template and arguments.

        The arguments of a job that has ended are not kept and therefore not compared.

        Raises
        ------
        KeyReused
            The key belongs to another job.
        """
        status = status_of(self._state, job)
        row = self._state.fold.jobs.get(job)
        same = status["template"] == template
        if row is not None and same:
            same = row.submitted.rules.get("arguments") == spec.arguments
        if not same:
            raise KeyReused(key=job)
        return status


def _spec(fields: list[Any]) -> JobSpec:
    """Decode the job that an entry instantiated from a template."""
    spec = JobSpec(*fields)
    return spec._replace(need=Resources(*spec.need))
