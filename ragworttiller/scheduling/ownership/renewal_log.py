"""Logs when the owner begins and ends to withhold the renewals of runners' leases."""

from __future__ import annotations

import logging

from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState

log = logging.getLogger(__name__)


class _Withheld:
    """Renewals of one runner that are withheld since a time in seconds.

    Attributes
    ----------
    answers_since : float or None
        Time at which it was first seen to answer again, None while it does not.
    """

    def __init__(self, since: float) -> None:
        self.since = since
        self.answers_since: float | None = None


class RenewalLog:
    """Writes a line when renewals of a runner are withheld, and one when they are granted again.

    A run may lapse since its runner is silent, or since the owner renews no lease although the
    runner answers: the lines tell which.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    """

    def __init__(self, pool: RunnerPool) -> None:
        self._pool = pool
        self._withheld: dict[str, _Withheld] = {}

    def observe(self, now: float) -> None:
        """Compare what is withheld with the last call; called at each claim.

        Parameters
        ----------
        now : float
            Time of the owner, in seconds.
        """
        runners = self._pool.runners
        for name in self._withheld.keys() - runners.keys():
            del self._withheld[name]
        for runner in runners.values():
            suspect = runner.suspect(now)
            if suspect or runner.renewal_withheld:
                self._record_withheld(runner, suspect, now)
            elif runner.id in self._withheld and not runner.lost:
                self._record_granted(runner, now)

    def _record_withheld(self, runner: RunnerState, suspect: bool, now: float) -> None:
        row = self._withheld.get(runner.id)
        if row is None:
            row = self._withheld[runner.id] = _Withheld(now)
            extra = {
                "runner": runner.id,
                "why": "it does not answer" if suspect else "by the claim of an earlier owner",
                "heard": runner.silent_seconds(now),
                "misses": runner.misses,
                "runs": len(runner.runs),
                "lease_left": runner.lease_left(now),
            }
            log.info("lease renewals withheld", extra=extra)
        if not runner.has_answered or runner.misses:
            row.answers_since = None
        elif row.answers_since is None:
            row.answers_since = now

    def _record_granted(self, runner: RunnerState, now: float) -> None:
        row = self._withheld.pop(runner.id)
        answers_since = now if row.answers_since is None else row.answers_since
        extra = {
            "runner": runner.id,
            "seconds": round(now - row.since, 3),
            "answering": round(now - answers_since, 3),
            "heard": runner.silent_seconds(now),
            "runs": len(runner.runs),
        }
        log.info("lease renewals granted again", extra=extra)
