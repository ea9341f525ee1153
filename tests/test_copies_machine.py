"""Random sequences of failures around copies of stragglers, checked by simulated runners."""

from __future__ import annotations

import os

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ragworttiller.scheduling.records.formats import JobState
from tests.copies_rig import CopyRig
from tests.scheduling_rig import job_id, step

EXAMPLES = int(os.environ.get("COPY_EXAMPLES", "15"))
STEPS = 25
RUNNERS = 24
SLOW_RUNNERS = 4
SETTLE_SECONDS = 90.0
MACHINES = st.integers(1, RUNNERS).map(lambda number: f"w{number}")


class CopiesMachine(RuleBasedStateMachine):
    """A cell with slow runners, on which owners change and orders get lost at any moment."""

    @initialize()
    def begin(self) -> None:
        self.rig = CopyRig(RUNNERS)
        self.jobs = 0
        for number in range(1, SLOW_RUNNERS + 1):
            self.rig.machines[f"w{number}"].seconds = 12.0

    @rule(
        count=st.integers(1, 12),
        speculative=st.booleans(),
        limit=st.sampled_from([0, 1, 2]),
        cpu=st.sampled_from([1000, 2500]),
    )
    def submit(self, count: int, speculative: bool, limit: int, cpu: int) -> None:
        self.jobs += 1
        fields = {"speculative": speculative, "anti_affinity": limit}
        self.rig.submit(step(count, cpu, **fields), job=job_id(self.jobs))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.rig.advance(seconds)

    @rule()
    def replace_owner(self) -> None:
        self.rig.replace_owner()
        self.rig.advance(0.1)

    @rule(name=MACHINES, silent=st.booleans())
    def cut_or_join(self, name: str, silent: bool) -> None:
        self.rig.machines[name].silent = silent

    @rule(name=MACHINES, delay=st.sampled_from([None, 0.2, 0.7, 99.0]))
    def delay_starts(self, name: str, delay: float | None) -> None:
        self.rig.machines[name].start_delay = delay

    @rule(data=st.data(), how=st.sampled_from(["failed", "failed", "done", "stopped"]))
    def end_a_run(self, data: st.DataObject, how: str) -> None:
        keys = sorted(key for machine in self.rig.machines.values() for key in machine.work)
        if keys:
            key = data.draw(st.sampled_from(keys))
            machine = next(m for m in self.rig.machines.values() if key in m.work)
            machine.end(key, how)

    @rule(number=st.integers(1, 30))
    def cancel(self, number: int) -> None:
        if number <= self.jobs:
            self.rig.cancel(job_id(number))

    @invariant()
    def no_start_breaks_a_rule(self) -> None:
        assert self.rig.violations == []

    @invariant()
    def each_task_is_in_one_place(self) -> None:
        for work in self.rig.cell.jobs.values():
            for stage in work.stages.values() if work.open else ():
                places = [*stage.done, *stage.waiting, *stage.active_runs]
                assert sorted(places) == list(range(stage.spec.tasks))
                assert stage.copies.keys() <= stage.active_runs.keys()
                assert not stage.copies or stage.may_have_copies

    def teardown(self) -> None:
        """Undo the failures: each job then ends, and no run and no copy is left behind."""
        for machine in self.rig.machines.values():
            machine.silent, machine.start_delay, machine.seconds = False, None, 1.0
        self.rig.advance(SETTLE_SECONDS)
        for number in range(1, self.jobs + 1):
            state = self.rig.jobs.jobs[job_id(number)].state
            assert state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED), state
        assert [m.work for m in self.rig.machines.values() if m.work] == []
        assert list(self.rig.cell.copies.live) == []
        assert self.rig.violations == []


class TestInterleavings:
    def test_no_rule_is_broken_and_every_job_ends(self):
        run_state_machine_as_test(
            CopiesMachine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                deadline=None,
                database=None,
                phases=[Phase.generate],
            ),
        )
