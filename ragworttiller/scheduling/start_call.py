"""One start order to a runner, repeated while it has no answer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.exceptions import OrderRefused, OrderUndecided
from ragworttiller.platform.runners import RunnerClient, Start

log = logging.getLogger(__name__)

# Far above a usual answer; an order that was lost is better given again than waited for.
TRY_SECONDS = (0.2, 0.4, 0.7)


async def call_start(
    client: RunnerClient, start: Start, token: int, wanted: Callable[[], bool]
) -> None:
    """Order a start, again with the same run number if there is no answer.

    A runner begins a run once however often it is ordered, and not at all after the run has ended.
    The order may be carried out late all the same, until its deadline. So what is refused after a
    try without an answer may have begun, and counts as undecided.

    Parameters
    ----------
    client : RunnerClient
        Client of the runner.
    start : Start
        The order.
    token : int
        Fencing token.
    wanted : Callable
        Returns whether the order is still to be given.

    Raises
    ------
    OrderRefused
        The runner surely does not begin the run.
    OrderUndecided
        It may begin it until the deadline.
    AppendFenced, RunnerGone
        As for `RunnerClient.hold`.
    """
    unanswered: OrderUndecided | None = None
    for seconds in TRY_SECONDS:
        if unanswered is not None and not wanted():
            break
        try:
            await client.start(start, token, seconds)
            return
        except OrderUndecided as exc:
            unanswered = exc
            log.info("start unanswered", extra={"task": str(start.task), "run": start.run})
        except OrderRefused as exc:
            if unanswered is None:
                raise
            extra = {"task": str(start.task), "run": start.run, "why": exc.fields["reason"]}
            log.info("repeated start refused", extra=extra)
            break
    assert unanswered is not None
    raise unanswered
