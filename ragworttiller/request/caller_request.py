"""Reading and validation of callers' requests."""

from __future__ import annotations

import math
import uuid
from typing import NamedTuple

from starlette.requests import Request

from ragworttiller.connection.bounded_protocol import RECEIVE_SECONDS
from ragworttiller.connection.request_policy import Headers
from ragworttiller.exceptions import BodyTooLarge, InvalidField, KeyMissing
from ragworttiller.services.runner import Exchange

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 200
MAX_NAME_LENGTH = 100
NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-seconds"
FORWARDED_HEADERS = frozenset({"accept", "content-type", "x-request-id", "x-work-ms"})


class ValidatedRequest(NamedTuple):
    """Validated request of a caller.

    ``attempt`` is the unique id of this request; ``key`` is the idempotency key, None for
    idempotent methods; ``budget`` is the caller's time limit in seconds.
    """

    attempt: str
    workspace: str
    upstream: str
    exchange: Exchange
    key: str | None
    budget: float

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent more than once."""
        return self.key is None


async def read_request(request: Request, max_body: int, default_budget: float) -> ValidatedRequest:
    """Read and validate a caller's request, including its body.

    Parameters
    ----------
    request : Request
        Request with the path parameters ``workspace``, ``upstream`` and ``path``.
    max_body : int
        Maximum size of the body in bytes.
    default_budget : float
        Time limit for the answer in seconds if the caller sets none; also the maximum that the
        caller may set.

    Raises
    ------
    InvalidField, KeyMissing, BodyTooLarge
        The request is invalid; it was not sent anywhere.
    """
    workspace = check_name("workspace", request.path_params["workspace"])
    upstream = check_name("upstream", request.path_params["upstream"])
    key = _key(request)
    receive_seconds = request.scope.get("state", {}).get(RECEIVE_SECONDS, 0.0)
    budget = max(_budget(request, default_budget) - receive_seconds, 0.0)
    body = await read_body(request, max_body)
    headers = [(k, v) for k, v in request.headers.items() if k in FORWARDED_HEADERS]
    attempt = uuid.uuid4().hex
    headers.append(("x-attempt", attempt))
    if key is not None:
        headers.append((KEY_HEADER, key))
    query = f"?{request.url.query}" if request.url.query else ""
    exchange = Exchange(request.method, f"/{request.path_params['path']}{query}", headers, body)
    return ValidatedRequest(attempt, workspace, upstream, exchange, key, budget)


async def read_body(request: Request, limit: int) -> bytes:
    """Read the body of a request; raise `BodyTooLarge` above ``limit`` bytes."""
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            raise BodyTooLarge(limit=limit)
        parts.append(part)
    return b"".join(parts)


def check_name(field: str, value: str) -> str:
    """Return a name if its characters and length are valid; raise `InvalidField` otherwise."""
    if 0 < len(value) <= MAX_NAME_LENGTH and NAME_CHARACTERS.issuperset(value):
        return value
    raise InvalidField(
        field=field,
        problem=f"{value[:MAX_NAME_LENGTH]!r} is not a name",
        allowed=f"1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.'",
    )


def _key(request: Request) -> str | None:
    if request.method in IDEMPOTENT_METHODS:
        return None
    key = request.headers.get(KEY_HEADER)
    if not key:
        raise KeyMissing(method=request.method)
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise InvalidField(
            field=KEY_HEADER,
            problem="malformed key",
            allowed=f"1 to {MAX_KEY_LENGTH} printable characters",
        )
    return key


def caller_timeout(headers: Headers) -> float | None:
    """Return the seconds for which the sender of a request waits, None if it does not say."""
    text = dict(headers).get(DEADLINE_HEADER.encode())
    if text is None:
        return None
    return _seconds(text.decode("latin-1"))


def _seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan


def _budget(request: Request, default: float) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default
    value = _seconds(text)
    if not 0 < value <= default:
        raise InvalidField(
            field=DEADLINE_HEADER, problem=f"{text!r}", allowed=f"more than 0, up to {default} s"
        )
    return value
