"""Tests of pace orders and of the relief of serving tasks beside filling ones."""

from __future__ import annotations

import pytest

from ragworttiller.exceptions import AppendFenced
from ragworttiller.platform.names import task_id
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.scheduling.decisions.relief import MAX_CALM_SECONDS, Beside, RunnerRelief
from ragworttiller.scheduling.state.pace import LATE_SECONDS, RETRY_SECONDS, Pace
from ragworttiller.scheduling.state.runs import RunState
from ragworttiller.scheduling.state.tails import Tail
from standins.platform.service import Link
from tests.interference_rig import BOUND_MS, InterferenceRig, policies
from tests.owners_rig import OwnersRig, start_entries, with_rig
from tests.scheduling_rig import job_id, step

BOUND = BOUND_MS / 1000


@pytest.fixture
def rig() -> InterferenceRig:
    """One runner on which a serving task runs beside a filling one that makes its tail too long."""
    rig = InterferenceRig(1)
    rig.serve()
    rig.run_for(2.0)
    rig.fill()
    rig.run_for(3.0, lambda: bool(rig.runs("batch")))
    assert rig.runs("batch")
    rig.slowdowns["web", "batch"] = 8.0
    return rig


def percents(rig: InterferenceRig) -> list[int]:
    """Return the percents ordered so far."""
    return [order.percent for _, order in rig.paces]


class TestPace:
    def test_a_new_run_needs_no_order(self):
        """A runner lets each run begin at 100 percent, so an order would be a wasted call."""
        assert not Pace().due(100.0)

    def test_one_order_at_a_time_is_on_its_way(self):
        """Two orders on different connections may overtake each other."""
        pace = Pace()
        pace.wanted = 50
        pace.mark_sent(100.0)
        pace.wanted = 0
        assert not pace.due(110.0)
        pace.confirm(50)
        assert pace.due(110.0)

    def test_an_unanswered_order_is_repeated(self):
        pace = Pace()
        pace.wanted = 50
        pace.mark_sent(100.0)
        pace.mark_unanswered(100.1)
        assert not pace.due(100.2)
        assert pace.due(100.0 + RETRY_SECONDS)
        assert pace.share == 1.0, "an unanswered order counts as not carried out"

    def test_a_confirmed_percent_is_ordered_again_while_another_order_may_come_late(self):
        """An order without an answer that is carried out late would change the pace unseen."""
        pace = Pace()
        pace.wanted = 50
        pace.mark_sent(100.0)
        pace.mark_unanswered(100.7)
        pace.wanted = 100
        pace.mark_sent(101.0)
        pace.confirm(100)
        assert pace.due(102.0)
        pace.mark_sent(102.0)
        pace.confirm(100)
        assert not pace.due(100.7 + LATE_SECONDS)

    def test_a_percent_of_an_earlier_owner_is_unknown(self):
        pace = Pace()
        pace.assume_unknown()
        assert pace.due(100.0)


class TestRelief:
    def test_a_serving_task_is_relieved_well_before_the_bound(self, rig: InterferenceRig):
        """HARM: over its target for the bound because of filling tasks."""
        rig.run_for(20.0)
        assert percents(rig)[:2] == [50, 0]
        assert rig.longest_over <= 0.75 * BOUND
        assert not rig.stops, "a confirmed pace of 0 relieves without a stop"

    def test_half_pace_is_enough_for_a_small_effect(self, rig: InterferenceRig):
        rig.slowdowns["web", "batch"] = 3.5
        rig.run_for(4.0)
        assert percents(rig) == [50]

    def test_a_runner_that_takes_no_pace_orders_has_its_filling_tasks_stopped(
        self, rig: InterferenceRig
    ):
        """HARM: an unanswered order counts as not carried out."""
        rig.fate = lambda order: "lost"
        rig.run_for(20.0)
        assert len(rig.stops) >= 1
        assert rig.longest_over < 0.9 * BOUND

    def test_an_order_that_is_carried_out_late_does_not_stay(self, rig: InterferenceRig):
        """A late half pace after the restoring would leave the task slow for ever."""
        fates = iter(["late"])
        rig.fate = lambda order: next(fates, "ok")
        rig.run_for(2.0)
        assert percents(rig)[0] == 50
        rig.slowdowns.clear()
        rig.run_for(15.0)
        (run,) = rig.runs("batch")
        assert rig.percents[run.key] == 100

    def test_restoring_goes_step_by_step(self, rig: InterferenceRig):
        """Full pace at once would bring back the whole effect."""
        rig.run_for(10.0, lambda: 0 in percents(rig))
        rig.slowdowns.clear()
        rig.paces.clear()
        rig.run_for(10.0)
        assert percents(rig) == [50, 100]
        assert rig.paces[1][0] - rig.paces[0][0] >= 1.0

    def test_a_tail_between_calm_and_target_changes_nothing(self, rig: InterferenceRig):
        """Hysteresis in the amount: restoring begins under 0.7 of the target only."""
        rig.slowdowns["web", "batch"] = 3.5
        rig.run_for(4.0)
        (tail,) = [rig.figure(run) for run in rig.runs("web")]
        assert 70 < tail < 100
        rig.paces.clear()
        rig.run_for(10.0)
        assert rig.paces == []

    def test_restoring_too_early_takes_longer_each_time(self, rig: InterferenceRig):
        """A pair that is calm only while paced would otherwise swing every few seconds."""
        rig.run_for(120.0)
        gaps = [at for at, order in rig.paces if order.percent == 0]
        assert len(gaps) >= 3
        assert len(rig.paces) <= 24, "five orders for a swing, each swing longer than the last"
        assert gaps[-1] - gaps[-2] > gaps[1] - gaps[0]
        assert rig.longest_over <= 0.75 * BOUND

    def test_the_pace_is_full_once_no_serving_task_is_left(self, rig: InterferenceRig):
        rig.run_for(10.0, lambda: 0 in percents(rig))
        rig.cancel(str(rig.runs("web")[0].task.stage.job))
        rig.run_for(2.0)
        (run,) = rig.runs("batch")
        assert rig.percents[run.key] == 100

    def test_a_task_with_a_disruption_budget_is_not_stopped_beyond_it(self):
        """AVAIL: the relief may not take down more tasks of a step than its budget."""
        rig = InterferenceRig(3)
        rig.serve(count=3, anti_affinity=1)
        rig.run_for(2.0)
        rig.fill(count=3, anti_affinity=1, daemon=True, disruption_budget=1)
        rig.run_for(10.0, lambda: len(rig.runs("batch")) == 3)
        rig.slowdowns["web", "batch"] = 8.0
        rig.fate = lambda order: "lost"
        most_down = 0
        for _ in range(100):
            rig.tick()
            running = [run for run in rig.runs("batch") if run.state is RunState.RUNNING]
            most_down = max(most_down, 3 - len(running))
        assert rig.stops
        assert most_down == 1

    def test_a_lasting_task_without_a_budget_is_only_paced(self, rig: InterferenceRig):
        rig.cancel(str(rig.runs("batch")[0].task.stage.job))
        rig.slowdowns.clear()
        rig.run_for(3.0)
        rig.fill("lasting", daemon=True)
        rig.run_for(5.0, lambda: bool(rig.runs("lasting")))
        rig.stops.clear()
        rig.slowdowns["web", "lasting"] = 8.0
        rig.fate = lambda order: "lost"
        rig.run_for(10.0)
        assert rig.paces
        assert rig.stops == []

    def test_several_confirmed_tasks_are_moved_one_in_each_bound(self):
        """A tail that stays high for its own load would else empty the runner of filling tasks."""
        relief = RunnerRelief(BOUND)
        rig = InterferenceRig(1)
        rig.fill(count=3)
        rig.run_for(1.0)
        filling = rig.runs("batch")
        for run in filling:
            run.pace.confirm(0)
        moved = []
        for tenth in range(100):
            now = tenth / 10
            relief.update(Beside([Tail(2.0, now, 0.0, None)], filling), now)
            moved += [now for _ in relief.runs_to_stop(filling, lambda run: 1.0, now)]
        assert [round(b - a, 1) for a, b in zip(moved, moved[1:], strict=False)] == [BOUND]

    def test_the_calm_that_is_asked_for_is_bounded(self):
        relief = RunnerRelief(BOUND)
        now = 0.0
        for _ in range(12):
            relief.update(Beside([Tail(2.0, now, now - 0.5 * BOUND, None)], []), now)
            now += MAX_CALM_SECONDS + 1
            for _ in range(2):
                relief.update(Beside([Tail(0.2, now, None, now - MAX_CALM_SECONDS - 1)], []), now)
                now += 0.1
                relief.update(Beside([Tail(0.2, now, None, 0.0)], []), now)
        assert relief.calm_seconds <= MAX_CALM_SECONDS


class TestTakeover:
    def test_a_successor_relieves_in_time(self, rig: InterferenceRig):
        """HARM: the successor knows neither percents nor since when the tail is too long."""
        rig.run_for(5.0, lambda: 50 in percents(rig))
        rig.replace_owner()
        rig.run_for(20.0)
        assert rig.longest_over < BOUND

    def test_a_successor_sends_the_pace_again_and_restores_it(self, rig: InterferenceRig):
        """A task that the earlier owner had paced to 0 would else stay at 0."""
        rig.run_for(5.0, lambda: 0 in percents(rig))
        rig.slowdowns.clear()
        rig.paces.clear()
        rig.replace_owner()
        rig.run_for(1.0)
        assert percents(rig)[0] == 50
        rig.run_for(6.0)
        (run,) = rig.runs("batch")
        assert rig.percents[run.key] == 100

    def test_a_successor_restores_tasks_without_serving_ones_at_once(self, rig: InterferenceRig):
        rig.run_for(5.0, lambda: 0 in percents(rig))
        rig.cancel(str(rig.runs("web")[0].task.stage.job))
        rig.tick()
        rig.percents[rig.runs("batch")[0].key] = 0
        rig.replace_owner()
        rig.run_for(2.0)
        (run,) = rig.runs("batch")
        assert rig.percents[run.key] == 100


class TestRebornRunner:
    def test_new_runs_begin_at_full_pace_and_are_paced_again(self, rig: InterferenceRig):
        """The percent of an ended run must not be believed of the next one."""
        rig.run_for(5.0, lambda: 0 in percents(rig))
        rig.end_boot("w1")
        rig.add_runner("w2")
        rig.slowdowns.clear()
        rig.run_for(10.0, lambda: bool(rig.runs("batch")))
        (run,) = rig.runs("batch")
        assert run.pace.confirmed == 100
        rig.slowdowns["web", "batch"] = 8.0
        rig.paces.clear()
        rig.longest_over = 0.0
        rig.run_for(10.0)
        assert percents(rig)[:2] == [50, 0]
        assert rig.longest_over <= 0.75 * BOUND


WEB, BATCH = job_id(1), job_id(2)


class Tails:
    """Tail latencies on the stand-in runners, which follow the pace of the filling task there."""

    def __init__(self, rig: OwnersRig):
        self._rig = rig
        self.factor = 8.0
        self.over_since: float | None = None
        self.longest_over = 0.0
        self.lowest = 100
        rig.policies = policies
        rig.work_by_job = {WEB: float("inf"), BATCH: float("inf")}
        rig.figure = self.figure

    def percent(self, boot: str) -> int:
        """Return the percent at which the filling task on a boot works, 0 if there is none."""
        rows = self._rig.runners[boot].percents().items()
        return sum(percent for task, percent in rows if task.startswith(BATCH))

    def figure(self, boot: str, task: str) -> float:
        if not task.startswith(WEB):
            return 0.0
        return 40.0 * float(self.factor ** (self.percent(boot) / 100))

    async def watch(self, seconds: float):
        """Let time pass, and measure for how long the serving task is over its target."""
        for _ in range(int(seconds / 0.05)):
            await self._rig.timers.sleep(0.05)
            now = self._rig.timers.now()
            self.lowest = min(self.lowest, self.percent("w1"))
            boots = [
                name
                for name, boot in self._rig.runners.items()
                if any(task.startswith(WEB) for task in boot.running)
            ]
            over = any(self.figure(boot, f"{WEB}.0.0.0") > 100 for boot in boots)
            if not over:
                self.over_since = None
            else:
                self.over_since = now if self.over_since is None else self.over_since
                self.longest_over = max(self.longest_over, now - self.over_since)

    async def begin(self):
        """Start a serving task and, beside it, a filling one that has no effect yet."""
        factor, self.factor = self.factor, 1.0
        await start_entries(self._rig)
        web = step(1, 500, daemon=True, target_ms=100, image="web")
        await self._rig.submit(WEB, web)
        await self.watch(3.0)
        batch = step(1, 500, fills=True, estimate_ms=600_000, image="batch")
        await self._rig.submit(BATCH, batch)
        await self.watch(5.0)
        assert self.percent("w1") == 100
        self.lowest, self.factor = 100, factor


class TestOrdersToRunners:
    def test_orders_reach_the_runner_and_relieve(self):
        async def body(rig: OwnersRig):
            tails = Tails(rig)
            await tails.begin()
            await tails.watch(4.0)
            assert tails.lowest == 0
            tails.factor = 1.0
            await tails.watch(15.0)
            assert tails.percent("w1") == 100
            assert tails.longest_over <= 0.75 * BOUND
            assert rig.monitor.violations == []

        with_rig(body, runners=1)

    def test_an_owner_that_is_replaced_amid_pace_orders(self):
        """HARM and lost percents: the successor relieves, and restores what was slowed down."""

        async def body(rig: OwnersRig):
            tails = Tails(rig)
            await tails.begin()
            while tails.percent("w1") == 100:
                await tails.watch(0.05)
            owner = rig.owner
            assert owner is not None
            rig.kill(owner.name)
            await tails.watch(15.0)
            assert tails.longest_over < BOUND
            tails.factor = 1.0
            await tails.watch(40.0)
            assert tails.percent("w1") == 100
            assert rig.monitor.violations == []

        with_rig(body, runners=1)

    def test_pace_orders_that_are_never_answered_end_in_a_stop(self):
        async def body(rig: OwnersRig):
            rig.stop_seconds = 0.9
            tails = Tails(rig)
            await tails.begin()
            for entry in rig.entries.values():
                entry.link("w1").silent_target = "/-/pace"
            await tails.watch(6.0)
            assert tails.percent("w1") == 0
            assert BATCH not in "".join(rig.runners["w1"].running)
            assert tails.longest_over < BOUND

        with_rig(body, runners=1)

    def test_pace_orders_whose_answers_are_lost_are_carried_out(self):
        """The stop is given all the same, since nobody knows of the pace."""

        async def body(rig: OwnersRig):
            tails = Tails(rig)
            await tails.begin()
            link = rig.owner.link("w1") if rig.owner is not None else None
            assert link is not None
            while tails.percent("w1") == 100:
                link.lose_next = 1
                await tails.watch(0.05)
            await tails.watch(15.0)
            assert tails.longest_over < BOUND

        with_rig(body, runners=1)

    def test_an_order_of_a_replaced_owner_is_refused(self):
        """A late order of an earlier owner must not change the pace that its successor ordered."""

        async def body(rig: OwnersRig):
            tails = Tails(rig)
            await tails.begin()
            client = RunnerClient("w1", "w1:1", Link(rig.machines["w1"], rig.timers))
            (name,) = [task for task in rig.runners["w1"].running if task.startswith(BATCH)]
            with pytest.raises(AppendFenced):
                await client.pace(task_id(name), 1, 0, 0)
            assert tails.percent("w1") == 100

        with_rig(body, runners=1)


class TestNone:
    def test_no_pace_orders_are_sent(self):
        """Without the feature, filling tasks beside serving ones are stopped, as before."""
        rig = InterferenceRig(2, "none")
        rig.fill(count=2, anti_affinity=1)
        rig.run_for(1.0)
        rig.serve()
        rig.run_for(5.0)
        (serving,) = rig.runs("web")
        assert [run.runner for _, run in rig.stops] == [serving.runner]
        assert rig.paces == []
        assert rig.cell.separation.pairs(rig.now) == []
