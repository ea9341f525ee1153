"""HTTP endpoints that show the state of the instance and of the cell."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypedDict

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.connection.responses import handle_errors, json_response
from ragworttiller.decisions import DecisionLog
from ragworttiller.metrics import Metrics
from ragworttiller.process.membership import Membership
from ragworttiller.services.directory import Listing


class Readiness(TypedDict):
    """Whether the instance may receive new callers, and the reasons if not.

    ``current`` is whether the instance can prove that its configuration is current.
    """

    ready: bool
    current: bool
    reasons: list[str]


class StatusApi:
    """Endpoints without a token: liveness, readiness, metrics, members, decisions.

    Parameters
    ----------
    readiness : Callable
        Returns whether the instance may receive new callers.
    status : Callable
        Returns the state of the instance.
    membership : Membership
        Live instances.
    listing : Callable
        Returns the platform's list, None before it was read.
    decisions : DecisionLog
        Latest decisions.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        readiness: Callable[[], Readiness],
        status: Callable[[], Mapping[str, Any]],
        membership: Membership,
        listing: Callable[[], Listing | None],
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._readiness = readiness
        self._status = status
        self._membership = membership
        self._listing = listing
        self._decisions = decisions
        self._metrics = metrics

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/live", handle_errors(self.live)),
            Route("/ready", handle_errors(self.ready)),
            Route("/metrics", handle_errors(self.metrics)),
            Route("/v1/status", handle_errors(self.status)),
            Route("/v1/instances", handle_errors(self.instances)),
            Route("/v1/upstreams", handle_errors(self.upstreams)),
            Route("/v1/decisions", handle_errors(self.decisions)),
        ]

    async def live(self, request: Request) -> Response:
        """Answer as long as the process runs."""
        return json_response({"live": True})

    async def ready(self, request: Request) -> Response:
        """Answer 200 if the instance may receive new callers, else 503 with the reasons."""
        readiness = self._readiness()
        return json_response(readiness, 200 if readiness["ready"] else 503)

    async def metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(self._metrics.exposition(), media_type="text/plain; version=0.0.4")

    async def status(self, request: Request) -> Response:
        """Show this instance and the shards it owns."""
        return json_response(self._status())

    async def instances(self, request: Request) -> Response:
        """List the live instances as this one sees them."""
        return json_response([row._asdict() for row in self._membership.members.values()])

    async def upstreams(self, request: Request) -> Response:
        """List the runners of all upstreams as the platform lists them."""
        listing = self._listing()
        return json_response([row._asdict() for row in listing.runners] if listing else [])

    async def decisions(self, request: Request) -> Response:
        """Show the latest decisions, oldest first."""
        return json_response([item._asdict() for item in self._decisions.recent])
