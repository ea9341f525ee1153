"""Random faults of owners that follow each other while a runner is out of reach of some."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ragworttiller.scheduling.records.formats import OWNER
from standins.platform.machine import Machine
from tests.fault_injector import FaultInjector
from tests.owners_rig import Entry, OwnersRig

CLAIM_FAULTS = (
    "owners_in_a_row",
    "lose_and_regain",
    "hide_claim",
    "lose_slowly",
    "release_soon",
)


class ClaimFaults(FaultInjector):
    """Faults after which a claim may say less of a runner than its earlier owners knew."""

    def __init__(self, rig: OwnersRig, seed: int | str, names: tuple[str, ...] = CLAIM_FAULTS):
        super().__init__(rig, seed)
        self._names = names

    @property
    def faults(self) -> tuple[Callable[[Entry], Awaitable[None]], ...]:
        return tuple(getattr(self, name) for name in self._names)

    async def owners_in_a_row(self, entry: Entry):
        """Kill two or three owners while a runner, which may drain, is out of reach."""
        machine = self.random_machine()
        self.cut_others(machine, self.random_entry())
        state = self.rng.choice(("ready", "draining", "dropped"))
        if state == "draining":
            self.rig.draining[machine.name] = self.rng.uniform(3.0, 6.0)
            self.rig.list_boot(machine.name)
        for _ in range(self.rng.randrange(2, 4)):
            self.kill_owner()
            await self.wait_owner()
            if state == "dropped" and machine.boot is not None:
                self.rig.list_entry(machine.boot.name)
            await self.wait(0.0, 1.2)
            self.rig.restart_killed()
        self.join(machine)
        await self.wait(0.5, 2.0)
        if state == "draining":
            self.leave(machine)
        self.rig.list_boot(machine.name)

    async def lose_and_regain(self, entry: Entry):
        """Let the owner lose a runner, then the store, and reach the runner again alone."""
        machine, owner = self.random_machine(), self.rig.owner
        if owner is None:
            return
        owner.link(machine.name).cut = True
        await self.wait(1.5, 3.0)
        owner.store_link.silent_target = self.rng.choice(("/-/log", f"topic={OWNER.topic}"))
        self.split(machine, owner)
        if self.rng.random() < 0.5:
            self.rig.draining[machine.name] = 12.0
            self.rig.list_boot(machine.name)
        await self.wait(4.0, 10.0)
        owner.store_link.silent_target = ""
        self.join_all()
        if machine.name in self.rig.draining:
            self.leave(machine)

    async def hide_claim(self, entry: Entry):
        """Let the owner not hear of its successor, which does not reach a runner."""
        machine, owner = self.random_machine(), self.rig.owner
        if owner is None:
            return
        self.cut_others(machine, owner)
        owner.store_link.silent_target = f"topic={OWNER.topic}"
        await self.wait(1.0, 8.0)
        owner.store_link.silent_target = ""
        self.join_all()

    async def lose_slowly(self, entry: Entry):
        """Let the owner lose a runner until its lease ends, while each append takes long."""
        machine, owner = self.random_machine(), self.rig.owner
        if owner is None:
            return
        owner.link(machine.name).cut = True
        await self.wait(3.5, 5.0)
        self.rig.store.write_seconds = self.rng.uniform(0.2, 0.8)
        await self.wait(0.0, 1.5)
        self.cut_others(machine, owner)
        await self.wait(0.0, 1.5)
        self.kill_owner()
        await self.wait(1.0, 4.0)
        self.rig.store.write_seconds = 0.0
        self.join(machine)
        self.rig.restart_killed()

    async def release_soon(self, entry: Entry):
        """Let an owner lose the store, and its successor release the cell to a third entry."""
        machine, owner = self.random_machine(), self.rig.owner
        if owner is None:
            return
        self.split(machine, owner)
        owner.store_link.silent_target = "/-/log"
        await self.wait_owner(owner)
        await self.wait(0.0, 2.0)
        second = self.owner_beside(owner)
        if second is not None:
            others = sorted(self.rig.entries.keys() - {owner.name, second.name})
            second.stop(self.rng.choice(others))
        await self.wait(2.0, 9.0)
        owner.store_link.silent_target = ""
        self.join_all()
        if second is not None:
            self.rig.kill(second.name)
        self.rig.restart_killed()

    def owner_beside(self, first: Entry | None) -> Entry | None:
        """Return an owner other than the first one, which may not know that it was replaced."""
        others = (e for e in self.rig.entries.values() if e is not first)
        owners = (e for e in others if e.host.owner is not None and not e.scope.cancel_called)
        return next(owners, None)

    def cut_others(self, machine: Machine, reaching: Entry):
        """Let only one entry reach a machine."""
        for entry in self.rig.entries.values():
            entry.link(machine.name).cut = entry is not reaching

    def split(self, machine: Machine, owner: Entry):
        """Let only the owner reach a machine, and at times the owner no other one."""
        self.cut_others(machine, owner)
        if self.rng.random() < 0.7:
            for other in self.rig.machines.keys() - {machine.name}:
                owner.link(other).cut = True

    def join_all(self):
        for machine in self.rig.machines.values():
            self.join(machine)

    def leave(self, machine: Machine):
        machine.crash()
        self.next_boot(machine)

    async def wait_owner(self, beside: Entry | None = None):
        until = self.rig.timers.now() + 3.0
        while self.owner_beside(beside) is None and self.rig.timers.now() < until:
            await self.rig.timers.sleep(0.02)
