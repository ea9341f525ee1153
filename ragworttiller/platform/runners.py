"""Client of the platform's runners: holds, starts, stops and pace."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ragworttiller.exceptions import (
    AppendFenced,
    OrderRefused,
    OrderUndecided,
    RunnerGone,
    Unreadable,
)
from ragworttiller.platform.channel import ChannelSet, ExchangeBroken, NotSent
from ragworttiller.platform.names import task_id
from ragworttiller.scheduling.jobs import TaskId

ORDER_TIMEOUT_SECONDS = 0.7
MISDIRECTED = 421
UNHEALTHY = (429, 503)
FENCED = "fence"
INSTANCE_HEADER = "Ragworttiller-Target-Instance"


class RunningTask(NamedTuple):
    """Row of a task that runs; ``load`` is a tail in ms for a serving task, else cpu in use."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRun(NamedTuple):
    """End of a run, numbered by the runner; ``how`` is the runner's word for it."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str


class HoldAnswer(NamedTuple):
    """Answer to a hold; ``clock`` is the runner's clock in seconds."""

    clock: float
    running: list[RunningTask]
    ended: list[EndedRun]
    unreadable: int


class Start(NamedTuple):
    """Order to start a task; ``deadline`` is on the runner's clock, in seconds."""

    task: TaskId
    run: int
    spec: str
    deadline: float
    checkpoint: str
    ticket: str


class _Answer(msgspec.Struct):
    clock_ms: float = 0.0
    reason: str = ""
    running: list[list[Any]] = []
    ended_runs: list[list[Any]] = []


class RunnerClient:
    """One boot of a runner.

    Parameters
    ----------
    runner : str
        Identifier of the boot.
    address : str
        ``host:port``.
    channels : ChannelSet, optional
        Connections to use in place of new ones to the address.
    """

    def __init__(self, runner: str, address: str, channels: ChannelSet | None = None) -> None:
        self._runner = runner
        self._channels = channels or ChannelSet(address, ORDER_TIMEOUT_SECONDS)
        self._headers = [(INSTANCE_HEADER, runner), ("content-type", "application/json")]

    async def hold(self, token: int, seen: int, deadline: float | None, wait: float) -> HoldAnswer:
        """Renew the lease of all that runs and return what runs and what has ended.

        Parameters
        ----------
        token : int
            Fencing token.
        seen : int
            Number of the last end that the runner may forget.
        deadline : float, optional
            End of the lease on the runner's clock, in seconds; none leaves it as it is.
        wait : float
            Seconds to wait for an end.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            The runner has seen a higher token, refuses, did not answer or is another boot.
        """
        body: dict[str, Any] = {"fence_token": token, "last_seen": seen}
        if wait > 0:
            body["wait_ms"] = int(wait * 1000)
        if deadline is not None:
            body["deadline_ms"] = int(deadline * 1000)
        answer = await self._order("/-/hold", body, wait)
        running = [_running(row) for row in answer.running]
        ended = [_ended(row) for row in answer.ended_runs]
        return HoldAnswer(
            answer.clock_ms / 1000,
            [row for row in running if row],
            [row for row in ended if row],
            running.count(None) + ended.count(None),
        )

    async def start(self, order: Start, token: int, timeout: float | None = None) -> float:
        """Start a task and return the runner's clock in seconds.

        Parameters
        ----------
        order : Start
            The order.
        token : int
            Fencing token.
        timeout : float, optional
            Seconds to wait for the answer, those of other orders by default.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            As for `hold`.
        """
        body: dict[str, Any] = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.deadline * 1000),
            "fence_token": token,
        }
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._order("/-/run-start", body, timeout=timeout)
        return answer.clock_ms / 1000

    async def stop(self, task: TaskId, run: int, token: int) -> None:
        """Stop a run; its end is listed later.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            As for `hold`.
        """
        await self._order("/-/run-stop", {"task": str(task), "run": run, "fence_token": token})

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()

    async def _order(
        self, target: str, body: dict[str, Any], wait: float = 0.0, timeout: float | None = None
    ) -> _Answer:
        content = msgspec.json.encode(body)
        timeout = timeout or ORDER_TIMEOUT_SECONDS + wait
        try:
            answer = await self._channels.request("POST", target, content, self._headers, timeout)
        except NotSent as exc:
            raise OrderRefused(runner=self._runner, order=target, reason="unreachable") from exc
        except ExchangeBroken as exc:
            raise OrderUndecided(runner=self._runner, order=target) from exc
        if answer.status == MISDIRECTED:
            raise RunnerGone(runner=self._runner)
        if answer.status in UNHEALTHY:
            raise OrderRefused(runner=self._runner, order=target, reason="unhealthy")
        try:
            decoded = msgspec.json.decode(answer.body or b"{}", type=_Answer)
        except msgspec.MsgspecError as exc:
            raise OrderUndecided(runner=self._runner, order=target) from exc
        if answer.status == 200:
            return decoded
        if decoded.reason == FENCED:
            raise AppendFenced(stream=self._runner, epoch=body["fence_token"])
        reason = decoded.reason or f"status {answer.status}"
        raise OrderRefused(runner=self._runner, order=target, reason=reason)


def _running(row: list[Any]) -> RunningTask | None:
    try:
        task, run, checkpoint, percent, *rest = row
        load = float(rest[0]) if rest else 0.0
        return RunningTask(task_id(task), int(run), checkpoint or "", float(percent), load)
    except (Unreadable, TypeError, ValueError):
        return None


def _ended(row: list[Any]) -> EndedRun | None:
    try:
        number, task, run, how, checkpoint = row
        return EndedRun(int(number), task_id(task), int(run), how, checkpoint or "")
    except (Unreadable, TypeError, ValueError):
        return None
