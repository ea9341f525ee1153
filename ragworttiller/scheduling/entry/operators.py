"""Read-only view of the cell for operators; other entries request it from the owner."""

from __future__ import annotations

from collections import Counter
from typing import TypedDict

import msgspec

from ragworttiller.exceptions import NotFound, NotReady
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.dry_runs import DryRuns
from ragworttiller.scheduling.entry.peer_messages import DryRunRequest, ViewReply, ViewRequest
from ragworttiller.scheduling.membership.members import Members
from ragworttiller.scheduling.ownership.cell_host import CellHost
from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.workspace_view import workspaces

ROOT = "/v1/cell"
DRY_RUN_PATH = f"{ROOT}/dry-run"
VIEW_TIMEOUT_SECONDS = 1.0


class Overview(TypedDict):
    """State of the cell as known to an entry.

    ``renewed`` is the time in seconds since a claim or renewal was last read, -1 before the first.
    ``unreachable`` are the entries to which the answering one has no connection.
    """

    instance: str
    owner: str
    epoch: int
    renewed: float
    entries: list[str]
    unreachable: list[str]
    runners: int
    open_jobs: dict[str, int]


class Operators:
    """Answers requests of operators.

    Parameters
    ----------
    peers : Peers
        Connections to the other entries.
    members : Members
        Announced entries.
    host : CellHost
        Ownership of the cell at this entry.
    clock : Clock
        Source of time.
    dry_runs : DryRuns
        Looks at submissions.
    """

    def __init__(
        self, peers: Peers, members: Members, host: CellHost, clock: Clock, dry_runs: DryRuns
    ) -> None:
        self._dry_runs = dry_runs
        self._peers = peers
        self._members = members
        self._host = host
        self._clock = clock
        peers.handle(ViewRequest, self._serve)
        peers.handle(DryRunRequest, self._serve_dry_run)

    async def answer(self, path: str) -> bytes:
        """Return the view at a path below `ROOT`, as JSON.

        Raises
        ------
        NotFound
            There is no such view or no such active job.
        NotReady
            The cell has no owner.
        PeerUnreachable
            The owner does not answer.
        """
        parts = [part for part in path.removeprefix(ROOT).split("/") if part]
        if not parts:
            return msgspec.json.encode(self._overview())
        if self._host.owner is not None:
            return self._view(parts)
        return await self._ask_owner(ViewRequest(parts))

    async def dry_run(self, body: bytes) -> bytes:
        """Return what would happen to a submission, as JSON.

        Raises
        ------
        InvalidField, Unreadable, QueueUnknown, NotFound
            As for `DryRuns.result`.
        NotReady
            The cell has no owner.
        PeerUnreachable
            The owner does not answer.
        """
        if self._host.owner is not None:
            return self._dry_run(body)
        return await self._ask_owner(DryRunRequest(body))

    async def _ask_owner(self, request: ViewRequest | DryRunRequest) -> bytes:
        claim = self._host.claims.claim
        if claim is None or claim.owner == self._peers.instance:
            raise NotReady(instance=self._peers.instance, reason="the cell has no owner")
        reply: ViewReply = await self._peers.call(claim.owner, request, VIEW_TIMEOUT_SECONDS)
        return reply.body

    def _overview(self) -> Overview:
        claim = self._host.claims.claim
        rows = self._host.jobs.open_jobs.values()
        counts = Counter(row.accepted.queue.key for row in rows if row.accepted)
        return Overview(
            instance=self._peers.instance,
            owner=claim.owner if claim else "",
            epoch=claim.epoch if claim else 0,
            renewed=round(self._host.seconds_since_renewal, 3),
            entries=sorted(self._members.names),
            unreachable=sorted(self._members.names - self._members.reachable),
            runners=len(claim.roster) if claim else 0,
            open_jobs=dict(counts),
        )

    async def _serve(self, sender: str, request: ViewRequest) -> ViewReply:
        return ViewReply(self._view(request.parts))

    async def _serve_dry_run(self, sender: str, request: DryRunRequest) -> ViewReply:
        return ViewReply(self._dry_run(request.body))

    def _owned_cell(self) -> Cell:
        if self._host.owner is None:
            raise NotReady(instance=self._peers.instance, reason="this entry does not own the cell")
        return self._host.owner.cell

    def _dry_run(self, body: bytes) -> bytes:
        return msgspec.json.encode(self._dry_runs.result(self._owned_cell(), body))

    def _view(self, parts: list[str]) -> bytes:
        cell = self._owned_cell()
        view = CellView(cell)
        now, wall = self._clock.now(), self._clock.wall()
        match parts:
            case ["runners"]:
                return msgspec.json.encode(view.runners(now))
            case ["workspaces"]:
                return msgspec.json.encode(workspaces(cell))
            case ["interference"]:
                return msgspec.json.encode(view.interference(now))
            case ["jobs"]:
                return msgspec.json.encode(view.jobs(now, wall))
            case ["jobs", job] if stages := view.stages(job, now, wall):
                return msgspec.json.encode(stages)
        raise NotFound(kind="view", name="/".join(parts))
