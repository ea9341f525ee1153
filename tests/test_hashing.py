"""Tests of shard owners."""

from __future__ import annotations

from collections import Counter

import pytest

from ragworttiller.hashing import balanced_owners
from ragworttiller.process.membership import FixedMembership

SHARDS = tuple(f"cell-{number:03d}" for number in range(16))
MEMBERS = tuple(f"entry-{number}" for number in range(7))


class TestBalancedOwners:
    @pytest.mark.parametrize("count", [1, 2, 3, 7])
    def test_no_member_owns_more_than_its_share(self, count):
        owners = balanced_owners(SHARDS, MEMBERS[:count])
        assert owners.keys() == set(SHARDS)
        assert max(Counter(owners.values()).values()) == -(-len(SHARDS) // count)

    def test_a_lost_member_moves_few_shards_of_others(self):
        before = balanced_owners(SHARDS, MEMBERS)
        moved = 0
        for lost in MEMBERS:
            after = balanced_owners(SHARDS, tuple(name for name in MEMBERS if name != lost))
            moved += sum(before[s] not in (lost, after[s]) for s in SHARDS)
        assert moved / len(MEMBERS) <= len(SHARDS) / len(MEMBERS)

    def test_members_in_another_order_agree(self):
        one = FixedMembership("entry-0", list(MEMBERS))
        two = FixedMembership("entry-1", list(reversed(MEMBERS)))
        for membership in (one, two):
            membership.balance(SHARDS)
        assert [one.owner(s) for s in SHARDS] == [two.owner(s) for s in SHARDS]

    def test_shard_has_no_owner_without_live_instances(self):
        membership = FixedMembership("entry-0", [])
        membership.balance(SHARDS)
        assert membership.owner(SHARDS[0]) is None
