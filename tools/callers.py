"""Callers behind a small balancer, which record what they were told."""

from __future__ import annotations

import hashlib
import itertools
import random
import time
from typing import Any, NamedTuple

import anyio
import msgspec

from ragworttiller.platform.channel import ChannelSet, ExchangeBroken, NotSent
from ragworttiller.services.runner import Answer
from standins.checker import SAFE_METHODS, CallerAnswer, Told

CHECK_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 0.5
NO_ENTRY_SECONDS = 0.1
GRACE_SECONDS = 1.0
MAX_ATTEMPTS = 6
LONGEST_PAUSE_SECONDS = 0.5
LOST_PAUSE_SECONDS = 0.1


class CallerRequest(NamedTuple):
    """Request of a caller; ``key`` is empty for idempotent ones, ``deadline`` is in seconds."""

    workspace: str
    upstream: str
    method: str
    path: str
    key: str
    body: bytes
    work_ms: float
    deadline: float


class Outcome(NamedTuple):
    """End of a request after all its attempts; ``waited`` is in seconds."""

    request: CallerRequest
    answer: CallerAnswer
    attempts: int
    waited: float


class Balancer:
    """Gives each request to the next ready entry.

    A request goes to another entry only if it was surely not run or is idempotent.

    Parameters
    ----------
    entries : dict of str to str
        Address of each entry.
    name : str
        Prefix of request ids.
    """

    def __init__(self, entries: dict[str, str], name: str = "c") -> None:
        self._names = list(entries)
        self._channels = {
            entry: ChannelSet(address, CHECK_TIMEOUT_SECONDS) for entry, address in entries.items()
        }
        self._ready: set[str] = set()
        self._turn = itertools.count()
        self._ids = (f"{name}{number}" for number in itertools.count())
        self.answers: list[CallerAnswer] = []
        self.outcomes: list[Outcome] = []

    @property
    def ready(self) -> list[str]:
        """Entries that get requests."""
        return [entry for entry in self._names if entry in self._ready]

    async def run(self) -> None:
        """Watch the readiness of the entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            for entry in self._names:
                tasks.start_soon(self._watch, entry)

    async def send(self, request: CallerRequest) -> Outcome:
        """Send a request until it has a final answer."""
        began = time.monotonic()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            answer, pause = await self._attempt(request)
            self.answers.append(answer)
            if attempt == MAX_ATTEMPTS or not _again(request, answer, pause):
                break
            seconds = LOST_PAUSE_SECONDS if pause is None else pause
            await anyio.sleep(min(seconds, LONGEST_PAUSE_SECONDS))
        outcome = Outcome(request, answer, attempt, time.monotonic() - began)
        self.outcomes.append(outcome)
        return outcome

    async def call(
        self, method: str, target: str, value: Any = None, headers: dict[str, str] | None = None
    ) -> Answer:
        """Send an operator's call to the next ready entry, once.

        Raises
        ------
        NotSent, ExchangeBroken
            No whole answer came.
        """
        entry = await self._pick()
        if entry is None:
            raise NotSent("no entry is ready")
        return await self.call_entry(entry, method, target, value, headers)

    async def call_entry(
        self,
        entry: str,
        method: str,
        target: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send an operator's call to one entry."""
        body = b"" if value is None else msgspec.json.encode(value)
        pairs = list((headers or {}).items())
        return await self._channels[entry].request(method, target, body, pairs, timeout=10.0)

    async def _watch(self, entry: str) -> None:
        while True:
            try:
                answer = await self._channels[entry].request("GET", "/ready")
                ready = answer.status == 200
            except (NotSent, ExchangeBroken):
                ready = False
            if ready:
                self._ready.add(entry)
            else:
                self._ready.discard(entry)
            await anyio.sleep(CHECK_SECONDS)

    async def _pick(self) -> str | None:
        if not self._ready:
            await anyio.sleep(NO_ENTRY_SECONDS)
        ready = self.ready
        return ready[next(self._turn) % len(ready)] if ready else None

    async def _attempt(self, request: CallerRequest) -> tuple[CallerAnswer, float | None]:
        """Send once; return the answer and after how many seconds to come back, if at all."""
        entry = await self._pick()
        blank = CallerAnswer(
            next(self._ids),
            request.key,
            request.method,
            hashlib.sha256(request.body).hexdigest()[:16],
            entry or "",
            time.monotonic(),
            0.0,
            Told.NOT_RUN,
            0,
            "no_entry",
            "",
            "",
            "",
        )
        if entry is None:
            return blank._replace(answered=time.monotonic()), NO_ENTRY_SECONDS
        headers = [
            ("x-request-id", blank.request_id),
            ("x-work-ms", str(request.work_ms)),
            ("x-deadline-seconds", str(request.deadline)),
        ]
        if request.key:
            headers.append(("idempotency-key", request.key))
        target = f"/v1/workspaces/{request.workspace}/upstreams/{request.upstream}/{request.path}"
        pause: float | None = 0.0
        try:
            answer = await self._channels[entry].request(
                request.method, target, request.body, headers, request.deadline + GRACE_SECONDS
            )
            told, pause = _read(blank, answer)
        except NotSent:
            self._ready.discard(entry)
            told = blank._replace(code="no_connection")
        except ExchangeBroken:
            told, pause = blank._replace(told=Told.BROKEN, code="broken"), None
        return told._replace(answered=time.monotonic()), pause


class Load:
    """Callers of both workspaces at a steady rate.

    Parameters
    ----------
    balancer : Balancer
        Takes the requests.
    seed : int
        Seed of the mix.
    """

    def __init__(self, balancer: Balancer, seed: int) -> None:
        self._balancer = balancer
        self._rng = random.Random(seed)
        self._seed = seed

    async def run(self, seconds: float, checks: float, records: float) -> None:
        """Send ``checks`` idempotent and ``records`` non-idempotent requests a second."""
        rate = checks + records
        began = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(int(seconds * rate)):
                await anyio.sleep(max(0.0, began + number / rate - time.monotonic()))
                check = self._rng.random() < checks / rate
                tasks.start_soon(self._balancer.send, self._request(number, check))

    def _request(self, number: int, check: bool) -> CallerRequest:
        marking = self._rng.random() < 0.5
        workspace, upstream = ("legoff", "marking") if marking else ("ongkinh", "booking")
        if check:
            return CallerRequest(workspace, upstream, "GET", "check", "", b"", 4.0, 3.0)
        body = f"{upstream} {number}".encode()
        key = f"{self._seed}-{number}"
        path = "grades" if marking else "reservations"
        return CallerRequest(workspace, upstream, "POST", path, key, body, 10.0, 5.0)


def _again(request: CallerRequest, answer: CallerAnswer, pause: float | None) -> bool:
    if answer.told is Told.NOT_RUN:
        return pause is not None
    lost = answer.told in (Told.BROKEN, Told.UNKNOWN)
    return lost and request.method in SAFE_METHODS


def _read(blank: CallerAnswer, answer: Answer) -> tuple[CallerAnswer, float | None]:
    headers = dict(answer.headers)
    told = blank._replace(status=answer.status, code="")
    try:
        body = msgspec.json.decode(answer.body) if answer.body else {}
    except msgspec.DecodeError:
        body = {}
    if "digest" in body:
        told = told._replace(
            told=Told.ANSWER,
            echo_request_id=body["request_id"],
            echo_key=body["key"],
            echo_digest=body["digest"],
            replayed=headers.get("x-replayed") == "true",
        )
    elif "code" in body:
        told = told._replace(told=Told(body["ran"]), code=body["code"])
        return told, body.get("retry_after")
    else:
        told = told._replace(told=Told.RAN)
    return told, None
