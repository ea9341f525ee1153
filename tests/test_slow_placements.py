"""Tests of the next run of a lasting task while its placement is stored slowly."""

from __future__ import annotations

from typing import Any

import pytest
from typing_extensions import override

from ragworttiller.platform.configuration import AdviceCost
from ragworttiller.platform.exchange import Answer
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.records.formats import JOBS
from standins.platform.runner import RunnerService
from tests.owners_rig import CAPACITY, Entry, OwnersRig, RigAdvice, start_entries, with_rig
from tests.scheduling_rig import QUEUE, job_id, step

COST = AdviceCost(0.45, 0.0065, 2.0)
ADVISED = QUEUE._replace(name="advised", prefix="/a/", advice=COST)
LASTING = job_id(1)
STOP_SECONDS = 0.5
REMAINING_SECONDS = 6.0
ENDLESS_SECONDS = 1000.0
STEP_SECONDS = 0.02
# From the end of a run to the next start, with a store that answers at once.
MAX_SWITCH_SECONDS = 0.1
# The end of a run is being stored when the placement of the next one is decided.
APPENDS = 2


class ExpiringTickets(RigAdvice):
    """Grants tickets that tell until when they are valid."""

    @override
    async def ask(self, call: AdviceCall) -> dict[str, str]:
        granted = await super().ask(call)
        return dict.fromkeys(granted, str(self._rig.timers.now() + call.validity))


class TicketReader(RunnerService):
    """Runner that refuses tickets that have run out."""

    refused = 0

    @override
    def _start(self, command: dict[str, Any]) -> Answer:
        if float(command.get("ticket", "inf")) < self._timers.now():
            self.refused += 1
            return self._reply(409, {"reason": "ticket"})
        return super()._start(command)


class TicketRig(OwnersRig):
    """Entries whose advisor allows all runners, which read tickets."""

    @override
    def new_entry(self, name: str, incarnation: int) -> Entry:
        return AdvisedEntry(self, name, incarnation)

    @override
    def new_boot(self, machine: str, name: str, options: dict[str, Any]) -> RunnerService:
        options["stop_seconds"] = STOP_SECONDS
        return TicketReader(name, self.timers, self.monitor, CAPACITY, **options)

    @override
    def allows(self, stage: str, boot: str) -> bool:
        return True

    @property
    def refused(self) -> int:
        """Number of starts that were refused for their ticket."""
        return sum(boot.refused for boot in self.runners.values())

    def holders(self) -> list[str]:
        """Return the runners on which the task runs."""
        return [
            name
            for name, runner in self.runners.items()
            if any(task.startswith(LASTING) for task in runner.running)
        ]

    async def drain_holder(self, append_seconds: float) -> None:
        """Start the task, make appends slow, and let the runner drain that runs the task."""
        self.work_by_job[LASTING] = ENDLESS_SECONDS
        await start_entries(self)
        await self.submit(LASTING, step(1, daemon=True), queue=ADVISED)
        await self.timers.sleep(3.0)
        (holder,) = self.holders()
        self.store.queue_seconds[JOBS.topic] = append_seconds
        await self.submit(job_id(2), step(1))
        await self.timers.sleep(3 * append_seconds + 1.0)
        self.draining[holder] = REMAINING_SECONDS
        self.list_boot(holder)


class AdvisedEntry(Entry):
    """Entry that asks for tickets that run out."""

    @override
    def new_advice(self) -> ExpiringTickets:
        return ExpiringTickets(self.rig)


async def longest_absence(rig: TicketRig, seconds: float) -> float:
    """Let time pass, and return the longest time in seconds for which the task had no run."""
    longest = absent = 0.0
    for _ in range(round(seconds / STEP_SECONDS)):
        await rig.timers.sleep(STEP_SECONDS)
        absent = 0.0 if rig.holders() else absent + STEP_SECONDS
        longest = max(longest, absent)
    return longest


class TestSlowStore:
    @pytest.mark.parametrize("seconds", [0.1, 0.6, 0.8, 0.9, 1.1, 1.5])
    def test_a_successor_waits_for_the_store_alone(self, seconds: float):
        """Guards against a start that is refused since its ticket ran out meanwhile."""

        async def body(rig: TicketRig) -> None:
            await rig.drain_holder(seconds)
            (holder,) = rig.holders()
            longest = await longest_absence(rig, REMAINING_SECONDS + 6.0)
            assert rig.holders() not in ([], [holder])
            assert longest <= APPENDS * seconds + MAX_SWITCH_SECONDS
            assert not rig.refused

        with_rig(body, rig_type=TicketRig)
