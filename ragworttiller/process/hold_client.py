"""Requests holds on workers of other shards from the owners of these shards."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple, TypedDict

from ragworttiller.exceptions import AppendUndecided, LogUnavailable, RagworttillerError
from ragworttiller.process.cell_links import call_owner
from ragworttiller.process.cell_rows import JobRow, index_of
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.job_queue import OrderKey, order_key
from ragworttiller.process.learning import Learner
from ragworttiller.records import HoldDecided
from ragworttiller.resources import Resources

log = logging.getLogger(__name__)


class HoldRequest(TypedDict):
    """Request to hold room for tasks of another shard's job.

    ``decision`` names the decision that will commit or abort the holds; ``home`` is the shard of
    the job. ``tasks`` lists tasks with their attempts. ``gang`` means that the job needs all tasks
    at once, ``preempt`` that less urgent work may be stopped for them. ``run_time`` is in seconds.
    ``key`` is the job's sort key in the queue.
    """

    decision: str
    home: int
    job: str
    workspace: str
    need: Resources
    rules: dict[str, Any]
    urgency: int
    tasks: list[Attempt]
    gang: bool
    preempt: bool
    run_time: float | None
    key: OrderKey
    holder: str


class Placement(NamedTuple):
    """Task held on a worker of another shard."""

    task: str
    attempt: int
    shard: int
    worker: str
    address: str


class HoldReply(TypedDict):
    """Answer to a `HoldRequest`.

    ``starts_in`` is the expected time in seconds until the job finds its room, None if unknown.
    """

    placements: list[Placement]
    starts_in: float | None


class HoldClient:
    """Requests holds in other shards for jobs of this one, and aborts them.

    Parameters
    ----------
    state : CellState
        State of the owner.
    learner : Learner
        Expected run times.
    """

    def __init__(self, state: CellState, learner: Learner) -> None:
        self._state = state
        self._learner = learner

    async def hold(
        self,
        shard: int,
        decision: str,
        row: JobRow,
        need: Resources,
        tasks: list[str],
        preempt: bool,
    ) -> HoldReply:
        """Request holds in one shard, which places as many of the tasks as fit.

        A failed request yields no placements.
        """
        job = row.submitted
        request = HoldRequest(
            decision=decision,
            home=self._state.context.shard,
            job=job.job,
            workspace=job.workspace,
            need=need,
            rules=job.rules,
            urgency=job.urgency,
            tasks=[(task, row.attempts[index_of(task)] + 1) for task in tasks],
            gang=job.kind == "gang",
            preempt=preempt,
            run_time=self._learner.run_time(row),
            key=order_key(row),
            holder=self._state.holder,
        )
        try:
            held = await call_owner(self._state.context, shard, "hold", dict(request))
        except RagworttillerError as exc:
            log.info("request for holds in shard %d for %s failed: %s", shard, job.job, exc)
            return HoldReply(placements=[], starts_in=None)
        placements = [Placement(*item) for item in held["placements"]]
        return HoldReply(placements=placements, starts_in=held["starts_in"])

    async def abort(self, decision: str, job: str, shards: set[int]) -> None:
        """Record the abort of a decision, and request the release of its holds.

        Nothing is released if the abort could not be recorded or the decision was committed.
        """
        state = self._state
        if decision not in state.fold.decided:
            record = HoldDecided(state.context.stream.record_id(), decision, job, False, [])
            [result] = await state.commit_all([record])
            if isinstance(result, LogUnavailable | AppendUndecided):
                return
        if state.fold.decided.get(decision):
            return
        for shard in sorted(shards):
            try:
                await call_owner(state.context, shard, "release", {"decision": decision})
            except RagworttillerError as exc:
                log.info("request to shard %d to release aborted holds failed: %s", shard, exc)
