"""HTTP responses for results and errors."""

from __future__ import annotations

import functools
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ragworttiller.exceptions import InvalidField, RagworttillerError

log = logging.getLogger(__name__)

Endpoint = Callable[[Request], Awaitable[Response]]

_encoder = msgspec.json.Encoder()


def json_response(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return a JSON response."""
    return Response(_encoder.encode(value), status, headers, "application/json")


def error_response(error: RagworttillerError) -> Response:
    """Return the response for an error, with ``Retry-After`` if the error has one."""
    headers = {"x-ran": error.ran.value}
    if error.retry_after is not None:
        headers["retry-after"] = str(math.ceil(error.retry_after))
    return json_response(error.body(), error.status, headers)


def handle_errors(endpoint: Endpoint) -> Endpoint:
    """Convert the errors that an endpoint raises into responses."""

    @functools.wraps(endpoint)
    async def call(request: Request) -> Response:
        try:
            return await endpoint(request)
        except RagworttillerError as exc:
            return error_response(exc)
        except Exception:
            log.exception("%s %s failed", request.method, request.url.path)
            return error_response(RagworttillerError())

    return call


def json_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise `InvalidField` for anything else."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as exc:
        raise InvalidField(field="body", problem=str(exc), allowed="a JSON object") from exc
