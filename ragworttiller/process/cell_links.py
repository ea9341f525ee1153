"""Calls from the owner of a cell shard to the owners of other shards."""

from __future__ import annotations

from typing import Any

from ragworttiller.exceptions import NotOwner
from ragworttiller.messages import CellCall
from ragworttiller.process.cell_state import CellContext
from ragworttiller.records import cell_stream

CALL_TIMEOUT_SECONDS = 3.0


async def call_owner(context: CellContext, shard: int, verb: str, arguments: dict[str, Any]) -> Any:
    """Call the owner of another shard and return its result.

    Raises
    ------
    NotOwner
        No live instance owns the shard, or the called instance does not own it.
    PeerUnreachable
        The owner did not answer.
    RagworttillerError
        Any error that the owner raised.
    """
    owner = context.membership.owner(cell_stream(shard))
    if owner is None:
        raise NotOwner(instance="", shard=shard)
    reply = await context.peers.call(owner, CellCall(shard, verb, arguments), CALL_TIMEOUT_SECONDS)
    return reply.result
