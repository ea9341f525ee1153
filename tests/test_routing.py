"""Tests of the dispatcher with fake runners, on virtual time."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.exceptions import (
    DeadlineExceeded,
    NoRunner,
    Overloaded,
    RunnerBroken,
    RunnerRefused,
)
from ragworttiller.routing.registry import ROUTING_POLICIES
from ragworttiller.routing.runner import SLOW_START_SECONDS, RunnerState
from ragworttiller.routing.settings import UpstreamSettings
from standins.runners_fake import SLOTS
from tests.routing_rig import MEAN_SECONDS, run


class TestSendOnce:
    def test_never_resent_after_a_byte_was_written(self):
        async def scenario(rig):
            async def kill():
                await rig.timers.sleep(0.01)
                for runner in rig.runners:
                    runner.down = True

            rig.tasks.start_soon(kill)
            good, errors = await rig.burst(20, once=True)
            assert sum(r.received for r in rig.runners) == 20
            assert errors and all(isinstance(exc, RunnerBroken) for exc, _ in errors)

        run(scenario)

    def test_refused_connection_leads_to_another_runner(self):
        async def scenario(rig):
            for runner in rig.runners[1:]:
                runner.down = True
            good, errors = await rig.burst(4, once=True)
            assert (good, errors) == ([200] * 4, [])
            assert rig.runners[0].received == 4

        run(scenario)

    def test_closed_idle_connection_is_reopened(self):
        async def scenario(rig):
            await rig.send(once=True)
            rig.runners[0].down = True
            with pytest.raises((RunnerRefused, NoRunner)):
                await rig.send(once=True)
            rig.runners[0].down = False
            await rig.timers.sleep(20)
            assert (await rig.send()).status == 200
            assert rig.runners[0].received == 2

        run(scenario, runners=1)


class TestCancelledExchange:
    def test_connection_is_closed_and_answers_match_their_requests(self):
        async def scenario(rig):
            rig.runners[0].pause()
            with pytest.raises(DeadlineExceeded):
                await rig.send(budget=0.5)
            await rig.timers.sleep(0.01)
            assert rig.runners[0].connections == 0
            with rig.timers.move_on_after(0.1):
                await rig.send()
            await rig.timers.sleep(0.01)
            assert rig.runners[0].connections == 0
            rig.runners[0].resume()
            good, errors = await rig.burst(30)
            assert (good, errors) == ([200] * 30, [])

        run(scenario, runners=1)


class TestAdmission:
    def test_overload_is_refused_at_once_and_capacity_is_used(self):
        async def scenario(rig):
            capacity = 4 * SLOTS / MEAN_SECONDS
            await rig.steady(2, capacity)
            good, errors = await rig.steady(4, 1.5 * capacity)
            refused = [item for item in errors if isinstance(item[0], Overloaded)]
            at_once = [delay for _, delay in refused if delay < 0.01]
            assert len(at_once) >= 0.99 * len(refused) > 0
            assert all(exc.retry_after > 0 for exc, _ in refused)
            assert rig.in_window >= 0.95 * 4 * capacity

        run(scenario)

    def test_queue_limit(self):
        async def scenario(rig):
            good, errors = await rig.burst(4 * SLOTS + 10, budget=9.0)
            assert len(errors) == 10 - 3

        run(scenario, settings=UpstreamSettings(queue_limit=3))


class TestHealth:
    @pytest.mark.parametrize("fault", ["pause", "down", "fail", "slow"])
    def test_faulty_runner_is_suspended_within_seconds_and_resumes_slowly(self, fault):
        async def scenario(rig):
            await rig.steady(2)
            faulty = rig.runners[0]
            self.inject_fault(faulty, fault)
            await rig.steady(3)
            before = faulty.received
            await rig.steady(4)
            assert rig.view(0).state is not RunnerState.SERVING
            assert faulty.received - before <= 5
            self.clear_fault(faulty)
            while rig.view(0).state is not RunnerState.SERVING:
                await rig.steady(0.5)
            resumed = rig.timers.now()
            while rig.timers.now() < resumed + SLOW_START_SECONDS:
                ramp = (rig.timers.now() - resumed) / SLOW_START_SECONDS
                await rig.burst(40)
                assert rig.view(0).in_flight <= 2 + ramp * SLOTS
            good, errors = await rig.steady(2)
            assert not errors

        run(scenario)

    @staticmethod
    def inject_fault(runner, fault):
        runner.down = fault == "down"
        runner.fail_share = 1.0 if fault == "fail" else 0.0
        runner.slow = 20.0 if fault == "slow" else 1.0
        if fault == "pause":
            runner.pause()

    @staticmethod
    def clear_fault(runner):
        runner.down, runner.fail_share, runner.slow = False, 0.0, 1.0
        runner.resume()

    @pytest.mark.parametrize("state", ["leaving", "gone"])
    def test_leaving_runner_gets_no_new_requests_and_finishes_its_own(self, state):
        async def scenario(rig):
            async def leave():
                await rig.timers.sleep(0.02)
                rig.runners[0].state = state
                rig.publish()

            rig.tasks.start_soon(leave)
            good, errors = await rig.burst(4 * SLOTS)
            assert len(good) == 4 * SLOTS and not errors
            before = rig.runners[0].received
            await rig.steady(2)
            assert rig.runners[0].received == before

        run(scenario)

    def test_no_runner_in_service(self):
        async def scenario(rig):
            for runner in rig.runners:
                runner.state = "leaving"
            rig.publish()
            with pytest.raises(NoRunner):
                await rig.send()

        run(scenario)


class TestRetries:
    @pytest.mark.parametrize("hedging", [False, True])
    def test_extra_attempts_stay_within_the_retry_budget(self, hedging):
        async def scenario(rig):
            for runner in rig.runners:
                runner.fail_share = 0.3
            good, errors = await rig.steady(10)
            counters = rig.entry.upstream_counters["marking"]
            extra = counters.attempts - counters.requests
            assert 0 < extra <= 0.1 * counters.requests
            assert sum(status >= 500 for status in good) < 0.3 * counters.requests

        run(scenario, settings=UpstreamSettings(hedging=hedging))


class TestInFlightCounts:
    @pytest.mark.parametrize("hedging", [False, True])
    def test_cancelled_requests_are_not_counted_as_in_flight(self, hedging):
        async def scenario(rig):
            await rig.steady(1)
            for delay in (0.0, 0.0, 0.001, 0.05, 0.16, 0.2):
                async with anyio.create_task_group() as tasks:
                    for _ in range(60):
                        tasks.start_soon(rig.send)
                    await rig.timers.sleep(delay)
                    tasks.cancel_scope.cancel()
            await rig.timers.sleep(2)
            assert rig.entry.in_progress == 0
            good, errors = await rig.burst(4)
            assert (good, errors) == ([200] * 4, [])

        run(scenario, settings=UpstreamSettings(hedging=hedging))


class TestDecisionLines:
    @pytest.mark.parametrize("policy", ROUTING_POLICIES)
    def test_one_line_for_each_attempt_or_refusal(self, policy):
        async def scenario(rig):
            good, errors = await rig.burst(200, budget=0.4)
            counters = rig.entry.upstream_counters["marking"]
            assert rig.decisions.count == counters.attempts + counters.refused
            assert {d.chosen for d in rig.decisions.recent} <= {"m0", "m1", "m2", "m3", None}
            assert len(good) + len(errors) == 200

        run(scenario, settings=UpstreamSettings(policy=policy))
