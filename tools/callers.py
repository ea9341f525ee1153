"""Callers behind a small load balancer, which record the answers they get."""

from __future__ import annotations

import hashlib
import itertools
import random
import time
from typing import Any, NamedTuple

import anyio
import msgspec

from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.services.runner import Answer
from standins.checker import SAFE_METHODS, CallerAnswer, ReportedOutcome

READINESS_PERIOD_SECONDS = 0.25
READINESS_TIMEOUT_SECONDS = 0.5
NO_ENTRY_PAUSE_SECONDS = 0.1
DEADLINE_GRACE_SECONDS = 1.0
MAX_ATTEMPTS = 6
MAX_PAUSE_SECONDS = 0.5
LOST_ANSWER_PAUSE_SECONDS = 0.1


class CallerRequest(NamedTuple):
    """Request of a caller; ``key`` is empty if it is idempotent, ``deadline`` is in seconds."""

    workspace: str
    upstream: str
    method: str
    path: str
    key: str
    body: bytes
    work_ms: float
    deadline: float


class Outcome(NamedTuple):
    """Final answer to a request after all its attempts; ``waited`` is in seconds."""

    request: CallerRequest
    answer: CallerAnswer
    attempts: int
    waited: float


class Balancer:
    """Sends requests to the ready entries in round-robin order.

    A request is retried at another entry only if it was reported as not run or is idempotent.

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
            entry: ChannelSet(address, READINESS_TIMEOUT_SECONDS)
            for entry, address in entries.items()
        }
        self._ready: set[str] = set()
        self._next_index = itertools.count()
        self._ids = (f"{name}{number}" for number in itertools.count())
        self.answers: list[CallerAnswer] = []
        self.outcomes: list[Outcome] = []

    @property
    def ready(self) -> list[str]:
        """Entries whose latest readiness check passed."""
        return [entry for entry in self._names if entry in self._ready]

    async def run(self) -> None:
        """Check the readiness of the entries periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            for entry in self._names:
                tasks.start_soon(self._check_readiness, entry)

    async def send(self, request: CallerRequest) -> Outcome:
        """Send a request, retry it where that is safe, and return its final answer."""
        started = time.monotonic()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            answer, pause = await self._attempt(request)
            self.answers.append(answer)
            if attempt == MAX_ATTEMPTS or not _may_retry(request, answer, pause):
                break
            seconds = LOST_ANSWER_PAUSE_SECONDS if pause is None else pause
            await anyio.sleep(min(seconds, MAX_PAUSE_SECONDS))
        outcome = Outcome(request, answer, attempt, time.monotonic() - started)
        self.outcomes.append(outcome)
        return outcome

    async def call(
        self, method: str, target: str, value: Any = None, headers: dict[str, str] | None = None
    ) -> Answer:
        """Send an operator's call to the next ready entry, once.

        Raises
        ------
        NotSent, ExchangeBroken
            No complete answer was received.
        """
        entry = await self._pick_entry()
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

    async def _check_readiness(self, entry: str) -> None:
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
            await anyio.sleep(READINESS_PERIOD_SECONDS)

    async def _pick_entry(self) -> str | None:
        if not self._ready:
            await anyio.sleep(NO_ENTRY_PAUSE_SECONDS)
        ready = self.ready
        return ready[next(self._next_index) % len(ready)] if ready else None

    async def _attempt(self, request: CallerRequest) -> tuple[CallerAnswer, float | None]:
        """Send once; return the answer and the pause in seconds before a retry, if one is given."""
        entry = await self._pick_entry()
        unsent = CallerAnswer(
            next(self._ids),
            request.key,
            request.method,
            hashlib.sha256(request.body).hexdigest()[:16],
            entry or "",
            time.monotonic(),
            0.0,
            ReportedOutcome.NOT_RUN,
            0,
            "no_entry",
            "",
            "",
            "",
        )
        if entry is None:
            return unsent._replace(answered=time.monotonic()), NO_ENTRY_PAUSE_SECONDS
        headers = [
            ("x-request-id", unsent.request_id),
            ("x-work-ms", str(request.work_ms)),
            ("x-deadline-seconds", str(request.deadline)),
        ]
        if request.key:
            headers.append(("idempotency-key", request.key))
        target = f"/v1/workspaces/{request.workspace}/upstreams/{request.upstream}/{request.path}"
        pause: float | None = 0.0
        try:
            answer = await self._channels[entry].request(
                request.method,
                target,
                request.body,
                headers,
                request.deadline + DEADLINE_GRACE_SECONDS,
            )
            result, pause = _parse_answer(unsent, answer)
        except NotSent:
            self._ready.discard(entry)
            result = unsent._replace(code="no_connection")
        except ExchangeBroken:
            result, pause = unsent._replace(reported=ReportedOutcome.BROKEN, code="broken"), None
        return result._replace(answered=time.monotonic()), pause


class Load:
    """Requests of the callers of both workspaces, at a constant rate.

    Parameters
    ----------
    balancer : Balancer
        Sends the requests.
    seed : int
        Seed of the random mix of requests.
    """

    def __init__(self, balancer: Balancer, seed: int) -> None:
        self._balancer = balancer
        self._rng = random.Random(seed)
        self._seed = seed

    async def run(
        self, seconds: float, checks_per_second: float, records_per_second: float
    ) -> None:
        """Send idempotent and non-idempotent requests at the given rates."""
        rate = checks_per_second + records_per_second
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(int(seconds * rate)):
                await anyio.sleep(max(0.0, started + number / rate - time.monotonic()))
                is_check = self._rng.random() < checks_per_second / rate
                tasks.start_soon(self._balancer.send, self._request(number, is_check))

    def _request(self, number: int, is_check: bool) -> CallerRequest:
        marking = self._rng.random() < 0.5
        workspace, upstream = ("legoff", "marking") if marking else ("ongkinh", "booking")
        if is_check:
            return CallerRequest(workspace, upstream, "GET", "check", "", b"", 4.0, 3.0)
        body = f"{upstream} {number}".encode()
        key = f"{self._seed}-{number}"
        path = "grades" if marking else "reservations"
        return CallerRequest(workspace, upstream, "POST", path, key, body, 10.0, 5.0)


def _may_retry(request: CallerRequest, answer: CallerAnswer, pause: float | None) -> bool:
    if answer.reported is ReportedOutcome.NOT_RUN:
        return pause is not None
    outcome_unknown = answer.reported in (ReportedOutcome.BROKEN, ReportedOutcome.UNKNOWN)
    return outcome_unknown and request.method in SAFE_METHODS


def _parse_answer(unsent: CallerAnswer, answer: Answer) -> tuple[CallerAnswer, float | None]:
    headers = dict(answer.headers)
    result = unsent._replace(status=answer.status, code="")
    try:
        body = msgspec.json.decode(answer.body) if answer.body else {}
    except msgspec.DecodeError:
        body = {}
    if "digest" in body:
        result = result._replace(
            reported=ReportedOutcome.ANSWER,
            echo_request_id=body["request_id"],
            echo_key=body["key"],
            echo_digest=body["digest"],
            replayed=headers.get("x-replayed") == "true",
        )
    elif "code" in body:
        result = result._replace(reported=ReportedOutcome(body["ran"]), code=body["code"])
        return result, body.get("retry_after")
    else:
        result = result._replace(reported=ReportedOutcome.RAN)
    return result, None
