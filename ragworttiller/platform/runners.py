"""Client of the platform's runners: orders to renew leases and to start, pace and stop runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ragworttiller.exceptions import (
    AppendFenced,
    OrderRefused,
    OrderUndecided,
    RunnerGone,
)
from ragworttiller.platform.boots import born_at, runner_id
from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import Answer, Exchange, ExchangeBroken, NotSent
from ragworttiller.platform.runner_answers import (
    MAX_REASON_CHARACTERS,
    MAX_TIME_MS,
    HoldAnswer,
    RunnerAnswer,
    decode_answer,
    decode_hold,
)
from ragworttiller.scheduling.state.jobs import TaskId

log = logging.getLogger(__name__)

ORDER_TIMEOUT_SECONDS = 0.7
MISDIRECTED_STATUS = 421
UNHEALTHY_STATUSES = (429, 503)
HOLD_TARGET = "/-/hold"
FENCED_REASON = "fence"
# Reasons that no runner gives: no connection was opened, or none is accepted at the address.
UNREACHABLE_REASON = "unreachable"
UNUSED_ADDRESS_REASON = "nothing listens"
NOT_SENT_REASONS = (UNREACHABLE_REASON, UNUSED_ADDRESS_REASON)
INSTANCE_HEADER = "Ragworttiller-Target-Instance"


class Start(NamedTuple):
    """Order to start a task; ``deadline`` is on the runner's clock, in seconds."""

    task: TaskId
    run: int
    spec: str
    deadline: float
    checkpoint: str
    ticket: str


class RunnerClient:
    """Client of one boot of a runner.

    A later boot may have the same identifier. So each connection begins with a hold that
    acknowledges and renews nothing, and orders are sent only on one on which this boot has
    answered: what one boot has counted is never told to the next.

    Parameters
    ----------
    runner : str
        Name of the boot.
    address : str
        ``host:port``.
    channels : ChannelSet, optional
        Connections to use in place of new ones to the address.
    """

    def __init__(self, runner: str, address: str, channels: ChannelSet | None = None) -> None:
        self._runner = runner
        self._born = born_at(runner)
        self._token = 0
        self._channels = channels or ChannelSet(address, ORDER_TIMEOUT_SECONDS)
        if self._born:
            self._channels.on_open = self._identify
        headers = [(INSTANCE_HEADER, runner_id(runner)), ("content-type", "application/json")]
        self._headers = headers

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float | None = None,
    ) -> HoldAnswer:
        """Renew the lease of all running tasks and return running tasks and ended runs.

        Parameters
        ----------
        token : int
            Fencing token.
        seen : int
            Number of the last ended run that the runner may discard.
        deadline : float, optional
            End of the lease on the runner's clock, in seconds; by default it is not changed.
        wait : float
            Seconds to wait for a run to end.
        timeout : float, optional
            Seconds to wait for the answer; by default as for other orders, after ``wait``.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            The runner has seen a higher token, refused or was unreachable, did not answer, or has
            restarted.
        """
        body: dict[str, Any] = {"fence_token": token, "last_seen": seen}
        if wait > 0:
            body["wait_ms"] = int(wait * 1000)
        if deadline is not None:
            body["deadline_ms"] = int(deadline * 1000)
        answer = await self._send_order(HOLD_TARGET, body, wait, timeout)
        self._check_boot(answer, HOLD_TARGET)
        if answer.clock_ms is None or not 0 <= answer.clock_ms <= MAX_TIME_MS:
            # Without the runner's clock, empty lists are no statement of the runner.
            extra = {"runner": self._runner, "clock_ms": answer.clock_ms}
            log.warning("hold answered without a clock", extra=extra)
            raise OrderUndecided(runner=self._runner, order=HOLD_TARGET)
        return decode_hold(answer, seen)

    async def start(self, order: Start, token: int, timeout: float | None = None) -> float:
        """Start a task and return the runner's clock in seconds.

        Parameters
        ----------
        order : Start
            Order to send.
        token : int
            Fencing token.
        timeout : float, optional
            Seconds to wait for the answer; by default as for other orders.

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
        answer = await self._send_order("/-/run-start", body, timeout=timeout)
        return (answer.clock_ms or 0.0) / 1000

    async def stop(self, task: TaskId, run: int, token: int) -> None:
        """Stop a run; a later `hold` reports its end.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            As for `hold`.
        """
        await self._send_order("/-/run-stop", {"task": str(task), "run": run, "fence_token": token})

    async def pace(self, task: TaskId, run: int, percent: int, token: int) -> None:
        """Let a run work, and disturb others, at a percent of its pace; 100 from its start.

        An order without an answer may still be carried out seconds later.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            As for `hold`.
        """
        body = {"task": str(task), "run": run, "percent": percent, "fence_token": token}
        await self._send_order("/-/pace", body)

    def set_slack(self, slack: Callable[[], float]) -> None:
        """Set the function that returns the seconds by which each wait is longer."""
        self._channels.slack = slack

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()

    async def _send_order(
        self, target: str, body: dict[str, Any], wait: float = 0.0, timeout: float | None = None
    ) -> RunnerAnswer:
        self._token = body["fence_token"]
        content = msgspec.json.encode(body)
        timeout = timeout or ORDER_TIMEOUT_SECONDS + wait
        try:
            answer = await self._channels.request("POST", target, content, self._headers, timeout)
        except NotSent as exc:
            reason = UNUSED_ADDRESS_REASON if exc.refused else UNREACHABLE_REASON
            raise OrderRefused(runner=self._runner, order=target, reason=reason) from exc
        except ExchangeBroken as exc:
            raise OrderUndecided(runner=self._runner, order=target) from exc
        return self._decode(answer, target)

    async def _identify(self, exchange: Exchange) -> None:
        """Find out which boot answers on a new connection.

        Raises
        ------
        AppendFenced, OrderRefused, OrderUndecided, RunnerGone
            As for `hold`; OrderUndecided is also raised for an answer of an earlier boot.
        """
        body = msgspec.json.encode({"fence_token": self._token, "last_seen": 0})
        answer = await exchange("POST", HOLD_TARGET, body, self._headers)
        self._check_boot(self._decode(answer, HOLD_TARGET), HOLD_TARGET)

    def _check_boot(self, answer: RunnerAnswer, target: str) -> None:
        """Raise RunnerGone for the answer of a later boot, OrderUndecided for an earlier one's."""
        if not self._born or answer.born is None or answer.born == self._born:
            return
        extra = {"runner": self._runner, "born": answer.born}
        log.info("another boot answers under the identifier", extra=extra)
        if self._born < answer.born <= MAX_TIME_MS:
            raise RunnerGone(runner=self._runner)
        raise OrderUndecided(runner=self._runner, order=target)

    def _decode(self, answer: Answer, target: str) -> RunnerAnswer:
        """Return the decoded answer to an order that was carried out."""
        if answer.status == MISDIRECTED_STATUS:
            raise RunnerGone(runner=self._runner)
        if answer.status in UNHEALTHY_STATUSES:
            raise OrderRefused(runner=self._runner, order=target, reason="unhealthy")
        if answer.status != 200 and not answer.refused:
            extra = {"runner": self._runner, "order": target, "status": answer.status}
            log.warning("order answered without a result", extra=extra)
            raise OrderUndecided(runner=self._runner, order=target)
        try:
            decoded = decode_answer(answer.body or b"{}")
        except (msgspec.MsgspecError, RecursionError) as exc:
            extra = {"runner": self._runner, "order": target, "why": str(exc)}
            log.warning("unreadable answer of a runner", extra=extra)
            raise OrderUndecided(runner=self._runner, order=target) from exc
        if answer.status == 200:
            return decoded
        if decoded.reason == FENCED_REASON:
            raise AppendFenced(stream=self._runner, epoch=self._token)
        reason = decoded.reason[:MAX_REASON_CHARACTERS] or f"status {answer.status}"
        raise OrderRefused(runner=self._runner, order=target, reason=reason)
