"""Encodes claims, without the parts that cannot be encoded."""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from ragworttiller.scheduling.records.formats import Claim, Withdrawn, encode

log = logging.getLogger(__name__)

MAX_NAMES_LOGGED = 3


class EncodedClaim(NamedTuple):
    """Claim to write, and its encoding."""

    claim: Claim
    value: bytes


def encode_claim(claim: Claim) -> EncodedClaim:
    """Return a claim with its encoding; runners and queues that cannot be encoded are left out.

    A runner that is not in the stored claim gets no starts, and one without a row among the
    withdrawn ones is expected to run any task.

    Raises
    ------
    Exception
        The rest cannot be encoded either.
    """
    try:
        return EncodedClaim(claim, encode(claim))
    except Exception as exc:
        reduced = _encodable_part(claim)
        value = encode(reduced)
        left_out = sorted(set(claim.roster).difference(reduced.roster))
        extra = {
            "epoch": claim.epoch,
            "error": type(exc).__name__,
            "left_out": len(left_out),
            "runners": [ascii(name) for name in left_out[:MAX_NAMES_LOGGED]],
        }
        log.error("claim written without parts that cannot be encoded", extra=extra)
        return EncodedClaim(reduced, value)


def _encodable_part(claim: Claim) -> Claim:
    pending = {queue: count for queue, count in claim.pending.items() if _fits((queue, count))}
    return claim._replace(
        roster=[name for name in claim.roster if _fits(name)],
        unsettled=[name for name in claim.unsettled if _fits(name)],
        withdrawn=[row for row in map(_without_bad_address, claim.withdrawn) if _fits(row)],
        pending=pending,
        pressure=claim.pressure if _fits(claim.pressure) else None,
        learnt=claim.learnt if _fits(claim.learnt) else b"",
    )


def _without_bad_address(row: Withdrawn) -> Withdrawn:
    return row if _fits(row.address) else row._replace(address="")


def _fits(value: object) -> bool:
    """Return whether a part of a claim can be encoded."""
    try:
        msgspec.msgpack.encode(value)
    except Exception:
        return False
    return True
