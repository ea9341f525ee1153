"""One start order to a runner, retried while it has no answer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ragworttiller.exceptions import OrderRefused, OrderUndecided
from ragworttiller.platform.runners import RunnerClient, Start

log = logging.getLogger(__name__)

# Well above a usual response time; retrying a lost order is faster than waiting for its answer.
ATTEMPT_TIMEOUTS_SECONDS = (0.2, 0.4, 0.7)


async def call_start(
    client: RunnerClient, start: Start, token: int, still_needed: Callable[[], bool]
) -> None:
    """Order a start, and retry with the same run number if there is no answer.

    Orders are idempotent: a runner starts a run only once, and not after the run has ended. But an
    unanswered order may still be carried out until its deadline. So a run that is refused after an
    unanswered attempt may have started, and counts as undecided.

    Parameters
    ----------
    client : RunnerClient
        Client of the runner.
    start : Start
        The order.
    token : int
        Fencing token.
    still_needed : Callable
        Returns whether an unanswered order should be retried.

    Raises
    ------
    OrderRefused
        The runner does not start the run.
    OrderUndecided
        The runner may start the run until the deadline.
    AppendFenced, RunnerGone
        As for `RunnerClient.hold`.
    """
    unanswered: OrderUndecided | None = None
    for seconds in ATTEMPT_TIMEOUTS_SECONDS:
        if unanswered is not None and not still_needed():
            break
        try:
            await client.start(start, token, seconds)
            return
        except OrderUndecided as exc:
            unanswered = exc
            log.info("start order unanswered", extra={"task": str(start.task), "run": start.run})
        except OrderRefused as exc:
            if unanswered is None:
                raise
            extra = {"task": str(start.task), "run": start.run, "why": exc.fields["reason"]}
            log.info("retried start order refused", extra=extra)
            break
    assert unanswered is not None
    raise unanswered
