"""What an entry knew of the store while it answered one request, for the line about that request.

A context variable carries it past the interfaces of the callers' handlers, whose requests are also
sent to other entries.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import NamedTuple

from ragworttiller.scheduling.records.group_commit import GroupCommit


class StoreState(NamedTuple):
    """State of the store as an entry saw it; all values are in seconds.

    ``in_flight`` is the age of the append of jobs without a result, ``last_append`` the duration of
    the one before with its retries, whatever its result, and ``failing`` the time since appends
    began to fail, each 0 for none. ``read_age`` is the time since the claims were last known to be
    up to date.
    """

    in_flight: float
    last_append: float
    failing: float
    read_age: float


class RequestTrace:
    """Steps of the answer to one request.

    Parameters
    ----------
    began_at : float
        Time of the request, in seconds.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._local_code = ""
        self._local_took = 0.0
        self._asked: list[str] = []
        self._store: StoreState | None = None

    def fields(self) -> dict[str, object]:
        """Return the fields for the log; those of steps that were not made are left out."""
        fields: dict[str, object] = {"asked": self._asked}
        if self._local_code:
            fields |= {"local": self._local_code, "local_took": round(self._local_took, 3)}
        if self._store is not None:
            fields |= {name: round(value, 3) for name, value in self._store._asdict().items()}
        return fields

    def record_local_failure(self, code: str, state: StoreState, now: float) -> None:
        """Record that the first attempt at this entry failed; another has no time left."""
        if not self._local_code:
            self._local_code, self._local_took, self._store = code, now - self._began_at, state

    def record_relay(self, entry: str, state: StoreState) -> None:
        """Record that another entry is asked."""
        self._asked.append(entry)
        self._store = self._store or state


_current: ContextVar[RequestTrace | None] = ContextVar("request_trace", default=None)


@contextmanager
def traced_request(began_at: float) -> Iterator[RequestTrace]:
    """Trace the request that is answered in the context, which began at a time in seconds."""
    trace = RequestTrace(began_at)
    token = _current.set(trace)
    try:
        yield trace
    finally:
        _current.reset(token)


def record_local_failure(code: str, writer: GroupCommit, read_age: float, now: float) -> None:
    """Record that the attempt at this entry failed, in the trace of the request if it has one.

    Parameters
    ----------
    code : str
        Code of the error.
    writer : GroupCommit
        Writer of this entry to the jobs.
    read_age : float
        Seconds since the claims were last known to be up to date.
    now : float
        Time in seconds.
    """
    trace = _current.get()
    if trace is not None:
        trace.record_local_failure(code, _store_state(writer, read_age), now)


def record_relay(entry: str, writer: GroupCommit, read_age: float) -> None:
    """Record that another entry is asked, in the trace of the request if it has one."""
    trace = _current.get()
    if trace is not None:
        trace.record_relay(entry, _store_state(writer, read_age))


def _store_state(writer: GroupCommit, read_age: float) -> StoreState:
    return StoreState(
        writer.in_flight_seconds, writer.last_append_seconds, writer.failing_seconds, read_age
    )
