"""Times until which the leases of workers' tasks may last."""

from __future__ import annotations

LAPSE_MARGIN_SECONDS = 3.0
# The clock of a worker may be 2% slow.
MIN_CLOCK_RATE = 0.98


def lease_end(lease: float, now: float) -> float:
    """Return the time at which a lease that was granted by now has ended on every clock."""
    return now + lease / MIN_CLOCK_RATE + LAPSE_MARGIN_SECONDS


class LeaseBook:
    """Latest end of all leases that an owner may have granted, by worker.

    A lease counts from the end of the call that granted it, answered or not, and with the duration
    that this call named: later calls may have named a shorter one.
    """

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def record_grant(self, worker: str, lease: float, now: float) -> None:
        """Record that leases of ``lease`` seconds may have been granted until now."""
        end = lease_end(lease, now)
        self._ends[worker] = max(end, self._ends.get(worker, end))

    def lapsed(self, worker: str, now: float) -> bool:
        """Return whether every lease on a worker has ended; False if none is known."""
        end = self._ends.get(worker)
        return end is not None and now > end

    def forget_lapsed(self, worker: str, now: float) -> None:
        """Remove a worker whose leases have all ended."""
        if self.lapsed(worker, now):
            del self._ends[worker]
