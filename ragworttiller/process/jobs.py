"""Operators' calls on jobs at any entry, forwarded to the owner of the job's shard."""

from __future__ import annotations

import logging
from typing import Any, cast

import anyio

from ragworttiller.exceptions import (
    AppendUndecided,
    InvalidField,
    NotFound,
    NotOwner,
    NotReady,
    PeerUnreachable,
    RagworttillerError,
)
from ragworttiller.hashing import digest, shard_of
from ragworttiller.messages import CellCall, CellReply, ShardRoom
from ragworttiller.process.cell import Cell
from ragworttiller.process.cell_state import Items
from ragworttiller.process.job_status import JobStatus, WorkerStatus
from ragworttiller.process.license_proof import DISOWNED, is_serving
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.process.quotas import ShardRooms
from ragworttiller.process.shards import ShardHost
from ragworttiller.records import cell_stream
from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.timers import TimerService
from ragworttiller.version.template import instantiate

log = logging.getLogger(__name__)

TEMPLATE_KIND = "template"
CALL_TIMEOUT_SECONDS = 4.0
CANCEL_MATCHING_TIMEOUT_SECONDS = 30.0
RETRY_WINDOW_SECONDS = 8.0
RETRY_DELAY_SECONDS = 0.2
MAX_WAIT_CALL_SECONDS = 20.0


def job_id(workspace: str, key: str, shards: int) -> str:
    """Return the id of the job that a workspace submits under a key."""
    name = f"{workspace}/{key}"
    return f"j{shard_of(name, shards):03d}-{digest(name.encode()).hex()}"


def home_shard(job: str) -> int:
    """Return the home shard of a job from its id.

    Raises
    ------
    NotFound
        The id is malformed.
    """
    shard, dash, _ = job.removeprefix("j").partition("-")
    if not job.startswith("j") or not dash or not shard.isdecimal():
        raise NotFound(kind="job", name=job)
    return int(shard)


class Jobs:
    """Operators' calls on jobs, and the calls of other instances to the shards owned here.

    Parameters
    ----------
    peers : Peers
        Messages to other instances; the handlers of `CellCall` and `ShardRoom` are registered.
    membership : Membership
        Live instances.
    host : ShardHost
        Cell shards owned here.
    registry : Items
        Current configuration.
    shards : int
        Number of cell shards.
    timers : TimerService
        Source of time.
    rooms : ShardRooms, optional
        Receives the broadcasts of other shards; shared with the cells of this process.
    """

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        host: ShardHost[Cell],
        registry: Items,
        shards: int,
        timers: TimerService,
        rooms: ShardRooms | None = None,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._host = host
        self._registry = registry
        self._shards = shards
        self._timers = timers
        self._rooms = rooms or ShardRooms(timers.now)
        peers.handle(CellCall, self._handle_call)
        peers.handle(ShardRoom, self._handle_room)

    async def submit(
        self, workspace: str, template: str, parameters: dict[str, Any], key: str
    ) -> JobStatus:
        """Submit a job, or return the job already submitted under the key.

        Raises
        ------
        NotFound
            The workspace has no such template.
        InvalidField
            A parameter is out of its bounds.
        Unplaceable
            The job can never run in this cell, or cannot meet its deadline.
        QuotaExceeded
            The tasks that must run at once exceed the quota of the workspace by themselves.
        KeyReused
            The key was used for another job.
        RagworttillerError
            The job's shard is unreachable; a retry with the same key is safe.
        """
        if not key:
            raise InvalidField(field="key", problem="empty", allowed="a key of the caller's choice")
        item = self._registry.get(workspace, TEMPLATE_KIND, template)
        spec = instantiate(item.body, parameters)
        job = job_id(workspace, key, self._shards)
        arguments = {
            "job": job,
            "workspace": workspace,
            "template": template,
            "version": item.version,
            "spec": spec,
        }
        return cast(JobStatus, await self._call(home_shard(job), "submit", arguments))

    async def status(self, job: str) -> JobStatus:
        """Return the status of a job.

        Raises
        ------
        NotFound
            The job is unknown, or ended so long ago that it was discarded.
        """
        return cast(JobStatus, await self._call_home(job, "status"))

    async def wait(self, job: str, timeout: float) -> JobStatus:
        """Return a job's status once it and its tasks have ended, or after ``timeout`` seconds."""
        end = self._timers.now() + timeout
        while True:
            remaining = max(0.0, end - self._timers.now())
            step = min(remaining, MAX_WAIT_CALL_SECONDS)
            arguments = {"job": job, "timeout": step}
            result = await self._call(
                home_shard(job), "wait", arguments, CALL_TIMEOUT_SECONDS + step
            )
            status = cast(JobStatus, result)
            finished = (
                status["state"] not in ("pending", "running") and not status["tasks"]["running"]
            )
            if finished or self._timers.now() >= end:
                return status

    async def cancel(self, job: str) -> JobStatus:
        """Cancel a job; its running tasks are stopped asynchronously."""
        return cast(JobStatus, await self._call_home(job, "cancel"))

    async def cancel_matching(self, workspace: str, selector: dict[str, Any]) -> int:
        """Cancel the jobs of a workspace whose fields equal those of a selector.

        Parameters
        ----------
        workspace : str
            The workspace.
        selector : dict
            Any of ``template``, ``kind``, ``urgency``, ``version`` and ``state``; empty matches
            all.

        Returns
        -------
        int
            Number of jobs that were cancelled.
        """
        arguments = {"workspace": workspace, "selector": selector}
        results = await self._call_all(
            "cancel_matching", arguments, CANCEL_MATCHING_TIMEOUT_SECONDS
        )
        return sum(results)

    async def explain(self, job: str) -> str:
        """Return what keeps a job's tasks pending, else why the job ended, or an empty string."""
        return str(await self._call_home(job, "explain"))

    async def workers(self) -> list[WorkerStatus]:
        """Return all workers and their bookings, ordered by name."""
        statuses: list[WorkerStatus] = []
        for result in await self._call_all("workers", {}):
            statuses += result
        return sorted(statuses, key=lambda worker: worker["worker"])

    async def use(self, workspace: str) -> Resources:
        """Return the resources booked for a workspace's tasks in the whole cell."""
        total = NO_RESOURCES
        for result in await self._call_all("use", {"workspace": workspace}):
            total = total.plus(Resources(*result))
        return total

    async def _call_home(self, job: str, verb: str) -> Any:
        return await self._call(home_shard(job), verb, {"job": job})

    async def _call_all(
        self, verb: str, arguments: dict[str, Any], timeout: float = CALL_TIMEOUT_SECONDS
    ) -> list[Any]:
        """Call the owners of all shards; raise the first error."""
        results: list[Any] = [None] * self._shards
        errors: list[RagworttillerError] = []

        async def call(shard: int) -> None:
            try:
                results[shard] = await self._call(shard, verb, arguments, timeout)
            except RagworttillerError as exc:
                errors.append(exc)

        async with anyio.create_task_group() as tasks:
            for shard in range(self._shards):
                tasks.start_soon(call, shard)
        if errors:
            raise errors[0]
        return results

    async def _call(
        self,
        shard: int,
        verb: str,
        arguments: dict[str, Any],
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Any:
        """Call the owner of a shard; retry transient failures, as all verbs are idempotent."""
        if not 0 <= shard < self._shards:
            raise NotFound(kind="shard", name=shard)
        end = self._timers.now() + max(RETRY_WINDOW_SECONDS, timeout)
        while True:
            try:
                return await self._call_once(shard, verb, arguments, timeout)
            except (NotOwner, NotReady, PeerUnreachable, AppendUndecided) as exc:
                if self._timers.now() >= end:
                    raise
                log.info("call of %s to shard %d failed, retrying: %s", verb, shard, exc)
            await self._timers.sleep(RETRY_DELAY_SECONDS)

    async def _call_once(
        self, shard: int, verb: str, arguments: dict[str, Any], timeout: float
    ) -> Any:
        owner = self._membership.owner(cell_stream(shard))
        if owner is None:
            raise NotOwner(instance=self._membership.instance, shard=shard)
        call = CellCall(shard, verb, arguments)
        reply = await self._peers.call(owner, call, timeout)
        return reply.result

    async def _handle_call(self, sender: str, call: CellCall) -> CellReply:
        if call.verb == DISOWNED:
            return CellReply(not is_serving(call.arguments["holder"]))
        cell = self._host.get(call.shard)
        if cell is None:
            raise NotOwner(instance=self._membership.instance, shard=call.shard)
        return CellReply(await cell.answer(call.verb, call.arguments))

    async def _handle_room(self, sender: str, room: ShardRoom) -> None:
        self._rooms.update(room)
