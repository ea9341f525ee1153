"""Tests of members that are made at their first use, without I/O."""

from __future__ import annotations

import tracemalloc

import pytest

from ragworttiller.lazy_members import LazyMembers
from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.state.jobs import StageId, StepSpec
from ragworttiller.scheduling.state.runs import Stage

STAGES = 500
# Of a stage whose tasks wait, without its step.
MAX_STAGE_BYTES = 1000


class Sample(LazyMembers):
    """Object with one such member."""

    __slots__ = ("rows",)

    MAKERS = {"rows": list}

    rows: list[int]


class TestLazyMembers:
    """Guards against a change that is lost since it was made to another container."""

    def test_a_member_is_made_once(self):
        sample = Sample()
        assert not sample.is_made("rows")
        sample.rows.append(1)
        assert sample.is_made("rows")
        assert sample.rows == [1]

    def test_objects_share_no_member(self):
        first, second = Sample(), Sample()
        first.rows.append(1)
        assert second.rows == []

    def test_other_members_do_not_exist(self):
        with pytest.raises(AttributeError):
            _ = Sample().lines  # type: ignore[attr-defined]


class TestWaitingStage:
    """Guards against an owner that is filled by stages of which nothing has started."""

    def test_it_takes_little_memory(self):
        spec = StepSpec(1, NO_RESOURCES)
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        stages = [Stage(StageId("", 0, number), spec, queue="batch") for number in range(STAGES)]
        waits = [stage.longest_wait(1.0) for stage in stages if not stage.complete]
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert waits == [0.0] * STAGES
        assert (after - before) / STAGES < MAX_STAGE_BYTES
