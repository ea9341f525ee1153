"""Random faults at the entries, runners and store of a rig."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from operator import attrgetter

import anyio

from ragworttiller.platform.store import RUNNERS_TOPIC
from ragworttiller.scheduling.records.formats import JOBS, OWNER
from standins.platform.machine import Machine
from standins.platform.service import Link
from tests.owners_rig import Entry, OwnersRig


class FaultInjector:
    """Injects one fault after another at random times, most of them at the owner."""

    def __init__(self, rig: OwnersRig, seed: int | str):
        self.rig = rig
        self.rng = random.Random(seed)

    @property
    def faults(self) -> tuple[Callable[[Entry], Awaitable[None]], ...]:
        raise NotImplementedError

    async def run(self, seconds: float):
        end = self.rig.timers.now() + seconds
        while self.rig.timers.now() < end:
            await self.rig.timers.sleep(self.rng.uniform(0.2, 2.0))
            await self.rng.choice(self.faults)(self.random_entry())

    def random_entry(self) -> Entry:
        entry = self.rig.owner if self.rng.random() < 0.7 else None
        return entry or self.rig.entries[self.rng.choice(sorted(self.rig.entries))]

    def random_links(self, entry: Entry) -> list[Link]:
        return [link for link in entry.links if self.rng.random() < 0.6]

    def random_machine(self) -> Machine:
        return self.rig.machines[self.rng.choice(sorted(self.rig.machines))]

    def next_boot(self, machine: Machine):
        """Start the next boot, unless another fault has done so."""
        self.rig.draining.pop(machine.name, None)
        if machine.boot is None:
            self.rig.boot(machine.name, self.rig.new_boot_name(machine.name))

    def join(self, machine: Machine):
        for entry in self.rig.entries.values():
            entry.link(machine.name).cut = entry.link(machine.name).unanswered = False

    def kill_owner(self):
        if self.rig.owner is not None:
            self.rig.kill(self.rig.owner.name)

    async def wait(self, shortest: float, longest: float):
        await self.rig.timers.sleep(self.rng.uniform(shortest, longest))


async def deliver_late(rig: OwnersRig):
    """Carry out the delayed orders of all entries, also of those that have ended."""
    async with anyio.create_task_group() as tasks:
        while True:
            await rig.timers.sleep(0.05)
            for entry in rig.started_entries:
                for link in filter(attrgetter("delivery_due"), entry.links):
                    tasks.start_soon(link.deliver_late)


def lift_faults(rig: OwnersRig):
    """End all faults: each entry runs, each machine is up and listed, all calls are answered."""
    rig.store.down, rig.heartbeats_lost, rig.store.write_seconds = False, False, 0.0
    for entry in list(rig.entries.values()):
        if entry.scope.cancel_called or entry.stopping:
            rig.add_entry(entry.name)
    for entry in rig.entries.values():
        for link in entry.links:
            link.lift_faults()
    rig.draining.clear()
    for machine in rig.machines.values():
        if machine.boot is None:
            rig.boot(machine.name, rig.new_boot_name(machine.name))
        else:
            rig.list_boot(machine.name)


class EntryFaults(FaultInjector):
    """Faults at entries and the store, and cuts between all entries and one runner."""

    @property
    def faults(self) -> tuple[Callable[[Entry], Awaitable[None]], ...]:
        return (
            self.restart,
            self.pause,
            self.late_orders,
            self.lose_answers,
            self.store_down,
            self.cut,
            self.cut_runner,
            self.cut_runner_and_kill,
            self.expire,
            self.lose_heartbeats,
            self.slow_store,
        )

    async def restart(self, entry: Entry):
        self.rig.kill(entry.name)
        await self.rig.timers.sleep(self.rng.uniform(0.0, 2.0))
        self.rig.add_entry(entry.name)

    async def pause(self, entry: Entry):
        until = self.rig.timers.now() + self.rng.uniform(1.0, 13.0)
        for link in entry.links:
            link.paused_until = until

    async def late_orders(self, entry: Entry):
        for link in self.random_links(entry):
            link.late_next = [self.rng.uniform(0.3, 3.0) for _ in range(4)]

    async def lose_answers(self, entry: Entry):
        for link in self.random_links(entry):
            link.lose_next = self.rng.randrange(4)

    async def store_down(self, entry: Entry):
        self.rig.store.down = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 5.0))
        self.rig.store.down = False

    async def cut(self, entry: Entry):
        links = self.random_links(entry)
        for link in links:
            link.cut = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 6.0))
        for link in links:
            link.cut = False

    async def cut_runner(self, entry: Entry, then: Callable[[], None] = lambda: None):
        runner = self.rng.choice(sorted(self.rig.machines))
        links = [e.link(runner) for e in self.rig.entries.values()]
        for link in links:
            link.cut = True
        then()
        await self.rig.timers.sleep(self.rng.uniform(1.0, 8.0))
        for link in links:
            link.cut = False

    async def cut_runner_and_kill(self, entry: Entry):
        await self.cut_runner(entry, lambda: self.rig.kill(entry.name))
        self.rig.add_entry(entry.name)

    async def expire(self, entry: Entry):
        self.rig.store.expire("keyed.jobs")

    async def lose_heartbeats(self, entry: Entry):
        self.rig.heartbeats_lost = True
        await self.rig.timers.sleep(self.rng.uniform(0.5, 4.0))
        self.rig.heartbeats_lost = False

    async def slow_store(self, entry: Entry):
        self.rig.store.write_seconds = self.rng.uniform(0.05, 0.8)
        await self.rig.timers.sleep(self.rng.uniform(0.5, 5.0))
        self.rig.store.write_seconds = 0.0


class RunnerFaults(FaultInjector):
    """Faults at single runners and their list entries, at single links, and of two owners."""

    @property
    def faults(self) -> tuple[Callable[[Entry], Awaitable[None]], ...]:
        return (
            self.reborn,
            self.reborn_unseen,
            self.drop_entry,
            self.drop_entry_and_cut,
            self.drain,
            self.cut_single,
            self.cut_single_and_kill,
            self.silent_topic,
            self.kill_twice,
            self.hand_over,
            self.late_and_kill,
            self.expire_list,
        )

    async def reborn(self, entry: Entry):
        """Crash a machine, whose next boot answers; drop the old entry late."""
        machine = self.random_machine()
        if machine.boot is None:
            return
        old = machine.boot
        machine.refuses = self.rng.random() < 0.5
        machine.crash()
        await self.wait(0.0, 3.0)
        self.next_boot(machine)
        await self.wait(0.0, 4.0)
        self.rig.list_entry(old.name)
        if self.rng.random() < 0.5:
            await self.wait(0.0, 2.0)
            self.rig.list_entry(old.name, old.record("desk", machine.address))
            await self.wait(0.5, 3.0)
            self.rig.list_entry(old.name)

    async def reborn_unseen(self, entry: Entry):
        """Crash a machine and start it again while the entries cannot reach it."""
        machine = self.random_machine()
        links = [e.link(machine.name) for e in self.rig.entries.values()]
        self.set_cut(links, True)
        if self.rng.random() < 0.5:
            self.rig.kill(entry.name)
        await self.reborn_of(machine)
        self.set_cut(links, False)
        self.rig.restart_killed()

    async def reborn_of(self, machine: Machine):
        old = machine.boot
        await self.wait(0.0, 1.0)
        machine.crash()
        if old is not None and self.rng.random() < 0.5:
            self.rig.list_entry(old.name)
        await self.wait(0.0, 2.0)
        self.next_boot(machine)
        await self.wait(0.0, 4.0)
        if old is not None:
            self.rig.list_entry(old.name)

    def set_cut(self, links: list[Link], cut: bool):
        for link in links:
            link.cut = cut

    async def drop_entry(self, entry: Entry):
        """Drop the entry of a runner that is up, and list it again later."""
        machine = self.random_machine()
        if machine.boot is None:
            return
        self.rig.list_entry(machine.boot.name)
        await self.wait(1.0, 8.0)
        self.rig.list_boot(machine.name)

    async def drop_entry_and_cut(self, entry: Entry):
        """As `drop_entry`, while some entries do not reach the runner either."""
        machine = self.random_machine()
        links = [e.link(machine.name) for e in self.rig.entries.values()]
        links = [link for link in links if self.rng.random() < 0.7]
        self.set_cut(links, True)
        if machine.boot is not None:
            self.rig.list_entry(machine.boot.name)
        if self.rng.random() < 0.5:
            self.rig.kill(entry.name)
        await self.wait(0.5, 6.0)
        if self.rng.random() < 0.5:
            self.rig.list_boot(machine.name)
        self.set_cut(links, False)
        await self.wait(0.0, 2.0)
        self.rig.list_boot(machine.name)
        self.rig.restart_killed()

    async def drain(self, entry: Entry):
        """Let a runner drain and leave; a new boot takes its place."""
        machine = self.random_machine()
        boot = machine.boot
        if boot is None:
            return
        self.rig.draining[machine.name] = self.rng.uniform(1.0, 4.0)
        self.rig.list_boot(machine.name)
        await self.rig.timers.sleep(self.rig.draining.get(machine.name, 0.0))
        await self.wait(0.0, 3.0)
        if machine.boot is not boot:
            return
        machine.crash()
        await self.wait(0.0, 2.0)
        self.rig.list_entry(boot.name)
        await self.wait(0.0, 3.0)
        self.next_boot(machine)

    async def cut_single(self, entry: Entry):
        """Do not carry out, or not answer, the calls of one entry to some runners."""
        links = [entry.link(name) for name in self.rig.machines if self.rng.random() < 0.4]
        one_way = self.rng.random() < 0.5
        for link in links:
            link.unanswered, link.cut = one_way, not one_way
        await self.wait(0.5, 6.0)
        for link in links:
            link.unanswered = link.cut = False

    async def cut_single_and_kill(self, entry: Entry):
        """Kill an entry while some others do not reach a runner."""
        machine = self.random_machine()
        others = [e for e in self.rig.entries.values() if e is not entry]
        links = [e.link(machine.name) for e in others if self.rng.random() < 0.7]
        self.set_cut(links, True)
        await self.wait(0.0, 0.5)
        self.rig.kill(entry.name)
        await self.wait(0.5, 8.0)
        self.set_cut(links, False)
        self.rig.restart_killed()

    async def silent_topic(self, entry: Entry):
        """Let the store not answer one entry's calls, reads or appends on one topic."""
        call = self.rng.choice(("", "/-/log-read?", "/-/log-append?"))
        topic = self.rng.choice((JOBS.topic, OWNER.topic, RUNNERS_TOPIC))
        entry.store_link.silent_target = f"{call}topic={topic}"
        await self.wait(0.5, 8.0)
        entry.store_link.silent_target = ""

    async def kill_twice(self, entry: Entry):
        """Kill the owner, and its successor within a second."""
        self.kill_owner()
        until = self.rig.timers.now() + 3.0
        while self.rig.owner is None and self.rig.timers.now() < until:
            await self.rig.timers.sleep(0.02)
        await self.wait(0.0, 1.0)
        self.kill_owner()
        await self.wait(0.0, 2.0)
        self.rig.restart_killed()

    async def hand_over(self, entry: Entry):
        """Stop an entry as planned and start it again."""
        others = sorted(self.rig.entries.keys() - {entry.name})
        entry.stop(self.rng.choice(others))
        await self.wait(0.1, 1.5)
        self.rig.kill(entry.name)
        await self.wait(0.0, 2.0)
        self.rig.restart_killed()

    async def late_and_kill(self, entry: Entry):
        """Carry out orders of an entry after it was killed."""
        for link in entry.runner_links.values():
            link.late_next = [self.rng.uniform(0.3, 4.0) for _ in range(3)]
        await self.wait(0.05, 0.6)
        self.rig.kill(entry.name)
        await self.wait(0.0, 3.0)
        self.rig.restart_killed()

    async def expire_list(self, entry: Entry):
        self.rig.store.expire(RUNNERS_TOPIC)


class MachineStorms(FaultInjector):
    """Several faults around one machine in a random order, and the end of the owner between."""

    @property
    def faults(self) -> tuple[Callable[[Entry], Awaitable[None]], ...]:
        return (self.storm,)

    async def storm(self, entry: Entry):
        """Cut, drop, drain or restart one machine, and end owners, a few steps in a row."""
        machine = self.random_machine()
        steps = (
            self.cut_some,
            self.cut_some,
            self.join,
            self.drop,
            self.drop,
            self.list_again,
            self.list_older,
            self.drain,
            self.crash,
            lambda _: self.kill_owner(),
            lambda _: self.kill_owner(),
        )
        for _ in range(self.rng.randrange(3, 9)):
            self.rng.choice(steps)(machine)
            await self.wait(0.0, 1.5)
            self.rig.restart_killed()
        self.end_storm(machine)

    def end_storm(self, machine: Machine):
        self.join(machine)
        if machine.name in self.rig.draining:
            self.crash(machine)
        for older in machine.earlier_boots:
            self.rig.list_entry(older.name)
        self.list_again(machine)
        self.rig.restart_killed()

    def cut_some(self, machine: Machine):
        one_way = self.rng.random() < 0.3
        for entry in self.rig.entries.values():
            if self.rng.random() < 0.7:
                entry.link(machine.name).cut = not one_way
                entry.link(machine.name).unanswered = one_way

    def drop(self, machine: Machine):
        if machine.boot is not None:
            self.rig.list_entry(machine.boot.name)

    def list_again(self, machine: Machine):
        self.rig.list_boot(machine.name)

    def list_older(self, machine: Machine):
        if machine.earlier_boots:
            older = self.rng.choice(machine.earlier_boots[-2:])
            self.rig.list_entry(older.name, older.record("desk", machine.address))

    def drain(self, machine: Machine):
        self.rig.draining[machine.name] = self.rng.uniform(1.0, 4.0)
        self.rig.list_boot(machine.name)

    def crash(self, machine: Machine):
        """Crash a machine, whose next boot is up at once, though not always listed yet."""
        machine.crash()
        self.next_boot(machine)
        if self.rng.random() < 0.3:
            self.drop(machine)
