"""Tests of placement policies, their index and their rules."""

from __future__ import annotations

import random

import pytest

from bench.packing import fill_in_rounds, idle_accelerators
from ragworttiller.exceptions import InvalidField, NotFound
from ragworttiller.placement.index import RoomIndex, WorkerRoom
from ragworttiller.placement.policy import Demand, RunningTaskCounts
from ragworttiller.placement.registry import POLICIES, policy_named
from ragworttiller.placement.rules import Rules, rules_from, site_allowed
from ragworttiller.resources import NO_RESOURCES, Resources

WORKER_CAPACITY = Resources(16000, 65536, 0)
ACCELERATED_CAPACITY = Resources(64000, 131072, 4)
SAMPLED = ("alignment", "best_fit_all", "packing_first", "waiting_first")


def cell(count=24, size=WORKER_CAPACITY, accelerated=0):
    index = RoomIndex(random.Random(7))
    for i in range(count):
        capacity = ACCELERATED_CAPACITY if i < accelerated else size
        labels = frozenset({"ssd"}) if i % 2 else frozenset()
        index.add(WorkerRoom(f"w{i:02d}", capacity, capacity, f"fd{i % 3}", f"r{i // 8}", labels))
    return index


def random_need(rng):
    accelerators = 1 if rng.random() < 0.1 else 0
    return Resources(rng.randrange(100, 6000), rng.randrange(64, 20000), accelerators)


def can_ever_fit(need, rules, index):
    """Return whether any schedulable worker could run the task if nothing else ran there."""
    return any(need.fits(capacity) and site_allowed(site, rules) for site, capacity in index.shapes)


def total_room(index):
    total = NO_RESOURCES
    for worker in index.workers():
        total = total.plus(worker.room)
    return total


@pytest.mark.parametrize("name", POLICIES)
class TestEveryPolicy:
    def test_never_exceeds_room_and_places_while_something_fits(self, name):
        rng = random.Random(11)
        index, policy = cell(accelerated=6), policy_named(name, random.Random(3))
        running = []
        for _ in range(1500):
            need = random_need(rng)
            choice = policy.choose(Demand(need), index)
            if choice is not None:
                index.book(choice.worker, need)
                running.append((choice.worker, need))
            elif name not in SAMPLED or need.accelerators:
                assert not any(need.fits(w.room) for w in index.workers())
            if rng.random() < 0.3 and running:
                index.free(*running.pop(rng.randrange(len(running))))
            assert all(NO_RESOURCES.fits(w.room) for w in index.workers())
        assert index.total_free() == total_room(index)
        for worker, need in running:
            index.free(worker, need)
        assert all(w.room == w.capacity for w in index.workers())

    def test_respects_rules_and_states(self, name):
        index, policy = cell(), policy_named(name, random.Random(3))
        index.set_state("w01", "quarantined")
        rules = Rules(failure_domain=("fd1",), labels=("ssd",))
        chosen = set()
        while (choice := policy.choose(Demand(Resources(8000, 1, 0), rules), index)) is not None:
            index.book(choice.worker, Resources(8000, 1, 0))
            chosen.add(choice.worker)
        assert chosen == {"w07", "w13", "w19"}

    def test_limit_on_one_worker(self, name):
        index, policy = cell(2), policy_named(name, random.Random(3))
        demand = Demand(
            Resources(100, 100, 0), Rules(max_per_worker=1), 0, RunningTaskCounts({}, {}, {})
        )
        first = policy.choose(demand, index)
        demand.running_tasks.workers[first.worker] = 1
        second = policy.choose(demand, index)
        assert {first.worker, second.worker} == {"w00", "w01"}
        demand.running_tasks.workers[second.worker] = 1
        assert policy.choose(demand, index) is None
        assert "max_per_worker" in policy.explain(demand, index)

    def test_freed_room_is_found(self, name):
        index, policy = cell(1), policy_named(name, random.Random(3))
        index.book("w00", WORKER_CAPACITY)
        assert policy.choose(Demand(WORKER_CAPACITY), index) is None
        index.free("w00", WORKER_CAPACITY)
        assert policy.choose(Demand(WORKER_CAPACITY), index).worker == "w00"


@pytest.mark.parametrize("name", SAMPLED)
class TestAccelerators:
    def test_plain_tasks_leave_reserve_for_free_accelerators(self, name):
        index, policy = cell(8, accelerated=4), policy_named(name, random.Random(3))
        accelerator_need = Resources(8000, 16384, 1)
        for plain in (Resources(4000, 2048, 0), Resources(500, 8192, 0)):
            while (choice := policy.choose(Demand(plain), index)) is not None:
                index.book(choice.worker, plain)
        assert "accelerators" in policy.explain(Demand(Resources(500, 1024, 0)), index)
        started = 0
        while (choice := policy.choose(Demand(accelerator_need), index)) is not None:
            index.book(choice.worker, accelerator_need)
            started += 1
        assert started == 4 * ACCELERATED_CAPACITY.accelerators

    def test_plain_tasks_prefer_workers_without_accelerators(self, name):
        index, policy = cell(8, accelerated=4), policy_named(name, random.Random(3))
        for _ in range(16):
            choice = policy.choose(Demand(Resources(4000, 1024, 0)), index)
            index.book(choice.worker, Resources(4000, 1024, 0))
            assert index.worker(choice.worker).capacity.accelerators == 0


@pytest.mark.parametrize("name", SAMPLED)
class TestSpread:
    @pytest.mark.parametrize("spread, count", [("rack", 3), ("failure_domain", 3)])
    def test_tasks_of_a_job_are_spread_evenly(self, name, spread, count):
        index, policy = cell(), policy_named(name, random.Random(3))
        running_tasks = RunningTaskCounts({}, {}, {})
        need = Resources(500, 500, 0)
        for _ in range(count * 4):
            choice = policy.choose(Demand(need, Rules(spread=spread), 0, running_tasks), index)
            worker = index.worker(choice.worker)
            running_tasks.racks[worker.rack] = running_tasks.racks.get(worker.rack, 0) + 1
            domains = running_tasks.failure_domains
            domains[worker.failure_domain] = domains.get(worker.failure_domain, 0) + 1
            index.book(choice.worker, need)
        counts = running_tasks.racks if spread == "rack" else running_tasks.failure_domains
        assert list(counts.values()) == [4] * count


class TestScarceResource:
    @pytest.mark.parametrize("scarce", ["cpu", "memory"])
    def test_scarce_resource_decides(self, scarce):
        index, policy = cell(40), policy_named("best_fit_all", random.Random(3))
        for number in range(40):
            taken = {"cpu": Resources(12000, 8192, 0), "memory": Resources(2000, 49152, 0)}[scarce]
            index.book(f"w{number:02d}", taken)
        tight = {"cpu": Resources(2000, 0, 0), "memory": Resources(0, 8192, 0)}[scarce]
        loose = {"cpu": Resources(0, 16384, 0), "memory": Resources(4000, 0, 0)}[scarce]
        index.book("w20", tight)
        index.book("w30", loose)
        assert policy.choose(Demand(Resources(1000, 4096, 0)), index).worker == "w20"


class TestPackingBounds:
    """Packing targets: workers used against the fractional bound, and idle accelerators."""

    @pytest.mark.parametrize("count", [170, 1200])
    def test_rounds_stay_within_five_percent_of_the_bound(self, count):
        packed = [fill_in_rounds("best_fit_all", count, seed) for seed in (1, 2, 3)]
        assert sum(p.used for p in packed) <= 1.05 * sum(p.bound for p in packed)

    @pytest.mark.parametrize("name", SAMPLED)
    def test_no_accelerator_idles_while_tasks_for_it_wait(self, name):
        assert idle_accelerators(name, 1)[0] == 0


class TestExplain:
    @pytest.mark.parametrize(
        "need, rules, text",
        [
            (Resources(100, 1, 9), Rules(), "accelerators: needs 9"),
            (Resources(99000, 1, 0), Rules(), "cpu: needs 99000"),
            (Resources(1, 1, 0), Rules(failure_domain=("fd9",)), "rule failure_domain"),
            (Resources(1, 1, 0), Rules(labels=("gpu",)), "rule labels"),
        ],
    )
    def test_names_what_can_never_fit(self, need, rules, text):
        index = cell()
        assert not can_ever_fit(need, rules, index)
        assert text in policy_named("best_fit_all", random.Random(1)).explain(
            Demand(need, rules), index
        )

    def test_names_the_scarce_resource(self):
        index = cell(2)
        for name in ("w00", "w01"):
            index.book(name, Resources(1000, 65000, 0))
        policy = policy_named("best_fit_all", random.Random(1))
        demand = Demand(Resources(1000, 1024, 0))
        assert can_ever_fit(demand.need, demand.rules, index)
        assert policy.explain(demand, index).startswith("memory: needs 1024 MiB, 536 free now")

    def test_empty_cell_and_unknown_names(self):
        index = RoomIndex(random.Random(1))
        policy = policy_named("first_fit", random.Random(1))
        assert policy.explain(Demand(NO_RESOURCES), index) == "no worker is in service"
        with pytest.raises(NotFound):
            index.book("w99", NO_RESOURCES)
        with pytest.raises(InvalidField):
            policy_named("worst", random.Random(1))


class TestRules:
    def test_round_trip(self):
        body = {"failure_domain": ["a"], "labels": ["x"], "spread": "rack", "max_per_worker": 2}
        assert rules_from(body) == Rules(("a",), ("x",), "rack", 2)
        assert rules_from({"anti_affinity": True, "checkpoint": True}) == Rules(max_per_worker=1)

    @pytest.mark.parametrize(
        "body",
        [{"rack": "r1"}, {"spread": "host"}, {"labels": "x"}, {"max_per_worker": -1}],
    )
    def test_bad_field_is_named(self, body):
        with pytest.raises(InvalidField) as caught:
            rules_from(body)
        assert caught.value.fields["field"] == f"rules.{next(iter(body))}"
