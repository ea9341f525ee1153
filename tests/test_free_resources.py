"""Tests of the free resources of one pass against a walk over all runners."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from ragworttiller.platform.listing import RunnerEntry
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_rules import suits
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runner_state import RunnerState

UPSTREAMS = ("desk", "press")
LABELS = ("", "a", "b")
SIZES = st.builds(Resources, st.integers(0, 6), st.integers(0, 6), st.integers(0, 1))
RUNNERS = st.lists(
    st.tuples(st.sampled_from(UPSTREAMS), st.sampled_from(LABELS), SIZES), max_size=8
)
STEPS = st.builds(
    lambda size, label, fills: StepSpec(1, size, label=label, fills=fills),
    SIZES,
    st.sampled_from(LABELS),
    st.booleans(),
)
TAKEN = st.lists(st.tuples(st.integers(0, 7), SIZES), max_size=6)


def runner_states(rows: list[tuple[str, str, Resources]]) -> list[RunnerState]:
    return [
        RunnerState(
            RunnerEntry(f"w{n}", upstream, "h:1", "fd", size, frozenset({label}), False, None)
        )
        for n, (upstream, label, size) in enumerate(rows)
    ]


class TestFreeResources:
    @settings(max_examples=200, deadline=None)
    @given(RUNNERS, TAKEN, st.lists(st.tuples(st.sampled_from(UPSTREAMS), STEPS), max_size=5))
    def test_the_runners_with_room_are_those_of_a_walk_over_all(self, rows, taken, asked):
        runners = runner_states(rows)
        free, left = FreeResources(runners), {runner.id: runner.free for runner in runners}
        for upstream, spec in asked:
            walk = {
                runner.id
                for runner in runners
                if suits(runner, upstream, spec) and spec.reservation.fits(left[runner.id])
            }
            assert {runner.id for runner in free.with_room(upstream, spec)} == walk
            named = free.those_with_room([*left, "gone"], upstream, spec)
            assert {runner.id for runner in named} == walk
            if taken:
                index, size = taken.pop()
                if f"w{index}" in left:
                    free.subtract(f"w{index}", size)
                    left[f"w{index}"] = left[f"w{index}"].minus(size)

    @settings(max_examples=50, deadline=None)
    @given(RUNNERS)
    def test_labels_and_rooms_count_all_runners_of_an_upstream(self, rows):
        runners = runner_states(rows)
        free = FreeResources(runners)
        for upstream in UPSTREAMS:
            own = [runner for runner in runners if runner.entry.upstream == upstream]
            assert len(free.of_upstream(upstream)) == len(own)
            assert free.upstream_room(upstream).free == sum(runner.free.cpu for runner in own)
            assert free.labelled(upstream, "a") == sum("a" in r.entry.labels for r in own)
