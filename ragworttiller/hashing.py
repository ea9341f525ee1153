"""Shard numbers of keys, and owners of shards by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

CACHED_ASSIGNMENTS = 32


def shard_of(key: str, shards: int) -> int:
    """Return the shard number, from 0 to ``shards - 1``, of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def owner_of(shard: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest rendezvous score for a shard.

    Returns None when there is no member.
    """
    return max(members, key=lambda name: (_score(shard, name), name), default=None)


@lru_cache(CACHED_ASSIGNMENTS)
def balanced_owners(shards: tuple[str, ...], members: tuple[str, ...]) -> dict[str, str]:
    """Return the owner of each shard, with no member owning more than its even share, rounded up.

    Pairs of shard and member are assigned in descending order of rendezvous score, so that most
    shards keep their owner when a member joins or leaves. The result is cached and must not be
    changed.
    """
    owners: dict[str, str] = {}
    if not members:
        return owners
    share = -(-len(shards) // len(members))
    remaining = dict.fromkeys(members, share)
    pairs = ((_score(shard, member), shard, member) for shard in shards for member in members)
    for _, shard, member in sorted(pairs, reverse=True):
        if shard not in owners and remaining[member] > 0:
            owners[shard] = member
            remaining[member] -= 1
    return owners


def _score(shard: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{shard}\0{member}".encode())


def digest(data: bytes) -> bytes:
    """Return a 16-byte digest for comparing bodies."""
    return xxhash.xxh3_128_digest(data)
