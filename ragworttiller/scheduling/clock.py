"""Clock for leases and terms, which advances while the machine is suspended."""

from __future__ import annotations

import time

from typing_extensions import override

from ragworttiller.timers import SystemTimers, TimerService

Clock = TimerService


class LeaseClock(SystemTimers):
    """Timer service whose `now` advances while the machine is suspended."""

    @override
    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
