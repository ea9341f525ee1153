"""Stand-in for the platform's directory, whose changes become visible late."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.timers import TimerService
from standins.serving import json_answer

KINDS = ("entries", "runners", "workers")


class Change(NamedTuple):
    """Change that becomes visible at ``at``; ``row`` is None for a removal."""

    at: float
    kind: str
    name: str
    row: dict[str, Any] | None


class DirectoryServer:
    """Directory of entries, runners and workers.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    lag : float
        Seconds after which a change becomes visible.
    """

    def __init__(self, timers: TimerService, lag: float) -> None:
        self._timers = timers
        self._lag = lag
        self._down = False
        self._rows: dict[str, dict[str, dict[str, Any]]] = {kind: {} for kind in KINDS}
        self._changes: list[Change] = []
        self._version = 1

    @property
    def routes(self) -> list[Route]:
        """Routes of the directory."""
        return [
            Route("/directory", self._list, methods=["GET"]),
            Route("/directory", self._set_faults, methods=["POST"]),
            Route("/directory/{kind}/{name}", self._change, methods=["PUT", "DELETE"]),
        ]

    async def _list(self, request: Request) -> Response:
        if self._down:
            return Response(status_code=503)
        self._apply_due()
        etag = f'"{self._version}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=304)
        answer = json_answer({kind: list(rows.values()) for kind, rows in self._rows.items()})
        answer.headers["etag"] = etag
        return answer

    async def _set_faults(self, request: Request) -> Response:
        """Set ``down`` and ``lag``."""
        faults = msgspec.json.decode(await request.body(), type=dict[str, float])
        self._down = bool(faults.get("down", 0))
        self._lag = faults.get("lag", self._lag)
        return Response()

    async def _change(self, request: Request) -> Response:
        kind = request.path_params["kind"]
        if kind not in KINDS:
            return Response(status_code=404)
        row = msgspec.json.decode(await request.body()) if request.method == "PUT" else None
        lag = float(request.query_params.get("lag", self._lag))
        at = self._timers.now() + lag
        self._changes.append(Change(at, kind, request.path_params["name"], row))
        return Response()

    def _apply_due(self) -> None:
        now = self._timers.now()
        due = [change for change in self._changes if change.at <= now]
        self._changes = [change for change in self._changes if change.at > now]
        self._version += len(due)
        for change in due:
            if change.row is None:
                self._rows[change.kind].pop(change.name, None)
            else:
                self._rows[change.kind][change.name] = change.row
