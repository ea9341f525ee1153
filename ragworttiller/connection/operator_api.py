"""HTTP endpoints of operators: configuration, jobs and the state of the cell."""

from __future__ import annotations

import functools
import hmac
import re
import uuid
from typing import Any

import msgspec
from starlette.convertors import Convertor, register_url_convertor
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import override

from ragworttiller.connection.responses import Endpoint, handle_errors, json_object, json_response
from ragworttiller.exceptions import InvalidField, Unauthorized
from ragworttiller.process.jobs import Jobs
from ragworttiller.request.caller_request import check_name, read_body
from ragworttiller.version.registry import Item, Registry

COLLECTIONS = {
    "templates": "template",
    "quotas": "quota",
    "policies": "policy",
    "upstream-policies": "upstream",
}
COLLECTION_PATTERN = "|".join(COLLECTIONS)
MAX_WAIT_SECONDS = 30.0
MAX_AUTHOR_LENGTH = 100


class CollectionConvertor(Convertor[str]):
    """Path parameter that names one of the collections."""

    regex = COLLECTION_PATTERN

    @override
    def convert(self, value: str) -> str:
        return value

    @override
    def to_string(self, value: str) -> str:
        return value


register_url_convertor("collection", CollectionConvertor())


class OperatorAccess:
    """Rejects calls without the operators' token.

    Parameters
    ----------
    token : str
        Bearer token of operators.
    """

    def __init__(self, token: str) -> None:
        self._token = token.encode()

    def route(self, path: str, endpoint: Endpoint, method: str) -> Route:
        """Return a route to an endpoint that needs the token."""
        return Route(path, handle_errors(self._authorized(endpoint)), methods=[method])

    def _authorized(self, endpoint: Endpoint) -> Endpoint:
        @functools.wraps(endpoint)
        async def call(request: Request) -> Response:
            scheme, _, token = request.headers.get("authorization", "").partition(" ")
            match = hmac.compare_digest(token.encode(), self._token)
            if scheme.lower() != "bearer" or not match:
                raise Unauthorized()
            return await endpoint(request)

        return call


class OperatorApi:
    """Endpoints that need an operator's token.

    Parameters
    ----------
    registry : Registry
        Configuration items.
    jobs : Jobs
        Jobs of the cell.
    access : OperatorAccess
        Checks the operators' token.
    max_body : int
        Largest request body in bytes.
    """

    def __init__(
        self, registry: Registry, jobs: Jobs, access: OperatorAccess, max_body: int
    ) -> None:
        self._registry = registry
        self._jobs = jobs
        self._access = access
        self._max_body = max_body

    def routes(self) -> list[Route]:
        """Return the routes of operators."""
        route = self._access.route
        workspace = "/v1/workspaces/{workspace}"
        collection = f"{workspace}/{{collection:collection}}"
        return [
            route(collection, self.items, "GET"),
            route(f"{collection}/{{name}}", self.item, "GET"),
            route(f"{collection}/{{name}}", self.publish, "PUT"),
            route(f"{collection}/{{name}}", self.delete, "DELETE"),
            route(f"{collection}/{{name}}/history", self.history, "GET"),
            route(f"{workspace}/jobs", self.submit, "POST"),
            route(f"{workspace}/jobs", self.cancel_matching, "DELETE"),
            route(f"{workspace}/jobs/{{job}}", self.job, "GET"),
            route(f"{workspace}/jobs/{{job}}", self.cancel, "DELETE"),
            route(f"{workspace}/jobs/{{job}}/explain", self.explain, "GET"),
            route(f"{workspace}/use", self.use, "GET"),
            route("/v1/workers", self.workers, "GET"),
        ]

    async def items(self, request: Request) -> Response:
        """List the items of one collection of a workspace."""
        kind = COLLECTIONS[request.path_params["collection"]]
        items = self._registry.items(request.path_params["workspace"], kind)
        return json_response([item._asdict() for item in items])

    async def item(self, request: Request) -> Response:
        """Show one item."""
        return _item_response(self._registry.get(*_item_key(request)))

    async def history(self, request: Request) -> Response:
        """Show the latest versions of one item."""
        items = self._registry.history(*_item_key(request))
        return json_response([item._asdict() for item in items])

    async def publish(self, request: Request) -> Response:
        """Create or change an item from the version that ``If-Match`` names."""
        body = json_object(await read_body(request, self._max_body))
        return _item_response(
            await self._registry.publish(
                *_item_key(request), _base_version(request), body, author_of(request)
            )
        )

    async def delete(self, request: Request) -> Response:
        """Delete an item from the version that ``If-Match`` names."""
        item = await self._registry.publish(
            *_item_key(request), _base_version(request), None, author_of(request)
        )
        return json_response({"version": item.version})

    async def submit(self, request: Request) -> Response:
        """Submit a job from a template; a repeated key returns the same job."""
        body = json_object(await read_body(request, self._max_body))
        template = body.get("template")
        if not isinstance(template, str):
            raise InvalidField(field="template", problem="missing", allowed="a template's name")
        parameters = body.get("parameters", {})
        if not isinstance(parameters, dict):
            raise InvalidField(field="parameters", problem="wrong type", allowed="an object")
        key = body.get("key") or uuid.uuid4().hex
        if not isinstance(key, str):
            raise InvalidField(field="key", problem="wrong type", allowed="a string")
        status = await self._jobs.submit(_workspace(request), template, parameters, key)
        return json_response(status, 202)

    async def job(self, request: Request) -> Response:
        """Show a job, waiting up to ``wait`` seconds for its end."""
        job = request.path_params["job"]
        wait = _number_parameter(request, "wait", MAX_WAIT_SECONDS)
        if wait > 0:
            return json_response(await self._jobs.wait(job, wait))
        return json_response(await self._jobs.status(job))

    async def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        return json_response(await self._jobs.cancel(request.path_params["job"]))

    async def cancel_matching(self, request: Request) -> Response:
        """Cancel the jobs of a workspace whose fields equal those in the query."""
        selector = dict(request.query_params)
        count = await self._jobs.cancel_matching(_workspace(request), selector)
        return json_response({"cancelled": count})

    async def explain(self, request: Request) -> Response:
        """Show which rule or resource prevents a job from starting."""
        return json_response(await self._jobs.explain(request.path_params["job"]))

    async def use(self, request: Request) -> Response:
        """Show what a workspace has booked."""
        return json_response(await self._jobs.use(_workspace(request)))

    async def workers(self, request: Request) -> Response:
        """List the workers with their free resources."""
        return json_response(await self._jobs.workers())


def _item_key(request: Request) -> tuple[str, str, str]:
    kind = COLLECTIONS[request.path_params["collection"]]
    return _workspace(request), kind, check_name("name", request.path_params["name"])


def _workspace(request: Request) -> str:
    return check_name("workspace", request.path_params["workspace"])


def _base_version(request: Request) -> int:
    text = request.headers.get("if-match", "0").strip('"')
    if not re.fullmatch(r"\d{1,18}", text):
        raise InvalidField(field="if-match", problem=f"{text!r}", allowed="a version number")
    return int(text)


def author_of(request: Request) -> str:
    """Return the name under which an operator's change is recorded."""
    return request.headers.get("x-author", "operator")[:MAX_AUTHOR_LENGTH]


def _number_parameter(request: Request, name: str, maximum: float) -> float:
    text = request.query_params.get(name, "0")
    try:
        value = msgspec.convert(text, float, strict=False)
    except msgspec.ValidationError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise InvalidField(field=name, problem=f"{text!r}", allowed=f"0 to {maximum}")
    return value


def _item_response(item: Item) -> Response:
    fields: dict[str, Any] = item._asdict()
    return json_response(fields, headers={"etag": f'"{item.version}"'})
