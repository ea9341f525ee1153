"""Load of lasting tasks while runners are replaced and some entries cannot call the advisor."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from tests.lasting_load import LASTING_CPU, LastingLoad, SimulatedRunner, Work

ENTRIES = (6, 9, 12)
BROKEN_SHARE = 1 / 3
BROKEN_SECONDS = 5.0
BROKEN_CALL_SECONDS = 2.5
REPLACE_INTERVAL_SECONDS = 0.5
RELEASE_AFTER_SECONDS = 12.0
REMAINING_SECONDS = 3.0
STAY_SECONDS = 7.0
MIN_RUNNERS = 2
NEVER = float("inf")


class Gap(NamedTuple):
    """Time in seconds for which a lasting task had no run; it began at ``since``."""

    task: TaskId
    since: float
    seconds: float


class ReleaseLoad(LastingLoad):
    """A release: two runners a second are replaced, the old ones in turn.

    Meanwhile a third of the entries, others every few seconds, cannot call the advisor. Lasting
    tasks do not end of themselves.

    Attributes
    ----------
    gaps : dict of TaskId to Gap
        Longest time without a run of each task, while two runners that stay had room for it.
    doubled : set of TaskId
        Tasks of which two runs were at work at the same time.
    """

    LOAD_SHARES = (0.6, 0.85)

    def __init__(self, seed: int, runners: int = 24) -> None:
        super().__init__(seed, 0)
        self._share = self.LOAD_SHARES[0]
        self._release_at = self.rig.now + RELEASE_AFTER_SECONDS
        count = self.rng.choice(ENTRIES)
        self._entry_free_at = {f"e{number}": 0.0 for number in range(count)}
        self.rig.cell.set_entries(list(self._entry_free_at))
        self._broken: set[str] = set()
        self._next_broken = self._release_at
        self._leaves_at: dict[str, float] = {}
        self._next_replacement = self._release_at
        self._born = 0
        self._sizes: dict[str, int] = {}
        self._room_since: dict[TaskId, float] = {}
        self.gaps: dict[TaskId, Gap] = {}
        self.doubled: set[TaskId] = set()
        for number in range(runners):
            self._add_runner((16_000, 32_000, 64_000)[number % 3])
        self._old = list(self.runners)
        self.rng.shuffle(self._old)
        self._staying = set(self._old[runners - runners // 4 :])
        self._old = self._old[: runners - runners // 4]
        self.capacity = sum(runner.cpu for runner in self.runners.values())

    @property
    def longest_gap(self) -> float:
        """Longest time in seconds for which a task had no run, with room for it twice over."""
        return max((gap.seconds for gap in self.gaps.values()), default=0.0)

    def _add_runner(self, cpu: int) -> str:
        self._born += 1
        name = f"w{self._born}@{self._born}"
        self.rig.add_runner(name, cpu)
        self.runners[name] = SimulatedRunner(cpu)
        return name

    @override
    def _disturb(self) -> None:
        now = self.rig.now
        if now > self._next_broken:
            self._next_broken = now + BROKEN_SECONDS
            names = sorted(self._entry_free_at)
            self._broken = set(self.rng.sample(names, int(len(names) * BROKEN_SHARE)))
        if self._old and now > self._next_replacement:
            self._next_replacement = now + REPLACE_INTERVAL_SECONDS
            old = self._old.pop()
            cpu = self.runners[old].cpu
            self._staying.add(self._add_runner(cpu))
            remaining_ms = REMAINING_SECONDS * 1000
            self.rig.list_runner(old, cpu, state="draining", remaining_ms=remaining_ms)
            self._leaves_at[old] = now + STAY_SECONDS
        for name in [name for name, at in self._leaves_at.items() if at < now]:
            del self._leaves_at[name]
            self._leave(name)

    def _leave(self, name: str) -> None:
        """End a runner with all that runs there, of which it reports nothing any more."""
        runner = self.runners[name]
        runner.silent_until = NEVER
        for key in list(runner.runs):
            if runner.end(key, "lapsed").lasts:
                self.ended_at[key[0]] = self.rig.now
        self.rig.drop_runner(name)

    @override
    def _call_fails(self, call: AdviceCall) -> bool:
        return call.entry in self._broken

    @override
    def _call_seconds(self, call: AdviceCall) -> float:
        return BROKEN_CALL_SECONDS if call.entry in self._broken else call.duration

    @override
    def _work(self, spec: StepSpec, now: float) -> Work:
        work = super()._work(spec, now)
        return work._replace(ends_at=NEVER) if work.lasts else work

    @override
    def _check(self) -> None:
        now = self.rig.now
        on_runners: dict[TaskId, str] = {}
        counts: Counter[TaskId] = Counter()
        for name, runner in self.runners.items():
            lasting = [task for (task, _), work in runner.runs.items() if work.lasts]
            counts.update(lasting)
            on_runners.update(dict.fromkeys(lasting, name))
        self.doubled |= {task for task, count in counts.items() if count > 1}
        for task, ended_at in self.ended_at.items():
            if task in on_runners or not self._has_room_twice(task.stage, on_runners):
                self._room_since.pop(task, None)
                continue
            since = max(self._room_since.setdefault(task, now), ended_at, self._release_at)
            known = self.gaps.get(task)
            if known is None or now - since > known.seconds:
                self.gaps[task] = Gap(task, since, now - since)

    def _has_room_twice(self, stage: StageId, on_runners: dict[TaskId, str]) -> bool:
        taken = {name for task, name in on_runners.items() if task.stage == stage}
        rows = [
            name
            for name in self._staying - taken
            if self.runners[name].free >= LASTING_CPU and self.allows(stage, name)
        ]
        return len(rows) >= MIN_RUNNERS
