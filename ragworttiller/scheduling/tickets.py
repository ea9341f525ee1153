"""What the advisor has said of a stage: which runners may run it, and for how long it was said."""

from __future__ import annotations

from collections.abc import Iterable

SEND_MARGIN_SECONDS = 0.1


class Tickets:
    """Tickets of one stage.

    Which runners may run a stage does not change; only the tickets expire.

    Attributes
    ----------
    allowed, denied : set of str
        Runners that may and may not run the stage.
    call_deadline : float
        Time at which a call that is under way will have ended, 0 if there is none.
    recheck_at : float
        Time until which no runner is taken to lack a ticket that would help.
    """

    def __init__(self) -> None:
        self.allowed: set[str] = set()
        self.denied: set[str] = set()
        self.call_deadline = 0.0
        self.recheck_at = 0.0
        self._tickets: dict[str, tuple[str, float]] = {}

    def record_advice(
        self, asked: Iterable[str], good: dict[str, str], asked_at: float, validity: float
    ) -> None:
        """Take over an answer about the runners ``asked``.

        Parameters
        ----------
        asked : iterable of str
            Runners that were named.
        good : dict of str to str
            Ticket of each runner that may run the stage.
        asked_at : float
            Earliest time at which the tickets may have been issued, in seconds.
        validity : float
            Life of a ticket, in seconds.
        """
        for runner in asked:
            (self.allowed if runner in good else self.denied).add(runner)
        for runner, ticket in good.items():
            self._tickets[runner] = (ticket, asked_at + validity)

    def valid_ticket(self, runner: str, now: float) -> str:
        """Return a ticket that will still hold when an order arrives, empty if there is none."""
        ticket, until = self._tickets.get(runner, ("", 0.0))
        return ticket if until - SEND_MARGIN_SECONDS > now else ""

    def drop(self, runner: str) -> None:
        """Forget a ticket that was refused."""
        self._tickets.pop(runner, None)
