"""Tests of the counter of elementary steps."""

from __future__ import annotations

import gc

from bench.steps import StepCounter


def work() -> list[list[int]]:
    return [list(range(3)) for _ in range(5_000)]


def steps() -> int:
    counter = StepCounter()
    with counter.counting():
        work()
    return counter.steps


class TestStepCounter:
    def test_functions_called_at_collections_are_not_counted(self):
        alone = steps()

        def called_at_collection(phase: str, info: dict[str, int]) -> None:
            return

        gc.callbacks.append(called_at_collection)
        try:
            assert steps() == alone
        finally:
            gc.callbacks.remove(called_at_collection)

    def test_collections_go_on_afterwards(self):
        steps()
        assert gc.isenabled()
