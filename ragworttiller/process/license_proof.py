"""Proof that the holder of a license will never use it."""

from __future__ import annotations

import logging
from typing import NamedTuple

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.messages import CellCall
from ragworttiller.process.bookings import trim
from ragworttiller.process.cell_state import CellState

log = logging.getLogger(__name__)

ABSENT_SECONDS = 60.0
HOLDER_CALL_TIMEOUT_SECONDS = 2.0
KEPT_PROOFS = 1000
DISOWNED = "disowned"

_active_holders: set[str] = set()


class Holder(NamedTuple):
    """Parts of a holder's name ``instance@incarnation.number``."""

    instance: str
    incarnation: int


def parse_holder(name: str) -> Holder:
    """Return the parts of a holder's name."""
    instance, _, suffix = name.rpartition("@")
    incarnation = suffix.partition(".")[0]
    return Holder(instance, int(incarnation) if incarnation.isdecimal() else 0)


def begin_serving(holder: str) -> None:
    """Register the name under which an owner in this process may use licenses."""
    _active_holders.add(holder)


def end_serving(holder: str) -> None:
    """Unregister the name of an owner that can no longer use its licenses."""
    _active_holders.discard(holder)


def is_serving(holder: str) -> bool:
    """Return whether an owner of this name in this process may use licenses."""
    return holder in _active_holders


class LicenseProof:
    """Determines whether another owner can still send the starts that it licensed.

    It cannot if a newer incarnation of its instance is a member, if its own process confirms that
    the owner has stopped, or if the instance is no member and the platform has not listed it for
    `ABSENT_SECONDS`.

    Parameters
    ----------
    state : CellState
        State of the owner that asks.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._absent_since: dict[str, float] = {}
        self._proven_at: dict[str, float] = {}

    async def cannot_send(self, name: str) -> bool:
        """Return whether the holder provably sends nothing more under its licenses."""
        proven = await self._determine(name)
        if not proven:
            self._proven_at.pop(name, None)
        elif name not in self._proven_at:
            log.info("owner %s provably sends no more starts", name)
            self._proven_at[name] = self._state.now()
            trim(self._proven_at, KEPT_PROOFS)
        return proven

    def proven_at(self, name: str) -> float | None:
        """Return since when `cannot_send` has found the proof for a holder, None without it.

        A start of the holder may have been sent until then.
        """
        return self._proven_at.get(name)

    async def _determine(self, name: str) -> bool:
        context = self._state.context
        holder = parse_holder(name)
        if holder.instance == context.membership.instance:
            return holder.incarnation < context.membership.incarnation or not is_serving(name)
        member = context.membership.members.get(holder.instance)
        if member is not None and member.incarnation > holder.incarnation:
            return True
        if member is None:
            return self._long_absent(holder.instance)
        call = CellCall(context.shard, DISOWNED, {"holder": name})
        try:
            reply = await context.peers.call(holder.instance, call, HOLDER_CALL_TIMEOUT_SECONDS)
        except RagworttillerError:
            return False
        return bool(reply.result)

    def _long_absent(self, instance: str) -> bool:
        """Return whether the platform has not listed an instance for `ABSENT_SECONDS`."""
        listing = self._state.context.listing()
        if not listing.entries or any(row.instance == instance for row in listing.entries):
            self._absent_since.pop(instance, None)
            return False
        since = self._absent_since.setdefault(instance, self._state.now())
        return self._state.now() - since >= ABSENT_SECONDS
