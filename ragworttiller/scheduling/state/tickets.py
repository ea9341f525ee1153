"""Answers of the advisor about a stage: runners that may run it, and their expiring tickets."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ragworttiller.lazy_members import LazyMembers

SEND_MARGIN_SECONDS = 0.1
# A call that is late by more has probably failed, which is known only after its timeout.
LATE_CALL_SECONDS = 0.5
MAX_LATE_CALLS = 3


class Tickets(LazyMembers):
    """Tickets of one stage.

    Which runners may run a stage does not change; only the tickets expire.

    Attributes
    ----------
    allowed, denied : set of str
        Runners that may and may not run the stage.
    call_deadline : float
        Time until which no other call is made for the stage, 0 if no call is in flight.
    asked_at : float or None
        Time of the last call for the stage, None before the first.
    recheck_at : float
        Time before which the stage is assumed to have all tickets it needs.
    awaits_call : bool
        Whether no search for the runners to name, or no entry, was left for a call that was due.
    urgent_recheck_at : float
        Time before which no runner with room is assumed to need a ticket for the stage, 0 unless
        the last search found none.
    """

    __slots__ = (
        "_call_deadlines",
        "_call_ends",
        "_tickets",
        "allowed",
        "asked_at",
        "awaits_call",
        "call_deadline",
        "denied",
        "recheck_at",
        "urgent_recheck_at",
    )

    MAKERS = {
        "allowed": set,
        "denied": set,
        "_tickets": dict,
        "_call_deadlines": dict,
        "_call_ends": dict,
    }

    allowed: set[str]
    denied: set[str]
    _tickets: dict[str, tuple[str, float]]
    _call_deadlines: dict[str, float]
    _call_ends: dict[str, float]

    def __init__(self) -> None:
        self.call_deadline = 0.0
        self.asked_at: float | None = None
        self.recheck_at = 0.0
        self.awaits_call = False
        self.urgent_recheck_at = 0.0

    @property
    def known(self) -> bool:
        """Whether the advisor has answered about any runner."""
        return bool(self.allowed or self.denied)

    @property
    def allowed_share(self) -> float:
        """Share of the runners asked about that may run the stage; one must be allowed."""
        return len(self.allowed) / (len(self.allowed) + len(self.denied))

    @property
    def asked_entries(self) -> Collection[str]:
        """Entries that make a call for the stage now."""
        return self._call_ends.keys()

    def lacks_call(self, now: float) -> bool:
        """Return whether a call was due and not made, and none is in flight."""
        return self.awaits_call and self.call_deadline <= now

    def calls_are_late(self, now: float) -> bool:
        """Return whether a few calls are in flight, and all should have been answered before."""
        ends = self._call_ends.values()
        return 0 < len(ends) <= MAX_LATE_CALLS and max(ends) + LATE_CALL_SECONDS < now

    def begin_call(self, entry: str, now: float, end: float, deadline: float) -> None:
        """Record a call that an entry makes now.

        Parameters
        ----------
        entry : str
            The entry.
        now, end, deadline : float
            Current time, and when the call should end and is given up, in seconds.
        """
        self.asked_at = now
        self._call_ends[entry] = end
        self._call_deadlines[entry] = deadline
        self.call_deadline = max(self._call_deadlines.values())

    def end_call(self, entry: str) -> None:
        """Record that the call of an entry has ended."""
        self._call_deadlines.pop(entry, None)
        self._call_ends.pop(entry, None)
        self.call_deadline = max(self._call_deadlines.values(), default=0.0)

    def record_advice(
        self, named: Iterable[str], granted: dict[str, str], granted_at: float, validity: float
    ) -> None:
        """Store an answer about the runners ``named``.

        Parameters
        ----------
        named : iterable of str
            Runners named in the call.
        granted : dict of str to str
            Ticket of each runner that may run the stage.
        granted_at : float
            Earliest time at which the tickets may have been granted, in seconds.
        validity : float
            Validity of a ticket, in seconds.
        """
        for runner in named:
            (self.allowed if runner in granted else self.denied).add(runner)
        for runner, ticket in granted.items():
            self._tickets[runner] = (ticket, granted_at + validity)

    def valid_ticket(self, runner: str, now: float) -> str:
        """Return a ticket that is still valid when an order arrives, empty if there is none."""
        ticket, until = self._tickets.get(runner, ("", 0.0))
        return ticket if until - SEND_MARGIN_SECONDS > now else ""

    def holders(self, now: float) -> list[str]:
        """Return the runners with a valid ticket, and discard the tickets that have run out."""
        if not self.is_made("_tickets"):
            return []
        expired = [
            name for name, (_, until) in self._tickets.items() if until - SEND_MARGIN_SECONDS <= now
        ]
        for name in expired:
            del self._tickets[name]
        return list(self._tickets)

    def holders_until(self, until: float) -> list[str]:
        """Return the runners with a ticket that is valid until a time in seconds."""
        limit = until + SEND_MARGIN_SECONDS
        return [name for name, (_, valid_until) in self._tickets.items() if valid_until > limit]

    def valid_until(self, runner: str) -> float:
        """Return the time in seconds until which an order with a ticket may be sent, 0 if none."""
        ticket = self._tickets.get(runner)
        return 0.0 if ticket is None else ticket[1] - SEND_MARGIN_SECONDS

    def drop(self, runner: str) -> None:
        """Discard a ticket that was refused."""
        self._tickets.pop(runner, None)
