"""Messages between entries."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.codec import MessagePackCodec
from ragworttiller.messages import ErrorReply, Introduction
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest
from ragworttiller.scheduling.entry.configuration_pieces import (
    ConfigurationNotice,
    ConfigurationPiece,
    ConfigurationPieceQuery,
)
from ragworttiller.scheduling.ownership.earlier_owner import (
    OwnerQuery,
    OwnerReplaced,
    OwnerStatus,
    TermEnded,
)
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.state.jobs import StageId


class AdviceRequest(NamedTuple):
    """Asks an entry to call the advisor; ``timeout`` is in seconds."""

    stage: StageId
    runners: list[str]
    timeout: float


class AdviceReply(NamedTuple):
    """Ticket of each runner that may run the stage."""

    tickets: dict[str, str]


class ConnectionSuspect(NamedTuple):
    """Reports to an entry that its answers do not arrive over its current connection."""


class ConnectionQuery(NamedTuple):
    """Asks an entry for an answer, which shows that the connections in both directions work."""


class ConnectionAnswer(NamedTuple):
    """Answers a `ConnectionQuery`."""


class ConfigurationQuery(NamedTuple):
    """Asks an entry which version of the configuration it has; ``version`` is the asker's."""

    version: int


class ConfigurationAnswer(NamedTuple):
    """Version of the configuration of an entry, -1 for none.

    ``age`` is the time in seconds since the entry knew it to be the newest one. ``value`` is the
    configuration as written by the operator if it is later than the asker's and short, else empty;
    a long one is asked for in pieces.
    """

    version: int
    age: float
    value: bytes = b""

    def __repr__(self) -> str:
        """Return a text without the configuration, whose API keys must not appear in logs."""
        return f"ConfigurationAnswer(version={self.version}, age={self.age})"


class ViewRequest(NamedTuple):
    """Asks the owner for a part of its view; ``parts`` are the path segments below the root."""

    parts: list[str]


class DryRunRequest(NamedTuple):
    """Asks the owner what would happen to a submission; ``body`` is its JSON text."""

    body: bytes


class ViewReply(NamedTuple):
    """JSON text of a part of the owner's view."""

    body: bytes


class SlowStore(NamedTuple):
    """Reports to an entry that an append takes long."""


PEER_CODEC = MessagePackCodec(
    {
        1: AdviceRequest,
        2: AdviceReply,
        3: ErrorReply,
        4: CallerRequest,
        5: CallerReply,
        6: ConnectionSuspect,
        7: OwnerHeartbeat,
        8: ViewRequest,
        9: ViewReply,
        10: OwnerReplaced,
        11: TermEnded,
        12: OwnerQuery,
        13: OwnerStatus,
        14: ConfigurationQuery,
        15: ConfigurationAnswer,
        16: SlowStore,
        17: DryRunRequest,
        18: Introduction,
        19: ConnectionQuery,
        20: ConnectionAnswer,
        21: ConfigurationPieceQuery,
        22: ConfigurationPiece,
        23: ConfigurationNotice,
    }
)
