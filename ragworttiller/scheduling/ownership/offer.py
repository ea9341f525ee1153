"""Messages with which an owner that stops offers the cell to its successor."""

from __future__ import annotations

from typing import NamedTuple


class OwnershipOffer(NamedTuple):
    """Asks an entry to claim the cell from its owner, which acts until it is superseded."""

    epoch: int


class OfferReply(NamedTuple):
    """States whether an entry claims the cell that it was offered."""

    accepted: bool
