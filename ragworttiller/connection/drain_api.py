"""HTTP endpoints by which operators drain workers, runners and instances."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.connection.operator_api import OperatorAccess, author_of
from ragworttiller.connection.responses import json_response
from ragworttiller.request.caller_request import check_name
from ragworttiller.version.drains import DRAIN_KINDS, Drains


class DrainApi:
    """Endpoints of drains; they need an operator's token.

    Parameters
    ----------
    drains : Drains
        Drains in force.
    access : OperatorAccess
        Checks the operators' token.
    """

    def __init__(self, drains: Drains, access: OperatorAccess) -> None:
        self._drains = drains
        self._access = access

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            self._access.route(f"/v1/{collection}/{{name}}/drain", endpoint, method)
            for collection in DRAIN_KINDS
            for endpoint, method in ((self.drain, "PUT"), (self.restore, "DELETE"))
        ]

    async def drain(self, request: Request) -> Response:
        """Stop assigning new work to a worker, runner or instance."""
        item = await self._drains.drain(*_drain_target(request), author_of(request))
        return json_response({"version": item.version})

    async def restore(self, request: Request) -> Response:
        """End a drain."""
        item = await self._drains.restore(*_drain_target(request), author_of(request))
        return json_response({"version": item.version})


def _drain_target(request: Request) -> tuple[str, str]:
    collection = request.url.path.split("/")[2]
    return collection, check_name("name", request.path_params["name"])
