"""Load of lasting, long and short tasks behind an advisor, on runners that fall silent."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any, NamedTuple

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.platform.runner_answers import EndedRun, HoldAnswer, RunningTask
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.state.orders import StartOrder
from tests.lasting_judge import LastingJudge, LastingTask
from tests.scheduling_rig import LEASE_SECONDS, QUEUE, CellRig, job_id, step

TICK_SECONDS = 0.05
HOLD_SECONDS = 0.5
SIZES = (16_000, 32_000, 64_000)
ALLOWED_SHARE = 0.35
SLOW_ADVICE = AdviceCost(0.45, 0.0065, 2.0)
QUICK_ADVICE = AdviceCost(0.018, 0.00026, 2.0)
SHORT = QUEUE._replace(name="short", prefix="/s/", advice=QUICK_ADVICE)
LASTING = QUEUE._replace(name="lasting", prefix="/l/", priority=1, advice=SLOW_ADVICE)
LONG = QUEUE._replace(name="long", prefix="/g/", priority=2, advice=SLOW_ADVICE)
SHORT_SECONDS, SHORT_FAILURES = 0.8, 0.05
LONG_SECONDS = 6.0
# Processor time of a lasting task, in thousandths of a core.
LASTING_CPU = 13_000
STOP_SECONDS = 0.2


class Work(NamedTuple):
    """Run at work on a runner; ``ends_at`` is in seconds."""

    cpu: int
    started_at: float
    ends_at: float
    outcome: str
    lasts: bool


class SimulatedRunner:
    """Runs, lease and unacknowledged ends of one runner, in true time."""

    def __init__(self, cpu: int) -> None:
        self.cpu = cpu
        self.runs: dict[tuple[TaskId, int], Work] = {}
        self.lease_end = 0.0
        self.silent_until = 0.0
        self.next_hold = 0.0
        self.ends: list[EndedRun] = []
        self._end_number = 0

    @property
    def free(self) -> int:
        """Free processor time, in thousandths of a core."""
        return self.cpu - sum(work.cpu for work in self.runs.values())

    def end(self, key: tuple[TaskId, int], outcome: str) -> Work:
        """End a run; it is listed at the next hold."""
        self._end_number += 1
        self.ends.append(EndedRun(self._end_number, *key, outcome, ""))
        self.next_hold = 0.0
        return self.runs.pop(key)


class LastingLoad:
    """A cell under load, its runners and its advisor, of which a random seed decides all."""

    # Bounds of the share of the capacity that is in use or waited for.
    LOAD_SHARES = (0.8, 0.95)

    def __init__(self, seed: int, runners: int = 24) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        entries = self.rng.choice((1, 2, 3, 6, 6))
        self._allowed_share = self.rng.choice((0.2, ALLOWED_SHARE, 0.6))
        self._call_failures = self.rng.choice((0.0, 0.0, 0.1))
        self._long_tasks = self.rng.choice((2, 5, 10))
        self._short_rate = self.rng.choice((2.0, 5.0))
        self._longest_run = self.rng.choice((10.0, 30.0, 60.0))
        self._most_cut = self.rng.choice((2, 5, 10))
        self.rig = CellRig(0)
        self.judge = LastingJudge()
        self.runners: dict[str, SimulatedRunner] = {}
        self.ended_at: dict[TaskId, float] = {}
        self.calm_since = self.rig.now
        self._next_cut = self.rig.now + 15.0
        self.states: dict[str, str] = {}
        self._lasting_until: dict[TaskId, float] = {}
        self._answers: list[tuple[float, AdviceCall]] = []
        self._entry_free_at = {f"e{number}": 0.0 for number in range(entries)}
        self._tickets: dict[tuple[StageId, str], float] = {}
        self._failures: Counter[TaskId] = Counter()
        self._job = 0
        self._share = 0.9
        for number in range(runners):
            cpu = SIZES[number % len(SIZES)]
            self.rig.add_runner(f"w{number}", cpu)
            self.runners[f"w{number}"] = SimulatedRunner(cpu)
        self.capacity = sum(runner.cpu for runner in self.runners.values())
        self.rig.cell.set_entries(list(self._entry_free_at))

    def jobs_failed_without_cause(self) -> list[str]:
        """Return the jobs shown as failed of which no task has failed as often as it may."""
        spent = {str(task.stage.job) for task, count in self._failures.items() if count > 1}
        return [job for job, state in self.states.items() if state == "failed" and job not in spent]

    def run(self, seconds: float) -> None:
        """Advance the time under load."""
        for _ in range(self.rng.randint(3, 5)):
            self._submit_lasting()
        end = self.rig.now + seconds
        while self.rig.now < end:
            self.rig.now += TICK_SECONDS
            self._disturb()
            self._submit()
            self._end_runs()
            self._hold()
            self._answer_calls()
            self._plan()
            self._record()
            self._check()

    def _submit_lasting(self) -> None:
        spec = step(self.rng.randint(4, 8), LASTING_CPU, daemon=True, anti_affinity=1)
        stage = StageId(self._submit_job(spec, LASTING), 0, 0)
        for index in range(spec["count"]):
            self.ended_at[TaskId(stage, index)] = self.rig.now

    def _submit_job(self, spec: dict[str, Any], queue: Queue) -> str:
        self._job += 1
        self.rig.submit(spec, job=job_id(self._job), queue=queue)
        return job_id(self._job)

    def _submit(self) -> None:
        """Submit jobs so that what runs and waits takes a changing share of the capacity."""
        if self.rng.random() < TICK_SECONDS / 10:
            self._share = self.rng.uniform(*self.LOAD_SHARES)
        if self.rng.random() < TICK_SECONDS * self._short_rate:
            spec = step(self.rng.randint(4, 8), 5000, estimate_ms=SHORT_SECONDS * 1000)
            self._submit_job(spec, SHORT)
        owed = sum(runner.cpu - runner.free for runner in self.runners.values())
        for work in self.rig.cell.jobs.values():
            for stage in work.stages.values():
                owed += len(stage.waiting) * stage.spec.size.cpu
        if owed < self._share * self.capacity:
            spec = step(self._long_tasks, 11_000, estimate_ms=LONG_SECONDS * 1000)
            self._submit_job({**spec, "checkpoints": True}, LONG)

    def _disturb(self) -> None:
        if self.rig.now > self._next_cut:
            self._next_cut = self._cut()

    def _cut(self) -> float:
        """Make a few runners silent for a time, and return when the next ones are."""
        names = self.rng.sample(sorted(self.runners), self.rng.randint(2, self._most_cut))
        seconds = self.rng.uniform(6.0, 14.0)
        for name in names:
            self.runners[name].silent_until = self.rig.now + seconds
        self.calm_since = self.rig.now + seconds
        return self.calm_since + self.rng.uniform(12.0, 25.0)

    def _end_runs(self) -> None:
        now = self.rig.now
        for runner in self.runners.values():
            for key, work in list(runner.runs.items()):
                outcome = "lapsed" if now > runner.lease_end else work.outcome
                if min(work.ends_at, runner.lease_end) < now:
                    runner.end(key, outcome)
                    if work.lasts:
                        self.ended_at[key[0]] = now
                    else:
                        self._failures[key[0]] += outcome == "failed"

    def _hold(self) -> None:
        now, cell = self.rig.now, self.rig.cell
        for name, runner in self.runners.items():
            if runner.next_hold > now:
                continue
            state = cell.runners.get(name)
            if state is None:
                continue
            runner.next_hold = now + HOLD_SECONDS
            if runner.silent_until > now:
                cell.pool.record_no_answer(state, now)
                continue
            runner.lease_end = max(runner.lease_end, state.grant_lease(now, LEASE_SECONDS) or 0.0)
            rows = [
                RunningTask(task, run, f"{now}", 100 * (now - work.started_at) / 60, 0.0)
                for (task, run), work in runner.runs.items()
            ]
            ends, runner.ends = runner.ends, []
            cell.apply_hold_answer(state, HoldAnswer(now, rows, ends, 0), now)
            if state.awaits_enrollment:
                self.rig.enroll(name)

    def _answer_calls(self) -> None:
        now = self.rig.now
        for at, call in [row for row in self._answers if row[0] <= now]:
            self._answers.remove((at, call))
            if self._call_fails(call):
                self.rig.cell.mark_advice_failed(call, now)
                continue
            allowed = [name for name in call.runners if self.allows(call.stage, name)]
            for name in allowed:
                self._tickets[call.stage, name] = at + call.validity
            self.rig.cell.apply_advice(call, dict.fromkeys(allowed, "t"), now)

    def _call_fails(self, call: AdviceCall) -> bool:
        return self.rng.random() < self._call_failures

    def _call_seconds(self, call: AdviceCall) -> float:
        return call.duration

    def allows(self, stage: StageId, runner: str) -> bool:
        """Return whether the advisor allows a stage on a runner, which does not change."""
        return random.Random(f"{self.seed} {stage} {runner}").random() < self._allowed_share

    def _plan(self) -> None:
        plan = self.rig.plan()
        for order in plan.starts:
            self._start(order)
        for stop in plan.stops:
            work = self.runners[stop.run.runner].runs.get(stop.run.key)
            if work is not None and self.runners[stop.run.runner].silent_until < self.rig.now:
                ends_at = min(work.ends_at, self.rig.now + STOP_SECONDS)
                work = work._replace(ends_at=ends_at, outcome="stopped")
                self.runners[stop.run.runner].runs[stop.run.key] = work
        for call in plan.calls:
            begun = max(self._entry_free_at[call.entry], self.rig.now)
            ended = begun + self._call_seconds(call)
            self._entry_free_at[call.entry] = ended
            self._answers.append((ended, call))

    def _start(self, order: StartOrder) -> None:
        run, now = order.run, self.rig.now
        runner = self.runners[run.runner]
        runner.lease_end = max(runner.lease_end, order.deadline)
        if runner.silent_until > now:
            self.rig.cell.pool.record_no_answer(self.rig.cell.runners[run.runner], now)
        elif self._tickets.get((run.task.stage, run.runner), 0.0) < now:
            self.rig.cell.mark_start_refused(run, "ticket", now)
        elif runner.free < run.spec.size.cpu:
            self.rig.cell.mark_start_refused(run, "room", now)
        else:
            runner.runs[run.key] = self._work(run.spec, now)
            self.rig.cell.mark_started(run, now)

    def _work(self, spec: StepSpec, now: float) -> Work:
        if spec.daemon:
            return Work(
                spec.size.cpu, now, now + self.rng.uniform(6.0, self._longest_run), "failed", True
            )
        seconds = LONG_SECONDS if spec.checkpoints else SHORT_SECONDS
        fails = not spec.checkpoints and self.rng.random() < SHORT_FAILURES
        ends_at = now + seconds * self.rng.uniform(0.8, 1.3)
        return Work(spec.size.cpu, now, ends_at, "failed" if fails else "done", False)

    def _record(self) -> None:
        """Store the progress of the jobs."""
        changes = self.rig.cell.take_changes()
        for job, progress in changes.progress.items():
            if progress.state:
                self.states[job] = str(progress.state)
        self.rig.cell.mark_recorded(changes)

    def _check(self) -> None:
        at_work: dict[TaskId, str] = {}
        for name, runner in self.runners.items():
            at_work.update({task: name for (task, _), work in runner.runs.items() if work.lasts})
        rows = [
            LastingTask(str(task), task in at_work, ended_at, self._with_room(task.stage, at_work))
            for task, ended_at in self.ended_at.items()
        ]
        self.judge.check(self.rig.now, self.calm_since, rows)

    def _with_room(self, stage: StageId, at_work: dict[TaskId, str]) -> list[str]:
        taken = {name for task, name in at_work.items() if task.stage == stage}
        return [
            name
            for name, runner in self.runners.items()
            if runner.free >= LASTING_CPU and name not in taken and self.allows(stage, name)
        ]
