"""Tests of the loopback addresses that stand-ins and test processes listen at."""

from __future__ import annotations

from standins.addresses import claim_block, free_address


class TestFreeAddress:
    def test_two_test_runs_side_by_side_get_no_port_in_common(self):
        first, second = claim_block(), claim_block()
        with first.guard, second.guard:
            ours = {next(first.ports) for _ in range(300)}
            theirs = {next(second.ports) for _ in range(300)}
        assert not ours & theirs

    def test_addresses_of_one_process_differ(self):
        assert len({free_address() for _ in range(50)}) == 50
