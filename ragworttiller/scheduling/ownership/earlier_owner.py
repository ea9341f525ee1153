"""Asks another entry whether it still owns the cell, or whether it gives no more orders."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.records.formats import Claim

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_SECONDS = 0.5
# Part of the time in which a stopped owner is to be replaced.
QUERY_TIMEOUT_SECONDS = 0.3
# A busy owner reads a question, and sends its answer, as late as its event loop runs.
LAGS_AN_ANSWER = 3
MAX_QUERY_TIMEOUT_SECONDS = 2.0


class OwnerReplaced(NamedTuple):
    """Tells an entry that another one owns the cell with this epoch."""

    epoch: int


class TermEnded(NamedTuple):
    """States that an entry gives no orders as an owner of an earlier epoch, and will give none.

    ``address`` is that at which it listens for its peers: any other start there has ended.
    """

    incarnation: int
    address: str


class OwnerQuery(NamedTuple):
    """Asks an entry whether it acts as the owner of this epoch."""

    epoch: int


class OwnerStatus(NamedTuple):
    """States whether an entry acts as the owner that it was asked about."""

    acting: bool


class EarlierOwner(ABC):
    """Access to the entry that owned the cell before, or that seems to have stopped."""

    @abstractmethod
    async def is_acting(self, claim: Claim) -> bool:
        """Return whether the owner that wrote a claim says that it acts, and renews its term."""

    @abstractmethod
    async def has_ended(self, claim: Claim, epoch: int) -> bool:
        """Return whether the owner that wrote a claim provably gives no more orders.

        Parameters
        ----------
        claim : Claim
            Last claim of the earlier owner.
        epoch : int
            Epoch of the present owner.
        """


class UnreachableEarlierOwner(EarlierOwner):
    """No access: its term is waited out."""

    @override
    async def is_acting(self, claim: Claim) -> bool:
        return False

    @override
    async def has_ended(self, claim: Claim, epoch: int) -> bool:
        return False


class EarlierOwnerPeer(EarlierOwner):
    """Asks the entry of that name, by its own statement or that of a later start at its address.

    Parameters
    ----------
    peers : Peers
        Connections to the other entries.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    @override
    async def is_acting(self, claim: Claim) -> bool:
        timeout = query_timeout(claim)
        try:
            answer = await self._peers.call(claim.owner, OwnerQuery(claim.epoch), timeout)
        except RagworttillerError as exc:
            log.info("owner unreachable", extra={"owner": claim.owner, "why": exc.code})
            return False
        if not isinstance(answer, OwnerStatus):
            _report_odd_answer(claim, answer)
            return False
        return answer.acting

    @override
    async def has_ended(self, claim: Claim, epoch: int) -> bool:
        try:
            answer = await self._peers.call(
                claim.owner, OwnerReplaced(epoch), ANSWER_TIMEOUT_SECONDS
            )
        except RagworttillerError as exc:
            log.info("earlier owner unreachable", extra={"owner": claim.owner, "why": exc.code})
            return False
        if not isinstance(answer, TermEnded):
            _report_odd_answer(claim, answer)
            return False
        return proves_end(claim, answer)


def _report_odd_answer(claim: Claim, answer: object) -> None:
    extra = {"owner": claim.owner, "answer": type(answer).__name__}
    log.warning("answer of another kind by the earlier owner ignored", extra=extra)


def query_timeout(claim: Claim) -> float:
    """Return how long to wait for the answer of the owner that wrote a claim, in seconds."""
    return min(QUERY_TIMEOUT_SECONDS + LAGS_AN_ANSWER * claim.lag, MAX_QUERY_TIMEOUT_SECONDS)


def proves_end(claim: Claim, answer: TermEnded) -> bool:
    """Return whether a statement proves that the owner that wrote a claim gives no more orders.

    It is the statement of that owner, or of an entry that started later at the same address.
    """
    if answer.incarnation == claim.incarnation:
        return True
    return bool(claim.address) and answer.address == claim.address
